package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/httpabort"
	"rockwind.example/rockwind/internal/rateclient"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/retryafter"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/streamversion"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/upstream"
	"rockwind.example/rockwind/internal/waitqueue"
)

const (
	// connectTimeout bounds a connection attempt to a server.
	connectTimeout = 400 * time.Millisecond
	// maxRefusals bounds the servers that may refuse a request. They do not count as attempts.
	maxRefusals = 3
	// maxMisdirected bounds the servers at whose address another one answers. After a crash of
	// many servers the directory may list as many that are gone.
	maxMisdirected = 12
	// maxWaitFraction is the fraction of the remaining time that a request may wait for capacity.
	// A request with a longer expected wait is refused at once.
	maxWaitFraction = 0.5
	// lastWaitFraction is the same for a client that does not retry after a refusal: it only has to
	// leave time for the response.
	lastWaitFraction = 0.8
	// startByFraction is the fraction of the route's goal within which a request has to start at
	// a server. The rest is for reading the prompt and for the response.
	startByFraction = 0.85
	// ownerWaitFraction is the fraction of the goal that a request may wait for the owner of its
	// tenant's rate limit, and minOwnerWait the shortest wait: an owner in another zone responds
	// within a few milliseconds, a busy one within some tens.
	ownerWaitFraction = 0.2
	minOwnerWait      = 50 * time.Millisecond
	// maxRateWait is how long a request may wait at the owner of its tenant's rate limit: a fifth of the
	// shortest goals. It does not depend on the route, because routes with long goals would
	// otherwise take most of the tenant's rate: 0.99 of their worth was served then, and 0.88 of that of
	// the others.
	maxRateWait = 60 * time.Millisecond
)

// exchange is the handling of one client request.
type exchange struct {
	router *Router
	writer http.ResponseWriter
	// clientRequest is the request as the client sent it.
	clientRequest *http.Request
	// client is the connection of the client, nil if it is not tracked.
	client  *clientconn.Conn
	route   *rockwindpb.Route
	service string
	info    RequestInfo
	tenant  *rockwindpb.Tenant
	request upstream.Request
	header  http.Header
	// totalTimeout is the client's timeout counted from its first attempt.
	totalTimeout time.Duration
	// deadline is when the client's or the route's timeout ends.
	deadline time.Time
	tried    []string
	refused  int
	// misdirected counts the attempts at servers that are gone.
	misdirected int
	// sent counts the attempts that may have run.
	sent         int
	received     time.Time
	configNumber uint64
	// residency determines the allowed regions. regions are those last determined, by the
	// configuration with the number regionsNumber.
	residency     *Residency
	regions       topology.RegionSet
	regionsNumber uint64
	waited        time.Duration
	// headAfter is the time from the receipt of the request until the response head was sent;
	// zero before.
	headAfter time.Duration
	// headSent is set once the response head was sent to the client.
	headSent bool
	// reason says why the last attempt gave no complete response.
	reason string
	// relayedEvents tracks the relayed events.
	relayedEvents upstream.EventDeduplicator
	// fingerprint is computed when first needed; nil before.
	fingerprint *fingerprint.Fingerprint
	// promptParts are the fingerprints of the parts of the prompt, once partsKnown is set.
	promptParts []fingerprint.Fingerprint
	partsKnown  bool
	// trial is set once the request may be sent to one server although its parts are held.
	trial bool
	// attemptSentAt is when the last attempt was sent.
	attemptSentAt time.Time
	// begun is set once an event was relayed. origin is what is known of the server that sent the first event of
	// the stream, in this answer or an earlier one.
	begun  bool
	origin streamversion.Origin
	// originSearch is the result of the search for the origin; empty if no process was asked.
	originSearch originResult
	// directoryConfirmed is set once the coordinators have confirmed the directory after the client resumed the stream.
	directoryConfirmed bool
	// onlyVersion is the version of all servers when the client's resumption was admitted. It is that of a stream whose
	// origin is not known, also if servers of another one join.
	onlyVersion streamversion.Origin
	// framing is that of the last response; empty before.
	framing upstream.Framing
	// runCopy is the copy of the run, nil if there is none.
	runCopy *runCopy
	// watchdog watches the server of the last attempt, nil if it is not watched.
	watchdog *Watchdog
}

// verdict is the result of an attempt.
type verdict int

const (
	// verdictFinished: the response was relayed.
	verdictFinished verdict = iota
	// verdictRetry: another server may be tried.
	verdictRetry
	// verdictBroken: the response was partly sent and cannot be completed.
	verdictBroken
	// verdictClientGone: the client has disconnected.
	verdictClientGone
	// verdictContinue: the run continues at the server that has its copy.
	verdictContinue
)

// repeatable reports whether the request may run more than once.
func (e *exchange) repeatable() bool {
	switch e.route.GetKind() {
	case rockwindpb.RouteKind_ROUTE_KIND_SAFE:
		return true
	case rockwindpb.RouteKind_ROUTE_KIND_STREAM:
		return e.route.GetResumable()
	}
	return false
}

// run tries servers until the request is answered or may not be tried again. It panics if a
// partly sent response cannot be completed, see httpabort.Abort.
func (e *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	e.client = clientconn.FromContext(ctx)
	e.client.BeginRequest(e.info.ID, e.deadline)
	if refusal := e.quarantined(); refusal != nil && !e.claimTrial(ctx) {
		e.recordQuarantined(refusal)
		writeErrorStatus(e.writer, refusal.Kind.HTTPStatus(), refusal)
		return
	}
	if refusal := e.findOrigin(ctx); refusal != nil {
		e.recordRefusal(refusal.Kind.HTTPStatus(), refusal)
		writeErrorStatus(e.writer, refusal.Kind.HTTPStatus(), refusal)
		return
	}
	if err := e.takeRate(ctx); err != nil {
		e.refuseByRate(fault.From(err))
		return
	}
	for e.attempt(ctx) {
	}
}

// attempt tries one server. It returns false if the request is done.
func (e *exchange) attempt(ctx context.Context) (again bool) {
	lease, err := e.acquire(ctx)
	if err != nil {
		e.refuseRequest(ctx, err)
		return false
	}
	outcome := e.sendTo(ctx, lease)
	if outcome == verdictContinue {
		lease, outcome = e.continueRun(ctx, lease)
	}
	if e.conclude(lease, outcome) {
		return false
	}
	e.record(decision.RequestTriedAgain, lease, e.reason)
	if facts := e.streamFacts(); facts.Begun {
		e.recordVersionDecision(facts, streamversion.Decide(facts))
	}
	e.tried = append(e.tried, lease.ID)
	if refusal := e.quarantined(); refusal != nil {
		e.refuseRequest(ctx, refusal)
		return false
	}
	if !e.mayRetry() {
		e.refuseRequest(ctx, fault.New(fault.Unavailable, "no server answered the request", "come back later").WithRetryAfter(minRetryAfter))
		return false
	}
	return true
}

// acquire waits for a server with capacity.
func (e *exchange) acquire(ctx context.Context) (*Lease, error) {
	asked := time.Now()
	ctx, endWait := e.router.waiting.add(ctx, &waitingRequest{parts: e.parts(), content: e.contentOnce(), trial: e.trial && e.sent == 0})
	defer endWait()
	lease, err := e.acquireAllowed(ctx)
	if fault.Is(err, fault.VersionGone) && !e.headSent {
		// A server of the version may have joined since the last change of the directory that this router has.
		if e.router.confirmDirectory(ctx) {
			lease, err = e.acquireAllowed(ctx)
		} else {
			err = e.undecidedFault()
		}
	}
	e.waited += time.Since(asked)
	if err != nil {
		if held := heldWhileWaiting(ctx); held != nil {
			return nil, held
		}
		return nil, err
	}
	if refusal := e.quarantined(); refusal != nil {
		// The fingerprint may have been quarantined while the request waited.
		lease.MarkNotRun()
		lease.Abandon()
		return nil, refusal
	}
	return lease, nil
}

// acquireAllowed waits for a server that may take the request by the drains, the configuration and the versions of servers
// that are in force once it is assigned.
func (e *exchange) acquireAllowed(ctx context.Context) (*Lease, error) {
	lease, err := e.router.dispatcher.Acquire(ctx, e.acquireRequest())
	for err == nil && (e.router.stallGuard.Await(ctx) || !e.allowedRegions().Allows(lease.Region) || !e.allowsVersion(lease)) {
		// The drains, the configuration or the versions of servers may have changed since the server was assigned.
		lease.MarkNotRun()
		lease.Abandon()
		if refusal := e.versionFault(streamversion.Decide(e.streamFacts())); refusal != nil {
			return nil, refusal
		}
		lease, err = e.router.dispatcher.Acquire(ctx, e.acquireRequest())
	}
	return lease, err
}

// conclude ends a request whose response is complete or broken. It returns false if another
// server may be tried.
func (e *exchange) conclude(lease *Lease, outcome verdict) bool {
	switch outcome {
	case verdictFinished:
		lease.RecordEvents(e.relayedEvents.Last())
		e.record(decision.RequestFinished, lease, "")
		return true
	case verdictClientGone:
		e.recordClientGone(lease)
		// An incomplete response must not look complete, even if the client is gone.
		httpabort.Abort(e.writer, e.clientRequest)
	case verdictBroken:
		e.record(decision.RequestBroken, lease, e.reason)
		httpabort.Abort(e.writer, e.clientRequest)
	}
	return false
}

// acquireRequest returns the current request for a server.
func (e *exchange) acquireRequest() AcquireRequest {
	regions := e.allowedRegions()
	request := AcquireRequest{
		Service: e.service, Demand: e.restrictVersion(balance.Demand{Parts: e.info.Parts, Bytes: len(e.request.Body), Regions: regions}), Priority: e.priority(),
		Residency: e.residency, ConfigNumber: e.regionsNumber,
		Tenant:  waitqueue.Tenant{Name: e.tenant.GetName(), Weight: e.tenant.GetWeight()},
		StartBy: e.startBy(), Tried: e.tried, MaxWait: e.maxWait(),
		Remaining: time.Until(e.deadline), LastAttempt: e.lastAttempt(),
	}
	if e.router.gates.On(featuregate.RetryAfter) {
		request.FirstAsked = e.firstAsked()
	}
	return request
}

// firstAsked estimates when the client first sent the request.
func (e *exchange) firstAsked() time.Time {
	if !e.router.gates.On(featuregate.RetryAfter) {
		return e.received
	}
	return retryafter.FirstAttempt(e.received, e.totalTimeout, e.info.Timeout)
}

func (e *exchange) priority() waitqueue.Priority {
	return waitqueue.Priority{Tenant: e.tenant.GetPriority(), Route: e.route.GetPriority()}
}

// lastAttempt reports whether the client is not expected to retry after a refusal.
func (e *exchange) lastAttempt() bool {
	return e.sent > 0 || !retryafter.IsFirstAttempt(e.totalTimeout, e.info.Timeout)
}

// maxWait returns how long the request may wait from now.
func (e *exchange) maxWait() time.Duration {
	fraction := maxWaitFraction
	if e.lastAttempt() && e.router.gates.On(featuregate.RetryAfter) {
		fraction = lastWaitFraction
	}
	return time.Duration(fraction * float64(time.Until(e.deadline)))
}

// goalFraction returns a fraction of the route's goal.
func (e *exchange) goalFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(time.Duration(e.route.GetGoalMs())*time.Millisecond))
}

// startBy returns the latest start at a server that still meets the goal.
func (e *exchange) startBy() time.Time {
	return e.firstAsked().Add(e.goalFraction(startByFraction))
}

// takeRate takes the request from its tenant's rate limit. If the owner does not respond soon, a
// client that may retry is refused; otherwise the owner is asked again.
func (e *exchange) takeRate(ctx context.Context) error {
	began := time.Now()
	defer func() { e.waited += time.Since(began) }()
	err := e.router.rates.Take(ctx, e.tenant, e.configNumber, max(minOwnerWait, e.goalFraction(ownerWaitFraction)), e.rateOptions())
	for err != nil && !e.clientMayRetry() && e.awaitRate(ctx, fault.From(err)) {
		err = e.router.rates.Take(ctx, e.tenant, e.configNumber, e.maxWait(), e.rateOptions())
	}
	return err
}

// rateOptions returns how the request is ordered among others of its tenant at the owner of the
// rate limit.
func (e *exchange) rateOptions() rateclient.Options {
	if e.route.GetGoalMs() == 0 || !e.router.gates.On(featuregate.RetryAfter) {
		return rateclient.Options{}
	}
	remaining := time.Until(e.startBy())
	return rateclient.Options{Late: remaining <= 0, Wait: max(0, min(remaining, maxRateWait))}
}

// awaitRate waits until the tenant's rate limit allows the request and reports whether to ask
// again, which is not the case if the request may not wait that long.
func (e *exchange) awaitRate(ctx context.Context, refusal *fault.Fault) bool {
	if refusal.Kind == fault.LimitReached {
		return refusal.RetryAfter <= e.maxWait() && retry.Pause(ctx, refusal.RetryAfter)
	}
	return e.maxWait() > minOwnerWait && retry.Pause(ctx, minRetryAfter)
}

// refuseByRate refuses a request that exceeds its tenant's rate limit or whose owner did not
// respond. There is nothing to give back to the limit.
func (e *exchange) refuseByRate(failure *fault.Fault) {
	status := failure.Kind.HTTPStatus()
	if failure.Kind == fault.Unavailable {
		failure = failure.WithRetryAfter(boundRetryAfter(failure.RetryAfter, time.Until(e.deadline)))
	}
	e.recordRefusal(status, failure)
	writeErrorStatus(e.writer, status, failure)
}

// clientMayRetry reports whether the client has all of its time left, so that a retry is still in
// time. A client that is retrying already has to wait instead.
func (e *exchange) clientMayRetry() bool {
	return e.info.Timeout > 0 && retryafter.IsFirstAttempt(e.totalTimeout, e.info.Timeout)
}

// mayRetry reports whether another server may be tried. After a part of an answer only a resumable stream goes on at
// another server: any other one begins anew there.
func (e *exchange) mayRetry() bool {
	attempts := max(1, int(e.route.GetAttempts()))
	if e.sent > 0 && !e.repeatable() || e.headSent && !e.route.GetResumable() {
		return false
	}
	return e.sent < attempts && e.refused <= maxRefusals && e.misdirected <= maxMisdirected && time.Until(e.deadline) > 0
}

// sendTo sends the request to a server and handles the response.
func (e *exchange) sendTo(ctx context.Context, lease *Lease) verdict {
	e.planCopy(lease)
	e.request.Header = e.header.Clone()
	e.router.protocol.Prepare(e.request.Header, e.runCopy.addTo(AttemptInfo{
		ServerID: lease.ID, Remaining: time.Until(e.deadline), ResumeAfter: e.relayedEvents.String(), Tenant: e.tenant.GetName(),
	}))
	attemptContext, end := e.watchAttempt(ctx, lease)
	defer end()
	began := time.Now()
	e.attemptSentAt = began
	response, err := e.router.client.Do(attemptContext, lease.Address, &e.request, 0)
	if err != nil {
		return e.handleSendError(ctx, lease, err)
	}
	info := e.router.protocol.ParseResponse(response.Status, response.Header)
	if info.Load != nil {
		lease.RecordLoad(*info.Load)
	}
	if info.Misdirected {
		e.misdirected++
		e.reason = "another server has the address"
		response.Discard()
		lease.MarkNotRun()
		lease.DoneMisdirected()
		return verdictRetry
	}
	if info.NotRun {
		e.refused++
		e.reason = "the server says that it did not run the request, status " + strconv.Itoa(response.Status)
		response.Discard()
		lease.MarkNotRun()
		lease.Done(health.Refused, 0)
		return verdictRetry
	}
	e.sent++
	e.framing = response.Framing
	return e.handleResponse(ctx, lease, response, time.Since(began))
}

// handleSendError handles an attempt without a response. A request whose client has left is not sent to
// further servers: a router that resumes after a freeze has hundreds of them.
func (e *exchange) handleSendError(ctx context.Context, lease *Lease, err error) verdict {
	e.reason = err.Error()
	var failure *upstream.AttemptError
	notRun := errors.As(err, &failure) && failure.Ran() == fault.NotRun
	if notRun {
		e.refused++
		lease.MarkNotRun()
	} else {
		e.sent++
	}
	switch {
	case ctx.Err() == nil:
		lease.Done(health.Failure, 0)
		if !notRun {
			e.reportConnectionLost(lease, err)
		}
	case notRun, errors.Is(ctx.Err(), context.Canceled):
		lease.Abandon()
	default:
		lease.Done(health.Timeout, 0)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		if e.sent == 0 {
			e.router.rates.Refund(e.tenant)
		}
		return verdictClientGone
	}
	if e.headSent && !e.mayRetry() {
		return verdictBroken
	}
	return verdictRetry
}

// handleResponse relays a response or decides to try another server.
func (e *exchange) handleResponse(ctx context.Context, lease *Lease, response *upstream.Response, latency time.Duration) verdict {
	failed := response.Status >= http.StatusInternalServerError
	if failed && e.repeatable() && e.mayRetry() {
		e.reason = "the server answered " + strconv.Itoa(response.Status)
		response.Discard()
		lease.Done(health.Failure, latency)
		return verdictRetry
	}
	if e.headSent && (response.Status != http.StatusOK || !upstream.IsEventStream(response.Header)) {
		response.Abandon()
		lease.Done(health.Failure, latency)
		return e.verdictAfterBreak()
	}
	if upstream.IsEventStream(response.Header) && !failed {
		return e.relayStream(ctx, lease, response, latency)
	}
	return e.relayResponse(ctx, lease, response, latency)
}

// verdictAfterBreak returns the verdict on a request whose response broke.
func (e *exchange) verdictAfterBreak() verdict {
	switch {
	case e.mayRetry():
		return verdictRetry
	case e.headSent:
		return verdictBroken
	}
	return verdictRetry
}

// refuseRequest ends the request with an error of the router itself.
func (e *exchange) refuseRequest(ctx context.Context, err error) {
	if e.headSent {
		httpabort.Abort(e.writer, e.clientRequest)
	}
	status, failure := e.refusal(ctx, fault.From(err))
	if e.sent == 0 {
		e.router.rates.Refund(e.tenant)
	}
	e.recordRefusal(status, failure)
	writeErrorStatus(e.writer, status, failure)
}

// refusal returns the error for a request without a response. A request that may have run is
// never reported as not run.
func (e *exchange) refusal(ctx context.Context, cause *fault.Fault) (int, *fault.Fault) {
	switch {
	case e.sent > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return http.StatusGatewayTimeout, fault.New(fault.OutcomeUnknown, "the request timed out", "use a longer timeout").WithRan(fault.RanUnknown)
	case e.sent > 0 && !e.repeatable():
		// It may have run, so the client must not retry it.
		return http.StatusBadGateway, cause.WithRan(fault.RanUnknown).WithRetryAfter(0)
	case e.sent > 0:
		return http.StatusBadGateway, cause.WithRan(fault.RanUnknown)
	}
	if cause.Kind == fault.Quarantined {
		return cause.Kind.HTTPStatus(), cause
	}
	retryAfter := boundRetryAfter(cause.RetryAfter, time.Until(e.deadline))
	return http.StatusServiceUnavailable, cause.WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}
