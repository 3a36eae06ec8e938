package configuration_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// drawConfiguration generates a configuration with few distinct names, so that two
// of them have common, changed and missing objects. It may be invalid.
func drawConfiguration(t *rapid.T, number uint64) *rockwindpb.Configuration {
	drawn := &rockwindpb.Configuration{Number: number}
	for _, name := range drawNames(t, "groups") {
		drawn.Groups = append(drawn.Groups, &rockwindpb.Group{Name: name, Share: drawSmallNumber(t)})
	}
	for _, name := range drawNames(t, "tenants") {
		hash := fmt.Sprintf("%064x", rapid.Uint64Max(3).Draw(t, "key"))
		drawn.Tenants = append(drawn.Tenants, &rockwindpb.Tenant{
			Name: name, Group: "a", ApiKeySha256: []string{hash}, Limits: &rockwindpb.Limits{RequestsPerSecond: drawSmallNumber(t)},
		})
	}
	for _, name := range drawNames(t, "models") {
		drawn.Models = append(drawn.Models, &rockwindpb.Model{Name: name, Versions: []*rockwindpb.Version{{Name: "v", Weight: uint32(drawSmallNumber(t))}}})
	}
	for _, name := range drawNames(t, "services") {
		drawn.Services = append(drawn.Services, &rockwindpb.Service{Name: name, Timeout: durationpb.New(time.Duration(drawSmallNumber(t)))})
	}
	for _, name := range drawNames(t, "classes") {
		drawn.BatchClasses = append(drawn.BatchClasses, &rockwindpb.BatchClass{Name: name, Tries: uint32(drawSmallNumber(t))})
	}
	for _, name := range drawNames(t, "back ends") {
		drawn.BackEnds = append(drawn.BackEnds, &rockwindpb.BackEnd{Name: name, Address: fmt.Sprint(drawSmallNumber(t)), Serves: drawNames(t, "serves")})
	}
	if rapid.Bool().Draw(t, "policy") {
		drawn.Policy = &rockwindpb.Policy{RetryRatio: drawSmallNumber(t)}
	}
	return drawn
}

func drawNames(t *rapid.T, label string) []string {
	return rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, label)[:rapid.IntRange(0, 4).Draw(t, label)]
}

func drawSmallNumber(t *rapid.T) float64 {
	return float64(rapid.IntRange(0, 2).Draw(t, "value"))
}

func mustIndex(t *rapid.T, given *rockwindpb.Configuration) *configuration.Index {
	index, err := configuration.NewIndex(given)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// sorted returns a copy of the configuration in canonical order.
func sorted(given *rockwindpb.Configuration) *rockwindpb.Configuration {
	copied := proto.CloneOf(given)
	configuration.SortObjects(copied)
	return copied
}

func TestChangesLeadFromOneConfigurationToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := []*rockwindpb.Configuration{drawConfiguration(t, 1)}
		var changes []*rockwindpb.ConfigurationChange
		steps := rapid.IntRange(1, 6).Draw(t, "steps")
		for i := range steps {
			next := drawConfiguration(t, uint64(i+2))
			before := proto.CloneOf(chain[i])
			change, err := configuration.Compare(chain[i], next)
			if err != nil {
				t.Fatal(err)
			}
			after, err := configuration.ApplyChange(chain[i], change)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(after, sorted(next)) {
				t.Fatalf("the change resulted in %v, want %v", after, next)
			}
			if !proto.Equal(before, chain[i]) {
				t.Fatal("applying a change modified the old configuration")
			}
			chain = append(chain, next)
			changes = append(changes, change)
		}
		from := rapid.IntRange(0, steps-1).Draw(t, "from")
		stepwise := mustIndex(t, chain[0])
		for _, change := range changes {
			var err error
			if stepwise, err = stepwise.Apply(change); err != nil {
				t.Fatal(err)
			}
			assertLookups(t, stepwise)
		}
		merged := configuration.MergeChanges(changes[from:])
		after, err := mustIndex(t, chain[from]).Apply(merged)
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(after.Configuration(), sorted(chain[steps])) {
			t.Fatal("the merged change and the single changes have different results")
		}
		assertLookups(t, after)
	})
}

// assertLookups compares the lookups of an index after changes with those of a new
// index.
func assertLookups(t *rapid.T, index *configuration.Index) {
	fresh := mustIndex(t, index.Configuration())
	if !bytes.Equal(fresh.Checksum(), index.Checksum()) {
		t.Fatal("the checksum after changes differs from that of a new index")
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		for _, pair := range [][2]any{
			lookupPair(index.Group(name))(fresh.Group(name)),
			lookupPair(index.Tenant(name))(fresh.Tenant(name)),
			lookupPair(index.Model(name))(fresh.Model(name)),
			lookupPair(index.Service(name))(fresh.Service(name)),
			lookupPair(index.BatchClass(name))(fresh.BatchClass(name)),
			lookupPair(index.BackEnd(name))(fresh.BackEnd(name)),
			{fmt.Sprint(index.Engines(name)), fmt.Sprint(fresh.Engines(name))},
		} {
			if pair[0] != pair[1] {
				t.Fatalf("lookup of %q finds %v, want %v", name, pair[0], pair[1])
			}
		}
	}
	for i := range 4 {
		var hash configuration.Hash
		hash[len(hash)-1] = byte(i)
		got, _ := index.TenantByKeyHash(hash)
		want, _ := fresh.TenantByKeyHash(hash)
		if got != want {
			t.Fatalf("key %d belongs to %v, want %v", i, got, want)
		}
	}
}

func lookupPair[T any](got T, found bool) func(T, bool) [2]any {
	return func(want T, wanted bool) [2]any {
		return [2]any{fmt.Sprint(got, found), fmt.Sprint(want, wanted)}
	}
}

func TestChecksumTellsDifferentConfigurationsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := drawConfiguration(t, rapid.Uint64Range(1, 2).Draw(t, "number"))
		other := drawConfiguration(t, rapid.Uint64Range(1, 2).Draw(t, "number"))
		equal := proto.Equal(sorted(one), sorted(other))
		first, err := configuration.Checksum(one)
		if err != nil {
			t.Fatal(err)
		}
		second, err := configuration.Checksum(other)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Equal(first, second) != equal {
			t.Fatalf("equal checksums: %v, equal configurations: %v", !equal, equal)
		}
		if !equal && one.GetNumber() == other.GetNumber() && len(configuration.Diff(mustIndex(t, one), mustIndex(t, other))) == 0 {
			t.Fatal("no difference is listed between different configurations")
		}
	})
}

func TestDamagedChangesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawConfiguration(t, 1)
		change, err := configuration.Compare(old, drawConfiguration(t, 2))
		if err != nil {
			t.Fatal(err)
		}
		damaged := proto.CloneOf(change)
		var wanted fault.Kind
		switch rapid.IntRange(0, 4).Draw(t, "damage") {
		case 0:
			damaged.FromNumber++
			wanted = fault.Stale
		case 1:
			damaged.Number++
			wanted = fault.Corrupt
		case 2:
			damaged.Checksum[rapid.IntRange(0, 31).Draw(t, "byte")] ^= 1
			wanted = fault.Corrupt
		case 3:
			if len(damaged.Upserts) == 0 {
				return
			}
			damaged.Upserts = damaged.Upserts[1:]
			wanted = fault.Corrupt
		case 4:
			if len(damaged.Removals) == 0 {
				return
			}
			damaged.Removals = damaged.Removals[1:]
			wanted = fault.Corrupt
		}
		if _, err := configuration.ApplyChange(old, damaged); !fault.Is(err, wanted) {
			t.Fatalf("got %v, want %v", err, wanted)
		}
	})
}

func TestDiffNamesFields(t *testing.T) {
	before, problems := configuration.Parse("before", []byte(base))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	text := strings.Replace(base, "tokens_per_second: 5", "tokens_per_second: 6", 1)
	text = strings.Replace(text, "timeout: 2s", "timeout: 3s", 1)
	text = strings.Replace(text, "- name: engine-1", "- name: engine-2", 1)
	after, problems := configuration.Parse("after", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	old, _ := configuration.NewIndex(before)
	new, _ := configuration.NewIndex(after)
	var lines []string
	for _, difference := range configuration.Diff(old, new) {
		lines = append(lines, fmt.Sprint(difference.Kind, " ", difference.Object, " ", difference.Name, " ", difference.Fields))
	}
	want := []string{
		"changed tenant one [limits.tokens_per_second: 5 -> 6]",
		"changed service lookup [timeout: 2s -> 3s]",
		"removed back end engine-1 []",
		"added back end engine-2 []",
	}
	if strings.Join(lines, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
}

// largeConfiguration returns a configuration with 11,000 tenants and 1,200 back ends.
func largeConfiguration() *rockwindpb.Configuration {
	fleet := &rockwindpb.Configuration{Number: 1, Groups: []*rockwindpb.Group{{Name: "g", Share: 1}}}
	for i := range 11_000 {
		fleet.Tenants = append(fleet.Tenants, &rockwindpb.Tenant{
			Name: fmt.Sprintf("tenant-%d", i), Group: "g",
			ApiKeySha256: []string{fmt.Sprintf("%064x", i), fmt.Sprintf("%064x", i+1_000_000)},
			Limits:       &rockwindpb.Limits{RequestsPerSecond: 5, Concurrency: 9, TokensPerSecond: 1000},
		})
	}
	for i := range 12 {
		fleet.Models = append(fleet.Models, &rockwindpb.Model{Name: fmt.Sprintf("model-%d", i), Versions: []*rockwindpb.Version{{Name: "v1", Weight: 1}}})
	}
	for i := range 1200 {
		fleet.BackEnds = append(fleet.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", i), Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200+1), Zone: fmt.Sprintf("zone-%d", i%32),
			Serves: []string{fmt.Sprintf("model-%d", i%12)},
		})
	}
	configuration.Normalise(fleet)
	return fleet
}

func BenchmarkIndexFromScratch(b *testing.B) {
	fleet := largeConfiguration()
	for b.Loop() {
		if _, err := configuration.NewIndex(fleet); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyChangeOfOneTenant(b *testing.B) {
	fleet := largeConfiguration()
	before, err := configuration.NewIndex(fleet)
	if err != nil {
		b.Fatal(err)
	}
	changed := proto.CloneOf(fleet)
	changed.Number++
	changed.Tenants[5000].Limits.Concurrency++
	after, err := configuration.NewIndex(changed)
	if err != nil {
		b.Fatal(err)
	}
	change := configuration.CompareIndexes(before, after)
	b.ReportMetric(float64(proto.Size(change)), "bytes/change")
	for b.Loop() {
		if _, err := before.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}
