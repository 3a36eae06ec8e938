package balance_test

import (
	"testing"

	"rockwind.example/rockwind/internal/balance"
)

// saw is the digest of a process or group that saw so many runs of a server, each as long as the
// given multiple of what is usual.
func saw(server uint32, runs, hundredths int) map[uint32]balance.SharedLoad {
	return map[uint32]balance.SharedLoad{server: {Pace: balance.SharedPace{
		ReportedSum: 100, ReportedCount: 1, ObservedSum: runs * hundredths, ObservedCount: runs,
	}}}
}

// TestSightingsOfOtherZonesCountAsFewRuns: what the own zone saw counts in full, whoever told it;
// of what others saw a few runs do, at their mean. What the server told counts from everywhere.
func TestSightingsOfOtherZonesCountAsFewRuns(t *testing.T) {
	const server = 7
	digests := map[string]func(shares *balance.SharedLoads){
		"a group of another zone": func(shares *balance.SharedLoads) {
			shares.Apply("near", 1, 1, saw(server, 10, 800), 0)
			shares.ApplyGroup("far", "b", 20, 1, 1, saw(server, 40, 100), 0)
		},
		"all other zones at once": func(shares *balance.SharedLoads) {
			shares.ApplyGroup("delegate", "a", 20, 1, 1, saw(server, 10, 800), 0)
			shares.ApplyOtherGroups("delegate", "a", 1, 2, saw(server, 40, 100), 0)
		},
		"a newer digest in place of an older one": func(shares *balance.SharedLoads) {
			shares.Apply("near", 1, 1, saw(server, 10, 800), 0)
			shares.ApplyGroup("far", "b", 20, 1, 1, saw(server, 90, 500), 0)
			shares.ApplyGroup("far", "b", 20, 1, 2, saw(server, 40, 100), 0)
		},
	}
	for name, tell := range digests {
		shares := balance.NewSharedLoads()
		shares.SetZone("a")
		tell(shares)
		got := shares.PaceAt(server)
		want := balance.SharedPace{ReportedSum: 200, ReportedCount: 2, ObservedSum: 10*800 + 4*100, ObservedCount: 14}
		if got != want {
			t.Errorf("%s: %+v is known, want %+v", name, got, want)
		}
		if all := shares.At(server).Pace; all.ObservedCount != 50 {
			t.Errorf("%s: all together saw %d runs, want 50", name, all.ObservedCount)
		}
	}
}

// TestSightingsCountAlikeWhereNoZoneIsSet: nothing is told of zones, and few far runs count in full.
func TestSightingsCountAlikeWhereNoZoneIsSet(t *testing.T) {
	const server = 7
	shares := balance.NewSharedLoads()
	shares.ApplyGroup("far", "b", 20, 1, 1, saw(server, 40, 100), 0)
	if got := shares.PaceAt(server); got.ObservedCount != 40 {
		t.Errorf("%d runs count without a zone, want 40", got.ObservedCount)
	}
	few := balance.NewSharedLoads()
	few.SetZone("a")
	few.ApplyGroup("far", "b", 20, 1, 1, saw(server, 3, 100), 0)
	if got := few.PaceAt(server); got.ObservedCount != 3 {
		t.Errorf("%d far runs count, want 3", got.ObservedCount)
	}
}
