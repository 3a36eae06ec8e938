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

// Timing and size of lease requests.
const (
	// leaseDuration is how long a lease is valid without a heartbeat.
	leaseDuration = 15 * time.Second
	// heartbeatInterval is the time between renewals of the leases.
	heartbeatInterval = 4 * time.Second
	// heartbeatTimeout bounds one renewal.
	heartbeatTimeout = 5 * time.Second
	// acquireWait is how long a control machine may hold a request while there is no work.
	acquireWait = 5 * time.Second
	// acquireTimeout is the time allowed for a request in addition to acquireWait.
	acquireTimeout = 10 * time.Second
	// acquirePause is the pause after a request that failed or granted nothing.
	acquirePause = 200 * time.Millisecond
	// acquireInterval is the minimum time between two checks whether leases are needed.
	acquireInterval = 5 * time.Millisecond
	// lookAhead is how long the pending items should last at the current rate.
	lookAhead = time.Second
	// maximumRequestedItems bounds the items of one request.
	maximumRequestedItems = 1024
)

// leaseKey identifies a lease.
type leaseKey struct {
	job   string
	fence uint64
}

// lease is a range of items that this gateway may run.
type lease struct {
	key    leaseKey
	job    *rockwindpb.Job
	wanted serverview.BatchRequirements
	weight float64
	// pending lists the items that have not started, in the order to start them.
	pending []uint32
	// lines are the items' request lines; nil until they are read.
	lines   map[uint32][]byte
	running map[uint32]*run
	// lost marks items of which an earlier attempt may have run but gave no result,
	// lastTry those of them that end as failed if that happens once more.
	lost    map[uint32]bool
	lastTry map[uint32]bool
	// notRun counts the attempts of each item that provably did not run.
	notRun map[uint32]int
	// notBefore delays further items of the lease after one did not run.
	notBefore time.Time
	// unacknowledged counts reports that the ledger has not acknowledged.
	unacknowledged int
	released       bool
}

// grantResult is the result of a request for leases.
type grantResult struct {
	grants []*rockwindpb.GrantedLease
	err    error
}

// acquire requests leases when fewer than half of the wanted items are pending.
func (e *Executor) acquire(ctx context.Context) {
	if e.acquiring || e.draining || time.Now().Before(e.acquireAfter) {
		return
	}
	e.acquireAfter = time.Now().Add(acquireInterval)
	free, models := e.capacity()
	pending := e.pendingItems()
	target := 2*free + int(e.rate.perSecond(time.Now())*lookAhead.Seconds())
	target = min(target, maximumRequestedItems)
	if free == 0 || 2*pending >= target {
		return
	}
	e.acquiring = true
	go func() { e.grants <- e.requestLeases(ctx, target-pending, models) }()
}

func (e *Executor) requestLeases(ctx context.Context, items int, models []string) grantResult {
	bounded, cancel := context.WithTimeout(ctx, acquireWait+acquireTimeout)
	defer cancel()
	response, err := e.options.Jobs.AcquireLeases(bounded, &rockwindpb.AcquireLeasesRequest{
		Holder: e.options.Holder, MaxItems: uint32(items), Models: models,
		LeaseMs: uint32(leaseDuration.Milliseconds()), WaitMs: uint32(acquireWait.Milliseconds()),
	})
	return grantResult{grants: response.GetGrants(), err: err}
}

// capacity returns how many more items this gateway's servers accept now, and the
// models that they accept them for.
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

// pendingItems counts the items that have not started. Items on their last try run
// few at a time, so the first maximumRequestedItems of them are left out: they
// must not keep other items from being leased.
func (e *Executor) pendingItems() int {
	count, last := 0, 0
	for _, held := range e.leases {
		count += len(held.pending)
		if len(held.lastTry) > 0 {
			last += held.waitingOnLastTry()
		}
	}
	return count - min(last, maximumRequestedItems)
}

// addLeases adds granted leases and starts to read their input.
func (e *Executor) addLeases(ctx context.Context, result grantResult) {
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

// takeItems fills the pending items from a granted lease. Items on their last try
// come last, since they may have to wait for a server.
func (l *lease) takeItems(granted *rockwindpb.Lease) {
	var last []uint32
	for offset := range granted.GetItemCount() {
		item := granted.GetFirstItem() + offset
		if isMarked(granted.GetLost(), offset) {
			l.lost[item] = true
		}
		switch {
		case isMarked(granted.GetSkip(), offset):
		case isMarked(granted.GetLastTry(), offset):
			l.lastTry[item] = true
			last = append(last, item)
		default:
			l.pending = append(l.pending, item)
		}
	}
	l.pending = append(l.pending, last...)
}

// requeue adds an item to the pending items again. Those on their last try stay
// at the end.
func (l *lease) requeue(item uint32) {
	position := len(l.pending)
	if !l.lastTry[item] {
		position -= l.waitingOnLastTry()
	}
	l.pending = slices.Insert(l.pending, position, item)
}

// waitingOnLastTry counts the pending items on their last try.
func (l *lease) waitingOnLastTry() int {
	count := 0
	for _, item := range l.pending {
		if l.lastTry[item] {
			count++
		}
	}
	return count
}

// isMarked reports whether the bit at the offset is set in a bitmap.
func isMarked(bitmap []byte, offset uint32) bool {
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

// heartbeat renews all leases once per heartbeatInterval.
func (e *Executor) heartbeat(ctx context.Context) {
	if e.heartbeating || len(e.leases) == 0 || time.Since(e.lastHeartbeat) < heartbeatInterval {
		return
	}
	e.heartbeating = true
	e.lastHeartbeat = time.Now()
	request := &rockwindpb.HeartbeatLeasesRequest{Holder: e.options.Holder, LeaseMs: uint32(leaseDuration.Milliseconds())}
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
			e.options.Log.WithError(err).Warn("failed to renew leases")
		}
		select {
		case e.verdicts <- response.GetVerdicts():
		case <-ctx.Done():
		}
	}()
}

// applyVerdicts removes the leases that the ledger has ended. Their running items
// are cancelled and not reported.
func (e *Executor) applyVerdicts(verdicts []*rockwindpb.LeaseVerdict) {
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

// releasePending drops the items that have not started, and releases the leases
// that are left without any.
func (e *Executor) releasePending() {
	for _, held := range e.leases {
		held.pending = nil
		e.releaseIfDone(held)
	}
}

// releaseIfDone releases a lease that has no items left to run or to report.
func (e *Executor) releaseIfDone(held *lease) {
	if held.released || len(held.pending) > 0 || len(held.running) > 0 || held.unacknowledged > 0 {
		return
	}
	held.released = true
	e.reporter.add(report{key: held.key, release: true})
}
