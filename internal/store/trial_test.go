package store

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Guards against a trial that makes an item late: it is started in the last moment at which the item may be
// a trial, fails after the longest time, and the item then takes its expected run time.
func TestTrialLeavesTimeForTheItem(t *testing.T) {
	submitted := time.UnixMilli(1_000_000)
	due := submitted.Add(18 * time.Second)
	const remaining = 6 * time.Second
	entry := backlog.NewItem(submitted, due, remaining)
	last := time.Duration(-1)
	for elapsed := time.Duration(0); elapsed <= 18*time.Second; elapsed += 10 * time.Millisecond {
		now := submitted.Add(elapsed)
		if !leavesTimeForTrial(due, entry, true, now) {
			continue
		}
		last = elapsed
		if end := now.Add(connectTimeout + firstByteTimeout + idleTimeout + failureDelay + scheduleInterval + remaining); end.After(due) {
			t.Fatalf("a trial after %v makes the item late by %v", elapsed, end.Sub(due))
		}
	}
	if last < 6*time.Second {
		t.Errorf("the last trial is %v after the submission, want at least 6s", last)
	}
	if !leavesTimeForTrial(due, entry, true, due.Add(time.Millisecond)) {
		t.Error("an overdue item may not be a trial")
	}
	if leavesTimeForTrial(due, backlog.NewItem(submitted, due, 0), false, submitted) {
		t.Error("an item with an unknown run time may be a trial")
	}
	if !leavesTimeForTrial(time.Time{}, backlog.NewItem(submitted, time.Time{}, 0), false, submitted) {
		t.Error("an item that is never due may not be a trial")
	}
}

// Guards against trials with items that may run only once, also after earlier failures, and against an item
// that is sent to one failed server after the other.
func TestItemIsATrialOnlyWithAttemptsLeftAndOnce(t *testing.T) {
	for name, each := range map[string]struct {
		attempts uint32
		recorded int
		history  *history
		want     bool
	}{
		"attempts not set":                {0, 0, nil, false},
		"a single attempt":                {1, 0, nil, false},
		"two attempts":                    {2, 0, nil, true},
		"the last of two, recorded":       {2, 1, nil, false},
		"the last of two, not recorded":   {2, 0, &history{failures: 1}, false},
		"the second of three":             {3, 1, &history{failures: 1}, true},
		"an item that has been a trial":   {3, 0, &history{tried: true}, false},
		"an item that has been elsewhere": {3, 0, &history{}, true},
	} {
		if got := attemptsLeftForTrial(&rockwindpb.Route{Attempts: each.attempts}, jobstore.OpenItem{Failures: each.recorded}, each.history); got != each.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against a scheduling pass that ends at an item that must not be a trial, so that the servers that are
// due for one stay unused while all others are full, and against a search for each further item.
func TestRefusedItemBlocksOnlyItemsWithoutMoreServers(t *testing.T) {
	shares := newTenantShares()
	others, tries := serverGroup{service: "app"}, serverGroup{service: "app", mayTry: true}
	shares.recordRefusal(others, 2)
	for reserved, want := range map[int]bool{1: false, 2: true, 3: true} {
		if shares.refuses(others, reserved) != want {
			t.Errorf("an item with %d reserved slots: refused %v, want %v", reserved, !want, want)
		}
		if shares.refuses(tries, reserved) {
			t.Errorf("an item with %d reserved slots that may be a trial is refused with those that may not", reserved)
		}
	}
	shares.recordRefusal(tries, 0)
	if !shares.refuses(others, 0) || !shares.refuses(tries, 0) {
		t.Error("items are not refused after one that had more servers and no larger reservation")
	}
	if shares.refuses(serverGroup{service: "other"}, 5) {
		t.Error("an item of another service is refused")
	}
}
