package router

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// record writes what was decided about the request, and on what it rested.
func (e *exchange) record(kind decision.Kind, lease *Lease, reason string) {
	e.measure(kind)
	if !decision.Wanted(kind, e.facts.ID) {
		decision.Default.Skip(kind)
		return
	}
	fields := e.fields()
	fields["server"] = lease.ID
	fields["load"] = lease.Load
	fields["slots"] = lease.Slots
	fields["candidates"] = lease.Candidates
	fields["uncached_tokens"] = lease.Uncached
	fields["load_age_ms"] = lease.ReportAge.Milliseconds()
	fields["expected_first_ms"] = lease.ExpectedFirstEvent().Milliseconds()
	if lease.Pace > 0 {
		fields["pace"] = lease.Pace
	}
	if e.started {
		fields["first_ms"] = e.firstAfter.Milliseconds()
	}
	if reason != "" {
		fields["reason"] = reason
		fields["content"] = e.content().String()
	}
	decision.Default.Record(kind, e.facts.ID, fields)
}

// recordGone writes that the client left, or that its answer was ended to spare memory.
func (e *exchange) recordGone(lease *Lease) {
	if reason := e.client.Ended(); reason != "" {
		e.record(decision.RequestBroken, lease, string(reason))
		return
	}
	e.record(decision.RequestAbandoned, lease, "the client left")
}

// recordRefusal writes a refusal of the router's own. One after a try that failed tells the
// content: clients come again with another identifier.
func (e *exchange) recordRefusal(status int, failure *fault.Fault) {
	e.measure(decision.RequestRefused)
	fields := e.fields()
	fields["status"] = status
	if e.sent > 0 {
		fields["content"] = e.content().String()
	}
	fields["reason"] = failure.Message
	fields["last_try"] = e.reason
	fields["retry_after_ms"] = failure.RetryAfter.Milliseconds()
	decision.Default.Record(decision.RequestRefused, e.facts.ID, fields)
}

// recordDenial writes why a request was not let in.
func (r *Router) recordDenial(id string, route *rockwindpb.Route, number uint64, err error) {
	failure := fault.From(err)
	decision.Default.Record(decision.RequestRefused, id, log.Fields{
		"route": route.GetName(), "configuration": number, "status": failure.Kind.HTTPStatus(), "reason": failure.Message,
		"heard_ms_ago": time.Since(r.watcher.LastHeard()).Milliseconds(),
	})
}

// measure counts the end of the request.
func (e *exchange) measure(kind decision.Kind) {
	if kind != decision.RequestTriedAgain && e.router.metrics != nil {
		e.router.metrics.Request(configuration.RouteKindName(e.route.GetKind()), kind, e.firstAfter, time.Since(e.received))
	}
}

// fields are common to all lines about the request.
func (e *exchange) fields() log.Fields {
	return log.Fields{
		"route":         e.route.GetName(),
		"service":       e.service,
		"tenant":        e.tenant.GetName(),
		"configuration": e.number,
		"sent":          e.sent,
		"refused":       e.refused,
		"waited_ms":     e.waited.Milliseconds(),
		"asking_ms":     time.Since(e.firstTry()).Milliseconds(),
		"held_ms":       time.Since(e.received).Milliseconds(),
		"left_ms":       time.Until(e.ends).Milliseconds(),
	}
}
