package propagation

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/hollow"
	"rockwind.example/rockwind/internal/bench/wire"
)

func inForce(number uint64, at time.Duration) hollow.InForce {
	return hollow.InForce{Number: number, UnixNs: int64(at)}
}

// TestPhaseStats checks delays and traffic of two changes at two daemons. One daemon
// skips the first change and restarts with the second, which must count once.
func TestPhaseStats(t *testing.T) {
	applied := []appliedConfiguration{
		{number: 5, started: time.Unix(0, int64(time.Second))},
		{number: 6, started: time.Unix(0, int64(2*time.Second))},
	}
	reports := []hollow.FollowerReport{
		{InForce: []hollow.InForce{inForce(4, 0), inForce(5, 1100*time.Millisecond), inForce(6, 2050*time.Millisecond)}},
		{InForce: []hollow.InForce{inForce(4, 0), inForce(6, 2300*time.Millisecond), {Number: 6, UnixNs: int64(3 * time.Second), FromDisk: true}}},
	}
	got := phaseStats(applied, reports)
	if got.EverywhereP50Ms != 300 || got.EverywhereMaxMs != 1300 || got.DaemonP50Ms != 100 || got.DaemonP99Ms != 1300 {
		t.Errorf("got %+v", got)
	}
	before := []hollow.FollowerReport{{}, {Control: wire.Traffic{Sent: 100}}}
	after := []hollow.FollowerReport{{Control: wire.Traffic{Sent: 300, Received: 500}}, {Control: wire.Traffic{Sent: 1300}}}
	got.countBytes(before, after, 200)
	if got.BytesP50 != 300 || got.BytesMax != 500 {
		t.Errorf("got %v bytes in the median and %v at most", got.BytesP50, got.BytesMax)
	}
	if missing := countMissing(reports, 6); missing != 0 {
		t.Errorf("%d daemons lack configuration 6", missing)
	}
	if missing := countMissing(reports, 7); missing != 2 {
		t.Errorf("%d daemons lack configuration 7", missing)
	}
}
