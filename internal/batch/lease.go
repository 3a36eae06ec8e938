package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// Timing of leases.
const (
	// leaseLength is how long a lease holds without a heartbeat.
	leaseLength = 15 * time.Second
	// heartbeatEvery is how often leases are renewed.
	heartbeatEvery = 4 * time.Second
	// heartbeatTimeout bounds one renewal.
	heartbeatTimeout = 5 * time.Second
	// acquireWait is how long a control machine may hold a call without work.
	acquireWait = 5 * time.Second
	// acquireTimeout bounds a call beyond its wait.
	acquireTimeout = 10 * time.Second
	// acquirePause is the pause after a failed or empty call.
	acquirePause = 200 * time.Millisecond
	// acquireGap is the least time between two looks at the need for leases.
	acquireGap = 5 * time.Millisecond
	// lookAhead is for how long the held items should last.
	lookAhead = time.Second
	// maximumAsk bounds the items asked for at once.
	maximumAsk = 1024
)

// leaseKey names a lease.
type leaseKey struct {
	job   string
	fence uint64
}

// lease is a range of items that this gateway holds.
type lease struct {
	key    leaseKey
	job    *rockwindpb.Job
	wanted serverview.BatchRequirements
	weight float64
	// pending are the items that wait, next one first.
	pending []uint32
	// lines are the items' request lines; nil until they are read.
	lines   map[uint32][]byte
	running map[uint32]*run
	// lost marks items that were lost before, lastTry those of them that end as
	// failed if they are lost once more.
	lost    map[uint32]bool
	lastTry map[uint32]bool
	// notRun counts how often items were tried and provably did not run.
	notRun map[uint32]int
	// notBefore holds back a lease whose items were refused.
	notBefore time.Time
	// unacknowledged counts reports that the ledger has not answered.
	unacknowledged int
	released       bool
}

// grantResult is the answer to a call for leases.
type grantResult struct {
	grants []*rockwindpb.GrantedLease
	err    error
}

// acquire asks for leases when the held items run out.
func (e *Executor) acquire(ctx context.Context) {
	if e.acquiring || e.draining || time.Now().Before(e.acquireAfter) {
		return
	}
	e.acquireAfter = time.Now().Add(acquireGap)
	free, models := e.capacity()
	pending := e.pendingItems()
	target := 2*free + int(e.rate.perSecond(time.Now())*lookAhead.Seconds())
	target = min(target, maximumAsk)
	if free == 0 || 2*pending >= target {
		return
	}
	e.acquiring = true
	go func() { e.grants <- e.askForLeases(ctx, target-pending, models) }()
}

func (e *Executor) askForLeases(ctx context.Context, items int, models []string) grantResult {
	bounded, cancel := context.WithTimeout(ctx, acquireWait+acquireTimeout)
	defer cancel()
	response, err := e.options.Jobs.AcquireLeases(bounded, &rockwindpb.AcquireLeasesRequest{
		Holder: e.options.Holder, MaxItems: uint32(items), Models: models,
		LeaseMs: uint32(leaseLength.Milliseconds()), WaitMs: uint32(acquireWait.Milliseconds()),
	})
	return grantResult{grants: response.GetGrants(), err: err}
}

// capacity returns how many more items the owned servers take now, and for
// which models.
func (e *Executor) capacity() (free int, models []string) {
	for _, model := range e.options.Current().Models() {
		count := e.options.View.FreeBatchSlots(serverview.BatchRequirements{Model: model.GetName()})
		if count > 0 {
			free += count
			models = append(models, model.GetName())
		}
	}
	return min(free, e.options.Concurrency-len(e.running)), models
}

// pendingItems counts the items that wait here. Items on their last try, which run
// few at a time, count only beyond a bound: they must not keep others from being
// leased.
func (e *Executor) pendingItems() int {
	count, last := 0, 0
	for _, held := range e.leases {
		count += len(held.pending)
		if len(held.lastTry) > 0 {
			last += held.waitingOnLastTry()
		}
	}
	return count - min(last, maximumAsk)
}

// granted takes new leases and reads their input.
func (e *Executor) granted(ctx context.Context, result grantResult) {
	e.acquiring = false
	if result.err != nil || len(result.grants) == 0 {
		e.acquireAfter = time.Now().Add(acquirePause)
	}
	for _, grant := range result.grants {
		held := e.newLease(grant)
		e.leases[held.key] = held
		if e.draining {
			held.pending = nil
			e.releaseIfDone(held)
			continue
		}
		go e.loadInput(ctx, held.key, grant.GetJob(), held.pending)
	}
}

func (e *Executor) newLease(grant *rockwindpb.GrantedLease) *lease {
	granted, job := grant.GetLease(), grant.GetJob()
	held := &lease{
		key:     leaseKey{job: granted.GetJobId(), fence: granted.GetFence()},
		job:     job,
		running: make(map[uint32]*run),
		lost:    make(map[uint32]bool),
		lastTry: make(map[uint32]bool),
		notRun:  make(map[uint32]int),
	}
	held.takeItems(granted)
	model, adapter, _ := strings.Cut(job.GetModel(), ":")
	held.wanted = serverview.BatchRequirements{Model: model, Adapter: adapter, Objective: e.objective(job.GetGroup())}
	if class, found := e.options.Current().BatchClass(job.GetBatchClass()); found {
		held.weight = class.GetWeight()
	}
	return held
}

// takeItems lists the items of a lease. Those on their last try come last, since
// they may have to wait for a server.
func (l *lease) takeItems(granted *rockwindpb.Lease) {
	var last []uint32
	for offset := range granted.GetItemCount() {
		item := granted.GetFirstItem() + offset
		if marked(granted.GetLost(), offset) {
			l.lost[item] = true
		}
		switch {
		case marked(granted.GetSkip(), offset):
		case marked(granted.GetLastTry(), offset):
			l.lastTry[item] = true
			last = append(last, item)
		default:
			l.pending = append(l.pending, item)
		}
	}
	l.pending = append(l.pending, last...)
}

// putBack makes an item wait again, behind the others of its kind.
func (l *lease) putBack(item uint32) {
	place := len(l.pending)
	if !l.lastTry[item] {
		place -= l.waitingOnLastTry()
	}
	l.pending = slices.Insert(l.pending, place, item)
}

// waitingOnLastTry counts the items that wait for their last try.
func (l *lease) waitingOnLastTry() int {
	count := 0
	for _, item := range l.pending {
		if l.lastTry[item] {
			count++
		}
	}
	return count
}

// marked tells whether a bitmap marks the item at the offset.
func marked(bitmap []byte, offset uint32) bool {
	index := offset / 8
	return int(index) < len(bitmap) && bitmap[index]&(1<<(offset%8)) != 0
}

func (e *Executor) objective(name string) sharing.Objective {
	group, found := e.options.Current().Group(name)
	if found && group.GetObjective() == rockwindpb.Objective_OBJECTIVE_LATENCY {
		return sharing.Latency
	}
	return sharing.Throughput
}

// heartbeat renews all leases when it is time.
func (e *Executor) heartbeat(ctx context.Context) {
	if e.heartbeating || len(e.leases) == 0 || time.Since(e.lastBeat) < heartbeatEvery {
		return
	}
	e.heartbeating = true
	e.lastBeat = time.Now()
	request := &rockwindpb.HeartbeatLeasesRequest{Holder: e.options.Holder, LeaseMs: uint32(leaseLength.Milliseconds())}
	for key, held := range e.leases {
		if !held.released {
			request.Leases = append(request.Leases, &rockwindpb.LeaseKey{JobId: key.job, Fence: key.fence})
		}
	}
	go func() {
		bounded, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		response, err := e.options.Jobs.HeartbeatLeases(bounded, request)
		if err != nil {
			e.options.Log.WithError(err).Warn("leases are not renewed")
		}
		select {
		case e.verdicts <- response.GetVerdicts():
		case <-ctx.Done():
		}
	}()
}

// judge drops the leases that are over: what runs of them is cancelled and
// nothing more is reported.
func (e *Executor) judge(verdicts []*rockwindpb.LeaseVerdict) {
	for _, verdict := range verdicts {
		held := e.leases[leaseKey{job: verdict.GetJobId(), fence: verdict.GetFence()}]
		if held == nil || !verdict.GetStop() {
			continue
		}
		delete(e.leases, held.key)
		for _, current := range held.running {
			current.abandoned = true
			current.cancel()
		}
	}
}

// dropPending gives back what has not started.
func (e *Executor) dropPending() {
	for _, held := range e.leases {
		held.pending = nil
		e.releaseIfDone(held)
	}
}

// releaseIfDone ends a lease that has nothing left to run or to report.
func (e *Executor) releaseIfDone(held *lease) {
	if held.released || len(held.pending) > 0 || len(held.running) > 0 || held.unacknowledged > 0 {
		return
	}
	held.released = true
	e.reporter.add(report{key: held.key, release: true})
}
