package router

import (
	"time"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
)

// content identifies the request by what makes it the same when a client comes again.
func (e *exchange) content() fingerprint.Fingerprint {
	if e.fingerprint == nil {
		computed := fingerprint.Of(fingerprint.Content{
			Tenant: e.tenant.GetName(), Method: e.request.Method, Host: e.request.Host, Target: e.request.Path, Body: e.request.Body,
		})
		e.fingerprint = &computed
	}
	return *e.fingerprint
}

// held is the refusal of a request under whose content servers ended, nil where it may run.
// It has not run by this try, and is told to come back when it may be tried again.
func (e *exchange) held() *fault.Fault {
	remaining := e.router.witness.QuarantinedFor(e.content)
	if remaining == 0 {
		return nil
	}
	return heldFault(e.content(), remaining)
}

// heldFault says that a content is held for a while.
func heldFault(content fingerprint.Fingerprint, remaining time.Duration) *fault.Fault {
	return fault.Newf(fault.Quarantined, "change the request; an operator can release its content, "+content.String(),
		"servers ended while they ran this request, and it is not sent to another one for now").
		WithRan(fault.NotRun).WithRetryAfter(remaining)
}

// recordHeld writes that the request was refused since its content is held.
func (e *exchange) recordHeld(held *fault.Fault) {
	e.measure(decision.RequestHeld)
	fields := e.fields()
	fields["content"] = e.content().String()
	fields["retry_after_ms"] = held.RetryAfter.Milliseconds()
	decision.Default.Record(decision.RequestHeld, e.facts.ID, fields)
}

// broke tells that the connection of the last try broke off before the answer was whole.
func (e *exchange) broke(lease *Lease, cause error) {
	e.router.witness.ConnectionLost(Attempt{
		Content: e.content(), Server: lease.ID, Address: lease.Address, SentAt: e.trySent,
		Route: e.route.GetName(), Tenant: e.tenant.GetName(),
	}, cause)
}
