package jobadmission_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/jobadmission"
)

var now = time.UnixMilli(1_000_000)

// items returns items of 5 s that are due after a time, and treated as late if they start less than 6 s
// before that.
func items(count int, due time.Duration) []jobadmission.Item {
	all := make([]jobadmission.Item, 0, count)
	for range count {
		all = append(all, jobadmission.NewItem(now.Add(due), 5*time.Second, 6*time.Second))
	}
	return all
}

func running(count int, remaining time.Duration) []time.Duration {
	all := make([]time.Duration, 0, count)
	for range count {
		all = append(all, remaining)
	}
	return all
}

// TestDecision guards against refusals of jobs that may be on time, and against accepting jobs that can't.
func TestDecision(t *testing.T) {
	const due = 18 * time.Second
	for name, each := range map[string]struct {
		slots    int
		running  []time.Duration
		waiting  []jobadmission.Item
		job      []jobadmission.Item
		accepted bool
	}{
		"idle servers":                      {slots: 10, job: items(10, due), accepted: true},
		"the last item starts after 10 s":   {slots: 10, running: running(10, 5*time.Second), waiting: items(10, due), job: items(10, due), accepted: true},
		"the last item starts after 15 s":   {slots: 10, running: running(10, 5*time.Second), waiting: items(20, due), job: items(10, due)},
		"the first item could be on time":   {slots: 10, running: running(10, 5*time.Second), waiting: items(19, due), job: items(10, due)},
		"unknown slots":                     {running: running(10, 5*time.Second), waiting: items(50, due), job: items(10, due), accepted: true},
		"unknown run time":                  {slots: 10, waiting: items(50, due), job: []jobadmission.Item{jobadmission.NewItem(now.Add(due), 0, 0)}, accepted: true},
		"no due time":                       {slots: 10, waiting: items(50, due), job: []jobadmission.Item{jobadmission.NewItem(time.Time{}, 5*time.Second, 0)}, accepted: true},
		"waiting items of unknown run time": {slots: 10, waiting: make([]jobadmission.Item, 100), job: items(10, due), accepted: true},
		"waiting items without a due time":  {slots: 10, waiting: []jobadmission.Item{jobadmission.NewItem(time.Time{}, time.Hour, 0)}, job: items(10, due), accepted: true},
		"waiting items that are due later":  {slots: 10, waiting: items(100, due+time.Second), job: items(10, due), accepted: true},
		"waiting items that are late":       {slots: 10, waiting: items(1000, 5*time.Second), job: items(10, due), accepted: true},
		"waiting items that become late":    {slots: 10, running: running(10, 5*time.Second), waiting: items(1000, 8*time.Second), job: items(10, due), accepted: true},
		"running items that should be done": {slots: 10, running: running(10, -time.Hour), job: items(10, due), accepted: true},
		"more running items than slots":     {slots: 1, running: running(30, time.Second), job: items(10, due), accepted: true},
		"late without any backlog":          {slots: 1, job: items(10, due), accepted: true},
		"the run time exceeds the due time": {slots: 10, running: running(10, 5*time.Second), job: items(1, time.Second), accepted: true},
		"an empty job":                      {slots: 10, waiting: items(1000, due), accepted: true},
	} {
		decision := jobadmission.Decide(jobadmission.NewBacklog(each.slots, each.running, each.waiting), each.job, 0, now)
		if decision.Accepted() != each.accepted {
			t.Errorf("%s: accepted is %v", name, decision.Accepted())
		}
	}
}

// TestRetryAfterTellsWhenThereIsRoom: a caller that comes back earlier is refused again, and one that comes
// back later waits for nothing.
func TestRetryAfterTellsWhenThereIsRoom(t *testing.T) {
	decide := func(after, due time.Duration, ahead time.Duration) jobadmission.Decision {
		backlog := jobadmission.NewBacklog(10, running(10, 5*time.Second-after), items(20, 18*time.Second))
		return jobadmission.Decide(backlog, items(10, due), ahead, now)
	}
	refused := decide(0, 18*time.Second, 0)
	// The last item would start after 15 s instead of 12 s.
	if refused.RetryAfter() != 3*time.Second || refused.Late() != 3*time.Second || refused.Work() != 50*time.Second {
		t.Errorf("come back after %v, late by %v, work %v", refused.RetryAfter(), refused.Late(), refused.Work())
	}
	// Times are relative to the submission, so 3 s less remain of the running items.
	if again := decide(3*time.Second, 18*time.Second, 0); !again.Accepted() {
		t.Error("refused again at the time that was told")
	}
	if again := decide(2900*time.Millisecond, 18*time.Second, 0); again.Accepted() {
		t.Error("accepted before the time that was told")
	}
	// Another refused job of 50 s comes back first and takes 10 slots for 5 s.
	if second := decide(0, 18*time.Second, refused.Work()); second.RetryAfter() != 8*time.Second {
		t.Errorf("the second job is to come back after %v, want 8s", second.RetryAfter())
	}
}

// TestLimitOfARepeatedSubmission: a job that can no longer be on time for its caller must not take the slots of
// others, also if it could not be with empty servers, and is to come back when it counts as a new one.
func TestLimitOfARepeatedSubmission(t *testing.T) {
	for limit, accepted := range map[time.Duration]bool{18 * time.Second: true, 12 * time.Second: true, 10 * time.Second: false, time.Second: false} {
		var job []jobadmission.Item
		for _, each := range items(10, 18*time.Second) {
			job = append(job, each.WithLimit(now.Add(limit)))
		}
		decision := jobadmission.Decide(jobadmission.NewBacklog(10, running(10, 5*time.Second), nil), job, 0, now)
		if decision.Accepted() != accepted {
			t.Errorf("limit of %v: accepted is %v", limit, decision.Accepted())
		}
		if !accepted && decision.RetryAfter() < limit {
			t.Errorf("limit of %v: to come back after %v", limit, decision.RetryAfter())
		}
	}
}

// TestRetriesAreForgottenWhenDue: jobs that came back count as open items, and those that did not must not
// delay others.
func TestRetriesAreForgottenWhenDue(t *testing.T) {
	var retries jobadmission.Retries
	retries.Add(now.Add(2*time.Second), time.Minute)
	retries.Add(now.Add(time.Second), time.Second)
	for after, want := range map[time.Duration]time.Duration{0: 61 * time.Second} {
		if got := retries.Ahead(now.Add(after)); got != want {
			t.Errorf("%v ahead after %v, want %v", got, after, want)
		}
	}
	if got := retries.Ahead(now.Add(time.Second)); got != time.Minute {
		t.Errorf("%v ahead after 1 s, want 1m", got)
	}
	if got := retries.Ahead(now.Add(2 * time.Second)); got != 0 {
		t.Errorf("%v ahead after 2 s, want none", got)
	}
}

// TestOfferedSlotsAreTheMostOfTheWindow: servers that are lost for a moment and bursts of online requests
// must not lead to refusals, nor must a leader that has just begun to observe.
func TestOfferedSlotsAreTheMostOfTheWindow(t *testing.T) {
	var offered jobadmission.OfferedSlots
	if _, known := offered.Most(now); known {
		t.Error("known before the first observation")
	}
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += time.Second {
		offered.Observe(200, now.Add(elapsed))
		if _, known := offered.Most(now.Add(elapsed)); known {
			t.Fatalf("known after %v", elapsed)
		}
	}
	at := now.Add(20 * time.Second)
	offered.Observe(240, at)
	for elapsed := time.Duration(0); elapsed <= 20*time.Second; elapsed += time.Second {
		offered.Observe(100, at.Add(elapsed))
		if slots, known := offered.Most(at.Add(elapsed)); !known || slots != 240 {
			t.Fatalf("%d, %v after %v, want 240", slots, known, elapsed)
		}
	}
	offered.Observe(101, at.Add(21*time.Second))
	if slots, _ := offered.Most(at.Add(21 * time.Second)); slots != 101 {
		t.Errorf("%d slots after the window, want 101", slots)
	}
	offered.Observe(0, at.Add(22*time.Second))
	if _, known := offered.Most(at.Add(23 * time.Second)); known {
		t.Error("known although the slots of a server are not")
	}
}
