package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// watchAttempt returns the context of an attempt, which is canceled if its server is silent
// within a stream that must not run twice and is unreachable. A run with a copy then continues at
// the copy. Any other run fails, so that its client need not wait until its timeout.
func (e *exchange) watchAttempt(ctx context.Context, lease *Lease) (context.Context, func()) {
	e.watchdog = nil
	pauseGoal := time.Duration(e.route.GetPauseGoalMs()) * time.Millisecond
	switch {
	case e.hasCopy():
		e.watchdog = NewWatchdog(ctx, e.router.client, lease.Address, pauseGoal)
	case !e.repeatable() && e.route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_STREAM && pauseGoal > 0:
		e.watchdog = NewLateWatchdog(ctx, e.router.client, e.router.watcher.Directory, lease.ID, lease.Address, pauseGoal)
	default:
		return ctx, func() {}
	}
	return e.watchdog.Context(), e.watchdog.Stop
}

// hasCopy reports whether the run could continue at the server with its copy.
func (e *exchange) hasCopy() bool { return e.runCopy != nil && !e.runCopy.continued }

// suspendWatchdog stops the watchdog while a chunk is written to the client, which may take
// seconds.
func (e *exchange) suspendWatchdog() {
	if e.watchdog != nil {
		e.watchdog.Suspend()
	}
}

// resetWatchdog restarts the watchdog once an event was relayed: the pause goal does not apply to
// the first event.
func (e *exchange) resetWatchdog() {
	started := e.headSent
	if e.runCopy != nil {
		started = e.runCopy.started
	}
	if e.watchdog != nil && started {
		e.watchdog.Reset()
	}
}

// serverUnreachable reports whether the watchdog found the server of the attempt unreachable.
func (e *exchange) serverUnreachable() bool { return e.watchdog != nil && e.watchdog.Unreachable() }
