package backlog_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
)

var start = time.UnixMilli(1_000_000)

// at returns an item that was submitted and is due at the given seconds after the start.
func at(submitted, due, remaining float64) backlog.Item {
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	return backlog.NewItem(second(submitted), second(due), time.Duration(remaining*float64(time.Second)))
}

func same(i backlog.Item) backlog.Item { return i }

// TestLateItemsDoNotMakeOthersLate guards against an old item that is late in any case being
// started first, so that the items behind it become late, too.
func TestLateItemsDoNotMakeOthersLate(t *testing.T) {
	late, soon, later := at(0, 10, 5), at(1, 16, 5), at(2, 18, 5)
	ordered := backlog.Order([]backlog.Item{late, later, soon}, start.Add(8*time.Second), same)
	if !slices.Equal(ordered, []backlog.Item{soon, later, late}) {
		t.Fatalf("the order is %v", ordered)
	}
}

// TestLateItemsDoNotStarve checks that late items are started although there are always others that
// can be on time.
func TestLateItemsDoNotStarve(t *testing.T) {
	waiting := []backlog.Item{at(-100, -50, 5), at(-90, -40, 5)}
	for i := range 40 {
		waiting = append(waiting, at(float64(i), 1000, 5))
	}
	ordered := backlog.Order(waiting, start, same)
	if first, second := slices.Index(ordered, waiting[0]), slices.Index(ordered, waiting[1]); first > 10 || second > 20 {
		t.Fatalf("late items are at positions %d and %d, want at most 10 and 20", first, second)
	}
}

func TestItemsWithoutDueTimeComeLast(t *testing.T) {
	never, due := backlog.NewItem(start.Add(-time.Hour), time.Time{}, time.Second), at(0, 20, 5)
	ordered := backlog.Order([]backlog.Item{never, due}, start, same)
	if ordered[0] != due || !never.OnTime(start.Add(time.Hour)) {
		t.Fatalf("the order is %v", ordered)
	}
}

func TestLateThenYoungestItemsArePreemptedFirst(t *testing.T) {
	late, old, young := at(0, 5, 5), at(1, 20, 5), at(2, 20, 5)
	running := []backlog.Item{old, late, young}
	backlog.SortForPreemption(running, start.Add(3*time.Second), same)
	if !slices.Equal(running, []backlog.Item{late, young, old}) {
		t.Fatalf("the order is %v", running)
	}
}

func TestRunTimeIsEstimatedFromRuns(t *testing.T) {
	var estimator backlog.RunTimeEstimator
	if estimator.Remaining(0) != 0 {
		t.Fatalf("%v remain before any run", estimator.Remaining(0))
	}
	for range 100 {
		estimator.RecordRun(270, 270, 5*time.Second)
		// A run that was resumed after 135 events.
		estimator.RecordRun(135, 270, 2500*time.Millisecond)
	}
	if whole := estimator.Remaining(0); whole < 5*time.Second || whole > 8*time.Second {
		t.Fatalf("a whole run is expected to take %v", whole)
	}
	if half := estimator.Remaining(135); half < 2500*time.Millisecond || half > 4*time.Second {
		t.Fatalf("half a run is expected to take %v", half)
	}
	if rest := estimator.Remaining(400); rest <= 0 {
		t.Fatalf("%v remain of an item longer than most", rest)
	}
}

// TestMeanRunTimeIsKnownAfterSomeRuns: jobs are refused by it, so one slow run must not stand for all.
func TestMeanRunTimeIsKnownAfterSomeRuns(t *testing.T) {
	var estimator backlog.RunTimeEstimator
	for range 19 {
		estimator.RecordRun(100, 100, 5*time.Second)
		if mean, known := estimator.MeanRemaining(0); known {
			t.Fatalf("known too early: %v", mean)
		}
	}
	estimator.RecordRun(0, 100, time.Second)
	if _, known := estimator.MeanRemaining(0); known {
		t.Error("a run without events counts")
	}
	estimator.RecordRun(100, 100, 5*time.Second)
	for produced, want := range map[int]time.Duration{0: 5 * time.Second, 50: 2500 * time.Millisecond, 100: 0, 200: 0} {
		mean, known := estimator.MeanRemaining(produced)
		if !known || (mean-want).Abs() > time.Millisecond {
			t.Errorf("%v remain after %d events, want %v", mean, produced, want)
		}
	}
}
