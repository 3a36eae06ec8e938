package router

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
)

// minTrialRetryAfter is the shortest time after which the client of a held request is asked to come back, since
// the result of a trial that is being made takes as long.
const minTrialRetryAfter = 2 * time.Second

// content returns the fingerprint of the request, which is the same when a client retries it.
func (e *exchange) content() fingerprint.Fingerprint {
	if e.fingerprint == nil {
		computed := fingerprint.Of(fingerprint.Content{
			Tenant: e.tenant.GetName(), Method: e.request.Method, Host: e.request.Host, Target: e.request.Path, Body: e.request.Body,
		})
		e.fingerprint = &computed
	}
	return *e.fingerprint
}

// contentOnce returns a function that computes the content once and may be called by other goroutines
// while the request waits.
func (e *exchange) contentOnce() func() fingerprint.Fingerprint {
	if e.fingerprint != nil {
		known := *e.fingerprint
		return func() fingerprint.Fingerprint { return known }
	}
	content := fingerprint.Content{
		Tenant: e.tenant.GetName(), Method: e.request.Method, Host: e.request.Host, Target: e.request.Path, Body: e.request.Body,
	}
	return sync.OnceValue(func() fingerprint.Fingerprint { return fingerprint.Of(content) })
}

// parts returns the fingerprints of the parts of the prompt that other requests may share.
func (e *exchange) parts() []fingerprint.Fingerprint {
	if !e.partsKnown {
		e.promptParts, e.partsKnown = fingerprint.OfParts(e.service, e.info.PartIDs), true
	}
	return e.promptParts
}

// addContentFields adds the fingerprints of the request and of its parts to a log record.
func (e *exchange) addContentFields(fields log.Fields) {
	fields["content"] = e.content().String()
	if parts := e.parts(); len(parts) > 0 {
		fields["parts"] = fingerprint.Strings(parts)
	}
}

// quarantined returns the refusal of a request whose content, or a part of whose prompt, is
// quarantined, or nil if it may run.
func (e *exchange) quarantined() *fault.Fault {
	if remaining := e.router.crashes.QuarantinedFor(e.content); remaining > 0 {
		return contentFault(e.content(), remaining)
	}
	if e.trial && e.sent == 0 {
		return nil
	}
	held := e.router.crashes.HeldParts(e.parts())
	if held.For == 0 {
		return nil
	}
	return partFault(held)
}

// claimTrial claims that the request may be sent although its parts are held, and reports whether it may.
func (e *exchange) claimTrial(ctx context.Context) bool {
	held := e.router.crashes.HeldParts(e.parts())
	e.trial = e.router.crashes.ClaimTrial(ctx, held, e.info.ID)
	if !e.trial || e.quarantined() != nil {
		return false
	}
	fields := e.logFields()
	e.addContentFields(fields)
	fields["held_parts"] = fingerprint.Strings(held.Parts)
	decision.Default.Record(decision.RequestTried, e.info.ID, fields)
	return true
}

// contentFault returns the refusal of a request whose content is quarantined.
func contentFault(content fingerprint.Fingerprint, remaining time.Duration) *fault.Fault {
	return fault.Newf(fault.Quarantined, "change the request; an operator can release its content, "+content.String(),
		"servers crashed while running this request, so it is not sent to another server for now").
		WithRan(fault.NotRun).WithRetryAfter(remaining)
}

// partFault returns the refusal of a request with quarantined parts.
func partFault(held quarantine.HeldParts) *fault.Fault {
	parts := strings.Join(fingerprint.Strings(held.Parts), ", ")
	// The hold may end with the next trial. Spread times to come back keep one trial from drawing all callers.
	untilTrial := max(held.TrialIn, minTrialRetryAfter)
	retryAfter := min(held.For, untilTrial+rand.N(untilTrial/2))
	return fault.Newf(fault.Quarantined, "change the prompt; an operator can release its part, "+parts,
		"servers crashed while running requests with a part of this prompt, so it is not sent to another server for now").
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}

// recordQuarantined records that the request was refused because of a quarantine.
func (e *exchange) recordQuarantined(refusal *fault.Fault) {
	e.recordMetrics(decision.RequestHeld)
	fields := e.logFields()
	e.addContentFields(fields)
	fields["retry_after_ms"] = refusal.RetryAfter.Milliseconds()
	decision.Default.Record(decision.RequestHeld, e.info.ID, fields)
}

// reportConnectionLost reports that the connection of the last attempt broke before the response
// was complete.
func (e *exchange) reportConnectionLost(lease *Lease, cause error) {
	e.router.crashes.ConnectionLost(Attempt{
		Content: e.content(), Parts: e.parts(), Server: lease.ID, Address: lease.Address, SentAt: e.attemptSentAt,
		Route: e.route.GetName(), Tenant: e.tenant.GetName(),
	}, cause)
}
