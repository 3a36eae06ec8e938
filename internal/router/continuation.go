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
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/upstream"
)

// copyPlanner decides which runs are copied to a second server. It is safe for concurrent use.
type copyPlanner struct {
	origin time.Time

	mutex   sync.Mutex
	tracker *continuation.Tracker
	// view is the last directory that the tracker has processed.
	view *directory.View
}

func newCopyPlanner() *copyPlanner {
	return &copyPlanner{origin: time.Now(), tracker: continuation.NewTracker(continuation.Selective)}
}

// plan decides whether a run at the leased server is copied.
func (c *copyPlanner) plan(view *directory.View, service string, lease *Lease) continuation.Plan {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Since(c.origin)
	if view != c.view {
		c.updateView(view, now)
	}
	known, _ := view.Server(lease.ID)
	return c.tracker.Plan(continuation.Run{Service: service, Address: lease.Address, Zone: known.GetZone()}, now)
}

func (c *copyPlanner) recordDuration(service string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tracker.RecordRun(service, took)
}

// updateView passes the changes since the last directory to the tracker. The caller holds
// c.mutex.
func (c *copyPlanner) updateView(view *directory.View, now time.Duration) {
	change := view.ChangeFrom(c.view)
	for _, server := range change.Servers() {
		c.tracker.Update(incarnation(c.view, server.GetId()), incarnation(view, server.GetId()), now)
	}
	for _, left := range change.Removed() {
		c.tracker.Update(incarnation(c.view, left.GetId()), nil, now)
	}
	c.view = view
}

// recordRunDuration records how long a stream ran at its server.
func (e *exchange) recordRunDuration() {
	if e.route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_STREAM && e.router.gates.On(featuregate.Continuation) {
		e.router.copyPlanner.recordDuration(e.service, time.Since(e.attemptSentAt))
	}
}

// incarnation returns a server that serves or was lost without leaving, nil for any other server
// or a nil view.
func incarnation(view *directory.View, id string) *continuation.Server {
	if view == nil {
		return nil
	}
	server, known := view.Server(id)
	lost := view.Lost(id)
	if !known || (server.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE && !lost) {
		return nil
	}
	return &continuation.Server{
		ID: server.GetId(), Service: server.GetService(), Address: server.GetAddress(), Zone: server.GetZone(), Ended: lost,
	}
}

// runCopy is the copy of a run at a second server.
type runCopy struct {
	copyServer balance.Member
	// started is set once an event was relayed, and unnumbered if one had no number: the run
	// cannot be continued then.
	started    bool
	unnumbered bool
	// continued is set once the run continues at the copy server, and gap if its first event there is
	// not the next one.
	continued bool
	gap       bool
}

// mayCopy reports whether the request benefits from a copy: it must not run twice, its servers support
// copies, and it is no trial of a part that may crash the second server as well.
func (e *exchange) mayCopy() bool {
	if e.trial || e.repeatable() || e.sent > 0 || e.route.GetKind() != rockwindpb.RouteKind_ROUTE_KIND_STREAM || !e.router.gates.On(featuregate.Continuation) {
		return false
	}
	service, found := e.router.watcher.Configuration().Service(e.service)
	return found && service.GetEngine().GetCopiesRuns()
}

// planCopy decides whether a run that starts at the leased server is copied, and to which server.
func (e *exchange) planCopy(lease *Lease) {
	if e.runCopy != nil && e.runCopy.continued {
		return
	}
	e.runCopy = nil
	if !e.mayCopy() {
		return
	}
	plan := e.router.copyPlanner.plan(e.router.watcher.Directory(), e.service, lease)
	if !plan.Copied() {
		return
	}
	server, found := e.router.dispatcher.ChooseCopyServer(e.service, lease.ID, plan.OtherZone(), e.allowedRegions())
	if !found {
		return
	}
	e.runCopy = &runCopy{copyServer: server}
	decision.Default.Record(decision.RunCopied, e.info.ID, log.Fields{
		"service": e.service, "server": lease.ID, "holder": server.ID, "other_zone": plan.OtherZone(), "chance": plan.Chance(),
	})
}

// addTo adds the addresses of the copy to the data of an attempt.
func (c *runCopy) addTo(info AttemptInfo) AttemptInfo {
	switch {
	case c == nil:
	case c.continued:
		info.ContinueFrom = c.copyServer.Address
	default:
		info.CopyTo = c.copyServer.Address
	}
	return info
}

// filterCopiedRun returns the events of a copied run to relay. The first server's events are all
// relayed and their last number recorded. After a continuation, the first event must have the
// next number.
func (e *exchange) filterCopiedRun(whole []byte) []byte {
	run := e.runCopy
	for _, event := range upstream.Events(whole) {
		if run.continued && event.HasSequence && !run.started {
			run.gap = event.Sequence != e.relayedEvents.Last()+1
			run.started = true
		}
		run.unnumbered = run.unnumbered || !event.HasSequence
		if !run.continued {
			run.started = true
			e.relayedEvents.Accept(event)
		}
	}
	switch {
	case run.gap:
		return nil
	case run.continued:
		return e.unrelayedEvents(whole)
	}
	return whole
}

// hasGap reports whether the continued run skipped or repeated events.
func (e *exchange) hasGap() bool { return e.runCopy != nil && e.runCopy.gap }

// verdictNotRelayed returns the verdict on a stream of which a chunk could not be relayed.
func (e *exchange) verdictNotRelayed() verdict {
	if !e.hasGap() {
		return verdictClientGone
	}
	e.reason = "the server with the copy did not go on after the last event"
	return verdictBroken
}

// mayContinue reports whether a broken run may continue at the server with its copy. The first
// server must have ended or be unreachable: one that only closed the connection may still be
// working on the run.
func (e *exchange) mayContinue(ctx context.Context, lease *Lease) bool {
	run := e.runCopy
	if !e.hasCopy() || !run.started || run.unnumbered || ctx.Err() != nil || time.Until(e.deadline) <= 0 || e.quarantined() != nil {
		return false
	}
	if e.serverUnreachable() {
		return true
	}
	return ServerStopped(ctx, e.router.client, e.router.watcher.Directory, lease.ID, lease.Address)
}

// continueRun continues the run at the server with its copy and returns the lease of that server
// and the verdict.
func (e *exchange) continueRun(ctx context.Context, previous *Lease) (*Lease, verdict) {
	run := e.runCopy
	lease := e.router.dispatcher.AcquireAt(e.service, run.copyServer.ID, e.acquireRequest().Demand)
	if lease == nil {
		e.reason = "the server with the copy of the run has left"
		e.recordLost(previous)
		return previous, verdictBroken
	}
	fields := e.logFields()
	fields["server"], fields["holder"], fields["last_event"], fields["reason"] = previous.ID, lease.ID, e.relayedEvents.Last(), e.reason
	decision.Default.Record(decision.RunContinued, e.info.ID, fields)
	run.continued, run.started = true, false
	outcome := e.sendTo(ctx, lease)
	if outcome == verdictRetry {
		outcome = verdictBroken
	}
	if outcome == verdictBroken {
		e.recordLost(lease)
	}
	return lease, outcome
}

func (e *exchange) recordLost(lease *Lease) {
	fields := e.logFields()
	fields["server"], fields["reason"] = lease.ID, e.reason
	decision.Default.Record(decision.RunLost, e.info.ID, fields)
}

// ChooseCopyServer chooses a healthy server with capacity in one of the regions to keep the copy of a
// run.
func (d *Dispatcher) ChooseCopyServer(service, first string, otherZone bool, regions topology.RegionSet) (balance.Member, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poolOf(service).pool.ChooseCopyServer(first, otherZone, regions, d.now(), d.random)
}

// AcquireAt returns a lease of a given server regardless of its load, or nil if the server has
// left or is not in a region that the demand allows.
func (d *Dispatcher) AcquireAt(service, id string, demand balance.Demand) *Lease {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	choice, found := d.poolOf(service).pool.StartAt(id, demand, d.now())
	if !found {
		return nil
	}
	return d.lease(service, grant{choice: choice})
}
