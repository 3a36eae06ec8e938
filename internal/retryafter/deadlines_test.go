package retryafter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/retryafter"
)

// TestWhoComesBackIsToldByUnusualDeadlines uses a route whose clients have timeouts of 5 s or 2 s and
// two thirds of whose attempts are retries, as under heavy overload.
func TestWhoComesBackIsToldByUnusualDeadlines(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var timeouts retryafter.TimeoutEstimator
	for range 600 {
		timeouts.Observe(5 * time.Second)
		if random.IntN(4) == 0 {
			timeouts.Observe(2 * time.Second)
		}
		for range 2 {
			timeouts.Observe(5*time.Second - time.Duration(400+random.IntN(1300))*time.Millisecond)
		}
	}
	for remaining, timeout := range map[time.Duration]time.Duration{
		5 * time.Second:         5 * time.Second,
		4321 * time.Millisecond: 5 * time.Second,
		2 * time.Second:         2 * time.Second,
		1500 * time.Millisecond: 2 * time.Second,
		6 * time.Second:         6 * time.Second,
	} {
		if got := timeouts.Estimate(remaining); got != timeout {
			t.Errorf("with %v remaining the timeout is %v, want %v", remaining, got, timeout)
		}
	}
}

// TestEstimateWithFewAttempts: a router that has just started sees first attempts only.
func TestEstimateWithFewAttempts(t *testing.T) {
	var timeouts retryafter.TimeoutEstimator
	for range 3 {
		timeouts.Observe(5 * time.Second)
	}
	if got := timeouts.Estimate(4 * time.Second); got != 4*time.Second {
		t.Fatalf("after three attempts with 4 s remaining the timeout is %v", got)
	}
}

// TestUnusedTimeoutIsForgotten: all clients of a route switch to a shorter timeout.
func TestUnusedTimeoutIsForgotten(t *testing.T) {
	var timeouts retryafter.TimeoutEstimator
	for range 1000 {
		timeouts.Observe(8 * time.Second)
	}
	for range 600 {
		timeouts.Observe(3 * time.Second)
	}
	if got := timeouts.Estimate(5 * time.Second); got != 5*time.Second {
		t.Fatalf("with 5 s remaining the timeout is %v", got)
	}
	if got := timeouts.Estimate(2 * time.Second); got != 3*time.Second {
		t.Fatalf("with 2 s remaining the timeout is %v", got)
	}
}
