package router

import (
	"slices"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Guards against a router that forgets where jobs were stored under an earlier configuration: it would store a job
// that is submitted again twice.
func TestRegionsOfEarlierConfigurationsAreRemembered(t *testing.T) {
	var history regionHistory
	for number, regions := range [][]string{{"north"}, {"north"}, {"south"}, nil} {
		index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: uint64(number + 1), Routes: []*rockwindpb.Route{{
			Name: "lots", Host: "host", PathPrefix: "/lots/", Kind: rockwindpb.RouteKind_ROUTE_KIND_BATCH, Regions: regions,
		}}})
		if err != nil {
			t.Fatal(err)
		}
		history.observe(index)
	}
	var names []string
	for _, allowed := range history.of("host", "/lots/a", "") {
		names = append(names, strings.Join(allowed.Names(), " "))
	}
	slices.Sort(names)
	if want := []string{"", "north", "south"}; !slices.Equal(names, want) {
		t.Errorf("regions %q, want %q", names, want)
	}
	if sets := history.of("host", "/other/", ""); len(sets) != 0 {
		t.Errorf("an address without a route has %d sets of regions", len(sets))
	}
	if sets := history.ofTenant(""); len(sets) != 3 {
		t.Errorf("%d sets of regions of a tenant", len(sets))
	}
}
