package continuation_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/continuation"
)

// makeServers returns the servers of a service, the first of which have ended.
func makeServers(servers, ended int) []continuation.Server {
	var all []continuation.Server
	for each := range servers {
		all = append(all, continuation.Server{
			ID: fmt.Sprint("s", each), Service: "app", Address: fmt.Sprint("address-", each),
			Zone: fmt.Sprint("zone-", each%3), Ended: each < ended,
		})
	}
	return all
}

// trackerFeed updates a tracker from complete server lists.
type trackerFeed struct {
	*continuation.Tracker
	seen map[string]*continuation.Server
}

func newTrackerFeed(mode continuation.Mode) *trackerFeed {
	return &trackerFeed{Tracker: continuation.NewTracker(mode), seen: make(map[string]*continuation.Server)}
}

func (f *trackerFeed) See(servers []continuation.Server, now time.Duration) {
	listed := make(map[string]*continuation.Server)
	for _, server := range servers {
		f.Update(f.seen[server.ID], &server, now)
		listed[server.ID] = &server
		delete(f.seen, server.ID)
	}
	for _, removed := range f.seen {
		f.Update(removed, nil, now)
	}
	f.seen = listed
}

func run(server int) continuation.Run {
	return continuation.Run{Service: "app", Address: fmt.Sprint("address-", server), Zone: fmt.Sprint("zone-", server%3)}
}

func TestRunsAreCopiedWhereServersFail(t *testing.T) {
	for name, test := range map[string]struct {
		mode  continuation.Mode
		ended int
		at    time.Duration
		run   int
		want  bool
	}{
		"no server ended":              {mode: continuation.Selective, run: 50, want: false},
		"one ended elsewhere":          {mode: continuation.Selective, ended: 1, run: 50, want: false},
		"one ended at its address":     {mode: continuation.Selective, ended: 1, run: 0, want: true},
		"a third of the servers ended": {mode: continuation.Selective, ended: 30, run: 50, want: true},
		"they ended a while ago":       {mode: continuation.Selective, ended: 30, at: time.Minute, run: 0, want: false},
		"none are copied":              {mode: continuation.None, ended: 30, run: 0, want: false},
		"all are copied":               {mode: continuation.All, run: 50, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTrackerFeed(test.mode)
			tracker.See(makeServers(90, 0), 0)
			tracker.See(makeServers(90, test.ended), time.Second)
			if plan := tracker.Plan(run(test.run), time.Second+test.at); plan.Copied() != test.want {
				t.Errorf("copied: %v, chance %v", plan.Copied(), plan.Chance())
			}
		})
	}
}

func TestFailureCountsOnce(t *testing.T) {
	tracker := newTrackerFeed(continuation.Selective)
	for second := range 20 {
		tracker.See(makeServers(90, 1), time.Duration(second)*time.Second)
	}
	first := tracker.Plan(run(0), 20*time.Second).Chance()
	if later := tracker.Plan(run(0), 31*time.Second).Chance(); later != 0 || first == 0 {
		t.Errorf("chance %v, then %v", first, later)
	}
}

func TestRepeatedFailureCountsAgain(t *testing.T) {
	tracker := newTrackerFeed(continuation.Selective)
	tracker.See(makeServers(90, 1), 0)
	once := tracker.Plan(run(0), 0).Chance()
	tracker.See(makeServers(90, 0), time.Second)
	tracker.See(makeServers(90, 1), 2*time.Second)
	if twice := tracker.Plan(run(0), 2*time.Second).Chance(); twice <= once {
		t.Errorf("chance %v, then %v", once, twice)
	}
}

func TestShortRunsAreNotCopied(t *testing.T) {
	tracker := newTrackerFeed(continuation.Selective)
	tracker.See(makeServers(90, 1), 0)
	for range 200 {
		tracker.RecordRun("app", 10*time.Millisecond)
	}
	if plan := tracker.Plan(run(0), 0); plan.Copied() {
		t.Errorf("a run of 10 ms is copied, chance %v", plan.Chance())
	}
}

func TestCopyAvoidsFailingZone(t *testing.T) {
	tracker := newTrackerFeed(continuation.Selective)
	servers := makeServers(90, 0)
	for each := range servers {
		servers[each].Ended = servers[each].Zone == "zone-1" && each < 30
	}
	tracker.See(servers, 0)
	if !tracker.Plan(run(31), 0).OtherZone() {
		t.Error("the copy of a run in the failing zone stays in it")
	}
	if tracker.Plan(run(32), 0).OtherZone() {
		t.Error("the copy of a run outside of the failing zone must be in another zone")
	}
}

// TestRemovedServersAreNotCountedAsServing: the failure rate relates to the servers that
// remain.
func TestRemovedServersAreNotCountedAsServing(t *testing.T) {
	tracker := newTrackerFeed(continuation.Selective)
	tracker.See(makeServers(90, 1), 0)
	many := tracker.Plan(run(50), 0).Chance()
	tracker.See(makeServers(9, 1), time.Second)
	if few := tracker.Plan(run(50), time.Second).Chance(); few < 10*many {
		t.Errorf("chance %v with 89 servers and %v with 8", many, few)
	}
}
