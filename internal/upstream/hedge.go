package upstream

import (
	"context"
	"time"
)

// sentAttempt is one attempt, up to the headers of its response.
type sentAttempt struct {
	target    Target
	number    int
	startedAt time.Time
	cancel    context.CancelFunc
	response  *Response
	err       error
	// headAfter is the time from sending to the response headers or the failure.
	headAfter time.Duration
	// canceled is set if the attempt was canceled in favor of another.
	canceled bool
}

// accepted reports whether the attempt got a response that is not a refusal.
func (s *sentAttempt) accepted() bool {
	return s.err == nil && !s.response.NotRun()
}

// newAttempt creates and counts an attempt.
func (e *exchange) newAttempt(target Target) *sentAttempt {
	sent := &sentAttempt{target: target, number: e.result.Attempts, startedAt: time.Now(), cancel: func() {}}
	e.result.Attempts++
	e.tried = append(e.tried, target.Name)
	return sent
}

// awaitHead sends an attempt and waits for the headers of its response.
func (s *sentAttempt) awaitHead(ctx context.Context, client *Client, request *Request) {
	if s.target.Body != nil {
		copied := *request
		copied.Body = s.target.Body
		request = &copied
	}
	s.response, s.err = client.Do(ctx, s.target.Address, request, s.number)
	s.headAfter = time.Since(s.startedAt)
}

// startAttempt sends an attempt in the background. It arrives on the channel once its
// response headers have arrived or it has failed.
func (e *exchange) startAttempt(ctx context.Context, target Target, finished chan<- *sentAttempt) *sentAttempt {
	sent := e.newAttempt(target)
	attemptCtx, cancel := context.WithCancel(ctx)
	sent.cancel = cancel
	go func() {
		sent.awaitHead(attemptCtx, e.relay.client, e.request)
		finished <- sent
	}()
	return sent
}

// send sends the request to the target and waits for the response headers. If they
// do not arrive in time, a repeatable request is also sent to a second backend,
// provided that the retry budget has attempts to spare. The first accepted response
// wins and the other attempt is canceled. Both have ended when send returns.
func (e *exchange) send(ctx context.Context, target Target) *sentAttempt {
	if !e.mayHedge(target) {
		sent := e.newAttempt(target)
		sent.awaitHead(ctx, e.relay.client, e.request)
		return sent
	}
	finished := make(chan *sentAttempt, 2)
	first := e.startAttempt(ctx, target, finished)
	hedgeTimer := time.NewTimer(target.HedgeAfter)
	defer hedgeTimer.Stop()
	select {
	case arrived := <-finished:
		return arrived
	case <-hedgeTimer.C:
	}
	second := e.hedge(ctx, finished)
	if second == nil {
		return <-finished
	}
	winner := <-finished
	other := first
	if winner == first {
		other = second
	}
	if winner.accepted() {
		// Canceling makes the other attempt return at once.
		other.cancel()
		<-finished
		other.canceled = true
	} else if <-finished; other.accepted() {
		winner, other = other, winner
	}
	e.discardAttempt(ctx, other)
	return winner
}

// mayHedge reports whether a second, concurrent attempt is allowed.
func (e *exchange) mayHedge(target Target) bool {
	return target.HedgeAfter > 0 && e.request.Repeatable && !e.result.Begun && e.result.Attempts+1 < maximumAttempts
}

// hedge starts a second attempt. It returns nil if the retry budget or the chooser
// allows none.
func (e *exchange) hedge(ctx context.Context, finished chan<- *sentAttempt) *sentAttempt {
	if ctx.Err() != nil || !e.relay.budget.WithdrawSpare() {
		return nil
	}
	target, err := e.chooser.Choose(ctx, e.tried)
	if err != nil {
		return nil
	}
	e.result.Hedges++
	return e.startAttempt(ctx, target, finished)
}

// discardAttempt ends an attempt whose response is not used.
func (e *exchange) discardAttempt(ctx context.Context, loser *sentAttempt) {
	loser.cancel()
	report := Report{Outcome: Canceled, Duration: time.Since(loser.startedAt)}
	switch {
	case loser.err == nil && loser.response.NotRun():
		report.Outcome = Refused
		e.drain(loser.response)
	case loser.err == nil:
		e.mayHaveRun = true
		loser.response.Abandon()
		e.cancelAsync(ctx, loser.target, loser.number)
	default:
		e.discardFailed(ctx, loser, &report)
	}
	e.chooser.Ended(loser.target, report)
}

// discardFailed ends an attempt that failed or was canceled.
func (e *exchange) discardFailed(ctx context.Context, loser *sentAttempt, report *Report) {
	failure := asAttemptError(loser.err)
	if failure.Phase != PhaseConnect {
		e.mayHaveRun = true
		e.cancelAsync(ctx, loser.target, loser.number)
	}
	if loser.canceled {
		return
	}
	switch {
	case failure.Phase == PhaseConnect:
		report.Outcome = Unreachable
	case failure.Timeout:
		report.Outcome = TimedOut
	default:
		report.Outcome = ConnectionLost
	}
}
