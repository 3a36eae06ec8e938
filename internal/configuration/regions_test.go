package configuration_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

const regionsFile = `number: 1
services:
  - name: app
tenants:
  - {name: bound, regions: [south, east]}
  - {name: free}
routes:
  - {name: all, host: site.example, path_prefix: /, kind: safe, timeout_ms: 100, split: [{service: app, weight: 1}]}
  - {name: local, host: site.example, path_prefix: /local/, kind: stream, timeout_ms: 100, split: [{service: app, weight: 1}],
     regions: [north, south]}
`

func threeRegions() topology.Map {
	return topology.New(map[string]string{"n": "north", "s": "south", "e": "east"})
}

// mustParse returns a file's configuration, which has no problems.
func mustParse(t *testing.T, file string) *rockwindpb.Configuration {
	t.Helper()
	parsed, problems := configuration.Parse("regions.yaml", []byte(file))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return parsed
}

// parsedIndex returns the index of a file without problems.
func parsedIndex(t *testing.T, file string) *configuration.Index {
	t.Helper()
	index, err := configuration.NewIndex(mustParse(t, file))
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// Guards against a route or a tenant whose restriction is dropped where the other has none, and
// against disjoint restrictions that allow everything.
func TestAllowedRegionsAreThoseInCommon(t *testing.T) {
	index := parsedIndex(t, regionsFile)
	all, _ := index.Route("site.example", "/x")
	local, _ := index.Route("site.example", "/local/x")
	bound, _ := index.Tenant("bound")
	free, _ := index.Tenant("free")
	for _, each := range []struct {
		route  *rockwindpb.Route
		tenant *rockwindpb.Tenant
		want   []string
	}{
		{all, nil, nil},
		{all, free, nil},
		{all, bound, []string{"east", "south"}},
		{local, nil, []string{"north", "south"}},
		{local, free, []string{"north", "south"}},
		{local, bound, []string{"south"}},
		{nil, nil, nil},
	} {
		allowed := index.AllowedRegions(each.route, each.tenant)
		if !slices.Equal(allowed.Names(), each.want) || allowed.Restricted() != (each.want != nil) {
			t.Errorf("route %q and tenant %q allow %v, want %v", each.route.GetName(), each.tenant.GetName(), allowed.Names(), each.want)
		}
	}
	disjoint := index.AllowedRegions(&rockwindpb.Route{Regions: []string{"north"}}, bound)
	if !disjoint.Empty() || disjoint.Allows("north") || disjoint.Allows("south") {
		t.Errorf("disjoint regions allow %v", disjoint.Names())
	}
}

// Guards against a configuration that names a region without servers, whose requests would all be
// refused, and against one that a site without regions cannot enforce.
func TestUnknownRegionsAreProblems(t *testing.T) {
	parsed := mustParse(t, regionsFile)
	if problems := configuration.CheckRegions(parsed, threeRegions()); len(problems) > 0 {
		t.Errorf("known regions are refused: %v", problems)
	}
	for _, each := range []struct {
		zones   topology.Map
		wants   []string
		remedy  string
		problem int
	}{
		{topology.New(map[string]string{"n": "north", "s": "south"}), []string{`tenant bound names region "east"`}, "north, south", 1},
		{topology.Map{}, []string{`tenant bound names region "east"`, `route local names region "north"`, "the settings name no regions"}, "zone_regions", 4},
	} {
		problems := configuration.CheckRegions(parsed, each.zones)
		text := ""
		for _, problem := range problems {
			text += problem.Message + "\n"
			if !strings.Contains(problem.Remedy, each.remedy) {
				t.Errorf("the remedy of %q is %q", problem.Message, problem.Remedy)
			}
		}
		for _, want := range each.wants {
			if len(problems) != each.problem || !strings.Contains(text, want) {
				t.Errorf("got %d problems, want %d with %q:\n%s", len(problems), each.problem, want, text)
			}
		}
	}
	if problems := configuration.CheckRegions(&rockwindpb.Configuration{Routes: []*rockwindpb.Route{{Name: "r"}}}, topology.Map{}); len(problems) > 0 {
		t.Errorf("a configuration without regions is refused: %v", problems)
	}
}

// Guards against a configuration under which all requests of a tenant on a route are refused.
func TestRouteAndTenantNeedACommonRegion(t *testing.T) {
	disjoint := strings.Replace(regionsFile, "regions: [north, south]}", "regions: [north]}", 1)
	_, problems := configuration.Parse("regions.yaml", []byte(disjoint))
	if len(problems) != 1 || problems[0].Line != 10 || !strings.Contains(problems[0].Message, `route "local" and tenant "bound" have no region in common`) ||
		problems[0].Remedy == "" {
		t.Errorf("got %v", problems)
	}
	public := strings.Replace(disjoint, "regions: [north]}", "regions: [north], public: true}", 1)
	if _, problems := configuration.Parse("regions.yaml", []byte(public)); len(problems) > 0 {
		t.Errorf("a public route is refused: %v", problems)
	}
}

// Guards against a change of regions that daemons do not notice or operators do not see.
func TestChangedRegionsChangeChecksumAndDiff(t *testing.T) {
	before := parsedIndex(t, regionsFile)
	for _, each := range []struct{ object, old, new, want string }{
		{"route", "[north, south]", "[south]", "regions: [north, south] -> [south]"},
		{"tenant", "[south, east]", "[south]", "regions: [south, east] -> [south]"},
	} {
		after := parsedIndex(t, strings.Replace(regionsFile, each.old, each.new, 1))
		if bytes.Equal(before.Checksum(), after.Checksum()) {
			t.Errorf("the checksum does not cover the regions of a %s", each.object)
		}
		differences := configuration.Diff(before, after)
		if len(differences) != 1 || differences[0].Object != each.object || differences[0].Fields[0].String() != each.want {
			t.Errorf("the diff is %v", differences)
		}
	}
}

// Guards against replicas of the previous version that compute another checksum of a configuration with
// regions: to them these are unknown fields, which they keep.
func TestPreviousVersionComputesTheSameChecksum(t *testing.T) {
	const tenantRegions, routeRegions = 7, 17
	unknown := func(number protowire.Number, value string) []byte {
		return protowire.AppendString(protowire.AppendTag(nil, number, protowire.BytesType), value)
	}
	tenant, route := &rockwindpb.Tenant{Name: "one"}, &rockwindpb.Route{Name: "all", Host: "h", Public: true}
	tenant.ProtoReflect().SetUnknown(unknown(tenantRegions, "south"))
	route.ProtoReflect().SetUnknown(unknown(routeRegions, "north"))
	previous, err := configuration.Checksum(&rockwindpb.Configuration{Number: 1, Tenants: []*rockwindpb.Tenant{tenant}, Routes: []*rockwindpb.Route{route}})
	if err != nil {
		t.Fatal(err)
	}
	current, err := configuration.Checksum(&rockwindpb.Configuration{
		Number: 1, Tenants: []*rockwindpb.Tenant{{Name: "one", Regions: []string{"south"}}},
		Routes: []*rockwindpb.Route{{Name: "all", Host: "h", Public: true, Regions: []string{"north"}}},
	})
	if err != nil || !bytes.Equal(previous, current) {
		t.Errorf("the checksums differ, %v", err)
	}
}

// Guards against a set that is missing, so that processes do not exchange the number of requests that wait for
// its regions, and against one that is listed twice.
func TestRegionSetsListsEachSetOnce(t *testing.T) {
	var names []string
	for _, regions := range parsedIndex(t, regionsFile).RegionSets() {
		names = append(names, strings.Join(regions.Names(), "+"))
	}
	if !slices.Equal(names, []string{"east+south", "north+south", "south"}) {
		t.Errorf("the sets are %v", names)
	}
	if sets := configuration.Empty().RegionSets(); len(sets) > 0 {
		t.Errorf("a configuration without regions has %v", sets)
	}
}
