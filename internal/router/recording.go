package router

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// record writes a decision record about the request with the data it was based on.
func (e *exchange) record(kind decision.Kind, lease *Lease, reason string) {
	e.recordMetrics(kind)
	if !decision.Enabled(kind, e.info.ID) {
		decision.Default.Skip(kind)
		return
	}
	fields := e.logFields()
	fields["server"], fields["version"] = lease.ID, lease.Version
	if e.regions.Restricted() {
		fields["server_region"] = lease.Region
	}
	fields["load"] = lease.Load
	fields["slots"] = lease.Slots
	fields["candidates"] = lease.Candidates
	fields["distance"] = lease.Distance.String()
	fields["uncached_tokens"] = lease.Uncached
	fields["load_age_ms"] = lease.ReportAge.Milliseconds()
	fields["expected_first_ms"] = lease.ExpectedFirstEvent().Milliseconds()
	if lease.StartLimit > 0 {
		fields["start_limit"] = lease.StartLimit
	}
	if lease.Pace > 0 {
		fields["pace"] = lease.Pace
	}
	if e.framing != "" {
		fields["framing"] = string(e.framing)
	}
	if e.headSent {
		fields["first_ms"] = e.headAfter.Milliseconds()
	}
	if reason != "" {
		fields["reason"] = reason
		e.addContentFields(fields)
	} else if parts := e.parts(); len(parts) > 0 {
		fields["parts"] = fingerprint.Strings(parts)
	}
	decision.Default.Record(kind, e.info.ID, fields)
}

// recordEndedInEvent records that the body of a stream ended after the given bytes of an incomplete
// event.
func (e *exchange) recordEndedInEvent(lease *Lease, partial int) {
	fields := e.logFields()
	fields["server"], fields["framing"], fields["partial_bytes"], fields["last_event"] = lease.ID, string(e.framing), partial, e.relayedEvents.Last()
	decision.Default.Record(decision.StreamEndedInEvent, e.info.ID, fields)
}

// recordClientGone records that the client disconnected or that its response was cut off to save
// memory.
func (e *exchange) recordClientGone(lease *Lease) {
	if reason := e.client.EndReason(); reason != "" {
		e.record(decision.RequestBroken, lease, string(reason))
		return
	}
	e.record(decision.RequestAbandoned, lease, "the client left")
}

// recordRefusal records an error response of the router itself. After a failed attempt it
// includes the fingerprint, because a retry of the client has another request ID.
func (e *exchange) recordRefusal(status int, failure *fault.Fault) {
	e.recordMetrics(decision.RequestRefused)
	fields := e.logFields()
	fields["status"] = status
	if e.sent > 0 {
		e.addContentFields(fields)
	}
	fields["reason"] = failure.Message
	fields["last_try"] = e.reason
	fields["retry_after_ms"] = failure.RetryAfter.Milliseconds()
	decision.Default.Record(decision.RequestRefused, e.info.ID, fields)
}

// recordDenial records why a request was not authorized.
func (r *Router) recordDenial(id string, route *rockwindpb.Route, configNumber uint64, err error) {
	failure := fault.From(err)
	decision.Default.Record(decision.RequestRefused, id, log.Fields{
		"route": route.GetName(), "configuration": configNumber, "status": failure.Kind.HTTPStatus(), "reason": failure.Message,
		"heard_ms_ago": time.Since(r.watcher.LastContact()).Milliseconds(),
	})
}

// recordMetrics counts the end of the request.
func (e *exchange) recordMetrics(kind decision.Kind) {
	if kind != decision.RequestTriedAgain && e.router.metrics != nil {
		e.router.metrics.ObserveRequest(configuration.RouteKindName(e.route.GetKind()), kind, e.headAfter, time.Since(e.received))
		if e.regions.Restricted() {
			e.router.metrics.CountRestricted(kind)
		}
	}
}

// logFields returns the fields that all records about the request have.
func (e *exchange) logFields() log.Fields {
	fields := log.Fields{
		"route":         e.route.GetName(),
		"service":       e.service,
		"tenant":        e.tenant.GetName(),
		"configuration": e.configNumber,
		"sent":          e.sent,
		"refused":       e.refused,
		"waited_ms":     e.waited.Milliseconds(),
		"asking_ms":     time.Since(e.firstAsked()).Milliseconds(),
		"held_ms":       time.Since(e.received).Milliseconds(),
		"left_ms":       time.Until(e.deadline).Milliseconds(),
	}
	if e.regions.Restricted() {
		fields["regions"] = e.regions.Names()
	}
	if e.info.ResumeAfter != "" {
		fields["resume_after"], fields["resumes"] = e.info.ResumeAfter, e.info.Resumes
	}
	return fields
}
