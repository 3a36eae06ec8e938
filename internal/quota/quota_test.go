package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/quota"
)

// TestAcceptedTokensNeverExceedTheLimit plays the protocol between owners and shards
// with any order of messages, lost ones, and leaders that change at any moment.
func TestAcceptedTokensNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"":             w.check,
			"submit":       w.submit,
			"advance":      w.advance,
			"advanceAgain": w.advance,
			"commit":       w.commit,
			"giveUp":       w.giveUp,
			"finish":       w.finish,
			"elect":        w.elect,
			"notice":       w.notice,
			"owner":        w.replaceOwner,
			"poll":         w.poll,
			"report":       w.report,
			"reportAgain":  w.report,
			"reportOnce":   w.report,
		})
	})
}

// reported returns a count of two shards at which so many tokens wait.
func reported(first, second uint64) *quota.Counter {
	count := quota.NewCounter(2)
	poll := count.BeginPoll(0)
	count.RecordReport(poll, 0, quota.NewReport(first, nil), 0)
	count.RecordReport(poll, 1, quota.NewReport(second, nil), 0)
	return count
}

func TestNothingIsDecidedBeforeAllShardsReport(t *testing.T) {
	count := quota.NewCounter(2)
	poll := count.BeginPoll(0)
	request := quota.NewRequest("job", 0, 1)
	if decision := count.Reserve(request, 10); decision != quota.Unknown {
		t.Fatalf("without a report: %v", decision)
	}
	count.RecordReport(poll, 0, quota.NewReport(0, nil), 0)
	if decision := count.Reserve(request, 10); decision != quota.Unknown {
		t.Fatalf("with one of two reports: %v", decision)
	}
	count.RecordReport(poll, 1, quota.NewReport(0, nil), 0)
	if decision := count.Reserve(request, 10); decision != quota.Granted {
		t.Fatalf("with all reports: %v", decision)
	}
}

func TestJobsAreGrantedUpToTheLimit(t *testing.T) {
	count := reported(3, 4)
	for job, wanted := range []quota.Decision{quota.Granted, quota.Granted, quota.Granted, quota.Full} {
		if decision := count.Reserve(quota.NewRequest(string(rune('a'+job)), 0, 1), 10); decision != wanted {
			t.Fatalf("job %d: %v", job, decision)
		}
	}
	if decision := count.Reserve(quota.NewRequest("a", 0, 1), 10); decision != quota.Granted || count.Waiting() != 10 {
		t.Fatalf("a job that is asked for again: %v, %d wait", decision, count.Waiting())
	}
	if decision := reported(0, 0).Reserve(quota.NewRequest("huge", 0, ^uint64(0)), 10); decision != quota.Full {
		t.Fatalf("a job larger than the limit: %v", decision)
	}
}

// TestLoweredLimitLosesNothing: what waits stays counted, and nothing more is granted.
func TestLoweredLimitLosesNothing(t *testing.T) {
	count := reported(5, 5)
	if decision := count.Reserve(quota.NewRequest("job", 0, 1), 4); decision != quota.Full || count.Waiting() != 10 {
		t.Fatalf("%v, %d wait", decision, count.Waiting())
	}
}

// TestGrantIsCountedOnceWithTheReportThatCoversIt and not a moment less.
func TestGrantIsCountedOnceWithTheReportThatCoversIt(t *testing.T) {
	count := reported(0, 0)
	early := count.BeginPoll(0)
	count.Reserve(quota.NewRequest("job", 0, 4), 10)
	count.RecordReport(early, 0, quota.NewReport(0, nil), 0)
	if count.Waiting() != 4 {
		t.Fatalf("after a report that began before the grant: %d", count.Waiting())
	}
	count.RecordReport(count.BeginPoll(0), 0, quota.NewReport(0, []string{"job"}), 0)
	if count.Waiting() != 4 {
		t.Fatalf("while the grant is on its way: %d", count.Waiting())
	}
	count.RecordReport(count.BeginPoll(0), 0, quota.NewReport(4, nil), 0)
	if count.Waiting() != 4 {
		t.Fatalf("once the report covers it: %d", count.Waiting())
	}
}

func TestTimeToComeBackFollowsWhatDrains(t *testing.T) {
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
		t.Fatalf("come back after %v where 100 a second drain, %v where 10 do", quick, late)
	}
	if first := reported(10, 0).RetryAfter(request, 5, 0); first <= 0 {
		t.Fatalf("come back after %v where nothing drained", first)
	}
}

func TestTheOwnerOfARouteIsOneOfTheShards(t *testing.T) {
	for shards := 1; shards < 50; shards++ {
		if owner := quota.OwnerOf("route", shards); int(owner) >= shards {
			t.Fatalf("shard %d of %d", owner, shards)
		}
	}
}
