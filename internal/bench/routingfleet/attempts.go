package routingfleet

import (
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/admission"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// request is the state of one request. Times are as observed by the client.
type request struct {
	sent     time.Duration
	firstAt  time.Duration
	doneAt   time.Duration
	calls    int
	tried    []int32
	attempts []attempt
	state    requestState
	hinted   bool
	// inTransit reports whether a call is scheduled but has not reached its gateway.
	inTransit bool
}

// requestState is the stage of a request.
type requestState uint8

const (
	stateNew requestState = iota
	stateRunning
	stateDone
	stateRefused
	// stateLost means that the request may have run but will get no answer.
	stateLost
)

// attempt is one try of a request at a server.
type attempt struct {
	server int32
	sentAt time.Duration
	// tokens is the number of uncached prompt tokens added to the server's load.
	tokens int
	open   bool
	// prefillDone is set when the first token arrived or can no longer arrive.
	prefillDone bool
	hedge       bool
}

// failure is the cause of a failed attempt.
type failure uint8

const (
	failureBroken failure = iota
	failureUnreachable
	failureRefused
	failureTimeout
)

// attemptBits is the number of low bits of an engine tag that hold the attempt number.
const attemptBits = 8

func attemptTag(index, number int) uint64 { return uint64(index)<<attemptBits | uint64(number) }

func parseAttemptTag(tag uint64) (index, number int) {
	return int(tag >> attemptBits), int(tag & (1<<attemptBits - 1))
}

// attemptID returns the request ID of an attempt at the engine.
func attemptID(index, number int) string { return strconv.FormatUint(attemptTag(index, number), 10) }

// admit routes a request that reaches the gateway, or refuses it.
func (g *gateway) admit(index int) {
	run := g.fleet
	entry := &run.requests[index]
	if entry.calls == 0 {
		entry.sent = run.queue.Now() - run.scenario.ClientDelay
	}
	entry.calls++
	entry.inTransit = false
	entry.tried = entry.tried[:0]
	g.startClientTimeout(index, entry.calls)
	run.totals.calls++
	decision, found := g.choose(index, nil)
	if policy := run.policy.Admission; policy != nil {
		verdict := admission.Decide(*policy, admission.Estimate{Wait: decision.Wait, Found: found}, 0, run.queue.Now())
		if !verdict.Admit() {
			g.refuse(index, verdict.RetryAfter)
			return
		}
	} else if !found {
		g.refuse(index, admission.DefaultPolicy.MinimumRetryAfter)
		return
	}
	g.budget.Deposit(upstream.DefaultRetryRatio)
	entry.state = stateRunning
	g.startAttempt(index, decision, false)
}

// startClientTimeout cancels a call that has no first token when the client
// timeout expires, and resends the request if resends are left.
func (g *gateway) startClientTimeout(index, call int) {
	run := g.fleet
	patience := run.scenario.Load.ClientTimeout
	if patience <= 0 {
		return
	}
	run.queue.After(patience, func() {
		entry := &run.requests[index]
		if entry.calls != call || entry.firstAt > 0 || entry.state != stateRunning {
			return
		}
		for number := range entry.attempts {
			if entry.attempts[number].open {
				g.cancelAttempt(index, number)
				g.endAttempt(index, number)
			}
		}
		entry.state = stateLost
		if entry.calls <= run.scenario.Load.MaxResends {
			run.sendToGateway(index)
		}
	})
}

// refuse rejects a request that did not run. The client resends it after the
// retry delay if resends are left.
func (g *gateway) refuse(index int, retryAfter time.Duration) {
	run := g.fleet
	entry := &run.requests[index]
	entry.state = stateRefused
	run.totals.refusals++
	if entry.calls <= run.scenario.Load.MaxResends {
		entry.inTransit = true
		run.queue.After(run.scenario.ClientDelay+retryAfter, func() { run.sendToGateway(index) })
	}
}

// startAttempt sends a request to the chosen server.
func (g *gateway) startAttempt(index int, decision routing.Decision, hedge bool) {
	run := g.fleet
	entry := &run.requests[index]
	spec := &run.arrivals[index]
	server := decision.Server
	number := len(entry.attempts)
	entry.attempts = append(entry.attempts, attempt{server: int32(server), sentAt: run.queue.Now(), tokens: spec.promptTokens - int(decision.CachedTokens), open: true, hedge: hedge})
	entry.tried = append(entry.tried, int32(server))
	entry.hinted = decision.Hinted
	g.view.RecordSent(server, spec.promptTokens-int(decision.CachedTokens), false)
	g.health.RecordSent(server, decision.Wait, run.queue.Now())
	g.recent[server].RecordSent(run.queue.Now())
	g.rememberPrefixes(server)
	run.recordSent(g, server)
	run.queue.After(run.delay(g, server), func() { run.submit(g, index, number) })
	g.startAttemptTimers(index, number, decision.Wait)
}

// submit delivers an attempt to its engine.
func (f *fleet) submit(g *gateway, index, number int) {
	server := int(f.requests[index].attempts[number].server)
	node := &f.nodes[server]
	responseDelay := f.delay(g, server)
	if node.state.partitioned {
		f.queue.After(connectTimeout, func() { g.attemptFailed(index, number, failureUnreachable) })
		return
	}
	spec := &f.arrivals[index]
	refusal, accepted := node.engine.Submit(f.queue.Now(), engine.Request{
		ID:           attemptID(index, number),
		Tag:          attemptTag(index, number),
		Priority:     engine.PriorityOnline,
		PromptTokens: spec.promptTokens,
		MaxTokens:    spec.answerTokens,
		Blocks:       spec.blocks,
	})
	f.schedule(server)
	switch {
	case accepted:
		f.totals.started++
	case refusal == engine.RefusalDead:
		f.queue.After(responseDelay, func() { g.attemptFailed(index, number, failureUnreachable) })
	default:
		f.queue.After(responseDelay, func() { g.attemptFailed(index, number, failureRefused) })
	}
}

// startAttemptTimers schedules the first-byte timeout of an attempt and, for the
// first attempt of a request, its hedge.
func (g *gateway) startAttemptTimers(index, number int, wait time.Duration) {
	run := g.fleet
	run.queue.After(firstByteTimeout, func() {
		current := &run.requests[index].attempts[number]
		if current.open && !current.prefillDone {
			g.cancelAttempt(index, number)
			g.attemptFailed(index, number, failureTimeout)
		}
	})
	if run.policy.Hedge == nil || number > 0 {
		return
	}
	after, ok := admission.HedgeAfter(*run.policy.Hedge, true, wait)
	if ok {
		run.queue.After(after, func() { g.startHedge(index, number) })
	}
}

// startHedge starts a second attempt if the first token of the given one is
// overdue and the retry budget allows it.
func (g *gateway) startHedge(index, number int) {
	run := g.fleet
	entry := &run.requests[index]
	current := &entry.attempts[number]
	if !current.open || current.prefillDone || len(entry.attempts) > number+1 {
		return
	}
	decision, found := g.choose(index, entry.tried)
	if !found || !g.budget.WithdrawSpare() {
		return
	}
	run.totals.hedges++
	g.startAttempt(index, decision, true)
}

// firstToken handles the first token of an attempt and cancels the other attempts
// of the request.
func (g *gateway) firstToken(index, number int) {
	run := g.fleet
	entry := &run.requests[index]
	current := &entry.attempts[number]
	if !current.open {
		return
	}
	g.endPrefill(index, number, true)
	server := int(current.server)
	g.recordTraffic(server, health.Success, run.queue.Now()-current.sentAt)
	if entry.firstAt == 0 {
		entry.firstAt = run.queue.Now() + run.scenario.ClientDelay
	}
	for other := range entry.attempts {
		if other != number && entry.attempts[other].open {
			g.cancelAttempt(index, other)
			g.endAttempt(index, other)
		}
	}
}

// endPrefill records that the first token of an attempt arrived or can no longer
// arrive.
func (g *gateway) endPrefill(index, number int, arrived bool) {
	current := &g.fleet.requests[index].attempts[number]
	if current.prefillDone {
		return
	}
	current.prefillDone = true
	g.view.RecordFirstToken(int(current.server), current.tokens)
	g.health.RecordFirstToken(int(current.server), arrived, g.fleet.queue.Now())
}

// endAttempt marks an attempt as ended and removes it from the server's load.
func (g *gateway) endAttempt(index, number int) {
	g.endPrefill(index, number, false)
	current := &g.fleet.requests[index].attempts[number]
	current.open = false
	g.view.RecordEnd(int(current.server), false)
	g.recent[current.server].RecordEnd(g.fleet.queue.Now())
}

// cancelAttempt cancels an attempt at its engine.
func (g *gateway) cancelAttempt(index, number int) {
	run := g.fleet
	server := int(run.requests[index].attempts[number].server)
	run.queue.After(run.delay(g, server), func() {
		if !run.nodes[server].state.partitioned {
			run.nodes[server].engine.Cancel(run.queue.Now(), attemptID(index, number))
			run.schedule(server)
		}
	})
}

// attemptFinished handles the end of a complete answer.
func (g *gateway) attemptFinished(index, number int) {
	entry := &g.fleet.requests[index]
	if !entry.attempts[number].open {
		return
	}
	g.endAttempt(index, number)
	entry.state = stateDone
	entry.doneAt = g.fleet.queue.Now() + g.fleet.scenario.ClientDelay
}

// attemptFailed handles an attempt that ended without a complete answer.
func (g *gateway) attemptFailed(index, number int, cause failure) {
	run := g.fleet
	entry := &run.requests[index]
	current := &entry.attempts[number]
	if !current.open {
		return
	}
	g.endAttempt(index, number)
	g.recordTraffic(int(current.server), outcomeOf(cause), 0)
	if cause == failureRefused {
		g.checkDraining(int(current.server))
	}
	for other := range entry.attempts {
		if entry.attempts[other].open {
			return
		}
	}
	g.retry(index, cause)
}

func outcomeOf(cause failure) health.Outcome {
	switch cause {
	case failureRefused:
		return health.Refused
	case failureTimeout:
		return health.Timeout
	default:
		return health.Failure
	}
}

// retry sends a failed request to another server if the retry budget allows it.
// Simulated requests are idempotent with deterministic answers, so a broken
// stream can also be retried.
func (g *gateway) retry(index int, cause failure) {
	run := g.fleet
	entry := &run.requests[index]
	if len(entry.tried) < maximumAttempts && g.mayRetry() {
		if decision, found := g.choose(index, entry.tried); found {
			run.totals.retries++
			g.startAttempt(index, decision, false)
			return
		}
	}
	if cause == failureRefused || cause == failureUnreachable {
		g.refuse(index, admission.DefaultPolicy.MinimumRetryAfter)
		return
	}
	entry.state = stateLost
}

func (g *gateway) mayRetry() bool {
	return g.fleet.policy.UnlimitedRetries || g.budget.Withdraw()
}
