package replica_test

import (
	"context"
	"testing"
	"time"
)

// TestConfirmedStateIsAppliedAndAgesDuringASuspension guards against a confirmed state that is reported before
// everything that was committed is applied, against reads that need no leader because of it, and against an
// age without the time of a suspension, which the monotonic clock does not show.
func TestConfirmedStateIsAppliedAndAgesDuringASuspension(t *testing.T) {
	suspended := &suspensions{total: make(map[string]time.Duration)}
	runCluster(t, 5, suspended.adjust, func(f *testCluster) {
		for range 20 {
			f.add(0, "a")
		}
		time.Sleep(time.Second) // All replicas have the last entry, not only a majority.
		for _, m := range f.machines {
			f.crash(m)
		}
		for _, m := range f.machines[:3] {
			f.start(m)
		}
		confirmed := f.machines[0]
		f.eventually("the state is confirmed", func() bool {
			group := confirmed.group(0)
			return group != nil && group.Status().ConfirmedAgeMs != nil
		})
		if status := confirmed.group(0).Status(); status.GetHearsLeader() || status.GetApplied() != status.GetLast() {
			t.Errorf("the status is %v", status)
		}
		value := 0
		if err := confirmed.group(0).ReadLocal(context.Background(), func() { value = confirmed.state(0).get("a") }); err != nil || value != 20 {
			t.Errorf("the confirmed state holds %d: %v", value, err)
		}
		f.expectNotLeader(confirmed)
		suspended.suspend(confirmed.name, 2*time.Second)
		if status := confirmed.group(0).Status(); status.ConfirmedAgeMs != nil {
			t.Errorf("a state is reported as %d ms old after a suspension of 2 s", status.GetConfirmedAgeMs())
		}
	})
}
