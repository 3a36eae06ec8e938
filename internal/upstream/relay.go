package upstream

import (
	"context"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
)

// Outcome is how one attempt ended, as evidence of its backend's health.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered: the backend sent a complete response.
	Answered Outcome = iota
	// Refused: the backend refused the request before running it.
	Refused
	// Unreachable: the connection could not be established.
	Unreachable
	// ConnectionLost: the connection failed after bytes were written.
	ConnectionLost
	// TimedOut: the backend sent nothing for too long.
	TimedOut
	// ServerError: the backend answered with a status of 500 or above.
	ServerError
	// Canceled: the caller or an operator canceled the attempt.
	Canceled
)

// Report describes an attempt that has ended.
type Report struct {
	Outcome Outcome
	// FirstByte is the time to the first byte of the response, zero if there was none.
	FirstByte time.Duration
	// Duration is the time from choosing the backend to the end of the attempt.
	Duration time.Duration
	// Tokens is the number of tokens received, if known.
	Tokens uint64
}

// Chooser chooses the backend of each attempt and keeps track of attempts. Ended is
// called once for every target that Choose returned.
type Chooser interface {
	// Choose returns the backend of the next attempt; tried names those that failed
	// before. If there is none, it returns a fault.
	Choose(ctx context.Context, tried []string) (Target, error)
	// Ended reports how the attempt at the target ended.
	Ended(target Target, report Report)
}

// Sink receives the response.
type Sink interface {
	// Begin is called once, before the first byte of the body. Length is the
	// body's length in bytes, -1 if unknown.
	Begin(status int, header http.Header, length int64) error
	// Write takes a part of the body and forwards it immediately.
	Write(p []byte) error
}

// TokenCounter is implemented by sinks that track the progress of a stream.
// Relayed is called after the Write that forwarded the token with the given
// sequence number.
type TokenCounter interface {
	Relayed(sequence uint64)
}

// Result is how a request ended, after all attempts.
type Result struct {
	// Begun is set once the sink has received response headers.
	Begun bool
	// Complete is set if the sink has received the whole response.
	Complete bool
	// Status is the HTTP status of the response.
	Status int
	// Fault is why there is no complete response.
	Fault *fault.Fault
	// Canceled is set if the context ended the request.
	Canceled bool
	// Stopped is set if the engine confirmed that it stopped the request before it
	// finished. It is only set after the context has ended.
	Stopped bool
	// Attempts is the number of backends tried.
	Attempts int
	// Hedges is the number of attempts that ran in parallel with another.
	Hedges int
	// Resumes is how often a broken stream was resumed.
	Resumes int
	// Tokens is the number of tokens relayed, if known.
	Tokens uint64
	// Target is the backend of the last attempt.
	Target Target
	// FirstByte is the time from the start to the first byte of the response.
	FirstByte time.Duration
}

// Relay sends requests and relays their responses. It is safe for concurrent use.
type Relay struct {
	client *Client
	budget *retry.Budget
}

// NewRelay returns a relay that uses the given client and retry budget.
func NewRelay(client *Client, budget *retry.Budget) *Relay {
	return &Relay{client: client, budget: budget}
}

// maximumAttempts bounds the backends tried for one request.
const maximumAttempts = 4

// exchange is the state of one request.
type exchange struct {
	relay   *Relay
	request *Request
	chooser Chooser
	sink    Sink
	started time.Time
	tried   []string
	// mayHaveRun is set once bytes of any attempt were written without a refusal.
	mayHaveRun bool
	relayed    position
	result     Result
}

// verdict is what to do after an attempt.
type verdict int

const (
	// verdictDone: the request has ended; the result says how.
	verdictDone verdict = iota
	// verdictNext: another backend may be tried.
	verdictNext
)

// Run sends a request and relays its response to the end. The sink is not used
// after it returns. If the context ends, the request is canceled at the engine.
func (r *Relay) Run(ctx context.Context, request *Request, chooser Chooser, sink Sink) Result {
	current := &exchange{relay: r, request: request, chooser: chooser, sink: sink, started: time.Now()}
	for {
		if current.attempt(ctx) == verdictDone {
			return current.result
		}
		if current.result.Attempts >= maximumAttempts || !r.budget.Withdraw() {
			return current.result
		}
	}
}

// attempt tries one backend. If it returns verdictNext, the result holds the fault
// to report if there is no further attempt.
func (e *exchange) attempt(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return e.endCanceled()
	}
	target, err := e.chooser.Choose(ctx, e.tried)
	if err != nil {
		return e.handleNoTarget(err)
	}
	sent := e.send(ctx, target)
	defer sent.cancel()
	e.result.Target = sent.target
	report := Report{Outcome: Answered}
	next := e.relayResponse(ctx, sent, &report)
	report.Duration = time.Since(sent.startedAt)
	report.Tokens = e.result.Tokens
	e.chooser.Ended(sent.target, report)
	return next
}

func (e *exchange) handleNoTarget(err error) verdict {
	if e.result.Fault != nil {
		return verdictDone
	}
	e.result.Fault = fault.From(err)
	if e.result.Fault.Ran == fault.RanNotApplicable {
		e.result.Fault = e.result.Fault.WithRan(fault.NotRun)
	}
	return verdictDone
}

// relayResponse relays the response to an attempt.
func (e *exchange) relayResponse(ctx context.Context, sent *sentAttempt, report *Report) verdict {
	target, number, response := sent.target, sent.number, sent.response
	if sent.err != nil {
		return e.handleNoResponse(ctx, target, number, sent.err, report)
	}
	report.FirstByte = sent.headAfter
	if response.NotRun() {
		return e.handleRefused(response, report)
	}
	e.mayHaveRun = true
	if response.Status >= http.StatusInternalServerError {
		report.Outcome = ServerError
	}
	if e.result.Begun && response.Status != http.StatusOK {
		e.drain(response)
		e.result.Fault = unknownOutcome("the answer broke off and can't be taken up again")
		return verdictNext
	}
	if e.request.Stream && response.Status == http.StatusOK {
		return e.relayStream(ctx, target, number, response, report)
	}
	if e.request.Kind == Service {
		return e.relayService(ctx, response, report)
	}
	return e.relayUnstreamed(ctx, target, number, response, report)
}

// handleNoResponse handles an attempt that failed without a response.
func (e *exchange) handleNoResponse(ctx context.Context, target Target, number int, err error, report *Report) verdict {
	failure := asAttemptError(err)
	if failure.Phase != PhaseConnect {
		e.mayHaveRun = true
	}
	if ctx.Err() != nil {
		report.Outcome = Canceled
		if failure.Phase != PhaseConnect {
			e.cancel(ctx, target, number)
		}
		return e.endCanceled()
	}
	if failure.Phase == PhaseConnect {
		report.Outcome = Unreachable
		e.recordNotRun(fault.Newf(fault.Unavailable, "send the request again", "backend %s is unreachable", target.Name))
		return verdictNext
	}
	report.Outcome = ConnectionLost
	if failure.Timeout {
		report.Outcome = TimedOut
	}
	return e.handleLost(ctx, target, number, report)
}

// handleRefused handles a refusal of a request that did not run.
func (e *exchange) handleRefused(response *Response, report *Report) verdict {
	report.Outcome = Refused
	e.drain(response)
	after := retryAfter(response.Header)
	e.recordNotRun(fault.New(fault.Overloaded, "the backends are refusing requests",
		"send the request again later").WithRetryAfter(after))
	return verdictNext
}

// recordNotRun records the fault of an attempt that did not run. If an earlier
// attempt may have run, the outcome of the request is unknown.
func (e *exchange) recordNotRun(f *fault.Fault) {
	if e.mayHaveRun {
		e.result.Fault = unknownOutcome("the request may have run and its answer is lost")
		return
	}
	e.result.Fault = f.WithRan(fault.NotRun)
}

// handleLost handles an attempt whose response was lost after bytes were written.
func (e *exchange) handleLost(ctx context.Context, target Target, number int, report *Report) verdict {
	e.result.Fault = unknownOutcome("the connection to the back end failed after the request was sent")
	if e.request.Stream {
		return e.recoverStream(ctx, target, number, report)
	}
	e.cancelAsync(ctx, target, number)
	if e.request.Repeatable && !e.result.Begun {
		return verdictNext
	}
	return verdictDone
}

// unknownOutcome returns the fault of a request that may have run.
func unknownOutcome(message string) *fault.Fault {
	return fault.New(fault.OutcomeUnknown, message,
		"check whether it took effect before it is sent again").WithRan(fault.RanUnknown)
}

// endCanceled ends the request because its context ended.
func (e *exchange) endCanceled() verdict {
	e.result.Canceled = true
	e.result.Fault = fault.New(fault.Cancelled, "the request was cancelled", "none").WithRan(e.ran())
	return verdictDone
}

func (e *exchange) ran() fault.Ran {
	if e.mayHaveRun {
		return fault.RanUnknown
	}
	return fault.NotRun
}

// startResponse writes the response headers to the sink, unless an earlier attempt
// did.
func (e *exchange) startResponse(response *Response, length int64) error {
	if e.result.Begun {
		return nil
	}
	e.result.Begun = true
	e.result.Status = response.Status
	e.result.FirstByte = time.Since(e.started)
	return e.sink.Begin(response.Status, response.Header, length)
}
