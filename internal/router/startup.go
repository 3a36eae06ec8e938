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
	// notReadyRetryAfter is the Retry-After while no configuration is known.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxStartWait is how long after its start a router delays requests. After that the
	// coordinators are assumed to be down.
	maxStartWait = 5 * time.Second
)

// ready reports whether this router can serve: it has a configuration and a directory.
func (r *Router) ready() bool { return r.watcher.Initialized() && r.dispatcher.Ready() }

// awaitReady delays a request to a router that has just started until the router is ready, and
// reports whether it is. Refused clients would retry later than the router becomes ready.
func (r *Router) awaitReady(request *http.Request) bool {
	info, _ := r.protocol.ParseRequest(request.Header)
	maxWait := min(maxStartWait-time.Since(r.started), time.Duration(maxWaitFraction*float64(info.Timeout)))
	if maxWait <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), maxWait)
	defer cancel()
	return r.watcher.AwaitInitialized(ctx) && r.dispatcher.AwaitReady(ctx)
}

// recordStart records how long each step of the start took once this router is ready.
func (r *Router) recordStart(ctx context.Context, name string) {
	if !r.watcher.AwaitInitialized(ctx) || !r.dispatcher.AwaitReady(ctx) {
		return
	}
	took := time.Since(r.started)
	r.startupTime.Store(int64(took))
	configuration, directory := r.watcher.InitializedAt()
	decision.Default.Record(decision.StartFinished, name, log.Fields{
		"configuration_ms": configuration.Sub(r.started).Milliseconds(), "directory_ms": directory.Sub(r.started).Milliseconds(),
		"took_ms": took.Milliseconds(),
	})
}

// refuseNotReady writes the error while no configuration is known.
func (r *Router) refuseNotReady(writer http.ResponseWriter, request *http.Request) {
	info, _ := r.protocol.ParseRequest(request.Header)
	writeErrorStatus(writer, http.StatusServiceUnavailable, notReadyFault(boundRetryAfter(notReadyRetryAfter, info.Timeout)).WithRan(fault.NotRun))
}

// notReadyFault returns the refusal of a router that has no configuration.
func notReadyFault(retryAfter time.Duration) *fault.Fault {
	return fault.New(fault.Unavailable, "this router has no configuration yet", "retry, or use another router").WithRetryAfter(retryAfter)
}

// retryAfterFraction bounds Retry-After to a fraction of the client's remaining time, so that
// enough is left for the retry.
const retryAfterFraction = 0.3 / retryAfterSpread

// boundRetryAfter bounds a Retry-After by the client's remaining time; zero is unknown.
func boundRetryAfter(retryAfter, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return retryAfter
	}
	return min(retryAfter, time.Duration(retryAfterFraction*float64(remaining)))
}
