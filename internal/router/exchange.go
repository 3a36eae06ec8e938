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
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rateclient"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/returning"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
	"rockwind.example/rockwind/internal/waiting"
)

const (
	// connectLimit bounds a connection attempt to a server.
	connectLimit = 400 * time.Millisecond
	// refusalLimit bounds the servers that a request is offered to beyond its
	// attempts because others refused it.
	refusalLimit = 3
	// misdirectedLimit bounds the servers beyond them at whose address another one
	// answered: after a crash of many servers the directory may name as many that are gone.
	misdirectedLimit = 12
	// patiencePart is the part of the remaining time that a request may wait for room. One
	// that is not expected to get any within it does not wait at all.
	patiencePart = 0.5
	// onTimePart is the part of its goal within which a request has to begin at a server to
	// be answered in time: the rest is the reading of its prompt and the way back.
	onTimePart = 0.85
	// ownerPatiencePart is the part of its goal that a request may wait for the owner of its
	// tenant's rate, and leastOwnerPatience the least time: an owner in another zone answers
	// within a few milliseconds, and a machine that is busy within some tens.
	ownerPatiencePart  = 0.2
	leastOwnerPatience = 50 * time.Millisecond
	// turnWait is how long a request waits at most for its tenant's rate to earn it: a fifth of
	// the shortest goals. It is the same for all routes: where those of a longer goal could
	// wait for longer, they took all the room of a flood's tenant, 0.99 of their worth was
	// served and 0.88 of that of the others.
	turnWait = 60 * time.Millisecond
)

// exchange is one client request on its way through the servers.
type exchange struct {
	router *Router
	writer http.ResponseWriter
	// client is the connection of the client, nil where it keeps nothing.
	client  *clientconn.Conn
	route   *rockwindpb.Route
	service string
	facts   RequestInfo
	tenant  *rockwindpb.Tenant
	request upstream.Request
	header  http.Header
	// whole is how long the client waits in all, which has less left if it has come back.
	whole time.Duration
	// ends is when the client or the route no longer waits.
	ends    time.Time
	tried   []string
	refused int
	// misdirected counts the tries at servers that are gone.
	misdirected int
	// sent counts the tries that may have run.
	sent     int
	received time.Time
	number   uint64
	waited   time.Duration
	// firstAfter is when the head of the answer went to the client, counted from the
	// receipt of the request; zero before.
	firstAfter time.Duration
	// started tells that the head of the answer went to the client.
	started bool
	// reason says why the last try gave no whole answer.
	reason string
	// relayed holds which events were relayed.
	relayed upstream.Sequence
	// fingerprint is that of the content, nil before it was needed.
	fingerprint *fingerprint.Fingerprint
	// trySent is when the last try was sent.
	trySent time.Time
	// copy is that of the run, nil where there is none.
	copy *copied
	// lookout watches the server of the last try, nil where its silence ends nothing.
	lookout *Watchdog
}

// verdict tells what becomes of the request after a try.
type verdict int

const (
	// verdictFinished: the client has its answer.
	verdictFinished verdict = iota
	// verdictElsewhere: another server may be tried.
	verdictElsewhere
	// verdictBroken: the answer had begun and cannot be completed.
	verdictBroken
	// verdictGone: the client has left.
	verdictGone
	// verdictContinue: the run goes on at the server that has a copy of it.
	verdictContinue
)

// repeatable tells whether the request may run more than once.
func (e *exchange) repeatable() bool {
	switch e.route.GetKind() {
	case rockwindpb.RouteKind_ROUTE_KIND_SAFE:
		return true
	case rockwindpb.RouteKind_ROUTE_KIND_STREAM:
		return e.route.GetResumable()
	}
	return false
}

// run tries servers until the client has an answer or nothing more may be tried.
// It panics with http.ErrAbortHandler where an answer that had begun cannot be
// completed, so that it never looks whole.
func (e *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, e.ends)
	defer cancel()
	e.client = clientconn.FromContext(ctx)
	e.client.Begin(e.facts.ID, e.ends)
	if held := e.held(); held != nil {
		e.recordHeld(held)
		refuse(e.writer, held.Kind.HTTPStatus(), held)
		return
	}
	if err := e.takeRate(ctx); err != nil {
		e.refuseUncounted(fault.From(err))
		return
	}
	for e.offer(ctx) {
	}
}

// offer brings the request to one server. It returns false once the client has an answer or
// nothing more may be tried.
func (e *exchange) offer(ctx context.Context) (again bool) {
	lease, err := e.acquire(ctx)
	if err != nil {
		e.fail(ctx, err)
		return false
	}
	outcome := e.try(ctx, lease)
	if outcome == verdictContinue {
		lease, outcome = e.goOn(ctx, lease)
	}
	if e.over(lease, outcome) {
		return false
	}
	e.record(decision.RequestTriedAgain, lease, e.reason)
	e.tried = append(e.tried, lease.ID)
	if held := e.held(); held != nil {
		e.fail(ctx, held)
		return false
	}
	if !e.mayTryAgain() {
		e.fail(ctx, fault.New(fault.Unavailable, "no server answered the request", "come back later").WithRetryAfter(shortestReturn))
		return false
	}
	return true
}

// acquire waits for a server with room.
func (e *exchange) acquire(ctx context.Context) (*Lease, error) {
	asked := time.Now()
	lease, err := e.router.dispatcher.Acquire(ctx, e.ask())
	e.waited += time.Since(asked)
	if err != nil {
		return nil, err
	}
	if held := e.held(); held != nil {
		// It became known while the request waited for room.
		lease.MarkNotRun()
		lease.Abandon()
		return nil, held
	}
	return lease, nil
}

// over ends a request of which the client has all that it will get, and tells whether it has.
func (e *exchange) over(lease *Lease, outcome verdict) bool {
	switch outcome {
	case verdictFinished:
		lease.RecordEvents(e.relayed.Last())
		e.record(decision.RequestFinished, lease, "")
		return true
	case verdictGone:
		e.recordGone(lease)
		// Nobody reads the answer, but it must not end as if it were whole.
		panic(http.ErrAbortHandler)
	case verdictBroken:
		e.record(decision.RequestBroken, lease, e.reason)
		panic(http.ErrAbortHandler)
	}
	return false
}

// ask is what the request wants of its service now.
func (e *exchange) ask() AcquireRequest {
	ask := AcquireRequest{
		Service: e.service, Demand: balance.Demand{Parts: e.facts.Parts}, Priority: e.priority(),
		Tenant:  waiting.Tenant{Name: e.tenant.GetName(), Weight: e.tenant.GetWeight()},
		StartBy: e.onTimeUntil(), Tried: e.tried, MaxWait: e.patience(),
		Remaining: time.Until(e.ends), LastAttempt: e.sent > 0 || !returning.IsFirstAttempt(e.whole, e.facts.Timeout),
	}
	if e.router.gates.On(gate.Returns) {
		ask.FirstAsked = e.firstTry()
	}
	return ask
}

// firstTry is since when the client has been asking, as far as it shows.
func (e *exchange) firstTry() time.Time {
	if !e.router.gates.On(gate.Returns) {
		return e.received
	}
	return returning.FirstAttempt(e.received, e.whole, e.facts.Timeout)
}

func (e *exchange) priority() waiting.Priority {
	return waiting.Priority{Tenant: e.tenant.GetPriority(), Route: e.route.GetPriority()}
}

// patience is how long the request may wait at most now.
func (e *exchange) patience() time.Duration {
	return time.Duration(patiencePart * float64(time.Until(e.ends)))
}

// ofGoal is a part of the route's goal.
func (e *exchange) ofGoal(part float64) time.Duration {
	return time.Duration(part * float64(time.Duration(e.route.GetGoalMs())*time.Millisecond))
}

// onTimeUntil is until when the request may begin at a server and be answered in time.
func (e *exchange) onTimeUntil() time.Time {
	return e.firstTry().Add(e.ofGoal(onTimePart))
}

// takeRate takes the request out of its tenant's rate. Where no owner answers soon, a client
// that may come back is told to; for one that has come back the owner is asked on.
func (e *exchange) takeRate(ctx context.Context) error {
	began := time.Now()
	defer func() { e.waited += time.Since(began) }()
	err := e.router.rates.Take(ctx, e.tenant, e.number, max(leastOwnerPatience, e.ofGoal(ownerPatiencePart)), e.turn())
	for err != nil && !e.mayComeBack() && e.awaitRate(ctx, fault.From(err)) {
		err = e.router.rates.Take(ctx, e.tenant, e.number, e.patience(), e.turn())
	}
	return err
}

// turn is how the request goes before others of its tenant now.
func (e *exchange) turn() rateclient.Options {
	if e.route.GetGoalMs() == 0 || !e.router.gates.On(gate.Returns) {
		return rateclient.Options{}
	}
	left := time.Until(e.onTimeUntil())
	return rateclient.Options{Late: left <= 0, Wait: max(0, min(left, turnWait))}
}

// awaitRate waits for as long as the refusal of a request says that its tenant's rate needs,
// and tells whether to ask again: not where that is longer than the request may wait.
func (e *exchange) awaitRate(ctx context.Context, refusal *fault.Fault) bool {
	if refusal.Kind == fault.LimitReached {
		return refusal.RetryAfter <= e.patience() && retry.Pause(ctx, refusal.RetryAfter)
	}
	return e.patience() > leastOwnerPatience && retry.Pause(ctx, shortestReturn)
}

// refuseUncounted answers a request that its tenant's rate has no room for, or whose owner
// did not answer. Nothing was taken that could be given back.
func (e *exchange) refuseUncounted(failure *fault.Fault) {
	status := failure.Kind.HTTPStatus()
	if failure.Kind == fault.Unavailable {
		failure = failure.WithRetryAfter(boundReturn(failure.RetryAfter, time.Until(e.ends)))
	}
	e.recordRefusal(status, failure)
	refuse(e.writer, status, failure)
}

// mayComeBack tells whether the client has all of its time left: it is told early
// to come back, and is in time then. One that has come back waits instead.
func (e *exchange) mayComeBack() bool {
	return e.facts.Timeout > 0 && returning.IsFirstAttempt(e.whole, e.facts.Timeout)
}

// mayTryAgain tells whether another server may be tried.
func (e *exchange) mayTryAgain() bool {
	attempts := max(1, int(e.route.GetAttempts()))
	if e.sent > 0 && !e.repeatable() {
		return false
	}
	return e.sent < attempts && e.refused <= refusalLimit && e.misdirected <= misdirectedLimit && time.Until(e.ends) > 0
}

// try sends the request to one server.
func (e *exchange) try(ctx context.Context, lease *Lease) verdict {
	e.copyRun(lease)
	e.request.Header = e.header.Clone()
	e.router.protocol.Prepare(e.request.Header, e.copy.address(AttemptInfo{
		ServerID: lease.ID, Remaining: time.Until(e.ends), ResumeAfter: e.relayed.String(), Tenant: e.tenant.GetName(),
	}))
	trying, end := e.watched(ctx, lease)
	defer end()
	began := time.Now()
	e.trySent = began
	response, err := e.router.client.Do(trying, lease.Address, &e.request, 0)
	if err != nil {
		return e.tryFailed(ctx, lease, err)
	}
	judgement := e.router.protocol.ParseResponse(response.Status, response.Header)
	if judgement.Load != nil {
		lease.RecordLoad(*judgement.Load)
	}
	if judgement.Misdirected {
		e.misdirected++
		e.reason = "another server has the address"
		response.Discard()
		lease.MarkNotRun()
		lease.DoneMisdirected()
		return verdictElsewhere
	}
	if judgement.NotRun {
		e.refused++
		e.reason = "the server says that it did not run the request, status " + strconv.Itoa(response.Status)
		response.Discard()
		lease.MarkNotRun()
		lease.Done(health.Refused, 0)
		return verdictElsewhere
	}
	e.sent++
	return e.answer(ctx, lease, response, time.Since(began))
}

func (e *exchange) tryFailed(ctx context.Context, lease *Lease, err error) verdict {
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
			e.broke(lease, err)
		}
	case notRun, errors.Is(ctx.Err(), context.Canceled):
		lease.Abandon()
	default:
		lease.Done(health.Timeout, 0)
	}
	if e.started && !e.mayTryAgain() {
		return verdictBroken
	}
	return verdictElsewhere
}

// answer passes an answer on.
func (e *exchange) answer(ctx context.Context, lease *Lease, response *upstream.Response, latency time.Duration) verdict {
	failed := response.Status >= http.StatusInternalServerError
	if failed && e.repeatable() && e.mayTryAgain() {
		e.reason = "the server answered " + strconv.Itoa(response.Status)
		response.Discard()
		lease.Done(health.Failure, latency)
		return verdictElsewhere
	}
	if e.started && (response.Status != http.StatusOK || !isEventStream(response.Header)) {
		response.Abandon()
		lease.Done(health.Failure, latency)
		return e.afterBreak()
	}
	if isEventStream(response.Header) && !failed {
		return e.relayEvents(ctx, lease, response, latency)
	}
	return e.relayWhole(ctx, lease, response, latency)
}

// afterBreak decides about a request whose answer broke off.
func (e *exchange) afterBreak() verdict {
	switch {
	case e.mayTryAgain():
		return verdictElsewhere
	case e.started:
		return verdictBroken
	}
	return verdictElsewhere
}

// fail ends the request with an answer of the router's own, at once.
func (e *exchange) fail(ctx context.Context, err error) {
	if e.started {
		panic(http.ErrAbortHandler)
	}
	status, failure := e.failure(ctx, fault.From(err))
	if e.sent == 0 {
		e.router.rates.Refund(e.tenant)
	}
	e.recordRefusal(status, failure)
	refuse(e.writer, status, failure)
}

// failure is the answer to a request that no server has answered: what may have
// run is never said to have not run.
func (e *exchange) failure(ctx context.Context, cause *fault.Fault) (int, *fault.Fault) {
	switch {
	case e.sent > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return http.StatusGatewayTimeout, fault.New(fault.OutcomeUnknown, "the time for the request is over", "ask for more time").WithRan(fault.RanUnknown)
	case e.sent > 0 && !e.repeatable():
		// It may have run: nobody is asked to send it again.
		return http.StatusBadGateway, cause.WithRan(fault.RanUnknown).WithRetryAfter(0)
	case e.sent > 0:
		return http.StatusBadGateway, cause.WithRan(fault.RanUnknown)
	}
	if cause.Kind == fault.Quarantined {
		return cause.Kind.HTTPStatus(), cause
	}
	comeBack := boundReturn(cause.RetryAfter, time.Until(e.ends))
	return http.StatusServiceUnavailable, cause.WithRan(fault.NotRun).WithRetryAfter(comeBack)
}
