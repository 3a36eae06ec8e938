package batch

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestLeaseThatIsToStopStartsNothing lets the ledger say which of two leases is
// over: its items are cancelled, also those that are paused, and none is started
// or resumed; the other lease goes on.
func TestLeaseThatIsToStopStartsNothing(t *testing.T) {
	cancelled := map[uint32]bool{}
	e := &Executor{leases: map[leaseKey]*lease{}, running: map[*run]struct{}{}}
	add := func(key leaseKey, items ...uint32) *lease {
		held := &lease{key: key, job: &rockwindpb.Job{Group: "group"}, pending: []uint32{100, 101}, running: map[uint32]*run{}}
		e.leases[key] = held
		for _, item := range items {
			current := &run{lease: held, item: item, cancel: func() { cancelled[item] = true }}
			held.running[item] = current
			e.running[current] = struct{}{}
		}
		return held
	}
	over, other := leaseKey{job: "over", fence: 1}, leaseKey{job: "other", fence: 2}
	stopped := add(over, 1, 2)
	add(other, 3)
	paused := stopped.running[2]
	paused.paused = true
	e.paused = []*run{paused}

	e.judge([]*rockwindpb.LeaseVerdict{
		{JobId: over.job, Fence: over.fence + 1, Stop: true},
		{JobId: other.job, Fence: other.fence},
	})
	if len(e.leases) != 2 || len(cancelled) != 0 {
		t.Fatalf("%d leases are left and %v cancelled before any was to stop", len(e.leases), cancelled)
	}
	e.judge([]*rockwindpb.LeaseVerdict{{JobId: over.job, Fence: over.fence, Stop: true}})
	if e.leases[over] != nil || e.leases[other] == nil {
		t.Fatalf("the leases left are %v", e.leases)
	}
	if !cancelled[1] || !cancelled[2] || cancelled[3] {
		t.Fatalf("cancelled are %v", cancelled)
	}
	if e.pendingItems() != 2 || e.hasPaused(stopped) || e.resumePaused(t.Context(), "group") {
		t.Fatal("an item of the lease that is over can still start")
	}
	for _, current := range stopped.running {
		if !current.abandoned {
			t.Fatalf("item %d will be reported", current.item)
		}
	}
}
