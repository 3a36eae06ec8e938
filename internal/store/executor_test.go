package store

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestItemIsKeptWhileConfigurationIsUnknown: a store that has just restarted has no
// configuration yet and must not give up items for lack of a route.
func TestItemIsKeptWhileConfigurationIsUnknown(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: start.Add(-time.Minute).UnixMilli()}
	h := &history{}
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		h.updateRoute(routeUnknown, start.Add(elapsed))
		if reason := giveUpReason(item, nil, h, start.Add(elapsed)); reason != "" {
			t.Fatalf("given up after %v: %s", elapsed, reason)
		}
	}
}

func TestItemIsGivenUpAfterRouteIsAbsent(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: start.UnixMilli()}
	h := &history{}
	h.updateRoute(routeAbsent, start)
	if reason := giveUpReason(item, nil, h, start.Add(routeGoneAfter)); reason != "" {
		t.Fatalf("given up too early: %s", reason)
	}
	if reason := giveUpReason(item, nil, h, start.Add(routeGoneAfter+time.Millisecond)); reason == "" {
		t.Fatal("kept although its route is absent")
	}
	h.updateRoute(routeFound, start.Add(routeGoneAfter))
	if reason := giveUpReason(item, &rockwindpb.Route{Attempts: 1}, h, start.Add(time.Minute)); reason != "" {
		t.Fatalf("given up although the route exists again: %s", reason)
	}
}

func TestItemIsGivenUpAfterAttemptsOrTimeLimit(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: start.UnixMilli()}
	route := &rockwindpb.Route{Attempts: 3, MaximumWaitMs: 60_000}
	for failures, wanted := range map[int]bool{0: false, 2: false, 3: true} {
		if reason := giveUpReason(item, route, &history{failures: failures}, start); (reason != "") != wanted {
			t.Errorf("%d failures: %q", failures, reason)
		}
	}
	if reason := giveUpReason(item, route, &history{}, start.Add(time.Minute)); reason != "" {
		t.Errorf("given up at the time limit: %q", reason)
	}
	if reason := giveUpReason(item, route, &history{}, start.Add(time.Minute+time.Millisecond)); reason == "" {
		t.Error("kept past the time limit")
	}
}

// TestNewLeaderUsesRecordedFailureCount: a new leader has no history of the item's attempts.
func TestNewLeaderUsesRecordedFailureCount(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	item := jobstore.OpenItem{SubmittedUnixMs: now.UnixMilli(), Failures: 2}
	h := &history{}
	h.mergeFailures(item)
	if reason := giveUpReason(item, &rockwindpb.Route{Attempts: 2}, h, now); reason == "" {
		t.Fatal("an item without remaining attempts would run again")
	}
	h.failures = 3
	h.mergeFailures(item)
	if h.failures != 3 {
		t.Fatalf("%d failures, want 3: an unrecorded failure must count", h.failures)
	}
}

// TestItemOfAnEarlierVersionThatIsNotOneRequestIsGivenUp guards against stored items that send servers a second request: an
// earlier version took them.
func TestItemOfAnEarlierVersionThatIsNotOneRequestIsGivenUp(t *testing.T) {
	e := &executor{store: &Store{}}
	route, now := &rockwindpb.Route{Attempts: 1}, time.UnixMilli(1_000_000)
	for path, wanted := range map[string]bool{"/1": false, "/1 HTTP/1.1\r\n\r\nPOST /2": true} {
		item := jobstore.OpenItem{Item: &rockwindpb.StoredItem{Id: "i", Path: path}, SubmittedUnixMs: now.UnixMilli()}
		if reason := giveUpReason(item, route, e.newHistory(item), now); (reason != "") != wanted {
			t.Errorf("path %q: the reason is %q", path, reason)
		}
	}
}

// TestItemIsSentWithoutHeadersOfItsConnection guards against servers that run an item with another body, or for another host.
func TestItemIsSentWithoutHeadersOfItsConnection(t *testing.T) {
	item := jobstore.OpenItem{Item: &rockwindpb.StoredItem{Headers: []*rockwindpb.StoredHeader{
		{Name: "transfer-encoding", Value: "chunked"}, {Name: "Content-Length", Value: "0"}, {Name: "host", Value: "another"}, {Name: "model", Value: "m"},
	}}}
	if header := itemHeader(item); len(header) != 1 || header.Get("Model") != "m" {
		t.Errorf("the headers are %v", header)
	}
}
