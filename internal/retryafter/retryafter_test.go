package retryafter_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/retryafter"
)

var now = time.Unix(1_000_000, 0)

// TestFirstAttemptFromRemainingTime checks the first attempt derived from a retry.
func TestFirstAttemptFromRemainingTime(t *testing.T) {
	const timeout = 5 * time.Second
	for remaining, since := range map[time.Duration]time.Duration{
		0: 0, timeout: 0, 2 * timeout: 0, 4990 * time.Millisecond: 0,
		4 * time.Second: time.Second, 500 * time.Millisecond: 4500 * time.Millisecond,
	} {
		if first := retryafter.FirstAttempt(now, timeout, remaining); now.Sub(first) != since {
			t.Errorf("with %v of %v remaining the first attempt was %v ago, want %v", remaining, timeout, now.Sub(first), since)
		}
	}
}

func TestEstimateWait(t *testing.T) {
	if after := retryafter.NewRate(20, 100*time.Millisecond).EstimateWait(39); after != 200*time.Millisecond {
		t.Fatalf("the wait behind 39 others is %v", after)
	}
	if after := retryafter.NewRate(0, time.Second).EstimateWait(1000); after != 0 {
		t.Fatalf("without known slots the wait is %v", after)
	}
}

// TestPendingRetriesExpire checks that pending retries expire and are bounded.
func TestPendingRetriesExpire(t *testing.T) {
	var retries retryafter.PendingRetries
	for i := range 10 {
		retries.Add(now.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if open := retries.Count(now.Add(450 * time.Millisecond)); open != 5 {
		t.Fatalf("%d retries are pending", open)
	}
	for range 10_000 {
		retries.Add(now.Add(time.Hour))
	}
	if open := retries.Count(now); open != 256 {
		t.Fatalf("%d retries are tracked", open)
	}
}

// TestRetriesStayWithinCapacity: with 300 requests a second for a capacity of 200, refused
// clients that retry as advised must not exceed the capacity in any tenth of a second.
func TestRetriesStayWithinCapacity(t *testing.T) {
	rate := retryafter.NewRate(20, 100*time.Millisecond)
	var retries retryafter.PendingRetries
	arrivals := make(map[int]int)
	for i := range 100 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		wait := rate.EstimateWait(60 + retries.Count(at))
		retries.Add(at.Add(wait))
		arrivals[int(at.Add(wait).Sub(now)/(100*time.Millisecond))]++
	}
	for slot, count := range arrivals {
		if count > 21 {
			t.Errorf("%d retries in the tenth of a second %d, which has 20 slots", count, slot)
		}
	}
}
