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

// request follows one request. Times are the caller's.
type request struct {
	sent     time.Duration
	firstAt  time.Duration
	doneAt   time.Duration
	calls    int
	tried    []int32
	attempts []attempt
	state    requestState
	hinted   bool
	// coming tells that the caller's next sending is on its way.
	coming bool
}

// requestState is where a request is.
type requestState uint8

const (
	stateNew requestState = iota
	stateRunning
	stateDone
	stateRefused
	// stateLost: it may have run, and no answer will come.
	stateLost
)

// attempt is one sending of a request to a server.
type attempt struct {
	server int32
	sentAt time.Duration
	// tokens is the part of the prompt that was counted as sent.
	tokens int
	open   bool
	// prefilled tells that the first token arrived or that none will come.
	prefilled bool
	hedge     bool
}

// failure is how an attempt failed.
type failure uint8

const (
	failureBroken failure = iota
	failureUnreachable
	failureRefused
	failureTimeout
)

// attemptBits is the part of a tag that numbers the attempts of a request.
const attemptBits = 8

func tag(index, number int) uint64 { return uint64(index)<<attemptBits | uint64(number) }

func untag(tag uint64) (index, number int) {
	return int(tag >> attemptBits), int(tag & (1<<attemptBits - 1))
}

// attemptID is the request identity that the engine knows an attempt by.
func attemptID(index, number int) string { return strconv.FormatUint(tag(index, number), 10) }

// arrive admits a request and sends it to a server.
func (g *gateway) arrive(index int) {
	run := g.fleet
	entry := &run.requests[index]
	if entry.calls == 0 {
		entry.sent = run.queue.Now() - run.scenario.ClientDelay
	}
	entry.calls++
	entry.coming = false
	entry.tried = entry.tried[:0]
	g.lose(index, entry.calls)
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
	g.send(index, decision, false)
}

// lose makes the caller of a request give up once its patience is at an end.
func (g *gateway) lose(index, call int) {
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
				g.cancel(index, number)
				g.close(index, number)
			}
		}
		entry.state = stateLost
		if entry.calls <= run.scenario.Load.MaxResends {
			run.call(index)
		}
	})
}

// refuse answers a request as not run; the caller may send it again later.
func (g *gateway) refuse(index int, retryAfter time.Duration) {
	run := g.fleet
	entry := &run.requests[index]
	entry.state = stateRefused
	run.totals.refusals++
	if entry.calls <= run.scenario.Load.MaxResends {
		entry.coming = true
		run.queue.After(run.scenario.ClientDelay+retryAfter, func() { run.call(index) })
	}
}

// send starts an attempt at the chosen server.
func (g *gateway) send(index int, decision routing.Decision, hedge bool) {
	run := g.fleet
	entry := &run.requests[index]
	drawn := &run.arrivals[index]
	server := decision.Server
	number := len(entry.attempts)
	entry.attempts = append(entry.attempts, attempt{server: int32(server), sentAt: run.queue.Now(), tokens: drawn.prompt - int(decision.CachedTokens), open: true, hedge: hedge})
	entry.tried = append(entry.tried, int32(server))
	entry.hinted = decision.Hinted
	g.view.RecordSent(server, drawn.prompt-int(decision.CachedTokens), false)
	g.health.RecordSent(server, decision.Wait, run.queue.Now())
	g.recent[server].RecordSent(run.queue.Now())
	g.rememberPrefixes(server)
	run.sent(g, server)
	run.queue.After(run.delay(g, server), func() { run.submit(g, index, number) })
	g.watch(index, number, decision.Wait)
}

// submit hands an attempt to its engine.
func (f *fleet) submit(g *gateway, index, number int) {
	server := int(f.requests[index].attempts[number].server)
	node := &f.nodes[server]
	back := f.delay(g, server)
	if node.state.cut {
		f.queue.After(connectTimeout, func() { g.failed(index, number, failureUnreachable) })
		return
	}
	drawn := &f.arrivals[index]
	refusal, accepted := node.engine.Submit(f.queue.Now(), engine.Request{
		ID:           attemptID(index, number),
		Tag:          tag(index, number),
		Priority:     engine.PriorityOnline,
		PromptTokens: drawn.prompt,
		MaxTokens:    drawn.answer,
		Blocks:       drawn.blocks,
	})
	f.schedule(server)
	switch {
	case accepted:
		f.totals.started++
	case refusal == engine.RefusalDead:
		f.queue.After(back, func() { g.failed(index, number, failureUnreachable) })
	default:
		f.queue.After(back, func() { g.failed(index, number, failureRefused) })
	}
}

// watch bounds the time to the first token and hedges slow attempts.
func (g *gateway) watch(index, number int, wait time.Duration) {
	run := g.fleet
	run.queue.After(firstByteTimeout, func() {
		current := &run.requests[index].attempts[number]
		if current.open && !current.prefilled {
			g.cancel(index, number)
			g.failed(index, number, failureTimeout)
		}
	})
	if run.policy.Hedge == nil || number > 0 {
		return
	}
	after, some := admission.HedgeAfter(*run.policy.Hedge, true, wait)
	if some {
		run.queue.After(after, func() { g.hedge(index, number) })
	}
}

// hedge sends a second attempt beside one whose first token is overdue.
func (g *gateway) hedge(index, number int) {
	run := g.fleet
	entry := &run.requests[index]
	current := &entry.attempts[number]
	if !current.open || current.prefilled || len(entry.attempts) > number+1 {
		return
	}
	decision, found := g.choose(index, entry.tried)
	if !found || !g.budget.WithdrawSpare() {
		return
	}
	run.totals.hedges++
	g.send(index, decision, true)
}

// firstToken takes the first token of an attempt; the others are cancelled.
func (g *gateway) firstToken(index, number int) {
	run := g.fleet
	entry := &run.requests[index]
	current := &entry.attempts[number]
	if !current.open {
		return
	}
	g.prefilled(index, number, true)
	server := int(current.server)
	g.observe(server, health.Success, run.queue.Now()-current.sentAt)
	if entry.firstAt == 0 {
		entry.firstAt = run.queue.Now() + run.scenario.ClientDelay
	}
	for other := range entry.attempts {
		if other != number && entry.attempts[other].open {
			g.cancel(index, other)
			g.close(index, other)
		}
	}
}

// prefilled notes that the first token of an attempt came, or that none will.
func (g *gateway) prefilled(index, number int, came bool) {
	current := &g.fleet.requests[index].attempts[number]
	if current.prefilled {
		return
	}
	current.prefilled = true
	g.view.RecordFirstToken(int(current.server), current.tokens)
	g.health.RecordFirstToken(int(current.server), came, g.fleet.queue.Now())
}

// close counts an attempt down.
func (g *gateway) close(index, number int) {
	g.prefilled(index, number, false)
	current := &g.fleet.requests[index].attempts[number]
	current.open = false
	g.view.RecordEnd(int(current.server), false)
	g.recent[current.server].RecordEnd(g.fleet.queue.Now())
}

// cancel stops an attempt at its engine.
func (g *gateway) cancel(index, number int) {
	run := g.fleet
	server := int(run.requests[index].attempts[number].server)
	run.queue.After(run.delay(g, server), func() {
		if !run.nodes[server].state.cut {
			run.nodes[server].engine.Cancel(run.queue.Now(), attemptID(index, number))
			run.schedule(server)
		}
	})
}

// finished takes the end of a whole answer.
func (g *gateway) finished(index, number int) {
	entry := &g.fleet.requests[index]
	if !entry.attempts[number].open {
		return
	}
	g.close(index, number)
	entry.state = stateDone
	entry.doneAt = g.fleet.queue.Now() + g.fleet.scenario.ClientDelay
}

// failed handles an attempt that brings no whole answer.
func (g *gateway) failed(index, number int, how failure) {
	run := g.fleet
	entry := &run.requests[index]
	current := &entry.attempts[number]
	if !current.open {
		return
	}
	g.close(index, number)
	g.observe(int(current.server), outcomeOf(how), 0)
	if how == failureRefused {
		g.askWhetherReady(int(current.server))
	}
	for other := range entry.attempts {
		if entry.attempts[other].open {
			return
		}
	}
	g.again(index, how)
}

func outcomeOf(how failure) health.Outcome {
	switch how {
	case failureRefused:
		return health.Refused
	case failureTimeout:
		return health.Timeout
	default:
		return health.Failure
	}
}

// again sends a failed request to another server, as far as the budget allows.
// Requests may be repeated here, and the answers are deterministic, so that a
// broken stream goes on elsewhere.
func (g *gateway) again(index int, how failure) {
	run := g.fleet
	entry := &run.requests[index]
	if len(entry.tried) < maximumAttempts && g.mayRetry() {
		if decision, found := g.choose(index, entry.tried); found {
			run.totals.retries++
			g.send(index, decision, false)
			return
		}
	}
	if how == failureRefused || how == failureUnreachable {
		g.refuse(index, admission.DefaultPolicy.MinimumRetryAfter)
		return
	}
	entry.state = stateLost
}

func (g *gateway) mayRetry() bool {
	return g.fleet.policy.UnlimitedRetries || g.budget.Withdraw()
}
