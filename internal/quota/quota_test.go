package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/quota"
)

// TestAcceptedTokensNeverExceedTheLimit simulates the protocol between owners and shards with
// reordered and lost messages and changes of leaders at any moment.
func TestAcceptedTokensNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":             m.check,
			"submit":       m.submit,
			"advance":      m.advance,
			"advanceAgain": m.advance,
			"commit":       m.commit,
			"giveUp":       m.giveUp,
			"finish":       m.finish,
			"elect":        m.elect,
			"notice":       m.notice,
			"owner":        m.replaceOwner,
			"poll":         m.poll,
			"report":       m.report,
			"reportAgain":  m.report,
			"reportOnce":   m.report,
		})
	})
}

// reported returns a counter for two shards with the given numbers of waiting tokens.
func reported(first, second uint64) *quota.Counter {
	counter := quota.NewCounter(2)
	poll := counter.BeginPoll(0)
	counter.RecordReport(poll, 0, quota.NewReport(first, nil), 0)
	counter.RecordReport(poll, 1, quota.NewReport(second, nil), 0)
	return counter
}

func TestNothingIsDecidedBeforeAllShardsReport(t *testing.T) {
	counter := quota.NewCounter(2)
	poll := counter.BeginPoll(0)
	request := quota.NewRequest("job", 0, 1)
	if decision := counter.Reserve(request, 10); decision != quota.Unknown {
		t.Fatalf("without a report: %v", decision)
	}
	counter.RecordReport(poll, 0, quota.NewReport(0, nil), 0)
	if decision := counter.Reserve(request, 10); decision != quota.Unknown {
		t.Fatalf("with one of two reports: %v", decision)
	}
	counter.RecordReport(poll, 1, quota.NewReport(0, nil), 0)
	if decision := counter.Reserve(request, 10); decision != quota.Granted {
		t.Fatalf("with all reports: %v", decision)
	}
}

func TestJobsAreGrantedUpToTheLimit(t *testing.T) {
	counter := reported(3, 4)
	for job, wanted := range []quota.Decision{quota.Granted, quota.Granted, quota.Granted, quota.Full} {
		if decision := counter.Reserve(quota.NewRequest(string(rune('a'+job)), 0, 1), 10); decision != wanted {
			t.Fatalf("job %d: %v", job, decision)
		}
	}
	if decision := counter.Reserve(quota.NewRequest("a", 0, 1), 10); decision != quota.Granted || counter.Waiting() != 10 {
		t.Fatalf("repeated request: %v, %d waiting tokens", decision, counter.Waiting())
	}
	if decision := reported(0, 0).Reserve(quota.NewRequest("huge", 0, ^uint64(0)), 10); decision != quota.Full {
		t.Fatalf("a job larger than the limit: %v", decision)
	}
}

// TestLoweredLimitLosesNothing checks that waiting tokens above a lowered limit stay counted and
// that no more are granted.
func TestLoweredLimitLosesNothing(t *testing.T) {
	counter := reported(5, 5)
	if decision := counter.Reserve(quota.NewRequest("job", 0, 1), 4); decision != quota.Full || counter.Waiting() != 10 {
		t.Fatalf("%v, %d waiting tokens", decision, counter.Waiting())
	}
}

// TestGrantIsCountedOnceWithTheReportThatCoversIt checks that a grant is counted until a report
// includes it, and not twice after that.
func TestGrantIsCountedOnceWithTheReportThatCoversIt(t *testing.T) {
	counter := reported(0, 0)
	early := counter.BeginPoll(0)
	counter.Reserve(quota.NewRequest("job", 0, 4), 10)
	counter.RecordReport(early, 0, quota.NewReport(0, nil), 0)
	if counter.Waiting() != 4 {
		t.Fatalf("after a report that began before the grant: %d", counter.Waiting())
	}
	counter.RecordReport(counter.BeginPoll(0), 0, quota.NewReport(0, []string{"job"}), 0)
	if counter.Waiting() != 4 {
		t.Fatalf("while the granted job is pending: %d", counter.Waiting())
	}
	counter.RecordReport(counter.BeginPoll(0), 0, quota.NewReport(4, nil), 0)
	if counter.Waiting() != 4 {
		t.Fatalf("once the report includes the job: %d", counter.Waiting())
	}
}

func TestRetryAfterFollowsDrainRate(t *testing.T) {
	fast, slow := reported(1000, 0), reported(1000, 0)
	for second := 1; second <= 5; second++ {
		now := time.Duration(second) * time.Second
		fast.RecordReport(fast.BeginPoll(now), 0, quota.NewReport(uint64(1000-100*second), nil), now)
		slow.RecordReport(slow.BeginPoll(now), 0, quota.NewReport(uint64(1000-10*second), nil), now)
	}
	now := 5 * time.Second
	request := quota.NewRequest("job", 0, 100)
	quick, late := fast.RetryAfter(request, 500, now), slow.RetryAfter(request, 950, now)
	if quick < 500*time.Millisecond || quick > 4*time.Second || late < 5*time.Second {
		t.Fatalf("retry after %v with a drain rate of 100 per second, after %v with 10 per second", quick, late)
	}
	if first := reported(10, 0).RetryAfter(request, 5, 0); first <= 0 {
		t.Fatalf("retry after %v without a drain rate, want more than zero", first)
	}
}

func TestOwnerIsOneOfTheShards(t *testing.T) {
	for shards := 1; shards < 50; shards++ {
		if owner := quota.OwnerOf("route", shards); int(owner) >= shards {
			t.Fatalf("shard %d of %d", owner, shards)
		}
	}
}
