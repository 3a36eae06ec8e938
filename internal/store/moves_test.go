package store

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/upstream"
)

// levelAnswers are the feature levels that stores answer, by address. Stores that are missing do not answer.
type levelAnswers struct {
	mutex  sync.Mutex
	levels map[string]uint32
}

func (a *levelAnswers) FeatureLevel(_ context.Context, address string) (uint32, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	level, known := a.levels[address]
	return level, known
}

func (a *levelAnswers) set(address string, level uint32) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.levels[address] = level
}

// Guards against moves while a store that does not know their commands is in the directory, also if it came later,
// has not answered or is down, and against moves that stop whenever a store restarts.
func TestMovesNeedTheLevelOfAllStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := &levelAnswers{levels: map[string]uint32{"a": featurelevel.JobMoves}}
		stores := []*rockwindpb.Machine{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}
		gate := newMoveGate(answers, func() []*rockwindpb.Machine { return stores })
		members := &rockwindpb.Membership{Members: []*rockwindpb.Member{{Machine: "a"}, {Machine: "witness", Witness: true}}}
		check := func(what string, want bool) {
			t.Helper()
			time.Sleep(levelInterval)
			gate.open(time.Now(), members)
			synctest.Wait()
			if got := gate.open(time.Now(), members); got != want {
				t.Errorf("%s: open is %v", what, got)
			}
			synctest.Wait()
		}
		if gate.open(time.Now(), members) {
			t.Error("open before any store has answered")
		}
		check("a store that does not answer", false)
		answers.set("b", featurelevel.JobMoves-1)
		check("an older store", false)
		answers.set("b", featurelevel.JobMoves)
		check("all stores", true)
		stores = append(stores, &rockwindpb.Machine{Name: "c", Address: "c"})
		if gate.open(time.Now(), members) {
			t.Error("open with a new store that has not been asked")
		}
		answers.set("c", featurelevel.Current)
		check("the new store", true)
		members.Members = append(members.Members, &rockwindpb.Member{Machine: "d"})
		check("a member that the directory does not list", false)
		members.Members = members.Members[:2]
		check("without it", true)
		answers.forget("c")
		check("a store of the level that does not answer any more", true)
		answers.set("b", 0)
		check("a store that went back", false)
	})
}

func (a *levelAnswers) forget(address string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.levels, address)
}

func moveExecutor() *executor {
	return &executor{
		store: &Store{}, claims: claims.NewTable(), history: make(map[claims.Key]*history), active: make(map[claims.Key]*activeAttempt), moves: newJobMoves(),
	}
}

// Guards against a copy of a job while one of its items runs or before what it has received is recorded, and against
// a move that waits forever for progress that is not accepted.
func TestMoveWaitsForRunningItemsAndProgress(t *testing.T) {
	e, state, now := moveExecutor(), &jobMove{}, time.UnixMilli(1_000_000)
	key := claims.NewKey("job", 1)
	received := output.New(&e.runs, jobstore.PartialOutput{})
	e.history[key] = &history{output: received}
	e.history[claims.NewKey("another", 1)] = &history{output: output.New(&e.runs, jobstore.PartialOutput{})}
	claim, _ := e.claims.Acquire(key, func() {})
	other, _ := e.claims.Acquire(claims.NewKey("another", 1), func() {})
	if e.quiet("job", state, now) {
		t.Error("quiet while an item runs")
	}
	received.NewWriter(0).Add([]upstream.Event{{Sequence: 1, HasSequence: true, Data: []byte("x"), HasData: true}})
	e.claims.Release(claim)
	if e.quiet("job", state, now) {
		t.Error("quiet before its progress is recorded")
	}
	part, _ := received.Unrecorded()
	part.MarkRecorded()
	if !e.quiet("job", state, now) {
		t.Error("not quiet although only another job runs")
	}
	part.MarkLost()
	if e.quiet("job", state, now.Add(progressWait-1)) || !e.quiet("job", state, now.Add(progressWait)) {
		t.Error("the wait for progress does not end in time")
	}
	e.claims.Release(other)
}

// Guards against an item that gets one more attempt at the target because a failed one could not be recorded.
func TestUnrecordedFailuresAreRecordedBeforeTheCopy(t *testing.T) {
	e := moveExecutor()
	e.history[claims.NewKey("job", 0)] = &history{failures: 3}
	e.history[claims.NewKey("job", 1)] = &history{failures: 1}
	e.history[claims.NewKey("job", 2)] = &history{failures: 1}
	e.history[claims.NewKey("another", 0)] = &history{failures: 1}
	missing := e.unrecordedFailures(&rockwindpb.StoredJob{
		Id: "job", Failures: []*rockwindpb.ItemFailures{{Item: 0, Count: 1}, {Item: 1, Count: 1}}, Results: []*rockwindpb.StoredResult{{Item: 2}},
	})
	if len(missing) != 2 || missing[0].GetItem() != 0 || missing[1].GetItem() != 0 || missing[0].GetJob() != "job" {
		t.Errorf("failures to record: %v", missing)
	}
}

// Guards against jobs that stop their items again and again for a target that does not answer.
func TestMovesToARegionPauseAfterAFailedCopy(t *testing.T) {
	e, now := moveExecutor(), time.UnixMilli(1_000_000)
	for _, want := range []time.Duration{firstBackoff, 2 * firstBackoff, 4 * firstBackoff, 8 * firstBackoff, maxBackoff, maxBackoff} {
		e.moveEnded(moveEnded{id: "job", action: jobstore.MoveCopy, target: "south", err: copyError{context.DeadlineExceeded}}, now)
		if !e.moves.of("job").copyFailed {
			t.Fatal("the move is not aborted")
		}
		if key := targetKey("south"); e.moves.mayTry(key, now.Add(want-1)) || !e.moves.mayTry(key, now.Add(want)) {
			t.Errorf("the pause is %v, want %v", e.moves.blocked[key].duration, want)
		}
		if !e.moves.mayTry(targetKey("north"), now) {
			t.Error("moves to another region pause")
		}
	}
	e.moveEnded(moveEnded{id: "job", action: jobstore.MoveCopy, target: "south"}, now)
	if !e.moves.mayTry(targetKey("south"), now) {
		t.Error("a success does not end the pause")
	}
}
