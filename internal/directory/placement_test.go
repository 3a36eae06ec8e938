package directory_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// regionalStores returns stores in regions r0, r1 and so on with two zones each, in the order of the given
// region numbers, and the regions of their zones.
func regionalStores(regions ...int) (*directory.View, topology.Map) {
	d := directory.New()
	zoneRegions := make(map[string]string)
	for i, region := range regions {
		zone := fmt.Sprintf("z%d-%d", region, i%2)
		zoneRegions[zone] = fmt.Sprint("r", region)
		d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: &rockwindpb.Machine{
			Name: storeName(i), Role: rockwindpb.SiteRole_SITE_ROLE_STORE, DiskId: uint64(i + 1), Address: storeName(i), Zone: zone, Bootstrap: true,
		}}})
	}
	return d.View(), topology.New(zoneRegions)
}

// storeName returns names whose order is that of the numbers.
func storeName(number int) string { return fmt.Sprintf("s%02d", number) }

func storeNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, storeName(i))
	}
	return names
}

// ordinaryMembers returns the stores of each ordinary shard that the planned founding has.
func ordinaryMembers(t *testing.T, view *directory.View, regions topology.Map, toleratedRegions int) [][]string {
	t.Helper()
	policy := directory.FoundingPolicy{Replicas: 5, Regions: regions, ToleratedRegionLosses: toleratedRegions}
	now := time.UnixMilli(0).Add(foundedAt)
	founding := directory.PlanStoreCluster(view, policy, now)
	if !proto.Equal(founding, directory.PlanStoreCluster(view, policy, now)) {
		t.Error("two plans of the same directory differ")
	}
	var shards [][]string
	for _, group := range founding.GetGroups() {
		if group.GetRegion() != "" {
			continue
		}
		var members []string
		for _, member := range group.GetMembership().GetMembers() {
			members = append(members, member.GetMachine())
		}
		shards = append(shards, members)
	}
	return shards
}

// perRegion counts the given stores in each region.
func perRegion(view *directory.View, regions topology.Map, stores []string) map[string]int {
	counts := make(map[string]int)
	for _, name := range stores {
		machine, _ := view.Machine(name)
		counts[regions.Region(machine.GetZone())]++
	}
	return counts
}

// checkSpread checks that each shard has distinct members, that the store of its number is the first of
// them, and that no store has more than one replica above the average, rounded up.
func checkSpread(t *testing.T, shards [][]string, stores int) {
	t.Helper()
	replicas := make(map[string]int)
	total := 0
	for i, members := range shards {
		if members[0] != storeName(i) {
			t.Errorf("the first member of shard %d is %s", i, members[0])
		}
		if distinct := slices.Compact(slices.Sorted(slices.Values(members))); len(distinct) != min(stores, 5) {
			t.Errorf("shard %d has members %v", i, members)
		}
		for _, name := range members {
			replicas[name]++
			total++
		}
	}
	most := slices.Max(slices.Collect(maps.Values(replicas)))
	if limit := (total+stores-1)/stores + 1; len(shards) != stores || most > limit {
		t.Errorf("%d shards of %d stores, at most %d replicas at a store, want at most %d: %v", len(shards), stores, most, limit, shards)
	}
}

// Guards against shards most of whose replicas are not in the region of their first member, and against regions
// without a replica of a shard, whose reads would go to another region.
func TestMajorityOfReplicasIsInOneRegion(t *testing.T) {
	for name, layout := range map[string][]int{
		"by region": {0, 0, 0, 1, 1, 1, 2, 2, 2},
		"in turn":   {0, 1, 2, 0, 1, 2, 0, 1, 2},
		"mixed":     {0, 2, 1, 1, 0, 0, 2, 1, 2},
		"four each": {0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2},
		"five each": {2, 0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1},
	} {
		view, regions := regionalStores(layout...)
		shards := ordinaryMembers(t, view, regions, 0)
		checkSpread(t, shards, len(layout))
		for i, members := range shards {
			region := fmt.Sprint("r", layout[i])
			if counts := perRegion(view, regions, members); len(counts) != 3 || counts[region] != 3 {
				t.Errorf("%s: shard %d of %s has replicas in the regions %v", name, i, region, counts)
			}
		}
	}
}

// Guards against a region whose loss stops a shard although the settings require that it is survived.
func TestNoRegionHasAMajorityIfItsLossIsTolerated(t *testing.T) {
	for _, layout := range [][]int{{0, 0, 0, 1, 1, 1, 2, 2, 2}, {0, 1, 2, 0, 1, 2, 0, 1, 2}, {0, 0, 1, 1, 2, 2, 3, 3}, {0, 0, 0, 1, 1, 2, 2}} {
		view, regions := regionalStores(layout...)
		shards := ordinaryMembers(t, view, regions, 1)
		checkSpread(t, shards, len(layout))
		for i, members := range shards {
			counts := perRegion(view, regions, members)
			if most := slices.Max(slices.Collect(maps.Values(counts))); most > 2 || counts[fmt.Sprint("r", layout[i])] != 2 {
				t.Errorf("shard %d of region r%d has replicas in the regions %v", i, layout[i], counts)
			}
		}
	}
}

// Guards against a plan that fails, overloads a store or has too few replicas where regions differ in size or
// are fewer than the settings assume.
func TestReplicasAreSpreadOverUnevenRegions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		layout := make([]int, 1+random.IntN(20))
		count := 2 + random.IntN(5)
		for i := range layout {
			layout[i] = min(random.IntN(count), random.IntN(count))
		}
		view, regions := regionalStores(layout...)
		if !regions.MultiRegion() {
			continue
		}
		checkSpread(t, ordinaryMembers(t, view, regions, 0), len(layout))
		possible := 0
		for _, stores := range perRegion(view, regions, storeNames(len(layout))) {
			possible += min(stores, 2)
		}
		for i, members := range ordinaryMembers(t, view, regions, 1) {
			if most := slices.Max(slices.Collect(maps.Values(perRegion(view, regions, members)))); possible >= 5 && most > 2 {
				t.Errorf("shard %d has %d replicas in a region, but two suffice: %v", i, most, members)
			}
		}
		if t.Failed() {
			t.Fatalf("regions of the stores: %v", layout)
		}
	}
}

// Guards against stores in two unlisted zones that count as stores of one region.
func TestUnlistedZonesAreRegionsOfTheirOwn(t *testing.T) {
	view := newStores("na", "x", "na", "y", "na", "s", "s")
	shards := ordinaryMembers(t, view, topology.New(map[string]string{"na": "north", "s": "south"}), 0)
	if got := perZone(view, shards[0]); got["na"] != 3 || got["x"] > 1 || got["y"] > 1 {
		t.Errorf("shard 0 has replicas in the zones %v", got)
	}
}

func perZone(view *directory.View, stores []string) map[string]int {
	counts := make(map[string]int)
	for _, name := range stores {
		machine, _ := view.Machine(name)
		counts[machine.GetZone()]++
	}
	return counts
}
