package router

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/continuation"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// copies decides which runs are copied. Its methods may be called by any goroutine.
type copies struct {
	origin time.Time

	mutex sync.Mutex
	watch *continuation.Tracker
	// seen is the directory that the watch has seen.
	seen *directory.View
}

func newCopies() *copies {
	return &copies{origin: time.Now(), watch: continuation.NewTracker(continuation.Selective)}
}

// plan decides about a run at the server of a lease.
func (c *copies) plan(view *directory.View, service string, lease *Lease) continuation.Plan {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Since(c.origin)
	if view != c.seen {
		c.follow(view, now)
	}
	known, _ := view.Server(lease.ID)
	return c.watch.Plan(continuation.Run{Service: service, Address: lease.Address, Zone: known.GetZone()}, now)
}

func (c *copies) ran(service string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watch.RecordRun(service, took)
}

// follow has the watch take what is other in a view than in the one that it has seen. The mutex
// is held.
func (c *copies) follow(view *directory.View, now time.Duration) {
	change := view.ChangeFrom(c.seen)
	for _, server := range change.Servers() {
		c.watch.Update(incarnation(c.seen, server.GetId()), incarnation(view, server.GetId()), now)
	}
	for _, left := range change.Removed() {
		c.watch.Update(incarnation(c.seen, left.GetId()), nil, now)
	}
	c.seen = view
}

// ran notes how long a stream was at its server.
func (e *exchange) ran() {
	if e.route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_STREAM && e.router.gates.On(gate.Continuation) {
		e.router.copies.ran(e.service, time.Since(e.trySent))
	}
}

// incarnation is a server of a directory that serves or has ended without leaving, nil for any
// other; a nil view has none.
func incarnation(view *directory.View, id string) *continuation.Server {
	if view == nil {
		return nil
	}
	server, known := view.Server(id)
	ended := view.Lost(id)
	if !known || (server.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE && !ended) {
		return nil
	}
	return &continuation.Server{
		ID: server.GetId(), Service: server.GetService(), Address: server.GetAddress(), Zone: server.GetZone(), Ended: ended,
	}
}

// copied is a run that a second server keeps a copy of.
type copied struct {
	holder balance.Member
	// began tells that an event of it was relayed, and unnumbered that one had no number: the
	// run can't go on after it.
	began      bool
	unnumbered bool
	// continued tells that it goes on at the holder; torn, that it did not go on after the
	// last event.
	continued bool
	torn      bool
}

// mayCopy tells whether the request is one that a copy can help: it may run once, and its
// servers keep copies.
func (e *exchange) mayCopy() bool {
	if e.repeatable() || e.sent > 0 || e.route.GetKind() != rockwindpb.RouteKind_ROUTE_KIND_STREAM || !e.router.gates.On(gate.Continuation) {
		return false
	}
	service, found := e.router.watcher.Configuration().Service(e.service)
	return found && service.GetEngine().GetCopiesRuns()
}

// copyRun decides whether the run that begins at the server of the lease is copied, and where.
func (e *exchange) copyRun(lease *Lease) {
	if e.copy != nil && e.copy.continued {
		return
	}
	e.copy = nil
	if !e.mayCopy() {
		return
	}
	plan := e.router.copies.plan(e.router.watcher.Directory(), e.service, lease)
	if !plan.Copied() {
		return
	}
	holder, found := e.router.dispatcher.ChooseCopyHolder(e.service, lease.ID, plan.OtherZone())
	if !found {
		return
	}
	e.copy = &copied{holder: holder}
	decision.Default.Record(decision.RunCopied, e.facts.ID, log.Fields{
		"service": e.service, "server": lease.ID, "holder": holder.ID, "other_zone": plan.OtherZone(), "chance": plan.Chance(),
	})
}

// address tells the fields of a try about the copy.
func (c *copied) address(try AttemptInfo) AttemptInfo {
	switch {
	case c == nil:
	case c.continued:
		try.ContinueFrom = c.holder.Address
	default:
		try.CopyTo = c.holder.Address
	}
	return try
}

// numbered returns those of the events of a copied run that go to the client: all of them
// at the first server, whose last number is noted. Where the run went on, the first one has to
// be the next one.
func (e *exchange) numbered(whole []byte) []byte {
	run := e.copy
	for _, event := range upstream.Events(whole) {
		if run.continued && event.HasSequence && !run.began {
			run.torn = event.Sequence != e.relayed.Last()+1
			run.began = true
		}
		run.unnumbered = run.unnumbered || !event.HasSequence
		if !run.continued {
			run.began = true
			e.relayed.Take(event)
		}
	}
	switch {
	case run.torn:
		return nil
	case run.continued:
		return e.newEvents(whole)
	}
	return whole
}

// torn tells that the run did not go on after its last event.
func (e *exchange) torn() bool { return e.copy != nil && e.copy.torn }

// notRelayed is the verdict on a stream of which a piece was not passed on.
func (e *exchange) notRelayed() verdict {
	if !e.torn() {
		return verdictGone
	}
	e.reason = "the server with the copy did not go on after the last event"
	return verdictBroken
}

// mayContinue tells whether a run that broke off goes on at the server with its copy. The
// server before has to be known to have ended, or to be out of reach: one that only closed
// the connection may still work on it.
func (e *exchange) mayContinue(ctx context.Context, lease *Lease) bool {
	run := e.copy
	if !e.hasCopy() || !run.began || run.unnumbered || ctx.Err() != nil || time.Until(e.ends) <= 0 || e.held() != nil {
		return false
	}
	if e.dark() {
		return true
	}
	return ServerStopped(ctx, e.router.client, e.router.watcher.Directory, lease.ID, lease.Address)
}

// goOn has the run go on at the server with its copy, and returns the lease of that server
// and what came of it.
func (e *exchange) goOn(ctx context.Context, before *Lease) (*Lease, verdict) {
	run := e.copy
	lease := e.router.dispatcher.AcquireAt(e.service, run.holder.ID, e.ask().Demand)
	if lease == nil {
		e.reason = "the server with the copy of the run has left"
		e.recordLost(before)
		return before, verdictBroken
	}
	fields := e.fields()
	fields["server"], fields["holder"], fields["last_event"], fields["reason"] = before.ID, lease.ID, e.relayed.Last(), e.reason
	decision.Default.Record(decision.RunContinued, e.facts.ID, fields)
	run.continued, run.began = true, false
	outcome := e.try(ctx, lease)
	if outcome == verdictElsewhere {
		outcome = verdictBroken
	}
	if outcome == verdictBroken {
		e.recordLost(lease)
	}
	return lease, outcome
}

func (e *exchange) recordLost(lease *Lease) {
	fields := e.fields()
	fields["server"], fields["reason"] = lease.ID, e.reason
	decision.Default.Record(decision.RunLost, e.facts.ID, fields)
}

// ChooseCopyHolder returns a server that keeps the copy of a run, where one is well and has room.
func (d *Dispatcher) ChooseCopyHolder(service, first string, otherZone bool) (balance.Member, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.service(service).pool.ChooseCopyServer(first, otherZone, d.now(), d.random)
}

// AcquireAt returns a lease of a given server, whatever its load, or nil where it has left.
func (d *Dispatcher) AcquireAt(service, id string, demand balance.Demand) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	choice, found := d.service(service).pool.StartAt(id, demand, d.now())
	if !found {
		return nil
	}
	return d.lease(service, grant{choice: choice})
}
