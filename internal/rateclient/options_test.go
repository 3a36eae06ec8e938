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

// grantsAhead grants a request that the rate earns within 60 ms.
func grantsAhead(context.Context) (*rockwindpb.TakeRequestsResponse, error) {
	return &rockwindpb.TakeRequestsResponse{Granted: true, WaitMs: 60}, nil
}

func TestGrantAheadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: grantsAhead}
		client := newClient(owner, 1)
		began := time.Now()
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{Wait: 75 * time.Millisecond}); err != nil || time.Since(began) != 60*time.Millisecond {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		if owner.asked[0].GetWaitMs() != 75 || owner.asked[0].GetLate() {
			t.Fatalf("the owner received %v", owner.asked[0])
		}
	})
}

// TestRemainingIsDatedAtTheEndOfTheWait checks that the report to the next owner dates the remaining count at
// the end of a grant's wait, so that what the rate earns until then is not counted twice.
func TestRemainingIsDatedAtTheEndOfTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: grantsAhead}
		client := newClient(owner, 1)
		go func() { _ = client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{Wait: time.Second}) }()
		time.Sleep(30 * time.Millisecond)
		_ = client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{Wait: time.Second})
		if next := owner.asked[1]; next.GetRemaining() != 0 || next.GetRemainingAgeMs() != 0 {
			t.Fatalf("the next owner received %v", next)
		}
	})
}

// TestCancelledWaitIsRefunded: its request did not run.
func TestCancelledWaitIsRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: grantsAhead}
		client := newClient(owner, 1)
		leaving, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer leave()
		err := client.Take(leaving, tenant(), 1, timeout, rateclient.Options{Wait: time.Second})
		if failure := fault.From(err); failure == nil || failure.Ran != fault.NotRun {
			t.Fatalf("Take failed with %v", err)
		}
		_ = client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{})
		if owner.asked[1].GetReturned() != 1 {
			t.Fatalf("the owner received %v", owner.asked[1])
		}
	})
}

// TestLateRefusalDoesNotApplyToTimelyRequests: the owner reserves room for timely requests.
func TestLateRefusalDoesNotApplyToTimelyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: refuses}
		client := newClient(owner, 1)
		late := rateclient.Options{Late: true}
		for range 3 {
			if client.Take(t.Context(), tenant(), 1, timeout, late) == nil {
				t.Fatal("granted")
			}
		}
		owner.answer = grants
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil || len(owner.asked) != 2 {
			t.Fatalf("%v after %d requests to the owner", err, len(owner.asked))
		}
		owner.answer = refuses
		_ = client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{})
		time.Sleep(90 * time.Millisecond)
		if client.Take(t.Context(), tenant(), 1, timeout, late) == nil || len(owner.asked) != 3 {
			t.Fatalf("the owner was asked for a late request although a timely one was refused: %d requests to the owner", len(owner.asked))
		}
	})
}

// TestRefusalDoesNotApplyToLongerWaits: one that can wait longer might be granted.
func TestRefusalDoesNotApplyToLongerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: refuses}
		client := newClient(owner, 1)
		for _, each := range []struct {
			wait  time.Duration
			asked int
		}{{20 * time.Millisecond, 1}, {20 * time.Millisecond, 1}, {0, 1}, {60 * time.Millisecond, 2}, {40 * time.Millisecond, 2}} {
			if client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{Wait: each.wait}) == nil || len(owner.asked) != each.asked {
				t.Fatalf("with a wait of %v the owner is asked %d times, not %d", each.wait, len(owner.asked), each.asked)
			}
		}
	})
}
