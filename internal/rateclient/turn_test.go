package rateclient_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rateclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ahead grants a request that the rate earns within 60 ms.
func ahead(context.Context) (*rockwindpb.TakeRequestsResponse, error) {
	return &rockwindpb.TakeRequestsResponse{Granted: true, WaitMs: 60}, nil
}

func TestGrantAheadGoesOnWhenItsTurnComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: ahead}
		client := newClient(owner, 1)
		began := time.Now()
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{Wait: 75 * time.Millisecond}); err != nil || time.Since(began) != 60*time.Millisecond {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		if owner.asked[0].GetWaitMs() != 75 || owner.asked[0].GetLate() {
			t.Fatalf("the owner was asked %v", owner.asked[0])
		}
	})
}

// TestWhatIsOwedDiesWithNoOwner: the next owner is told that nothing was left when the turn
// comes, not that the rate has earned anything since the grant.
func TestWhatIsOwedDiesWithNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: ahead}
		client := newClient(owner, 1)
		go func() { _ = client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{Wait: time.Second}) }()
		time.Sleep(30 * time.Millisecond)
		_ = client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{Wait: time.Second})
		if next := owner.asked[1]; next.GetRemaining() != 0 || next.GetRemainingAgeMs() != 0 {
			t.Fatalf("the next owner is told %v", next)
		}
	})
}

// TestClientThatLeavesBeforeItsTurnGivesBack: its request did not run.
func TestClientThatLeavesBeforeItsTurnGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: ahead}
		client := newClient(owner, 1)
		leaving, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer leave()
		err := client.Take(leaving, tenant(), 1, patience, rateclient.Options{Wait: time.Second})
		if failure := fault.From(err); failure == nil || failure.Ran != fault.NotRun {
			t.Fatalf("it ends with %v", err)
		}
		_ = client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{})
		if owner.asked[1].GetReturned() != 1 {
			t.Fatalf("the owner is told %v", owner.asked[1])
		}
	})
}

// TestRefusalOfALateRequestDoesNotHoldForOthers: the owner keeps room for those that can be
// in time.
func TestRefusalOfALateRequestDoesNotHoldForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: refuses}
		client := newClient(owner, 1)
		late := rateclient.Options{Late: true}
		for range 3 {
			if client.Take(t.Context(), tenant(), 1, patience, late) == nil {
				t.Fatal("granted")
			}
		}
		owner.answer = grants
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil || len(owner.asked) != 2 {
			t.Fatalf("%v after %d questions", err, len(owner.asked))
		}
		owner.answer = refuses
		_ = client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{})
		time.Sleep(90 * time.Millisecond)
		if client.Take(t.Context(), tenant(), 1, patience, late) == nil || len(owner.asked) != 3 {
			t.Fatalf("a late one is asked for although one in time was refused: %d questions", len(owner.asked))
		}
	})
}

// TestRefusalHoldsForThoseThatCanWaitNoLonger: the owner might grant one that can wait longer.
func TestRefusalHoldsForThoseThatCanWaitNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: refuses}
		client := newClient(owner, 1)
		for _, each := range []struct {
			wait  time.Duration
			asked int
		}{{20 * time.Millisecond, 1}, {20 * time.Millisecond, 1}, {0, 1}, {60 * time.Millisecond, 2}, {40 * time.Millisecond, 2}} {
			if client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{Wait: each.wait}) == nil || len(owner.asked) != each.asked {
				t.Fatalf("with a wait of %v the owner is asked %d times, not %d", each.wait, len(owner.asked), each.asked)
			}
		}
	})
}
