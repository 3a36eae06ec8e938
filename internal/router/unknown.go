package router

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
)

const (
	// unknownReturn is the time to come back that is told while no configuration is known.
	unknownReturn = 300 * time.Millisecond
	// longestStart is how long after its start a router holds requests at most: after that
	// the coordinators are taken to be down. Ten times what a return after a loss of all
	// power takes.
	longestStart = 5 * time.Second
)

// acts tells whether this router can serve: it knows a configuration and has taken in a
// directory.
func (r *Router) acts() bool { return r.watcher.Known() && r.dispatcher.Ready() }

// awaitActing holds a request of a router that has just started until it can serve, and
// tells whether it can. Nobody is sent away while that is under way: clients have few
// tries, and come back later than the router is ready.
func (r *Router) awaitActing(request *http.Request) bool {
	facts, _ := r.protocol.ParseRequest(request.Header)
	patience := min(longestStart-time.Since(r.started), time.Duration(patiencePart*float64(facts.Timeout)))
	if patience <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), patience)
	defer cancel()
	return r.watcher.AwaitKnown(ctx) && r.dispatcher.AwaitReady(ctx)
}

// noteStart writes, once this router can serve, how long each step since its start took.
func (r *Router) noteStart(ctx context.Context, name string) {
	if !r.watcher.AwaitKnown(ctx) || !r.dispatcher.AwaitReady(ctx) {
		return
	}
	took := time.Since(r.started)
	r.startTook.Store(int64(took))
	configuration, directory := r.watcher.KnownSince()
	decision.Default.Record(decision.StartFinished, name, log.Fields{
		"configuration_ms": configuration.Sub(r.started).Milliseconds(), "directory_ms": directory.Sub(r.started).Milliseconds(),
		"took_ms": took.Milliseconds(),
	})
}

// refuseUnknown answers while no configuration is known.
func (r *Router) refuseUnknown(writer http.ResponseWriter, request *http.Request) {
	facts, _ := r.protocol.ParseRequest(request.Header)
	refuse(writer, http.StatusServiceUnavailable, knowsNothing(boundReturn(unknownReturn, facts.Timeout)).WithRan(fault.NotRun))
}

// knowsNothing is the refusal of a router that knows no configuration, with the time to come
// back.
func knowsNothing(comeBack time.Duration) *fault.Fault {
	return fault.New(fault.Unavailable, "this router knows no configuration yet", "come back, or ask another router").WithRetryAfter(comeBack)
}

// returnPart is the part of the remaining time within which a client is told to
// come back: later than a third of it, it would not come at all.
const returnPart = 0.3 / returnSpread

// boundReturn bounds a time to come back by what the client has left; zero is
// unknown.
func boundReturn(comeBack, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return comeBack
	}
	return min(comeBack, time.Duration(returnPart*float64(remaining)))
}
