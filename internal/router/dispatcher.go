package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/waiting"
	"rockwind.example/rockwind/internal/zonedrain"
)

// Dispatcher holds the servers of all services as one process sees them, and the
// requests that wait for room. Its methods may be called by any goroutine.
type Dispatcher struct {
	zone   string
	gates  gate.Set
	origin time.Time

	mutex sync.Mutex
	// sharer tells other processes of this one's load; nil before Share.
	sharer *loadshare.Sharer
	name   string
	random *rand.Rand
	pools  map[string]*servicePool
	// view is the directory that was taken last, nil before the first one.
	view *directory.View
	// drains are the zones whose servers get nothing new.
	drains *zonedrain.List
	// index is the configuration in force, nil before the first one, and processes the names of
	// those that send to servers.
	index     *configuration.Index
	processes []string
	// servers are the hashes of all servers of the directory, and lefts those of what was left
	// behind there.
	servers map[uint32]struct{}
	lefts   map[uint32]struct{}
	shares  *balance.SharedLoads
	order   uint64
	// stores is how many processes start batch work, and viewAge how old the loads of
	// other processes may be.
	stores  int
	viewAge time.Duration
	// routers is how many processes start online requests.
	routers int
	// ready is closed by the first Update.
	ready chan struct{}
	// pressed is closed when online requests wait, and replaced.
	pressed chan struct{}
	// heldAt is when it was last written which tenants others go before.
	heldAt time.Duration
	// batch is what runs and waits of the shards that this process leads.
	batch *backlog.Ledger
	// survey is what this process asked servers after its start; nil before.
	survey *survey
}

// NewDispatcher returns a dispatcher without servers, for a process in a zone with the given
// gates.
func NewDispatcher(zone string, gates gate.Set) *Dispatcher {
	shares := balance.NewSharedLoads()
	shares.SetZone(zone)
	if !gates.On(gate.LeftBehind) {
		shares.IgnoreLeftBehind()
	}
	return &Dispatcher{
		zone:   zone,
		gates:  gates,
		origin: time.Now(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  make(map[string]*servicePool),
		shares: shares,
		batch:  backlog.NewLedger(),

		servers: make(map[uint32]struct{}),
		lefts:   make(map[uint32]struct{}),

		ready:   make(chan struct{}),
		pressed: make(chan struct{}),
	}
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.origin) }

// Ready tells whether the dispatcher has taken a directory.
func (d *Dispatcher) Ready() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// AwaitReady waits until Ready, and returns false where the context ends before.
func (d *Dispatcher) AwaitReady(ctx context.Context) bool {
	select {
	case <-d.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Dispatcher) service(name string) *servicePool {
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
		classes: make(map[waiting.Priority]*class), holding: typicalHolding,
		needHashes: backlog.NeedHashes(name),
	}
	if d.gates.On(gate.FairShare) {
		created.waiting.EnableFairShare(func(place waiting.SortKey) float64 { return created.virtual(place, d.now()) })
	}
	return created
}

// Lease is a server that a request may use. It ends with Done or Abandon.
type Lease struct {
	balance.Choice
	dispatcher *Dispatcher
	service    string
	began      time.Time
	// charge is what its tenant was charged for the request.
	charge charge
	read   bool
	// told is the pace that the server told with its answer, zero where it told none.
	told float64
	// sighting follows how fast the events of the run come.
	sighting pace.Sighting
}

// Acquire waits for a server with room, at most until the patience or the context ends. It
// fails with fault.Overloaded, which says when to come back, at once where those that go
// before it need longer than its patience, or with fault.Unavailable where the service has
// no server that was not tried.
func (d *Dispatcher) Acquire(ctx context.Context, ask AcquireRequest) (*Lease, error) {
	d.mutex.Lock()
	pool := d.service(ask.Service)
	pool.judgeRoom(d.now())
	now := time.Now()
	d.order++
	place := ask.place(d.order, now)
	pool.class(ask.Priority).note(ask.Tenant)
	before := pool.waiting.CountAhead(place, now)
	if before == 0 {
		if given, found := d.choose(pool, ask); found {
			d.mutex.Unlock()
			return d.lease(ask.Service, given), nil
		}
	}
	if pool.pool.Size() <= len(ask.Tried) {
		d.mutex.Unlock()
		return nil, fault.Newf(fault.Unavailable, "come back later", "service %s has no server that can take the request", ask.Service).
			WithRan(fault.NotRun).WithRetryAfter(typicalHolding / 4)
	}
	if ahead := before + pool.elsewhere(place, d.now()); pool.expected(ask, ahead, d.now()) > ask.MaxWait {
		refusal := pool.crowded(ask, ahead, now, d.now())
		d.mutex.Unlock()
		return nil, refusal
	}
	entry := pool.waiting.Add(place, &waiter{ask: ask, place: place, began: now, granted: make(chan grant, 1)})
	if pool.someTried() || pool.modest(ask, d.now()) {
		// Those before it may be such as find no room where it does.
		d.serveWaiting(ask.Service)
	}
	d.recheckSoon(pool)
	d.nudge()
	d.mutex.Unlock()
	return d.await(ctx, entry)
}

// choose returns a server with room for a request that goes first, or beyond what is there for
// one that may go beyond it. The mutex is held.
func (d *Dispatcher) choose(pool *servicePool, ask AcquireRequest) (grant, bool) {
	if d.gates.On(gate.Returns) {
		pool.pool.SetWaiting(pool.waiting.Len())
	}
	choice, found := pool.pool.Choose(ask.Demand, ask.Tried, d.now(), d.random)
	if !found && pool.modest(ask, d.now()) {
		beyond := ask.Demand
		beyond.Overcommit = true
		choice, found = pool.pool.Choose(beyond, ask.Tried, d.now(), d.random)
	}
	if !found {
		return grant{}, false
	}
	return grant{choice: choice, charge: pool.begin(ask, choice, d.now())}, true
}

// TryAcquire returns a server with room now, or nil. Requests that wait go first.
func (d *Dispatcher) TryAcquire(service string, demand balance.Demand) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(service)
	if pool.waiting.Len() > 0 || (demand.Batch && d.surveyOpen()) {
		return nil
	}
	choice, found := pool.pool.Choose(demand, nil, d.now(), d.random)
	if !found {
		return nil
	}
	if demand.Batch {
		d.nudge()
	}
	return d.lease(service, grant{choice: choice})
}

// PreemptBatch visits the servers of a service at which batch work of this process should
// give way to online requests, with how many of its requests. The visitor returns how many
// gave way; it must not use the dispatcher.
func (d *Dispatcher) PreemptBatch(service string, visit func(server string, requests int) int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(service)
	pool.pool.PreemptBatch(pool.waiting.Len(), d.now(), d.random, visit)
}

// nudge tells the others at once what has changed here. The mutex is held.
func (d *Dispatcher) nudge() {
	if d.sharer != nil {
		d.sharer.TriggerSend()
	}
}

// OnlineWaiting returns a channel that is closed when online requests next wait for a server
// somewhere.
func (d *Dispatcher) OnlineWaiting() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pressed
}

// press wakes those who look after batch work. The mutex is held.
func (d *Dispatcher) press() {
	close(d.pressed)
	d.pressed = make(chan struct{})
}

func (d *Dispatcher) lease(service string, given grant) *Lease {
	return &Lease{Choice: given.choice, charge: given.charge, dispatcher: d, service: service, began: time.Now()}
}

// recheckInterval is how often what waits for a service is looked at again although nothing
// ended: a server that refused as full may have room again. There is one look for all that
// wait, which costs 24 ms of a processor a second where 2,000 do (BenchmarkWaiting); one for
// each of them would cost 1 s, and keep others from the dispatcher.
const recheckInterval = 25 * time.Millisecond

// recheckSoon has the requests that wait for a service looked at again until none does. The
// mutex is held.
func (d *Dispatcher) recheckSoon(pool *servicePool) {
	if pool.rechecking || pool.waiting.Len() == 0 {
		return
	}
	pool.rechecking = true
	time.AfterFunc(recheckInterval, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		pool.rechecking = false
		d.serveWaiting(pool.name)
		d.recheckSoon(pool)
	})
}

func (d *Dispatcher) await(ctx context.Context, entry *waiting.Entry[*waiter]) (*Lease, error) {
	limit := time.NewTimer(entry.Value().ask.MaxWait)
	defer limit.Stop()
	select {
	case given := <-entry.Value().granted:
		return d.lease(entry.Value().ask.Service, given), nil
	case <-limit.C:
	case <-ctx.Done():
	}
	return d.giveUp(ctx, entry)
}

// giveUp ends the wait of a request. One whose client has left or waits no longer does not
// come back.
func (d *Dispatcher) giveUp(ctx context.Context, entry *waiting.Entry[*waiter]) (*Lease, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := entry.Value().ask.Service
	pool := d.service(service)
	if entry.Removed() {
		return d.lease(service, <-entry.Value().granted), nil
	}
	pool.waiting.Remove(entry)
	now, waiter := time.Now(), entry.Value()
	ask := waiter.ask
	ask.LastAttempt = ask.LastAttempt || ctx.Err() != nil
	if ask.Remaining > 0 {
		ask.Remaining = max(time.Millisecond, ask.Remaining-now.Sub(waiter.began))
	}
	ahead := pool.waiting.CountAhead(waiter.place, now) + pool.elsewhere(waiter.place, d.now())
	return nil, pool.busy(ask, ahead, now, d.now())
}

// serveWaiting gives servers with room to those that wait, in their order.
func (d *Dispatcher) serveWaiting(service string) {
	pool := d.service(service)
	pool.judgeRoom(d.now())
	for d.serveNext(pool) {
	}
}

// serveNext gives a server to the first of those that wait which finds room, and tells whether
// one did.
func (d *Dispatcher) serveNext(pool *servicePool) bool {
	served, given := d.firstWithRoom(pool)
	if served == nil {
		return false
	}
	pool.waiting.Remove(served)
	served.Value().granted <- given
	return true
}

// firstWithRoom is the first of those that wait which finds room. One that must not go to the
// servers with room, which it has tried, does not hold up those behind it, and none holds up the
// first of its own priority that may go beyond the slots.
func (d *Dispatcher) firstWithRoom(pool *servicePool) (served *waiting.Entry[*waiter], given grant) {
	now := time.Now()
	try := func(entry *waiting.Entry[*waiter]) bool {
		var found bool
		if given, found = d.choose(pool, entry.Value().ask); found {
			served = entry
		}
		return found
	}
	pool.waiting.Walk(now, func(entry *waiting.Entry[*waiter]) bool {
		return !try(entry) && len(entry.Value().ask.Tried) > 0
	})
	if served != nil || pool.waiting.Len() == 0 || !pool.pool.Paced() {
		return served, given
	}
	priority := pool.waiting.First(now).Value().ask.Priority
	modest := pool.waiting.FirstMatching(now, func(each *waiter) bool {
		return each.ask.Priority == priority && pool.modest(each.ask, d.now())
	})
	if modest != nil {
		try(modest)
	}
	return served, given
}

// Evaluate runs the judgements that depend on time. Call it about once a second.
func (d *Dispatcher) Evaluate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.shares.Expire(d.now())
	for _, pool := range d.pools {
		pool.pool.Evaluate(d.now(), d.random)
	}
	d.recordHeldBack()
}

// RecordLoad takes the load that the server told with an answer.
func (l *Lease) RecordLoad(load balance.LoadReport) {
	l.told = load.Pace
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(l.service).pool.RecordReport(l.ID, load, d.now())
}

// RecordFirstOutput tells that the first event, or the whole answer, came.
func (l *Lease) RecordFirstOutput() { l.noteRead(true) }

func (l *Lease) noteRead(came bool) {
	if l.read {
		return
	}
	l.read = true
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(l.service).pool.RecordFirstEvent(l.Choice, came, d.now())
}

// Done ends the lease with what the exchange showed of the server.
func (l *Lease) Done(outcome health.Outcome, latency time.Duration) {
	l.noteRead(outcome == health.Success || outcome == health.Refused)
	l.look()
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(l.service)
	pool.pool.RecordOutcome(l.Choice, outcome, latency, d.now(), d.random)
	// One whose time was over held its slot for at least as long.
	if outcome == health.Success || (outcome == health.Timeout && d.gates.On(gate.Returns)) {
		pool.learn(time.Since(l.began))
	}
	d.serveWaiting(l.service)
}

// RecordEvents tells how many events the answer had.
func (l *Lease) RecordEvents(events uint64) {
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(l.service).wrote(events)
}

// MarkNotRun tells, before the lease ends, that the request did not run at the server: its tenant is
// not charged for it.
func (l *Lease) MarkNotRun() {
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l.charge.giveBack(d.now())
	l.charge = charge{}
}

// DoneMisdirected ends the lease of an exchange in which another server answered at the address.
func (l *Lease) DoneMisdirected() { l.release((*balance.Pool).RecordReplaced) }

// Abandon ends the lease of an exchange that shows nothing of the server.
func (l *Lease) Abandon() { l.release((*balance.Pool).Abandon) }

// release ends the lease of an exchange that gave no answer of the server, and hands on
// what it has left free.
func (l *Lease) release(end func(*balance.Pool, balance.Choice)) {
	l.noteRead(false)
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	end(d.service(l.service).pool, l.Choice)
	if l.Batch {
		d.nudge()
	}
	d.serveWaiting(l.service)
}
