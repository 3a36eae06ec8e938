package router

import (
	"testing"
	"time"
)

// TestArrivalRateAfterAStart guards against an estimate that is far too low until a second has passed:
// requests that came in before the start count from their first attempt.
func TestArrivalRateAfterAStart(t *testing.T) {
	var rate arrivalRate
	start := time.UnixMilli(1_000_000)
	if got := rate.perSecond(start); got != 0 {
		t.Fatalf("%.1f a second before the first arrival", got)
	}
	for age := time.Duration(0); age < 250*time.Millisecond; age += 10 * time.Millisecond {
		rate.add(start.Add(-age), start)
	}
	if got := rate.perSecond(start); got < 75 || got > 125 {
		t.Errorf("%.1f a second from arrivals of the last 0.25 s, want about 100", got)
	}
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		rate.add(now, now)
	}
	if got := rate.perSecond(now); got < 90 || got > 110 {
		t.Errorf("%.1f a second, want about 100", got)
	}
	if got := rate.perSecond(now.Add(5 * time.Second)); got != 0 {
		t.Errorf("%.1f a second 5 s after the last arrival", got)
	}
	rate.add(now, now.Add(5*time.Second))
	if got := rate.perSecond(now.Add(5 * time.Second)); got != 0 {
		t.Errorf("%.1f a second from an arrival 5 s ago", got)
	}
}
