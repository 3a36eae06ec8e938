package returning_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/returning"
)

// TestWhoComesBackIsToldByUnusualDeadlines plays a route whose clients wait 5 s or 2 s in all
// while two thirds of the tries are of clients that come back, as in a flood.
func TestWhoComesBackIsToldByUnusualDeadlines(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var deadlines returning.TimeoutEstimator
	for range 600 {
		deadlines.Observe(5 * time.Second)
		if random.IntN(4) == 0 {
			deadlines.Observe(2 * time.Second)
		}
		for range 2 {
			deadlines.Observe(5*time.Second - time.Duration(400+random.IntN(1300))*time.Millisecond)
		}
	}
	for left, whole := range map[time.Duration]time.Duration{
		5 * time.Second:         5 * time.Second,
		4321 * time.Millisecond: 5 * time.Second,
		2 * time.Second:         2 * time.Second,
		1500 * time.Millisecond: 2 * time.Second,
		6 * time.Second:         6 * time.Second,
	} {
		if got := deadlines.Estimate(left); got != whole {
			t.Errorf("one with %v left waits %v in all, want %v", left, got, whole)
		}
	}
}

// TestNobodyHasComeBackWhereNothingIsKnown: a router that has just started takes all for new.
func TestNobodyHasComeBackWhereNothingIsKnown(t *testing.T) {
	var deadlines returning.TimeoutEstimator
	for range 3 {
		deadlines.Observe(5 * time.Second)
	}
	if got := deadlines.Estimate(4 * time.Second); got != 4*time.Second {
		t.Fatalf("after three tries one with 4 s left is taken to wait %v", got)
	}
}

// TestDeadlineThatNobodyUsesIsForgotten: all clients of a route wait for less than before.
func TestDeadlineThatNobodyUsesIsForgotten(t *testing.T) {
	var deadlines returning.TimeoutEstimator
	for range 1000 {
		deadlines.Observe(8 * time.Second)
	}
	for range 600 {
		deadlines.Observe(3 * time.Second)
	}
	if got := deadlines.Estimate(5 * time.Second); got != 5*time.Second {
		t.Fatalf("one with 5 s left is taken to wait %v in all", got)
	}
	if got := deadlines.Estimate(2 * time.Second); got != 3*time.Second {
		t.Fatalf("one with 2 s left is taken to wait %v in all", got)
	}
}
