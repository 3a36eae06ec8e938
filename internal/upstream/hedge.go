package upstream

import (
	"context"
	"time"
)

// flight is one attempt on its way to the head of its answer.
type flight struct {
	target   Target
	number   int
	begun    time.Time
	cancel   context.CancelFunc
	response *Response
	err      error
	// headAfter is the time to the head of the answer.
	headAfter time.Duration
	// cancelled is set where the attempt was stopped in favour of another.
	cancelled bool
}

// good tells whether the flight brought the head of an answer that is no
// refusal.
func (f *flight) good() bool {
	return f.err == nil && !f.response.NotRun()
}

// newFlight counts an attempt.
func (r *run) newFlight(target Target) *flight {
	sent := &flight{target: target, number: r.result.Attempts, begun: time.Now(), cancel: func() {}}
	r.result.Attempts++
	r.tried = append(r.tried, target.Name)
	return sent
}

// fly sends an attempt and waits for the head of its answer.
func (f *flight) fly(ctx context.Context, client *Client, request *Request) {
	if f.target.Body != nil {
		copied := *request
		copied.Body = f.target.Body
		request = &copied
	}
	f.response, f.err = client.Do(ctx, f.target.Address, request, f.number)
	f.headAfter = time.Since(f.begun)
}

// launch sends an attempt that another may overtake; it arrives on the channel.
func (r *run) launch(ctx context.Context, target Target, arrivals chan<- *flight) *flight {
	sent := r.newFlight(target)
	bounded, cancel := context.WithCancel(ctx)
	sent.cancel = cancel
	go func() {
		sent.fly(bounded, r.relay.client, r.request)
		arrivals <- sent
	}()
	return sent
}

// send sends the request to the target and waits for the head of the answer. A
// request that may be repeated is sent to a second back end too once the head
// is overdue and the retry budget has attempts to spare; the first good answer
// counts, and the other attempt is stopped. Both have reached their end when
// send returns.
func (r *run) send(ctx context.Context, target Target) *flight {
	if !r.mayHedge(target) {
		sent := r.newFlight(target)
		sent.fly(ctx, r.relay.client, r.request)
		return sent
	}
	arrivals := make(chan *flight, 2)
	first := r.launch(ctx, target, arrivals)
	overdue := time.NewTimer(target.HedgeAfter)
	defer overdue.Stop()
	select {
	case arrived := <-arrivals:
		return arrived
	case <-overdue.C:
	}
	second := r.hedge(ctx, arrivals)
	if second == nil {
		return <-arrivals
	}
	winner := <-arrivals
	other := first
	if winner == first {
		other = second
	}
	if winner.good() {
		// The other one's wait ends at once when it is cancelled.
		other.cancel()
		<-arrivals
		other.cancelled = true
	} else if <-arrivals; other.good() {
		winner, other = other, winner
	}
	r.lose(ctx, other)
	return winner
}

// mayHedge tells whether a second attempt beside this one is allowed at all.
func (r *run) mayHedge(target Target) bool {
	return target.HedgeAfter > 0 && r.request.Repeatable && !r.result.Begun && r.result.Attempts+1 < maximumAttempts
}

// hedge launches a second attempt; nil where there is none to spare.
func (r *run) hedge(ctx context.Context, arrivals chan<- *flight) *flight {
	if ctx.Err() != nil || !r.relay.budget.WithdrawSpare() {
		return nil
	}
	target, err := r.chooser.Choose(ctx, r.tried)
	if err != nil {
		return nil
	}
	r.result.Hedges++
	return r.launch(ctx, target, arrivals)
}

// lose ends an attempt whose answer is not used.
func (r *run) lose(ctx context.Context, loser *flight) {
	loser.cancel()
	report := Report{Outcome: Canceled, Duration: time.Since(loser.begun)}
	switch {
	case loser.err == nil && loser.response.NotRun():
		report.Outcome = Refused
		r.drain(loser.response)
	case loser.err == nil:
		r.mayHaveRun = true
		loser.response.Abandon()
		r.cancelLater(ctx, loser.target, loser.number)
	default:
		r.loseFailed(ctx, loser, &report)
	}
	r.chooser.Ended(loser.target, report)
}

// loseFailed ends an attempt that failed by itself or because it was cancelled.
func (r *run) loseFailed(ctx context.Context, loser *flight, report *Report) {
	failure := asAttemptError(loser.err)
	if failure.Phase != PhaseConnect {
		r.mayHaveRun = true
		r.cancelLater(ctx, loser.target, loser.number)
	}
	if loser.cancelled {
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
