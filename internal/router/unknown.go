package router

import (
	"context"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

const (
	// unknownReturn is the shortest time to come back that is told while no
	// configuration is known, and startTime how long after its start a router knows
	// one as a rule.
	unknownReturn = 300 * time.Millisecond
	startTime     = 1600 * time.Millisecond
	// soonKnown is the rest of that time for which a client is not sent away, and
	// longestStart how long after its start a router holds requests at most: after that the
	// coordinators are taken to be down.
	soonKnown    = 400 * time.Millisecond
	longestStart = 5 * time.Second
)

// awaitKnown holds a request of a router that has just started until a configuration is
// known, and tells whether it is. A client that can come back once it is known, by what
// starts take as a rule, is told so instead; one that would have to come back earlier, or
// just then, is held: it may have come back once already.
func (r *Router) awaitKnown(request *http.Request) bool {
	facts, _ := r.protocol.Facts(request.Header)
	elapsed := time.Since(r.started)
	comeBack := startTime - elapsed
	canReturn := comeBack > soonKnown && comeBack <= boundReturn(comeBack, facts.Deadline)
	patience := min(longestStart-elapsed, time.Duration(patiencePart*float64(facts.Deadline)))
	if canReturn || patience <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), patience)
	defer cancel()
	return r.watcher.AwaitKnown(ctx)
}

// refuseUnknown answers while no configuration is known: after a start this takes
// about as long as the coordinators need to agree on a leader.
func (r *Router) refuseUnknown(writer http.ResponseWriter, request *http.Request) {
	facts, _ := r.protocol.Facts(request.Header)
	comeBack := max(unknownReturn, startTime-time.Since(r.started))
	refuse(writer, http.StatusServiceUnavailable, knowsNothing(boundReturn(comeBack, facts.Deadline)).WithRan(fault.NotRun))
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
