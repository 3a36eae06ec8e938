package store

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobadmission"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// maxOpenWorkAge is how old the open work of a shard may be for a refusal. A scheduling pass publishes
	// it every 40 ms, and every 500 ms without open items.
	maxOpenWorkAge = time.Second
	// offeredInterval is the time between two observations of the slots that are offered to batch work.
	offeredInterval = 200 * time.Millisecond
	// offeredRetention is how long the slots of a group of servers are observed after its last job.
	offeredRetention = time.Minute
	// maxUncertain bounds the submissions of unknown outcome that a shard tracks in a term. With more, it
	// accepts all jobs.
	maxUncertain = 4096
	// maxFirstDue bounds the refused jobs whose first due times a shard remembers.
	maxFirstDue = 4096
)

// openWork is the open items of a shard after a scheduling pass.
type openWork struct {
	at       time.Time
	term     uint64
	running  []runningWork
	waiting  []waitingWork
	runTimes map[string]itemRunTime
}

// runningWork is a running item.
type runningWork struct {
	service, region string
	remaining       time.Duration
}

// waitingWork is an item that waits for a slot.
type waitingWork struct {
	service string
	regions topology.RegionSet
	tenant  string
	item    jobadmission.Item
}

// itemRunTime is the mean run time of a service's items, zero if it is not known, and that which the
// order of the backlog expects.
type itemRunTime struct{ mean, required time.Duration }

// dueCheck refuses jobs that can't be done by their due times, for one regional shard. Its methods are
// safe for concurrent use.
type dueCheck struct {
	// slots returns how many slots the servers of a service in some regions offer to batch work now.
	slots func(service string, regions topology.RegionSet) (int, bool)

	mutex   sync.Mutex
	work    openWork
	offered map[serverGroup]*offeredSlots
	// observedAt is when the offered slots were last observed.
	observedAt time.Time
	retries    jobadmission.Retries
	// firstDue holds the due times of refused jobs by their first submission, until then. A job that is
	// submitted again competes with jobs that can be on time.
	firstDue map[string]time.Time
	// pending counts the submissions in progress by job. uncertain holds the jobs whose submission in the
	// term may still take effect.
	pending   map[string]int
	uncertain map[string]struct{}
	term      uint64
}

// offeredSlots is the slots of a group of servers that jobs were submitted for.
type offeredSlots struct {
	regions topology.RegionSet
	slots   jobadmission.OfferedSlots
	usedAt  time.Time
}

func newDueCheck(slots func(service string, regions topology.RegionSet) (int, bool)) *dueCheck {
	return &dueCheck{slots: slots, offered: make(map[serverGroup]*offeredSlots), firstDue: make(map[string]time.Time), pending: make(map[string]int), uncertain: make(map[string]struct{})}
}

// dueCheck returns the check of a shard.
func (s *Store) dueCheck(shard uint32) *dueCheck {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	check, known := s.dueChecks[shard]
	if !known {
		check = newDueCheck(s.dispatcher.BatchSlots)
		s.dueChecks[shard] = check
	}
	return check
}

// publish sets the open work and observes the offered slots.
func (c *dueCheck) publish(work openWork) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.work = work
	if work.at.Sub(c.observedAt) < offeredInterval {
		return
	}
	c.observedAt = work.at
	maps.DeleteFunc(c.firstDue, func(_ string, due time.Time) bool { return due.Before(work.at) })
	for group, each := range c.offered {
		if work.at.Sub(each.usedAt) > offeredRetention {
			delete(c.offered, group)
			continue
		}
		slots, known := c.slots(group.service, each.regions)
		if !known {
			slots = 0
		}
		each.slots.Observe(slots, work.at)
	}
}

// begin registers the submission of a job in a term. It reports whether the job may already have been
// submitted, so that it must not be refused.
func (c *dueCheck) begin(job string, term uint64) (maybeSubmitted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if term != c.term {
		// The first entry of a leader's term decides on all entries of earlier terms.
		clear(c.uncertain)
		c.term = term
	}
	_, uncertain := c.uncertain[job]
	maybeSubmitted = uncertain || c.pending[job] > 0 || len(c.uncertain) >= maxUncertain
	c.pending[job]++
	return maybeSubmitted
}

// end ends a submission that began in a term; err is its outcome.
func (c *dueCheck) end(job string, term uint64, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending[job]--; c.pending[job] <= 0 {
		delete(c.pending, job)
	}
	if err != nil && fault.From(err).Ran != fault.NotRun && term == c.term {
		c.uncertain[job] = struct{}{}
	}
}

// submissionCheck is a submission in progress. Nil is that of a job to which no check applies.
type submissionCheck struct {
	check *dueCheck
	job   string
	term  uint64
}

// finish ends the submission; err is its outcome.
func (s *submissionCheck) finish(err error) {
	if s != nil {
		s.check.end(s.job, s.term, err)
	}
}

// checkDue refuses a job of a regional shard that can't be done by its due time. Nothing is stored then.
// Jobs of ordinary shards, without a due time or without a restriction to regions are accepted, and so are
// repeated submissions of a stored job.
func (s *Store) checkDue(ctx context.Context, jobShard shard, request *rockwindpb.SubmitStoredJobRequest) (*submissionCheck, error) {
	if request.GetRegion() == "" || !s.watcher.Initialized() {
		return nil, nil
	}
	return s.dueCheck(jobShard.number).admit(ctx, jobShard, request.GetJob(), s.watcher.Configuration())
}

// admit refuses a job that is not stored and can't be done by its due time.
func (c *dueCheck) admit(ctx context.Context, jobShard shard, job *rockwindpb.StoredJob, index *configuration.Index) (*submissionCheck, error) {
	term, leading := jobShard.group.Leading()
	if !leading {
		return nil, nil
	}
	submission := &submissionCheck{check: c, job: job.GetId(), term: term}
	if c.begin(job.GetId(), term) {
		return submission, nil
	}
	refusal := c.decide(job, index, term, time.Now())
	if refusal == nil {
		return submission, nil
	}
	// A submission that ended before this one began is visible to a read in the same term.
	if exists, err := jobShard.hasJob(ctx, job.GetId()); exists || err != nil || sameTerm(jobShard.group, term) != nil {
		return submission, nil
	}
	c.refused(job.GetId(), refusal)
	failure := refusal.record(job, jobShard.number, term)
	submission.finish(failure)
	return nil, failure
}

// lateJob is a job that can't be done by its due time.
type lateJob struct {
	at       time.Time
	due      time.Time
	route    string
	service  string
	regions  topology.RegionSet
	decision jobadmission.Decision
	slots    int
	running  int
	waiting  int
}

// record logs the refusal and returns its error.
func (l *lateJob) record(job *rockwindpb.StoredJob, shard uint32, term uint64) *fault.Fault {
	decision.Default.Record(decision.JobWouldBeLate, job.GetId(), log.Fields{
		"route": l.route, "tenant": job.GetTenant(), "service": l.service, "regions": l.regions.Names(), "items": len(job.GetItems()),
		"slots": l.slots, "running": l.running, "waiting": l.waiting, "late_ms": l.decision.Late().Milliseconds(),
		"come_back_ms": l.decision.RetryAfter().Milliseconds(), "shard": shard, "term": term,
	})
	return fault.Newf(fault.LimitReached, "retry after the given time",
		"the job can't be done by its due time: %d items wait for the %d slots of service %s in the allowed regions %v", l.waiting, l.slots, l.service, l.regions.Names()).
		WithRan(fault.NotRun).WithRetryAfter(l.decision.RetryAfter())
}

// refused records that a refused job is expected again.
func (c *dueCheck) refused(id string, job *lateJob) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, repeated := c.firstDue[id]; repeated {
		return
	}
	if len(c.firstDue) < maxFirstDue {
		c.firstDue[id] = job.due
	}
	c.retries.Add(job.at.Add(job.decision.RetryAfter()), job.decision.Work())
}

// decide returns the reason to refuse a job, or nil if it may be on time.
func (c *dueCheck) decide(job *rockwindpb.StoredJob, index *configuration.Index, term uint64, now time.Time) *lateJob {
	route, found := index.Route(job.GetHost(), job.GetPath())
	if !found || route.GetDueMs() == 0 {
		return nil
	}
	tenant, _ := index.Tenant(job.GetTenant())
	allowed := index.AllowedRegions(route, tenant)
	if !allowed.Restricted() {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fresh := c.work.term == term && now.Sub(c.work.at) <= maxOpenWorkAge
	// The clock of the router that received the job may be behind.
	submitted := time.UnixMilli(job.GetSubmittedUnixMs())
	if submitted.Before(now) {
		submitted = now
	}
	due := dueTime(route, submitted)
	firstDue := c.firstDue[job.GetId()]
	if firstDue.Before(now) {
		firstDue = due
	}
	items := make(map[string][]jobadmission.Item)
	for _, item := range job.GetItems() {
		service := router.ChooseService(route, item.GetId())
		expected := c.work.runTimes[service]
		items[service] = append(items[service], jobadmission.NewItem(due, expected.mean, expected.required).WithLimit(firstDue))
	}
	for service, each := range items {
		slots, known := c.offeredFor(service, allowed, now)
		if !known || !fresh {
			continue
		}
		running, waiting := c.work.before(service, allowed, job.GetTenant())
		decided := jobadmission.Decide(jobadmission.NewBacklog(slots, running, waiting), each, c.retries.Ahead(now), now)
		if !decided.Accepted() {
			return &lateJob{
				at: now, due: due, route: route.GetName(), service: service, regions: allowed, decision: decided,
				slots: slots, running: len(running), waiting: len(waiting),
			}
		}
	}
	return nil
}

// offeredFor returns the most slots that a group of servers has offered recently, and lets them be
// observed from now on. The caller holds the mutex.
func (c *dueCheck) offeredFor(service string, regions topology.RegionSet, now time.Time) (slots int, known bool) {
	group := serverGroup{service: service, regions: regions.Key()}
	each := c.offered[group]
	if each == nil {
		each = &offeredSlots{regions: regions}
		c.offered[group] = each
	}
	each.usedAt = now
	return each.slots.Most(now)
}

// before returns the work that uses the slots of a service in some regions before a job of a tenant can.
// Running items keep their slots. Waiting items count if they can't run elsewhere and are of the same
// tenant, since the shares of tenants decide whether those of another one go first.
func (w openWork) before(service string, regions topology.RegionSet, tenant string) (running []time.Duration, waiting []jobadmission.Item) {
	for _, each := range w.running {
		if each.service == service && regions.Allows(each.region) {
			running = append(running, each.remaining)
		}
	}
	for _, each := range w.waiting {
		if each.service == service && each.tenant == tenant && each.regions.Within(regions) {
			waiting = append(waiting, each.item)
		}
	}
	return running, waiting
}
