package balance_test

import (
	"testing"

	"rockwind.example/rockwind/internal/balance"
)

// paceDigest returns the digest of a process or group that observed the given number of runs at a
// server, each taking hundredths/100 times the usual duration.
func paceDigest(server uint32, runs, hundredths int) map[uint32]balance.SharedLoad {
	return map[uint32]balance.SharedLoad{server: {Pace: balance.SharedPace{
		ReportedSum: 100, ReportedCount: 1, ObservedSum: runs * hundredths, ObservedCount: runs,
	}}}
}

// TestRunsOfOtherZonesAreLimited checks that runs observed in the own zone count in full, whoever
// reports them, and only a few of other zones. Paces that servers reported count from all zones.
func TestRunsOfOtherZonesAreLimited(t *testing.T) {
	const server = 7
	digests := map[string]func(sharedLoads *balance.SharedLoads){
		"a group of another zone": func(sharedLoads *balance.SharedLoads) {
			sharedLoads.Apply("near", 1, 1, paceDigest(server, 10, 800), 0)
			sharedLoads.ApplyGroup("far", "b", 20, 1, 1, paceDigest(server, 40, 100), 0)
		},
		"all other zones at once": func(sharedLoads *balance.SharedLoads) {
			sharedLoads.ApplyGroup("delegate", "a", 20, 1, 1, paceDigest(server, 10, 800), 0)
			sharedLoads.ApplyOtherGroups("delegate", "a", 1, 2, paceDigest(server, 40, 100), 0)
		},
		"a newer digest in place of an older one": func(sharedLoads *balance.SharedLoads) {
			sharedLoads.Apply("near", 1, 1, paceDigest(server, 10, 800), 0)
			sharedLoads.ApplyGroup("far", "b", 20, 1, 1, paceDigest(server, 90, 500), 0)
			sharedLoads.ApplyGroup("far", "b", 20, 1, 2, paceDigest(server, 40, 100), 0)
		},
	}
	for name, apply := range digests {
		sharedLoads := balance.NewSharedLoads()
		sharedLoads.SetZone("a")
		apply(sharedLoads)
		got := sharedLoads.PaceAt(server)
		want := balance.SharedPace{ReportedSum: 200, ReportedCount: 2, ObservedSum: 10*800 + 4*100, ObservedCount: 14}
		if got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		if all := sharedLoads.At(server).Pace; all.ObservedCount != 50 {
			t.Errorf("%s: all processes observed %d runs, want 50", name, all.ObservedCount)
		}
	}
}

// TestRunsCountInFullWithoutZone checks that runs of groups count in full without a zone, as do few
// runs of other zones.
func TestRunsCountInFullWithoutZone(t *testing.T) {
	const server = 7
	sharedLoads := balance.NewSharedLoads()
	sharedLoads.ApplyGroup("far", "b", 20, 1, 1, paceDigest(server, 40, 100), 0)
	if got := sharedLoads.PaceAt(server); got.ObservedCount != 40 {
		t.Errorf("%d runs count without a zone, want 40", got.ObservedCount)
	}
	few := balance.NewSharedLoads()
	few.SetZone("a")
	few.ApplyGroup("far", "b", 20, 1, 1, paceDigest(server, 3, 100), 0)
	if got := few.PaceAt(server); got.ObservedCount != 3 {
		t.Errorf("%d runs of the other zone count, want 3", got.ObservedCount)
	}
}
