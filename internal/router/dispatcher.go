package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/waiting"
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
	// servers are the hashes of all servers of the directory, and lefts those of what was left
	// behind there.
	servers map[uint32]struct{}
	lefts   map[uint32]struct{}
	shares  *balance.Shares
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
	// survey is what this process asked servers after its start; nil before.
	survey *survey
}

// NewDispatcher returns a dispatcher without servers, for a process in a zone with the given
// gates.
func NewDispatcher(zone string, gates gate.Set) *Dispatcher {
	shares := balance.NewShares()
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

		ready:   make(chan struct{}),
		pressed: make(chan struct{}),
	}
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.origin) }

// Update takes the servers of the directory.
func (d *Dispatcher) Update(view *directory.View) {
	members := make(map[string][]balance.Member)
	servers, lefts := make(map[uint32]struct{}), make(map[uint32]struct{})
	for _, server := range view.Servers() {
		servers[balance.ServerHash(server.GetId())] = struct{}{}
		lefts[balance.LeftHash(server.GetId())] = struct{}{}
		switch server.GetState() {
		case rockwindpb.ServerState_SERVER_STATE_READY, rockwindpb.ServerState_SERVER_STATE_SILENT:
			members[server.GetService()] = append(members[server.GetService()], balance.Member{
				ID: server.GetId(), Address: server.GetAddress(), Zone: server.GetZone(), Slots: int(server.GetSlots()),
				Silent: server.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT,
			})
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.setPeers(view)
	d.servers, d.lefts = servers, lefts
	for name := range d.pools {
		if members[name] == nil {
			members[name] = []balance.Member{}
		}
	}
	for name, list := range members {
		pool := d.service(name).pool
		pool.Update(list)
		pool.SetBatchProcesses(d.stores)
		pool.SetOnlineProcesses(d.routers)
		pool.SetViewAge(d.viewAge)
		d.serveWaiting(name)
	}
	if !d.Ready() {
		close(d.ready)
	}
}

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
	}
	if d.gates.On(gate.FairShare) {
		created.waiting.Share(func(place waiting.Place) float64 { return created.virtual(place, d.now()) })
	}
	return created
}

// Lease is a server that a request may use. It ends with Done or Abandon.
type Lease struct {
	balance.Choice
	dispatcher *Dispatcher
	service    string
	began      time.Time
	read       bool
	// told is the pace that the server told with its answer, zero where it told none.
	told float64
	// sighting follows how fast the events of the run come.
	sighting pace.Sighting
}

// Acquire waits for a server with room, at most until the patience or the context ends. It
// fails with fault.Overloaded, which says when to come back, at once where those that go
// before it need longer than its patience, or with fault.Unavailable where the service has
// no server that was not tried.
func (d *Dispatcher) Acquire(ctx context.Context, ask Ask) (*Lease, error) {
	d.mutex.Lock()
	pool := d.service(ask.Service)
	pool.judgeRoom(d.now())
	now := time.Now()
	d.order++
	place := ask.place(d.order, now)
	pool.class(ask.Priority).note(ask.Tenant)
	before := pool.waiting.Ahead(place, now)
	if before == 0 {
		if choice, found := d.choose(pool, ask); found {
			d.mutex.Unlock()
			return d.lease(ask.Service, choice), nil
		}
	}
	if pool.pool.Size() <= len(ask.Tried) {
		d.mutex.Unlock()
		return nil, fault.Newf(fault.Unavailable, "come back later", "service %s has no server that can take the request", ask.Service).
			WithRan(fault.NotRun).WithRetryAfter(typicalHolding / 4)
	}
	if ahead := before + pool.elsewhere(place, d.now()); pool.expected(ask, ahead, d.now()) > ask.Patience {
		refusal := pool.crowded(ask, ahead, now, d.now())
		d.mutex.Unlock()
		return nil, refusal
	}
	entry := pool.waiting.Add(place, &waiter{ask: ask, place: place, began: now, granted: make(chan balance.Choice, 1)})
	if pool.someTried() {
		// Those before it may be such as find no room where it does.
		d.serveWaiting(ask.Service)
	}
	d.nudge()
	d.mutex.Unlock()
	return d.await(ctx, entry)
}

// choose returns a server with room for a request that goes first. The mutex is held.
func (d *Dispatcher) choose(pool *servicePool, ask Ask) (balance.Choice, bool) {
	if d.gates.On(gate.Returns) {
		pool.pool.SetWaiting(pool.waiting.Len())
	}
	choice, found := pool.pool.Choose(ask.Demand, ask.Tried, d.now(), d.random)
	if found {
		pool.begin(ask, choice, d.now())
	}
	return choice, found
}

// TryAcquire returns a server with room now, or nil. Requests that wait go first.
func (d *Dispatcher) TryAcquire(service string, demand balance.Demand) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(service)
	if pool.waiting.Len() > 0 || d.holdsBatch(demand) {
		return nil
	}
	choice, found := pool.pool.Choose(demand, nil, d.now(), d.random)
	if !found {
		return nil
	}
	if demand.Batch {
		d.nudge()
	}
	return d.lease(service, choice)
}

// Yield visits the servers of a service at which batch work of this process should
// give way to online requests, with how many of its requests. The visitor returns how many
// gave way; it must not use the dispatcher.
func (d *Dispatcher) Yield(service string, visit func(server string, requests int) int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(service)
	pool.pool.Yield(pool.waiting.Len(), d.now(), d.random, visit)
}

// nudge tells the others at once what has changed here. The mutex is held.
func (d *Dispatcher) nudge() {
	if d.sharer != nil {
		d.sharer.Nudge()
	}
}

// Pressed returns a channel that is closed when online requests next wait for a server
// somewhere.
func (d *Dispatcher) Pressed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pressed
}

// press wakes those who look after batch work. The mutex is held.
func (d *Dispatcher) press() {
	close(d.pressed)
	d.pressed = make(chan struct{})
}

func (d *Dispatcher) lease(service string, choice balance.Choice) *Lease {
	return &Lease{Choice: choice, dispatcher: d, service: service, began: time.Now()}
}

// recheckInterval is how often a request that waits looks again although nothing
// ended: a server that refused as full may have room again.
const recheckInterval = 25 * time.Millisecond

func (d *Dispatcher) await(ctx context.Context, entry *waiting.Entry[*waiter]) (*Lease, error) {
	service := entry.Value().ask.Service
	limit := time.NewTimer(entry.Value().ask.Patience)
	defer limit.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case choice := <-entry.Value().granted:
			return d.lease(service, choice), nil
		case <-recheck.C:
			d.mutex.Lock()
			d.serveWaiting(service)
			d.mutex.Unlock()
			continue
		case <-limit.C:
		case <-ctx.Done():
		}
		return d.giveUp(ctx, entry)
	}
}

// giveUp ends the wait of a request. One whose client has left or waits no longer does not
// come back.
func (d *Dispatcher) giveUp(ctx context.Context, entry *waiting.Entry[*waiter]) (*Lease, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := entry.Value().ask.Service
	pool := d.service(service)
	if entry.Left() {
		return d.lease(service, <-entry.Value().granted), nil
	}
	pool.waiting.Remove(entry)
	now, waiter := time.Now(), entry.Value()
	ask := waiter.ask
	ask.Final = ask.Final || ctx.Err() != nil
	if ask.Remaining > 0 {
		ask.Remaining = max(time.Millisecond, ask.Remaining-now.Sub(waiter.began))
	}
	ahead := pool.waiting.Ahead(waiter.place, now) + pool.elsewhere(waiter.place, d.now())
	return nil, pool.busy(ask, ahead, now, d.now())
}

// serveWaiting gives servers with room to those that wait, in their order. One that must not go
// to the servers with room, which it has tried, does not hold up those behind it.
func (d *Dispatcher) serveWaiting(service string) {
	pool := d.service(service)
	pool.judgeRoom(d.now())
	passed := make(map[*waiting.Entry[*waiter]]bool)
	for pool.waiting.Len() > 0 {
		first := pool.waiting.First(time.Now(), func(entry *waiting.Entry[*waiter]) bool { return !passed[entry] })
		if first == nil {
			return
		}
		waiter := first.Value()
		choice, found := d.choose(pool, waiter.ask)
		switch {
		case found:
			pool.waiting.Remove(first)
			waiter.granted <- choice
		case len(waiter.ask.Tried) > 0:
			passed[first] = true
		default:
			return
		}
	}
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

// Told takes the load that the server told with an answer.
func (l *Lease) Told(load balance.Load) {
	l.told = load.Pace
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(l.service).pool.Told(l.ID, load, d.now())
}

// Read tells that the first event, or the whole answer, came.
func (l *Lease) Read() { l.noteRead(true) }

func (l *Lease) noteRead(came bool) {
	if l.read {
		return
	}
	l.read = true
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(l.service).pool.Read(l.Choice, came, d.now())
}

// Done ends the lease with what the exchange showed of the server.
func (l *Lease) Done(outcome health.Outcome, latency time.Duration) {
	l.noteRead(outcome == health.Success || outcome == health.Refused)
	l.look()
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(l.service)
	pool.pool.Ended(l.Choice, outcome, latency, d.now(), d.random)
	// One whose time was over held its slot for at least as long.
	if outcome == health.Success || (outcome == health.Timeout && d.gates.On(gate.Returns)) {
		pool.learn(time.Since(l.began))
	}
	d.serveWaiting(l.service)
}

// Wrote tells how many events the answer had.
func (l *Lease) Wrote(events uint64) {
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.service(l.service).wrote(events)
}

// Gone ends the lease of an exchange in which another server answered at the address.
func (l *Lease) Gone() { l.release((*balance.Pool).Gone) }

// Abandon ends the lease of an exchange that shows nothing of the server.
func (l *Lease) Abandon() { l.release((*balance.Pool).Abandoned) }

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
