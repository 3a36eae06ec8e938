package store

import (
	"context"
	"net/http"
	"testing"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/store/claims"
)

// changingGroup is a group whose leadership the test changes.
type changingGroup struct {
	*replica.InMemoryGroup
	term               uint64
	leading, following bool
	// loseAnswers makes Propose apply commands and report an unknown outcome.
	loseAnswers bool
}

func (g *changingGroup) Leading() (term uint64, leading bool) { return g.term, g.leading }

func (g *changingGroup) Following() bool { return g.following }

func (g *changingGroup) Status() *rockwindpb.GroupStatus {
	return &rockwindpb.GroupStatus{Term: g.term}
}

func (g *changingGroup) Propose(ctx context.Context, command []byte) (any, error) {
	if !g.leading {
		return nil, fault.New(fault.NotLeader, "ask the leader", "this store does not lead the shard")
	}
	result, err := g.InMemoryGroup.Propose(ctx, command)
	if g.loseAnswers && err == nil {
		return nil, fault.New(fault.OutcomeUnknown, "read the state", "leadership was lost before the command was committed")
	}
	return result, err
}

// runningAttempt is the running attempt of the item of a transferShard.
type runningAttempt struct {
	*transferShard
	group    *changingGroup
	claim    claims.Claim
	canceled bool
}

func newRunningAttempt(t *testing.T) *runningAttempt {
	t.Helper()
	shard := newTransferShard(t)
	watcher, err := site.NewWatcher(shard.store.settings, http.DefaultClient, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	shard.store.watcher, shard.store.movingJobs, shard.executor.moves = watcher, newMovingJobs(), newJobMoves()
	r := &runningAttempt{transferShard: shard, group: &changingGroup{InMemoryGroup: shard.group, term: 1, leading: true}}
	shard.executor.group, shard.executor.claims = r.group, claims.NewTable()
	claim, ok := shard.executor.claims.Acquire(claims.NewKey("job", 0), func() { r.canceled = true })
	if !ok {
		t.Fatal("the item is already claimed")
	}
	r.claim = claim
	return r
}

// changeLeadership changes the leadership of this store and runs a scheduling pass.
func (r *runningAttempt) changeLeadership(term uint64, leading, following bool) {
	r.group.term, r.group.leading, r.group.following = term, leading, following
	r.executor.schedule(r.t.Context())
}

// end ends the attempt.
func (r *runningAttempt) end(result attemptResult) {
	result.claim = r.claim
	if result.history = r.executor.history[r.claim.Key()]; result.history == nil {
		r.t.Fatal("the history of the attempt is gone")
	}
	if result.failed {
		result.history.failures++
	}
	r.executor.finish(result)
	r.executor.recordPending(r.t.Context())
}

// checkHeld checks that the attempt goes on or that its outcome waits to be recorded.
func (r *runningAttempt) checkHeld() {
	r.t.Helper()
	if r.canceled || !r.executor.claims.Current(r.claim) {
		r.t.Fatalf("canceled: %v, claim held: %v", r.canceled, r.executor.claims.Current(r.claim))
	}
}

// finishRecording waits for the end of the recording of the outcome.
func (r *runningAttempt) finishRecording() { r.executor.finish(<-r.executor.ended) }

func (r *runningAttempt) failures() (count int) {
	r.t.Helper()
	if err := r.group.Read(r.t.Context(), func() {
		for _, item := range r.machine.OpenItems(func(string, uint32) bool { return true }) {
			count = item.Failures
		}
	}); err != nil {
		r.t.Fatal(err)
	}
	return count
}

// TestFailureWhileTheLeaseIsLapsedCounts guards against a failed attempt that does not count because
// the lease of a busy leader lapses for a moment: the item would run more often than its attempts.
func TestFailureWhileTheLeaseIsLapsedCounts(t *testing.T) {
	r := newRunningAttempt(t)
	r.changeLeadership(1, false, false)
	r.checkHeld()
	r.end(attemptResult{failed: true})
	r.checkHeld()
	r.group.leading = true
	r.executor.schedule(t.Context())
	r.finishRecording()
	if count := r.failures(); count != 1 {
		t.Errorf("%d failures are recorded, want 1", count)
	}
	if r.executor.claims.Held(r.claim.Key()) {
		t.Error("the item is still claimed")
	}
}

// TestResultThatWasNotRecordedIsRecordedLater guards against a second run of an item whose result could
// not be recorded.
func TestResultThatWasNotRecordedIsRecordedLater(t *testing.T) {
	r := newRunningAttempt(t)
	r.group.leading = false
	r.end(attemptResult{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE})
	r.finishRecording()
	r.checkHeld()
	r.changeLeadership(1, false, false)
	r.checkHeld()
	r.changeLeadership(3, true, false)
	r.finishRecording()
	if err := r.group.Read(t.Context(), func() {
		if r.machine.Runnable("job", 0) {
			t.Error("the result is not recorded")
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// TestFailureWithUnknownOutcomeCountsOnce guards against an item that is given up before its last attempt,
// because the record of one failure is repeated.
func TestFailureWithUnknownOutcomeCountsOnce(t *testing.T) {
	r := newRunningAttempt(t)
	r.group.loseAnswers = true
	r.end(attemptResult{failed: true})
	r.finishRecording()
	r.checkHeld()
	r.group.loseAnswers = false
	r.executor.schedule(t.Context())
	if count := r.failures(); count != 1 {
		t.Errorf("%d failures are recorded, want 1", count)
	}
	if r.executor.claims.Held(r.claim.Key()) {
		t.Error("the item is still claimed")
	}
}

// TestAttemptsEndOnceAnotherStoreLeads: the next leader runs the items itself.
func TestAttemptsEndOnceAnotherStoreLeads(t *testing.T) {
	r := newRunningAttempt(t)
	r.changeLeadership(2, false, true)
	if !r.canceled || r.executor.claims.Held(r.claim.Key()) {
		t.Errorf("canceled: %v, claim held: %v", r.canceled, r.executor.claims.Held(r.claim.Key()))
	}
}
