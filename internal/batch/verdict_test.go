package batch

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestLeaseThatIsToStopStartsNothing ends one of two leases by a verdict of the
// ledger. Its running and paused items are cancelled and no item of it starts or
// resumes; the other lease is unaffected.
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

	e.applyVerdicts([]*rockwindpb.LeaseVerdict{
		{JobId: over.job, Fence: over.fence + 1, Stop: true},
		{JobId: other.job, Fence: other.fence},
	})
	if len(e.leases) != 2 || len(cancelled) != 0 {
		t.Fatalf("%d leases remain and items %v are cancelled before a verdict to stop", len(e.leases), cancelled)
	}
	e.applyVerdicts([]*rockwindpb.LeaseVerdict{{JobId: over.job, Fence: over.fence, Stop: true}})
	if e.leases[over] != nil || e.leases[other] == nil {
		t.Fatalf("the remaining leases are %v", e.leases)
	}
	if !cancelled[1] || !cancelled[2] || cancelled[3] {
		t.Fatalf("the cancelled items are %v", cancelled)
	}
	if e.pendingItems() != 2 || e.hasPaused(stopped) || e.resumePaused(t.Context(), "group") {
		t.Fatal("an item of the ended lease can still start")
	}
	for _, current := range stopped.running {
		if !current.abandoned {
			t.Fatalf("item %d of the ended lease would be reported", current.item)
		}
	}
}
