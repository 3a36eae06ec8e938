package pace_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// eventTime is the event interval of a server of usual pace.
const eventTime = 30 * time.Millisecond

// trainedEstimates returns estimates for a number of servers, with runs of usual pace recorded at
// all but the first.
func trainedEstimates(servers int) *pace.Estimates {
	estimates := pace.New()
	estimates.Resize(servers)
	for range 40 {
		for place := 1; place < servers; place++ {
			estimates.RecordRun(place, balance.RunSample{EventInterval: eventTime, Concurrency: 4, ReportedPace: 1}, 0)
		}
	}
	return estimates
}

func approximately(got, want float64) bool { return got > 0.85*want && got < 1.15*want }

func TestUnknownServersHaveUsualPace(t *testing.T) {
	estimates := trainedEstimates(4)
	estimates.RecordReport(1, 0, 0)
	if estimates.HasReports(0) {
		t.Error("HasReports is true although no server reported its pace")
	}
	if got := estimates.CurrentPace(0, balance.SharedPace{}, 0); got != 1 {
		t.Errorf("an unknown server has pace %v, want 1", got)
	}
}

// TestReportedPaceExpires checks that a reported pace no longer counts after a second.
func TestReportedPaceExpires(t *testing.T) {
	estimates := trainedEstimates(4)
	estimates.RecordReport(2, 2.5, 0)
	if got := estimates.CurrentPace(2, balance.SharedPace{}, 50*time.Millisecond); got < 1.8 {
		t.Errorf("a server that reported 2.5 has pace %v", got)
	}
	if got := estimates.CurrentPace(2, balance.SharedPace{}, time.Second); !approximately(got, 1) {
		t.Errorf("a second after the report the server has pace %v, want 1", got)
	}
	if !estimates.HasReports(time.Second) || estimates.HasReports(time.Hour) {
		t.Error("reports must be valid for a second and expire within an hour")
	}
}

// TestReportedPaceIsNotCountedTwice checks that runs which are only as slow as the server reported
// do not change its observed pace.
func TestReportedPaceIsNotCountedTwice(t *testing.T) {
	estimates := trainedEstimates(4)
	for range 20 {
		estimates.RecordRun(0, balance.RunSample{EventInterval: 5 * eventTime / 2, Concurrency: 4, ReportedPace: 2.5}, 0)
	}
	if got := estimates.LongTermPace(0, balance.SharedPace{}, 0); !approximately(got, 1) {
		t.Errorf("the long-term pace is %v, want 1", got)
	}
}

// TestUnreportedSlownessIsObserved checks that a server that is slower than it reports is detected
// from the runs of all processes, and that it counts as slow for some time after the last of them.
func TestUnreportedSlownessIsObserved(t *testing.T) {
	estimates := trainedEstimates(4)
	estimates.RecordReport(0, 1, 0)
	others := balance.SharedPace{ReportedSum: 400, ReportedCount: 4, ObservedSum: 8 * 100 * 12, ObservedCount: 12}
	if got := estimates.CurrentPace(0, others, 0); got < 5 {
		t.Fatalf("a server that is eight times slower has pace %v, want at least 5", got)
	}
	estimates.Remember(0, others, 0)
	if got := estimates.LongTermPace(0, balance.SharedPace{}, 10*time.Second); got < 5 {
		t.Errorf("without new runs the server has pace %v, want at least 5", got)
	}
	for second := range 60 {
		estimates.Remember(0, balance.SharedPace{}, time.Duration(10+second)*time.Second)
	}
	if got := estimates.LongTermPace(0, balance.SharedPace{}, 80*time.Second); got > 1.3 {
		t.Errorf("a minute later the server still has pace %v", got)
	}
	estimates.Forget(0)
	if got := estimates.CurrentPace(0, balance.SharedPace{}, 80*time.Second); got != 1 {
		t.Errorf("a new server in the same place has pace %v, want 1", got)
	}
}

// TestIntervalsAreComparedAtEqualConcurrency checks that longer event intervals due to higher
// concurrency do not make a server count as slow.
func TestIntervalsAreComparedAtEqualConcurrency(t *testing.T) {
	estimates := pace.New()
	estimates.Resize(2)
	interval := func(concurrency int) time.Duration { return time.Duration(10+3*concurrency) * time.Millisecond }
	for i := range 400 {
		concurrency := 1 + i%8
		estimates.RecordRun(i%2, balance.RunSample{EventInterval: interval(concurrency), Concurrency: concurrency, ReportedPace: 1}, 0)
	}
	for place := range 2 {
		estimates.Forget(place)
	}
	for range 40 {
		estimates.RecordRun(0, balance.RunSample{EventInterval: interval(1), Concurrency: 1, ReportedPace: 1}, 0)
		estimates.RecordRun(1, balance.RunSample{EventInterval: interval(8), Concurrency: 8, ReportedPace: 1}, 0)
	}
	for place := range 2 {
		if got := estimates.LongTermPace(place, balance.SharedPace{}, 0); !approximately(got, 1) {
			t.Errorf("server %d has pace %v, want 1", place, got)
		}
	}
}

// TestSharedPaceAddsUp checks that two processes which share their observations get the same
// estimate as one that made all of them.
func TestSharedPaceAddsUp(t *testing.T) {
	whole, half, other := trainedEstimates(2), trainedEstimates(2), trainedEstimates(2)
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
	if !approximately(got, want) {
		t.Errorf("pace %v from two processes, %v from one", got, want)
	}
	if old := other.OwnPace(0, time.Minute); old != (balance.SharedPace{}) {
		t.Errorf("a minute later the shared pace is %+v, want none", old)
	}
}
