package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/traffic"
	"rockwind.example/rockwind/internal/waitqueue"
	"rockwind.example/rockwind/internal/zonedrain"
)

// Dispatcher assigns requests to the servers of all services and queues those that find no
// capacity. It is safe for concurrent use.
type Dispatcher struct {
	zone     string
	topology topology.Map
	gates    featuregate.Set
	origin   time.Time
	// traffic counts load digests; nil if they are not counted.
	traffic *traffic.Counter

	mutex sync.Mutex
	// sharer shares loads with other processes, and trigger has it send digests soon; nil before ShareLoads.
	sharer  *loadshare.Sharer
	trigger digestTrigger
	name    string
	random  *rand.Rand
	pools   map[string]*servicePool
	// view is the current directory, nil before the first one.
	view *directory.View
	// zoneDrains are the zones whose servers get no new work.
	zoneDrains *zonedrain.List
	// coldServers are the servers that reported that they are cold. coldUntil holds the servers of the
	// pools that are cold, by identifier, and until when; liveProcesses is the number of processes for which
	// their spacings were computed. observedCold holds the cold times that health answers gave.
	coldServers   *coldstart.List
	coldUntil     map[string]coldMember
	observedCold  map[string]observedCold
	liveProcesses int
	// index is the current configuration, nil before the first one. processNames are the
	// processes that send requests to servers.
	index *configuration.Index
	// regionSets are the sets of regions to which it may restrict requests.
	regionSets   []topology.RegionSet
	processNames []string
	// groupSize is the number of processes with which this one shares its loads directly.
	groupSize int
	// serverHashes are the hashes of all servers of the directory, and orphanHashes those of
	// the orphaned requests there.
	serverHashes map[uint32]struct{}
	orphanHashes map[uint32]struct{}
	// addressZones holds the zones of the addresses of servers, and roundTrips the round-trip times to
	// them; only on sites with several regions.
	addressZones map[string]string
	roundTrips   *balance.RoundTrips
	shares       *balance.SharedLoads
	lastArrival  uint64
	// storeCount is the number of processes that start batch work, and maxLoadAge how old the
	// shared loads may be; maxRegionLoadAge is that of loads of other regions.
	storeCount       int
	maxLoadAge       time.Duration
	maxRegionLoadAge time.Duration
	// routerCount is the number of processes that start online requests.
	routerCount int
	// ready is closed by the first Update, and updated is closed and replaced by each one.
	ready, updated chan struct{}
	// onlineWaiting is closed and replaced when online requests wait.
	onlineWaiting chan struct{}
	// heldBackRecordedAt is when held-back tenants were last recorded.
	heldBackRecordedAt time.Duration
	// batch holds what runs and waits in the shards that this process leads.
	batch *backlog.Ledger
	// origins holds at which software versions streams began.
	origins *streamOrigins
	// survey is the survey of servers after the start; nil before.
	survey *survey

	// multiRegion is set if the site has several regions; it never changes. started counts requests by
	// distance and needs no mutex.
	multiRegion bool
	started     startCounts
}

// NewDispatcher returns a dispatcher without servers for a process in the given zone of a site.
func NewDispatcher(zone string, sites topology.Map, gates featuregate.Set) *Dispatcher {
	origin, shares := time.Now(), balance.NewSharedLoads()
	shares.SetZone(zone)
	shares.SetStarted(origin.UnixMilli())
	if !gates.On(featuregate.Orphans) {
		shares.IgnoreOrphaned()
	}
	return &Dispatcher{
		zone:     zone,
		topology: sites,
		gates:    gates,
		origin:   origin,

		multiRegion: sites.MultiRegion(),

		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:   make(map[string]*servicePool),
		shares:  shares,
		batch:   backlog.NewLedger(),
		origins: newStreamOrigins(origin),

		serverHashes: make(map[uint32]struct{}),
		orphanHashes: make(map[uint32]struct{}),
		coldUntil:    make(map[string]coldMember),
		observedCold: make(map[string]observedCold),
		addressZones: make(map[string]string),
		roundTrips:   balance.NewRoundTrips(),

		ready:         make(chan struct{}),
		updated:       make(chan struct{}),
		onlineWaiting: make(chan struct{}),
	}
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.origin) }

// Ready reports whether the dispatcher has a directory.
func (d *Dispatcher) Ready() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the dispatcher has a directory. It returns false if the context ends
// first.
func (d *Dispatcher) AwaitReady(ctx context.Context) bool {
	select {
	case <-d.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Dispatcher) poolOf(name string) *servicePool {
	found, known := d.pools[name]
	if !known {
		found = d.newServicePool(name)
		d.pools[name] = found
	}
	return found
}

func (d *Dispatcher) newServicePool(name string) *servicePool {
	created := &servicePool{
		name: name, gates: d.gates, pool: d.newPool(name), shares: d.shares,
		versions: make(versionHistory),
		classes:  make(map[waitqueue.Priority]*priorityClass), holdTime: defaultHoldTime,
		needHashes: backlog.UnmetDemandHashes(name),
	}
	created.pool.KnowRegions(d.regionSets)
	if d.gates.On(featuregate.FairShare) {
		created.waiting.EnableFairShare(func(key waitqueue.SortKey) float64 { return created.virtualTime(key, d.now()) })
	}
	return created
}

// Lease allows a request to use a server. It is released with Done, DoneMisdirected or Abandon.
type Lease struct {
	balance.Choice
	dispatcher *Dispatcher
	service    string
	startedAt  time.Time
	// charge is the work charged to the tenant for the request.
	charge      charge
	firstOutput bool
	// reportedPace is the pace that the server reported with its response, zero if none.
	reportedPace float64
	// paceSample measures the pace of the run by its events.
	paceSample pace.EventTimer
}

// Acquire waits for a server with capacity until the maximum wait is over or the context ends. It
// fails with fault.Overloaded, which has a Retry-After, at once if the requests ahead need longer
// than the maximum wait, or with fault.Unavailable if the service has no server that was not
// tried.
func (d *Dispatcher) Acquire(ctx context.Context, request AcquireRequest) (*Lease, error) {
	d.mutex.Lock()
	pool := d.poolOf(request.Service)
	pool.updateOverload(d.now())
	now := time.Now()
	request.Demand.Regions = d.allowedRegions(request)
	d.lastArrival++
	key := request.sortKey(d.lastArrival, now)
	pool.class(request.Priority).setWeight(request.Tenant)
	pool.class(request.Priority).noteArrival(request, now)
	pool.noteTimelyArrival(request, now)
	aheadHere := pool.waiting.CountAhead(key, now)
	if aheadHere == 0 {
		if given, found := d.choose(pool, request); found {
			d.mutex.Unlock()
			return d.lease(request.Service, given), nil
		}
	}
	if refusal := pool.noServerFault(request, d.now()); refusal != nil {
		d.mutex.Unlock()
		return nil, refusal
	}
	if ahead := pool.ahead(request, key, now, d.now()); pool.expectedWait(request, ahead, d.now()) > request.MaxWait {
		refusal := pool.queueFullFault(request, ahead, now, d.now())
		d.mutex.Unlock()
		return nil, refusal
	}
	entry := pool.waiting.Add(key, &waiter{request: request, key: key, waitingSince: now, granted: make(chan grant, 1)})
	pool.updateWaitingIn()
	if pool.anySkippable() || pool.mayOvercommit(request, d.now()) {
		// Requests ahead may have tried the servers that have capacity for this one, or may not use
		// them.
		d.serveWaiting(request.Service)
	}
	d.scheduleRecheck(pool)
	d.shareLoadsNow()
	d.mutex.Unlock()
	return d.awaitGrant(ctx, entry)
}

// choose returns a server with capacity for the next request. If there is none, a request that
// may overcommit gets a server beyond its slots. The caller holds d.mutex.
func (d *Dispatcher) choose(pool *servicePool, request AcquireRequest) (grant, bool) {
	now := time.Now()
	if d.gates.On(featuregate.RetryAfter) {
		pool.pool.SetWaiting(pool.waiting.Len(), pool.waiting.CountTimely(now))
		pool.pool.SetExpectedTimely(pool.timelyArrivals.perSecond(now) * pool.holdTime.Seconds())
	}
	request.Demand.Late = pool.yieldsToTimely(request, now, d.now())
	choice, found := pool.pool.Choose(request.Demand, request.Tried, d.now(), d.random)
	if !found && pool.mayOvercommit(request, d.now()) {
		overcommitted := request.Demand
		overcommitted.Overcommit = true
		choice, found = pool.pool.Choose(overcommitted, request.Tried, d.now(), d.random)
	}
	pool.recordStartLimit(d.now())
	if !found {
		return grant{}, false
	}
	if pool.pool.SlotsScarce(request.Demand, d.now()) {
		// Otherwise the others would send requests to the same slot until the next regular digest.
		d.shareLoadsNow()
	}
	return grant{choice: choice, charge: pool.chargeRequest(request, choice, d.now())}, true
}

// TryAcquire returns a server with capacity, or nil if there is none or requests wait.
func (d *Dispatcher) TryAcquire(service string, demand balance.Demand) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(service)
	if pool.waiting.Len() > 0 || (demand.Batch && d.surveyPending()) {
		return nil
	}
	choice, found := pool.pool.Choose(demand, nil, d.now(), d.random)
	if !found {
		return nil
	}
	if demand.Batch {
		d.shareLoadsNow()
	}
	return d.lease(service, grant{choice: choice})
}

// TrialDue reports whether an ejected server of a service in the given regions may get a trial request.
func (d *Dispatcher) TrialDue(service string, regions topology.RegionSet) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poolOf(service).pool.TrialDue(regions, d.now())
}

// PreemptBatch visits the servers of a service at which batch work of this process should be
// preempted, with the number of requests. The visitor returns how many items it preempted; it must
// not use the dispatcher.
func (d *Dispatcher) PreemptBatch(service string, visit func(server string, requests int) int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(service)
	pool.pool.PreemptBatch(pool.waiting.Len(), d.now(), d.random, visit)
}

// shareLoadsNow shares a change of loads without delay. The caller holds d.mutex.
func (d *Dispatcher) shareLoadsNow() {
	if d.trigger != nil {
		d.trigger.TriggerSend()
	}
}

// OnlineWaiting returns a channel that is closed when online requests next wait for a server at
// any process.
func (d *Dispatcher) OnlineWaiting() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.onlineWaiting
}

// signalOnlineWaiting wakes the receivers of OnlineWaiting. The caller holds d.mutex.
func (d *Dispatcher) signalOnlineWaiting() {
	close(d.onlineWaiting)
	d.onlineWaiting = make(chan struct{})
}

func (d *Dispatcher) lease(service string, given grant) *Lease {
	d.started[given.choice.Distance].Add(1)
	return &Lease{Choice: given.choice, charge: given.charge, dispatcher: d, service: service, startedAt: time.Now()}
}

// recheckInterval is how often waiting requests are retried although no request has ended: a
// server that refused a request as full may have capacity again. One timer serves all requests of
// a service: with 2,000 of them that takes 24 ms of CPU per second, and a timer for each took 1 s, which
// blocked the dispatcher (BenchmarkWaiting).
const recheckInterval = 25 * time.Millisecond

// scheduleRecheck retries the waiting requests of a service periodically until none waits. The
// caller holds d.mutex.
func (d *Dispatcher) scheduleRecheck(pool *servicePool) {
	if pool.rechecking || pool.waiting.Len() == 0 {
		return
	}
	pool.rechecking = true
	time.AfterFunc(recheckInterval, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		pool.rechecking = false
		d.serveWaiting(pool.name)
		d.scheduleRecheck(pool)
	})
}

func (d *Dispatcher) awaitGrant(ctx context.Context, entry *waitqueue.Entry[*waiter]) (*Lease, error) {
	limit := time.NewTimer(entry.Value().request.MaxWait)
	defer limit.Stop()
	select {
	case given := <-entry.Value().granted:
		return d.leaseGranted(entry.Value().request.Service, given)
	case <-limit.C:
	case <-ctx.Done():
	}
	return d.stopWaiting(ctx, entry)
}

// stopWaiting removes a request from the queue. One whose client has disconnected or timed out is
// not expected to retry.
func (d *Dispatcher) stopWaiting(ctx context.Context, entry *waitqueue.Entry[*waiter]) (*Lease, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := entry.Value().request.Service
	pool := d.poolOf(service)
	if entry.Removed() {
		return d.leaseGranted(service, <-entry.Value().granted)
	}
	pool.waiting.Remove(entry)
	pool.updateWaitingIn()
	now, waiter := time.Now(), entry.Value()
	request := waiter.request
	request.LastAttempt = request.LastAttempt || ctx.Err() != nil
	if request.Remaining > 0 {
		request.Remaining = max(time.Millisecond, request.Remaining-now.Sub(waiter.waitingSince))
	}
	return nil, pool.busyFault(request, pool.ahead(request, waiter.key, now, d.now()), now, d.now())
}

// serveWaiting assigns servers with capacity to waiting requests in queue order. The caller holds
// d.mutex.
func (d *Dispatcher) serveWaiting(service string) {
	pool := d.poolOf(service)
	pool.updateOverload(d.now())
	for d.serveNext(pool) {
	}
	pool.refuseUnreachable(d.now())
}

// serveNext assigns a server to the first waiting request that finds capacity and reports whether
// there was one. The caller holds d.mutex.
func (d *Dispatcher) serveNext(pool *servicePool) bool {
	served, given := d.firstWithCapacity(pool)
	if served == nil {
		return false
	}
	pool.waiting.Remove(served)
	served.Value().granted <- given
	return true
}

// firstWithCapacity returns the first waiting request that finds capacity. A request that has
// tried the servers with capacity, or that is restricted to regions without any, does not block
// those behind it, and no request blocks the first of the same priority that may overcommit. The
// caller holds d.mutex.
func (d *Dispatcher) firstWithCapacity(pool *servicePool) (served *waitqueue.Entry[*waiter], given grant) {
	now := time.Now()
	pool.updateWaitingIn()
	try := func(entry *waitqueue.Entry[*waiter]) bool {
		var found bool
		if given, found = d.choose(pool, entry.Value().request); found {
			served = entry
		}
		return found
	}
	full := make(fullRegions)
	pool.waiting.Walk(now, func(entry *waitqueue.Entry[*waiter]) bool {
		request := entry.Value().request
		if full.excludes(request) && !pool.mayOvercommit(request, d.now()) {
			return true
		}
		if try(entry) {
			return false
		}
		full.add(request)
		return entry.Value().skippable()
	})
	if served != nil || pool.waiting.Len() == 0 || !pool.pool.Paced() {
		return served, given
	}
	priority := pool.waiting.First(now).Value().request.Priority
	overcommitting := pool.waiting.FirstMatching(now, func(each *waiter) bool {
		return each.request.Priority == priority && pool.mayOvercommit(each.request, d.now())
	})
	if overcommitting != nil {
		try(overcommitting)
	}
	return served, given
}

// Evaluate updates everything that depends on time. It is called every evaluateInterval.
func (d *Dispatcher) Evaluate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.shares.Expire(d.now())
	d.updateColdSpacings(false)
	for _, pool := range d.pools {
		pool.pool.Evaluate(d.now(), d.random)
		pool.recordStartLimit(d.now())
	}
	d.recordHeldBack()
	d.origins.expire()
}

// RecordLoad records the load that the server reported with its response.
func (l *Lease) RecordLoad(load balance.LoadReport) {
	l.reportedPace = load.Pace
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poolOf(l.service).pool.RecordReport(l.ID, load, d.now())
}

// RecordFirstOutput records that the first event or the complete response arrived.
func (l *Lease) RecordFirstOutput() { l.recordFirstOutput(true) }

func (l *Lease) recordFirstOutput(arrived bool) {
	if l.firstOutput {
		return
	}
	l.firstOutput = true
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poolOf(l.service).pool.RecordFirstEvent(l.Choice, arrived, d.now())
}

// Done releases the lease with the outcome of the exchange.
func (l *Lease) Done(outcome health.Outcome, latency time.Duration) {
	l.recordFirstOutput(outcome == health.Success || outcome == health.Refused)
	l.reportPace()
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(l.service)
	pool.pool.RecordOutcome(l.Choice, outcome, latency, d.now(), d.random)
	// A request that timed out held its slot for at least this long.
	if outcome == health.Success || (outcome == health.Timeout && d.gates.On(featuregate.RetryAfter)) {
		pool.recordHoldTime(time.Since(l.startedAt))
	}
	d.serveWaiting(l.service)
}

// RecordEvents records the number of events in the response.
func (l *Lease) RecordEvents(events uint64) {
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poolOf(l.service).recordEvents(events)
}

// MarkNotRun records, before the lease is released, that the server did not run the request. The
// charge to its tenant is refunded.
func (l *Lease) MarkNotRun() {
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l.charge.refund(d.now())
	l.charge = charge{}
}

// DoneMisdirected releases the lease of an exchange in which another server answered at the
// address.
func (l *Lease) DoneMisdirected() { l.release((*balance.Pool).RecordReplaced) }

// Abandon releases the lease of an exchange that says nothing about the server.
func (l *Lease) Abandon() { l.release((*balance.Pool).Abandon) }

// release releases the lease of an exchange without a response of the server and assigns the
// freed capacity.
func (l *Lease) release(end func(*balance.Pool, balance.Choice)) {
	l.recordFirstOutput(false)
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	end(d.poolOf(l.service).pool, l.Choice)
	if l.Batch {
		d.shareLoadsNow()
	}
	d.serveWaiting(l.service)
}
