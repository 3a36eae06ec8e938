package pace_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// eventTime is how long an event takes at a usual server in these tests.
const eventTime = 30 * time.Millisecond

// learned returns estimates of so many servers that have seen usual runs at all but the first.
func learned(servers int) *pace.Estimates {
	estimates := pace.New()
	estimates.Resize(servers)
	for range 40 {
		for place := 1; place < servers; place++ {
			estimates.RecordRun(place, balance.RunSample{EventInterval: eventTime, Concurrency: 4, ReportedPace: 1}, 0)
		}
	}
	return estimates
}

func near(got, want float64) bool { return got > 0.85*want && got < 1.15*want }

func TestNothingIsKnownOfServersThatTellNothing(t *testing.T) {
	estimates := learned(4)
	estimates.RecordReport(1, 0, 0)
	if estimates.HasReports(0) {
		t.Error("the paces count although no server told one")
	}
	if got := estimates.CurrentPace(0, balance.SharedPace{}, 0); got != 1 {
		t.Errorf("a server of which nothing is known has pace %v", got)
	}
}

// TestMomentPasses: what a server told a second ago says nothing of now.
func TestMomentPasses(t *testing.T) {
	estimates := learned(4)
	estimates.RecordReport(2, 2.5, 0)
	if got := estimates.CurrentPace(2, balance.SharedPace{}, 50*time.Millisecond); got < 1.8 {
		t.Errorf("a server that says that it is busy has pace %v", got)
	}
	if got := estimates.CurrentPace(2, balance.SharedPace{}, time.Second); !near(got, 1) {
		t.Errorf("a second later it has pace %v", got)
	}
	if !estimates.HasReports(time.Second) || estimates.HasReports(time.Hour) {
		t.Error("what servers tell counts for some seconds")
	}
}

// TestToldPaceDoesNotCountTwice: runs that take as much longer as the server said show
// nothing of its own speed.
func TestToldPaceDoesNotCountTwice(t *testing.T) {
	estimates := learned(4)
	for range 20 {
		estimates.RecordRun(0, balance.RunSample{EventInterval: 5 * eventTime / 2, Concurrency: 4, ReportedPace: 2.5}, 0)
	}
	if got := estimates.LongTermPace(0, balance.SharedPace{}, 0); !near(got, 1) {
		t.Errorf("its own speed is taken for %v", got)
	}
}

// TestServerThatSaysThatItIsFastAndIsNot shows by the runs of all processes, and counts as
// slow for some time after the last of them.
func TestServerThatSaysThatItIsFastAndIsNot(t *testing.T) {
	estimates := learned(4)
	estimates.RecordReport(0, 1, 0)
	others := balance.SharedPace{ReportedSum: 400, ReportedCount: 4, ObservedSum: 8 * 100 * 12, ObservedCount: 12}
	if got := estimates.CurrentPace(0, others, 0); got < 5 {
		t.Fatalf("a server that is eight times slower has pace %v", got)
	}
	estimates.Remember(0, others, 0)
	if got := estimates.LongTermPace(0, balance.SharedPace{}, 10*time.Second); got < 5 {
		t.Errorf("it counts as %v once nothing more is heard", got)
	}
	for second := range 60 {
		estimates.Remember(0, balance.SharedPace{}, time.Duration(10+second)*time.Second)
	}
	if got := estimates.LongTermPace(0, balance.SharedPace{}, 80*time.Second); got > 1.3 {
		t.Errorf("a minute later it still counts as %v", got)
	}
	estimates.Forget(0)
	if got := estimates.CurrentPace(0, balance.SharedPace{}, 80*time.Second); got != 1 {
		t.Errorf("a new server in its place has pace %v", got)
	}
}

// TestEventsAreComparedBesideEquals: events come slower where more requests run, which says
// nothing of the server.
func TestEventsAreComparedBesideEquals(t *testing.T) {
	estimates := pace.New()
	estimates.Resize(2)
	event := func(beside int) time.Duration { return time.Duration(10+3*beside) * time.Millisecond }
	for i := range 400 {
		beside := 1 + i%8
		estimates.RecordRun(i%2, balance.RunSample{EventInterval: event(beside), Concurrency: beside, ReportedPace: 1}, 0)
	}
	for place := range 2 {
		estimates.Forget(place)
	}
	for range 40 {
		estimates.RecordRun(0, balance.RunSample{EventInterval: event(1), Concurrency: 1, ReportedPace: 1}, 0)
		estimates.RecordRun(1, balance.RunSample{EventInterval: event(8), Concurrency: 8, ReportedPace: 1}, 0)
	}
	for place := range 2 {
		if got := estimates.LongTermPace(place, balance.SharedPace{}, 0); !near(got, 1) {
			t.Errorf("server %d has speed %v", place, got)
		}
	}
}

// TestOwnFiguresAdd: the estimate of a process that hears of another is that of one which
// saw all itself.
func TestOwnFiguresAdd(t *testing.T) {
	whole, half, other := learned(2), learned(2), learned(2)
	for i := range 12 {
		run := balance.RunSample{EventInterval: 2 * eventTime, Concurrency: 4, ReportedPace: 1}
		whole.RecordRun(0, run, 0)
		if i%2 == 0 {
			half.RecordRun(0, run, 0)
			continue
		}
		other.RecordRun(0, run, 0)
	}
	got, want := half.LongTermPace(0, other.OwnPace(0, 0), 0), whole.LongTermPace(0, balance.SharedPace{}, 0)
	if !near(got, want) {
		t.Errorf("speed %v by two processes, %v by one", got, want)
	}
	if old := other.OwnPace(0, time.Minute); old != (balance.SharedPace{}) {
		t.Errorf("a minute later it tells %+v", old)
	}
}
