package directory_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// storesWithLevel returns stores like regionalStores that have announced a feature level; the first one has
// announced the given one.
func storesWithLevel(first uint32, regions ...int) (*directory.View, topology.Map) {
	plain, sites := regionalStores(regions...)
	d := directory.New()
	for i, machine := range plain.Machines() {
		machine.FeatureLevel = featurelevel.Witnesses
		if i == 0 {
			machine.FeatureLevel = first
		}
		d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}})
	}
	return d.View(), sites
}

// foundedWitnesses returns the witnesses of each regional shard by region, and checks that none is in its region.
func foundedWitnesses(t *testing.T, view *directory.View, sites topology.Map, replicas int) map[string][]string {
	t.Helper()
	founding := directory.PlanStoreCluster(view, directory.FoundingPolicy{Replicas: replicas, Regions: sites}, time.UnixMilli(0).Add(foundedAt))
	found := make(map[string][]string)
	for _, group := range founding.GetGroups() {
		for _, member := range group.GetMembership().GetMembers() {
			if !member.GetWitness() {
				continue
			}
			machine, _ := view.Machine(member.GetMachine())
			if region := sites.Region(machine.GetZone()); group.GetRegion() == "" || region == group.GetRegion() {
				t.Errorf("group %d of region %q has the witness %s of region %q", group.GetGroup(), group.GetRegion(), member.GetMachine(), region)
			}
			found[group.GetRegion()] = append(found[group.GetRegion()], member.GetMachine())
		}
	}
	return found
}

// Guards against a regional shard that stops after the tolerated losses, and against witnesses that share a region
// or a store without need: nine stores in three regions have two witnesses of each shard, in both other regions.
func TestRegionalShardsOfThreeStoresHaveTwoWitnesses(t *testing.T) {
	view, sites := storesWithLevel(featurelevel.Witnesses, 0, 1, 2, 0, 1, 2, 0, 1, 2)
	witnesses := foundedWitnesses(t, view, sites, 5)
	stores := make(map[string]int)
	for _, region := range []string{"r0", "r1", "r2"} {
		regions := make(map[string]bool)
		for _, name := range witnesses[region] {
			machine, _ := view.Machine(name)
			regions[sites.Region(machine.GetZone())] = true
			stores[name]++
		}
		if len(witnesses[region]) != 2 || len(regions) != 2 {
			t.Errorf("the shard of %s has the witnesses %v", region, witnesses[region])
		}
	}
	if len(stores) != 6 {
		t.Errorf("the six witnesses are on the stores %v", stores)
	}
}

// Guards against too many or too few witnesses: they keep a majority after the tolerated losses, of which at least one
// store of the region must be spared.
func TestNumberOfWitnesses(t *testing.T) {
	for _, each := range []struct{ inRegion, replicas, want int }{
		{1, 5, 0}, {2, 5, 1}, {3, 5, 2}, {4, 5, 1}, {5, 5, 0}, {3, 3, 0}, {2, 3, 1}, {3, 1, 0},
	} {
		regions := []int{1, 1, 1, 1, 1}
		for range each.inRegion {
			regions = append(regions, 0)
		}
		view, sites := storesWithLevel(featurelevel.Witnesses, regions...)
		if got := foundedWitnesses(t, view, sites, each.replicas)["r0"]; len(got) != each.want {
			t.Errorf("%d stores, %d replicas: witnesses %v, want %d", each.inRegion, each.replicas, got, each.want)
		}
	}
}

// Guards against witnesses on stores that do not know them and would store content of another region, and against a
// part of the witnesses, which only makes the majority larger.
func TestNoWitnessesWithOlderOrTooFewStores(t *testing.T) {
	for name, regions := range map[string][]int{"older store": {0, 1, 2, 0, 1, 2, 0, 1, 2}, "one store elsewhere": {0, 0, 0, 1}} {
		level := featurelevel.Witnesses
		if name == "older store" {
			level--
		}
		view, sites := storesWithLevel(level, regions...)
		if got := foundedWitnesses(t, view, sites, 5)["r0"]; len(got) != 0 {
			t.Errorf("%s: witnesses %v", name, got)
		}
	}
	if got := fmt.Sprint(foundedWitnesses(t, storesOfOneRegion(t), topology.New(nil), 5)); got != "map[]" {
		t.Errorf("a site of one region has the witnesses %s", got)
	}
}

func storesOfOneRegion(t *testing.T) *directory.View {
	t.Helper()
	view, _ := storesWithLevel(featurelevel.Witnesses, 0, 0, 0)
	return view
}
