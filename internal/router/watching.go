package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// watched returns the context of a try, which ends where its server falls silent within a
// stream that may run once, and is out of reach. A run that has a copy goes on then. Any other
// ends: its client would be held until its time is over, for an answer that can't come.
func (e *exchange) watched(ctx context.Context, lease *Lease) (context.Context, func()) {
	e.lookout = nil
	pause := time.Duration(e.route.GetPauseGoalMs()) * time.Millisecond
	switch {
	case e.hasCopy():
		e.lookout = NewWatchdog(ctx, e.router.client, lease.Address, pause)
	case !e.repeatable() && e.route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_STREAM && pause > 0:
		e.lookout = NewLateWatchdog(ctx, e.router.client, e.router.watcher.Directory, lease.ID, lease.Address, pause)
	default:
		return ctx, func() {}
	}
	return e.lookout.Context(), e.lookout.Stop
}

// hasCopy tells whether the run could go on at the server with its copy.
func (e *exchange) hasCopy() bool { return e.copy != nil && !e.copy.continued }

// hold notes that something was read of a stream whose server is watched, and that nothing
// more is read until heard: a write to the client may take seconds.
func (e *exchange) hold() {
	if e.lookout != nil {
		e.lookout.Suspend()
	}
}

// heard notes that the server is read from again, once an event of the stream was relayed:
// how long the first one takes is not for the pause between events to tell.
func (e *exchange) heard() {
	began := e.started
	if e.copy != nil {
		began = e.copy.began
	}
	if e.lookout != nil && began {
		e.lookout.Reset()
	}
}

// dark tells whether the server of the try was found out of reach.
func (e *exchange) dark() bool { return e.lookout != nil && e.lookout.Unreachable() }
