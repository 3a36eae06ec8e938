package continuation_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/continuation"
)

// fleet lists servers of a service, some of which have ended; the ends of one zone are
// counted from the first server.
func fleet(servers, ended int) []continuation.Server {
	var all []continuation.Server
	for each := range servers {
		all = append(all, continuation.Server{
			ID: fmt.Sprint("s", each), Service: "app", Address: fmt.Sprint("address-", each),
			Zone: fmt.Sprint("zone-", each%3), Ended: each < ended,
		})
	}
	return all
}

// follower has a watch take what each list of servers tells, of those that stay as they were too.
type follower struct {
	*continuation.Tracker
	seen map[string]*continuation.Server
}

func follow(way continuation.Mode) *follower {
	return &follower{Tracker: continuation.NewTracker(way), seen: make(map[string]*continuation.Server)}
}

func (f *follower) See(servers []continuation.Server, now time.Duration) {
	listed := make(map[string]*continuation.Server)
	for _, server := range servers {
		f.Update(f.seen[server.ID], &server, now)
		listed[server.ID] = &server
		delete(f.seen, server.ID)
	}
	for _, left := range f.seen {
		f.Update(left, nil, now)
	}
	f.seen = listed
}

func run(server int) continuation.Run {
	return continuation.Run{Service: "app", Address: fmt.Sprint("address-", server), Zone: fmt.Sprint("zone-", server%3)}
}

func TestRunsAreCopiedWhereServersEnd(t *testing.T) {
	for name, test := range map[string]struct {
		way   continuation.Mode
		ended int
		at    time.Duration
		run   int
		want  bool
	}{
		"no server ended":              {way: continuation.Selective, run: 50, want: false},
		"one ended elsewhere":          {way: continuation.Selective, ended: 1, run: 50, want: false},
		"one ended at its address":     {way: continuation.Selective, ended: 1, run: 0, want: true},
		"a third of the servers ended": {way: continuation.Selective, ended: 30, run: 50, want: true},
		"they ended a while ago":       {way: continuation.Selective, ended: 30, at: time.Minute, run: 0, want: false},
		"none are copied":              {way: continuation.None, ended: 30, run: 0, want: false},
		"all are copied":               {way: continuation.All, run: 50, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			watch := follow(test.way)
			watch.See(fleet(90, 0), 0)
			watch.See(fleet(90, test.ended), time.Second)
			if plan := watch.Plan(run(test.run), time.Second+test.at); plan.Copied() != test.want {
				t.Errorf("copied: %v, with a chance of %v", plan.Copied(), plan.Chance())
			}
		})
	}
}

func TestAnEndCountsOnce(t *testing.T) {
	watch := follow(continuation.Selective)
	for second := range 20 {
		watch.See(fleet(90, 1), time.Duration(second)*time.Second)
	}
	first := watch.Plan(run(0), 20*time.Second).Chance()
	if later := watch.Plan(run(0), 31*time.Second).Chance(); later != 0 || first == 0 {
		t.Errorf("the chance is %v and then %v", first, later)
	}
}

func TestServerThatEndsAgainCountsAgain(t *testing.T) {
	watch := follow(continuation.Selective)
	watch.See(fleet(90, 1), 0)
	once := watch.Plan(run(0), 0).Chance()
	watch.See(fleet(90, 0), time.Second)
	watch.See(fleet(90, 1), 2*time.Second)
	if twice := watch.Plan(run(0), 2*time.Second).Chance(); twice <= once {
		t.Errorf("the chance is %v and then %v", once, twice)
	}
}

func TestShortRunsAreLessLikelyToEnd(t *testing.T) {
	watch := follow(continuation.Selective)
	watch.See(fleet(90, 1), 0)
	for range 200 {
		watch.RecordRun("app", 10*time.Millisecond)
	}
	if plan := watch.Plan(run(0), 0); plan.Copied() {
		t.Errorf("a run of 10 ms is copied, with a chance of %v", plan.Chance())
	}
}

func TestCopiesLeaveAZoneThatFails(t *testing.T) {
	watch := follow(continuation.Selective)
	servers := fleet(90, 0)
	for each := range servers {
		servers[each].Ended = servers[each].Zone == "zone-1" && each < 30
	}
	watch.See(servers, 0)
	if !watch.Plan(run(31), 0).OtherZone() {
		t.Error("a run in the zone that fails has its copy there")
	}
	if watch.Plan(run(32), 0).OtherZone() {
		t.Error("a run elsewhere has its copy in another zone")
	}
}

// TestServersThatLeaveAreNotCountedAmongThoseThatServe: the chance of an end is one of those that
// are left.
func TestServersThatLeaveAreNotCountedAmongThoseThatServe(t *testing.T) {
	watch := follow(continuation.Selective)
	watch.See(fleet(90, 1), 0)
	many := watch.Plan(run(50), 0).Chance()
	watch.See(fleet(9, 1), time.Second)
	if few := watch.Plan(run(50), time.Second).Chance(); few < 10*many {
		t.Errorf("the chance is %v with 89 servers and %v with 8", many, few)
	}
}
