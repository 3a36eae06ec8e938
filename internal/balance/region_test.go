package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// zoneHashes returns the hashes of zones.
func zoneHashes(zones ...string) []uint32 {
	var hashes []uint32
	for _, zone := range zones {
		hashes = append(hashes, balance.ZoneHash(zone))
	}
	return hashes
}

func inflight(requests int) map[uint32]balance.SharedLoad {
	return map[uint32]balance.SharedLoad{1: {Inflight: requests}}
}

// Guards against loads that count twice where sums of regions, of zones and of all other groups cover the same
// processes, in any order, and against loads that get lost.
func TestSumsThatOverlapCountOnce(t *testing.T) {
	const now = 10 * time.Second
	region := func(s *balance.SharedLoads, delegate string, requests int, at time.Duration, zones ...string) {
		s.ApplyRegion(delegate, zoneHashes(zones...), 9, 1, 1, inflight(requests), at)
	}
	for _, each := range []struct {
		name  string
		apply func(s *balance.SharedLoads)
		want  int
	}{
		{"a zone replaces the region that covers it", func(s *balance.SharedLoads) {
			region(s, "c", 30, now, "c", "d")
			s.ApplyGroup("old", "c", 3, 1, 1, inflight(10), now)
		}, 10},
		{"a region replaces its zones", func(s *balance.SharedLoads) {
			s.ApplyGroup("old", "c", 3, 1, 1, inflight(10), now)
			s.ApplyGroup("near", "b", 3, 1, 1, inflight(5), now)
			region(s, "c", 30, now, "c", "d")
		}, 35},
		{"another delegate of the region takes over", func(s *balance.SharedLoads) {
			region(s, "c", 30, now, "c", "d")
			region(s, "d", 31, now, "c", "d")
		}, 31},
		{"a new delegate that knows fewer zones is ignored", func(s *balance.SharedLoads) {
			region(s, "c", 30, now, "c", "d")
			region(s, "d", 20, now+balance.CoverageWindow, "d")
		}, 30},
		{"until the other one is silent", func(s *balance.SharedLoads) {
			region(s, "c", 30, now, "c", "d")
			region(s, "d", 20, now+balance.CoverageWindow+1, "d")
		}, 20},
		{"two sides of a divided region add up", func(s *balance.SharedLoads) {
			region(s, "c", 30, now, "c")
			region(s, "d", 20, now, "d")
		}, 50},
		{"the sum of all other groups replaces regions", func(s *balance.SharedLoads) {
			region(s, "c", 30, now, "c", "d")
			s.ApplyOtherGroups("relay", "a", 1, 1, inflight(40), now)
		}, 40},
		{"a region replaces the sum of all other groups", func(s *balance.SharedLoads) {
			s.ApplyOtherGroups("relay", "a", 1, 1, inflight(40), now)
			region(s, "c", 30, now, "c", "d")
		}, 30},
	} {
		sharedLoads := balance.NewSharedLoads()
		sharedLoads.SetZone("a")
		each.apply(sharedLoads)
		if got := sharedLoads.At(1).Inflight; got != each.want {
			t.Errorf("%s: %d requests, want %d", each.name, got, each.want)
		}
	}
}

// Guards against sums of a region that include other regions, and against members that get no loads of them.
func TestRegionsAreElsewhere(t *testing.T) {
	sharedLoads := balance.NewSharedLoads()
	sharedLoads.SetZone("a")
	sharedLoads.ApplyGroup("near", "b", 3, 1, 1, inflight(5), 0)
	sharedLoads.ApplyRegion("c", zoneHashes("c", "d"), 9, 1, 1, inflight(30), 0)
	if got := sharedLoads.SumOtherGroups("a")[1]; got.Inflight != 35 || got.Far != 30 {
		t.Errorf("the sum of all other groups is %+v", got)
	}
	if got := sharedLoads.SumOfGroups([]string{"b"})[1]; got.Inflight != 5 || got.Far != 0 {
		t.Errorf("the sum of the zone is %+v", got)
	}
}

// Guards against preempting batch work again for the same excess before the loads of another region can show the
// effect, and against waiting that long where all loads are those of the own region.
func TestExcessOfOtherRegionsIsActedOnWithinTheirAge(t *testing.T) {
	const regionAge = 2 * maxLoadAge
	for _, far := range []bool{false, true} {
		p, sharedLoads := pool(2, "a")
		p.SetMaxLoadAge(maxLoadAge)
		p.SetMaxRegionLoadAge(regionAge)
		for range 2 {
			if _, found := p.Choose(balance.Demand{Batch: true}, nil, 0, random()); !found {
				t.Fatal("batch work finds no room")
			}
		}
		loads := map[uint32]balance.SharedLoad{balance.ServerHash("a"): {Inflight: 2, Batch: 2}}
		preempted := func(now time.Duration) int {
			sum := 0
			sharedLoads.Expire(now)
			if far {
				sharedLoads.ApplyRegion("c", zoneHashes("c"), 9, 1, uint64(now)+1, loads, now)
			} else {
				sharedLoads.Apply("other", 1, uint64(now)+1, loads, now)
			}
			p.PreemptBatch(0, now, random(), func(_ string, requests int) int { sum += requests; return requests })
			return sum
		}
		if preempted(0) == 0 {
			t.Fatal("nothing is preempted for the excess")
		}
		if got := preempted(maxLoadAge); (got == 0) != far {
			t.Errorf("far %v: %d requests are preempted after the age of loads of the own region", far, got)
		}
		if got := preempted(maxLoadAge + regionAge); got == 0 {
			t.Errorf("far %v: nothing is preempted after the age of loads of other regions", far)
		}
	}
}
