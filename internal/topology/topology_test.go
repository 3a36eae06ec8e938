package topology_test

import (
	"slices"
	"testing"

	"rockwind.example/rockwind/internal/topology"
)

func newMap() topology.Map {
	return topology.New(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
}

// Guards against treating another zone of the region like another region, or the reverse.
func TestDistanceClassifiesZones(t *testing.T) {
	zones := newMap()
	for _, each := range []struct {
		from, to string
		want     topology.Distance
	}{
		{"north-a", "north-a", topology.SameZone},
		{"north-a", "north-b", topology.SameRegion},
		{"north-a", "south-a", topology.OtherRegion},
		{"north-a", "unlisted", topology.OtherRegion},
	} {
		if got := zones.Distance(each.from, each.to); got != each.want {
			t.Errorf("Distance(%s, %s) = %s, want %s", each.from, each.to, got, each.want)
		}
	}
}

// Guards against a change of behavior for zones whose settings name no regions.
func TestZonesOfZeroMapAreInOneRegion(t *testing.T) {
	zones := topology.Map{}
	if got := zones.Distance("a", "b"); got != topology.SameRegion || zones.MultiRegion() {
		t.Errorf("Distance = %s, MultiRegion = %v", got, zones.MultiRegion())
	}
}

// Guards against a region that is listed for each of its zones, which would make a site of one region count as
// one of several.
func TestRegionsAreListedOnce(t *testing.T) {
	zones := newMap()
	if got := zones.Regions(); !slices.Equal(got, []string{"north", "south"}) || !zones.MultiRegion() {
		t.Errorf("Regions = %v, MultiRegion = %v", got, zones.MultiRegion())
	}
	if !zones.HasRegion("south") || zones.HasRegion("west") {
		t.Error("HasRegion does not match the listed regions")
	}
}

// Guards against disjoint restrictions whose intersection counts as no restriction.
func TestIntersectionOfDisjointSetsAllowsNothing(t *testing.T) {
	common := topology.NewRegionSet([]string{"north"}).Intersect(topology.NewRegionSet([]string{"south"}))
	if !common.Restricted() || !common.Empty() || common.Allows("north") || common.Allows("south") {
		t.Errorf("the intersection is %+v", common)
	}
}

// Guards against a missing restriction that allows nothing, and against one that removes the other restriction
// of an intersection.
func TestUnrestrictedSetAllowsEveryRegion(t *testing.T) {
	all, north := topology.NewRegionSet(nil), topology.NewRegionSet([]string{"north", "north"})
	if all.Restricted() || all.Empty() || !all.Allows("anything") {
		t.Error("a set without regions is restricted")
	}
	for _, common := range []topology.RegionSet{all.Intersect(north), north.Intersect(all)} {
		if !slices.Equal(common.Names(), []string{"north"}) || common.Allows("south") {
			t.Errorf("the intersection with an unrestricted set is %+v", common)
		}
	}
}

// TestWithin guards against counting items that may run in regions where another one may not.
func TestWithin(t *testing.T) {
	none, north, both := topology.RegionSet{}, topology.NewRegionSet([]string{"north"}), topology.NewRegionSet([]string{"south", "north"})
	for _, each := range []struct {
		set, other topology.RegionSet
		want       bool
	}{
		{north, north, true},
		{north, both, true},
		{north, none, true},
		{none, none, true},
		{both, north, false},
		{none, north, false},
	} {
		if got := each.set.Within(each.other); got != each.want {
			t.Errorf("%v within %v: %v", each.set.Names(), each.other.Names(), got)
		}
	}
}
