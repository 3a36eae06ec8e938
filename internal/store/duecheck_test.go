package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobadmission"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// dueCheckShard is the check of a regional shard whose servers have 10 slots, all of them in use. Items
// take 5 s, and jobs are due after 18 s.
type dueCheckShard struct {
	t       *testing.T
	check   *dueCheck
	index   *configuration.Index
	shard   shard
	machine *jobstore.Machine
	// slots are those that the servers offer, if they are known.
	slots int
	known bool
}

func newDueCheckShard(t *testing.T) *dueCheckShard {
	t.Helper()
	split := []*rockwindpb.ServiceShare{{Service: "app", Weight: 1}}
	route := func(name string, due uint32, regions ...string) *rockwindpb.Route {
		return &rockwindpb.Route{
			Name: name, PathPrefix: "/" + name + "/", Kind: rockwindpb.RouteKind_ROUTE_KIND_BATCH, DueMs: due, Split: split, Regions: regions,
		}
	}
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: 1, Routes: []*rockwindpb.Route{
		route("north", 18_000, "north"), route("wide", 18_000, "north", "south"), route("undue", 0, "north"), route("free", 18_000),
	}})
	if err != nil {
		t.Fatal(err)
	}
	s := &dueCheckShard{t: t, index: index, machine: jobstore.New(), slots: 10, known: true}
	s.check = newDueCheck(func(string, topology.RegionSet) (int, bool) { return s.slots, s.known })
	s.shard = shard{number: 4, group: replica.NewInMemoryGroup(s.machine), machine: s.machine}
	return s
}

func storedJob(id, route string, items int) *rockwindpb.StoredJob {
	job := &rockwindpb.StoredJob{Id: id, Path: "/" + route + "/x", SubmittedUnixMs: time.Now().UnixMilli()}
	for range items {
		job.Items = append(job.Items, &rockwindpb.StoredItem{Id: "item"})
	}
	return job
}

// publish publishes open work of a term with a number of waiting items of the route north.
func (s *dueCheckShard) publish(waiting int, term uint64) {
	now := time.Now()
	work := openWork{at: now, term: term, runTimes: map[string]itemRunTime{"app": {mean: 5 * time.Second, required: 6 * time.Second}}}
	for range 10 {
		work.running = append(work.running, runningWork{service: "app", region: "north", remaining: 5 * time.Second})
	}
	for range waiting {
		work.waiting = append(work.waiting, waitingWork{
			service: "app", regions: topology.NewRegionSet([]string{"north"}), item: jobadmission.NewItem(now.Add(18*time.Second), 5*time.Second, 6*time.Second),
		})
	}
	s.check.publish(work)
}

// fill lets the check know a full window of slots, and the region full.
func (s *dueCheckShard) fill() {
	for range 25 {
		s.publish(100, 1)
		s.submit(storedJob("observed", "north", 1))
		s.submit(storedJob("observed", "wide", 1))
		time.Sleep(time.Second)
	}
	s.publish(100, 1)
}

// submit checks a job and ends its submission.
func (s *dueCheckShard) submit(job *rockwindpb.StoredJob) *fault.Fault {
	submission, err := s.check.admit(s.t.Context(), s.shard, job, s.index)
	if err != nil {
		return fault.From(err)
	}
	submission.finish(nil)
	return nil
}

// TestJobThatWouldBeLateIsRefusedAsNotRun: the refusal has to be true and to say when to come back, and the
// next refused job comes back later.
func TestJobThatWouldBeLateIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDueCheckShard(t)
		s.fill()
		time.Sleep(time.Minute)
		s.publish(100, 1)
		s.fill()
		first := s.submit(storedJob("job", "north", 10))
		if first == nil || first.Kind != fault.LimitReached || first.Ran != fault.NotRun || first.RetryAfter <= 0 {
			t.Fatalf("the refusal is %+v", first)
		}
		if s.machine.Has("job") {
			t.Error("the refused job is stored")
		}
		second := s.submit(storedJob("second", "north", 10))
		if second == nil || second.RetryAfter < first.RetryAfter+4*time.Second {
			t.Errorf("the second refusal is %+v, the first %+v", second, first)
		}
		s.publish(0, 1)
		if refused := s.submit(storedJob("job", "north", 10)); refused != nil {
			t.Errorf("refused without a backlog: %v", refused)
		}
	})
}

// TestJobThatIsSubmittedAgainCountsFromItsFirstSubmission: refused jobs would otherwise come back as new ones,
// be late for their callers, and take the slots of jobs that can be on time.
func TestJobThatIsSubmittedAgainCountsFromItsFirstSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDueCheckShard(t)
		s.fill()
		if s.submit(storedJob("job", "north", 10)) == nil {
			t.Fatal("a job is accepted although the region is full")
		}
		time.Sleep(10 * time.Second)
		// The job would start after 5 s, which is too late for a first submission 10 s ago.
		s.publish(0, 1)
		if again := s.submit(storedJob("job", "north", 10)); again == nil || again.RetryAfter < 8*time.Second {
			t.Errorf("the refusal of a job that can't be done by its first due time in 8 s is %+v", again)
		}
		if refused := s.submit(storedJob("new", "north", 10)); refused != nil {
			t.Errorf("a new job is refused: %v", refused)
		}
		time.Sleep(9 * time.Second)
		s.publish(0, 1)
		if refused := s.submit(storedJob("job", "north", 10)); refused != nil {
			t.Errorf("refused after its first due time: %v", refused)
		}
	})
}

// TestJobsAreAcceptedWhereTooLittleIsKnown lists what must not lead to refusals.
func TestJobsAreAcceptedWhereTooLittleIsKnown(t *testing.T) {
	for name, prepare := range map[string]func(s *dueCheckShard) *rockwindpb.StoredJob{
		"a route without a due time": func(*dueCheckShard) *rockwindpb.StoredJob { return storedJob("job", "undue", 10) },
		"a route without regions":    func(*dueCheckShard) *rockwindpb.StoredJob { return storedJob("job", "free", 10) },
		"an unknown route":           func(*dueCheckShard) *rockwindpb.StoredJob { return storedJob("job", "absent", 10) },
		"another tenant": func(*dueCheckShard) *rockwindpb.StoredJob {
			job := storedJob("job", "north", 10)
			job.Tenant = "other"
			return job
		},
		"unknown run times": func(s *dueCheckShard) *rockwindpb.StoredJob {
			s.check.work.runTimes = nil
			return storedJob("job", "north", 10)
		},
		"unknown slots": func(s *dueCheckShard) *rockwindpb.StoredJob {
			s.known = false
			time.Sleep(time.Second)
			s.publish(100, 1)
			return storedJob("job", "north", 10)
		},
		"more slots a moment ago": func(s *dueCheckShard) *rockwindpb.StoredJob {
			s.slots = 1000
			time.Sleep(time.Second)
			s.publish(100, 1)
			s.slots = 10
			time.Sleep(time.Second)
			s.publish(100, 1)
			return storedJob("job", "north", 10)
		},
		"a pass under an earlier term": func(s *dueCheckShard) *rockwindpb.StoredJob {
			s.publish(100, 0)
			return storedJob("job", "north", 10)
		},
		"no pass for a while": func(*dueCheckShard) *rockwindpb.StoredJob {
			time.Sleep(2 * time.Second)
			return storedJob("job", "north", 10)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newDueCheckShard(t)
			s.fill()
			if s.submit(storedJob("control", "north", 10)) == nil {
				t.Fatal("a job is accepted although the region is full")
			}
			if refused := s.submit(prepare(s)); refused != nil {
				t.Errorf("%s: %v", name, refused)
			}
		})
	}
}

// TestRepeatedSubmissionIsNotRefused: a refusal as not run would be false, or become false, if an earlier
// submission was stored or may still be.
func TestRepeatedSubmissionIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDueCheckShard(t)
		s.fill()
		encoded, err := proto.Marshal(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: storedJob("stored", "north", 10)}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.shard.group.Propose(t.Context(), encoded); err != nil {
			t.Fatal(err)
		}
		s.check.begin("pending", 1)
		s.check.begin("lost", 1)
		s.check.end("lost", 1, fault.New(fault.OutcomeUnknown, "lost", "").WithRan(fault.RanUnknown))
		for _, id := range []string{"stored", "pending", "lost"} {
			if refused := s.submit(storedJob(id, "north", 10)); refused != nil {
				t.Errorf("the %s job is refused: %v", id, refused)
			}
		}
		s.check.begin("failed", 1)
		s.check.end("failed", 1, fault.New(fault.Unavailable, "not led", "").WithRan(fault.NotRun))
		if s.submit(storedJob("failed", "north", 10)) == nil {
			t.Error("a job that was not run is accepted")
		}
		s.check.begin("other", 2)
		if len(s.check.uncertain) > 0 {
			t.Error("the first entry of a new term did not decide on earlier submissions")
		}
	})
}

// unreadableGroup is led by this store and fails reads.
type unreadableGroup struct{ replica.Group }

func (unreadableGroup) Leading() (term uint64, leading bool) { return 1, true }

func (unreadableGroup) Read(context.Context, func()) error { return errors.New("no quorum") }

// TestNoRefusalWithoutARead: a leader that can't confirm its lease does not know whether the job is stored.
func TestNoRefusalWithoutARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDueCheckShard(t)
		s.fill()
		s.shard.group = unreadableGroup{}
		if refused := s.submit(storedJob("job", "north", 10)); refused != nil {
			t.Errorf("refused: %v", refused)
		}
	})
}

// TestWorkThatMayRunElsewhereDoesNotCount: items that may run in more regions than the job leave it the
// slots of its own.
func TestWorkThatMayRunElsewhereDoesNotCount(t *testing.T) {
	wide, north := topology.NewRegionSet([]string{"north", "south"}), topology.NewRegionSet([]string{"north"})
	work := openWork{
		running: []runningWork{{service: "app", region: "north"}, {service: "app", region: "south"}, {service: "other", region: "north"}},
		waiting: []waitingWork{{service: "app", regions: wide}, {service: "app", regions: north}, {service: "other", regions: north}, {service: "app", regions: north, tenant: "other"}},
	}
	for _, each := range []struct {
		allowed          topology.RegionSet
		running, waiting int
	}{{north, 1, 1}, {wide, 2, 2}} {
		running, waiting := work.before("app", each.allowed, "")
		if len(running) != each.running || len(waiting) != each.waiting {
			t.Errorf("%d running and %d waiting before a job in %v", len(running), len(waiting), each.allowed.Names())
		}
	}
}
