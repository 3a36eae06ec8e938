package store

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestItemIsKeptWhileItsRouteIsNotKnown: a store that has just restarted knows no
// configuration yet. An old item must not be taken for one whose route is gone.
func TestItemIsKeptWhileItsRouteIsNotKnown(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: start.Add(-time.Minute).UnixMilli()}
	known := &history{}
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		known.noteRoute(routeUnknown, start.Add(elapsed))
		if reason := giveUpReason(item, nil, known, start.Add(elapsed)); reason != "" {
			t.Fatalf("given up after %v: %s", elapsed, reason)
		}
	}
}

func TestItemIsGivenUpOnceItsRouteIsAbsentForLong(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: start.UnixMilli()}
	known := &history{}
	known.noteRoute(routeAbsent, start)
	if reason := giveUpReason(item, nil, known, start.Add(routeGoneAfter)); reason != "" {
		t.Fatalf("given up too early: %s", reason)
	}
	if reason := giveUpReason(item, nil, known, start.Add(routeGoneAfter+time.Millisecond)); reason == "" {
		t.Fatal("kept although its route is gone")
	}
	known.noteRoute(routeFound, start.Add(routeGoneAfter))
	if reason := giveUpReason(item, &rockwindpb.Route{Attempts: 1}, known, start.Add(time.Minute)); reason != "" {
		t.Fatalf("given up although the route is back: %s", reason)
	}
}

func TestItemIsGivenUpAfterItsAttemptsAndItsTime(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: start.UnixMilli()}
	route := &rockwindpb.Route{Attempts: 3, MaximumWaitMs: 60_000}
	for failures, wanted := range map[int]bool{0: false, 2: false, 3: true} {
		if reason := giveUpReason(item, route, &history{failures: failures}, start); (reason != "") != wanted {
			t.Errorf("%d failures: %q", failures, reason)
		}
	}
	if reason := giveUpReason(item, route, &history{}, start.Add(time.Minute)); reason != "" {
		t.Errorf("given up at its limit: %q", reason)
	}
	if reason := giveUpReason(item, route, &history{}, start.Add(time.Minute+time.Millisecond)); reason == "" {
		t.Error("kept past its limit")
	}
}

// TestLeaderGoesOnFromTheFailuresThatTheShardHolds: one that leads anew knows no tries.
func TestLeaderGoesOnFromTheFailuresThatTheShardHolds(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: now.UnixMilli(), Failures: 2}
	known := &history{}
	known.noteFailures(item)
	if reason := giveUpReason(item, &rockwindpb.Route{Attempts: 2}, known, now); reason == "" {
		t.Fatal("an item that has used up its attempts would run again")
	}
	known.failures = 3
	known.noteFailures(item)
	if known.failures != 3 {
		t.Fatalf("%d failures after one that the shard does not hold yet", known.failures)
	}
}
