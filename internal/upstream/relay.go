package upstream

import (
	"context"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
)

// Outcome is how one attempt ended, as evidence about its back end.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered: the back end gave a whole answer.
	Answered Outcome = iota
	// Refused: the back end refused before anything ran.
	Refused
	// Unreachable: no connection could be made.
	Unreachable
	// ConnectionLost: the connection failed after bytes were written.
	ConnectionLost
	// TimedOut: the back end was silent for too long.
	TimedOut
	// ServerError: the back end answered with a status of 500 or above.
	ServerError
	// Canceled: the caller or the operator ended the request.
	Canceled
)

// Report describes one attempt that ended.
type Report struct {
	// Outcome is how the attempt ended.
	Outcome Outcome
	// FirstByte is the time to the first byte of the answer, zero when none came.
	FirstByte time.Duration
	// Duration is the time from choosing the back end to the end.
	Duration time.Duration
	// Tokens is the number of tokens received, where the answer tells it.
	Tokens uint64
}

// Chooser decides which back end gets the next attempt and counts what was
// sent. Every target that Choose returned is given to Ended once.
type Chooser interface {
	// Choose returns the back end of the next attempt; tried names those that
	// failed before. It fails with a fault when there is none.
	Choose(ctx context.Context, tried []string) (Target, error)
	// Ended reports how the attempt at the target ended.
	Ended(target Target, report Report)
}

// Sink takes the answer.
type Sink interface {
	// Begin is called once, before the first byte of the body. Length is the
	// body's length in bytes, -1 when unknown.
	Begin(status int, header http.Header, length int64) error
	// Write takes a part of the body and passes it on at once.
	Write(p []byte) error
}

// TokenCounter is implemented by sinks that want to know how far a stream has
// come. Relayed is called after the Write that passed the token with the given
// sequence number on.
type TokenCounter interface {
	Relayed(sequence uint64)
}

// Result is how a request ended, after all attempts.
type Result struct {
	// Begun tells that the sink was given the head of an answer.
	Begun bool
	// Complete tells that the sink was given the whole answer.
	Complete bool
	// Status is the HTTP status of the answer.
	Status int
	// Fault says why there is no whole answer.
	Fault *fault.Fault
	// Canceled tells that the context ended the request.
	Canceled bool
	// Stopped tells that the engine confirmed that it stopped the request before
	// it finished. It is set only after the context ended.
	Stopped bool
	// Attempts counts the back ends that were tried.
	Attempts int
	// Hedges counts the attempts that ran beside another.
	Hedges int
	// Resumes counts how often a broken stream was taken up again.
	Resumes int
	// Tokens is the number of tokens relayed, where the answer tells it.
	Tokens uint64
	// Target is the back end of the last attempt.
	Target Target
	// FirstByte is the time from the start to the first byte of the answer.
	FirstByte time.Duration
}

// Relay carries out requests. It is safe for concurrent use.
type Relay struct {
	client *Client
	budget *retry.Budget
}

// NewRelay returns a relay over the client's connections.
func NewRelay(client *Client, budget *retry.Budget) *Relay {
	return &Relay{client: client, budget: budget}
}

// maximumAttempts bounds the back ends tried for one request.
const maximumAttempts = 4

// run is the state of one request.
type run struct {
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
	// verdictDone: the request is over; the result says how.
	verdictDone verdict = iota
	// verdictNext: another back end may be tried.
	verdictNext
)

// Run carries out a request to its end. It returns only when the sink is no
// longer used. The context ends when the caller leaves; the request is then
// cancelled at the engine.
func (r *Relay) Run(ctx context.Context, request *Request, chooser Chooser, sink Sink) Result {
	current := &run{relay: r, request: request, chooser: chooser, sink: sink, started: time.Now()}
	for {
		if current.attempt(ctx) == verdictDone {
			return current.result
		}
		if current.result.Attempts >= maximumAttempts || !r.budget.Withdraw() {
			return current.result
		}
	}
}

// attempt tries one back end. On verdictNext the result holds the fault that
// is given when there is no further attempt.
func (r *run) attempt(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return r.callerLeft()
	}
	target, err := r.chooser.Choose(ctx, r.tried)
	if err != nil {
		return r.noTarget(err)
	}
	sent := r.send(ctx, target)
	defer sent.cancel()
	r.result.Target = sent.target
	report := Report{Outcome: Answered}
	decided := r.exchange(ctx, sent, &report)
	report.Duration = time.Since(sent.begun)
	report.Tokens = r.result.Tokens
	r.chooser.Ended(sent.target, report)
	return decided
}

func (r *run) noTarget(err error) verdict {
	if r.result.Fault != nil {
		return verdictDone
	}
	r.result.Fault = fault.From(err)
	if r.result.Fault.Ran == fault.RanNotApplicable {
		r.result.Fault = r.result.Fault.WithRan(fault.NotRun)
	}
	return verdictDone
}

// exchange relays the answer to an attempt.
func (r *run) exchange(ctx context.Context, sent *flight, report *Report) verdict {
	target, number, response := sent.target, sent.number, sent.response
	if sent.err != nil {
		return r.failedBeforeAnswer(ctx, target, number, sent.err, report)
	}
	report.FirstByte = sent.headAfter
	if response.NotRun() {
		return r.refused(response, report)
	}
	r.mayHaveRun = true
	if response.Status >= http.StatusInternalServerError {
		report.Outcome = ServerError
	}
	if r.result.Begun && response.Status != http.StatusOK {
		r.drain(response)
		r.result.Fault = unknown("the answer broke off and can't be taken up again")
		return verdictNext
	}
	if r.request.Stream && response.Status == http.StatusOK {
		return r.relayStream(ctx, target, number, response, report)
	}
	if r.request.Kind == Service {
		return r.relayService(ctx, response, report)
	}
	return r.relayAnswer(ctx, target, number, response, report)
}

// failedBeforeAnswer handles an attempt without the head of an answer.
func (r *run) failedBeforeAnswer(ctx context.Context, target Target, number int, err error, report *Report) verdict {
	failure := asAttemptError(err)
	if failure.Phase != PhaseConnect {
		r.mayHaveRun = true
	}
	if ctx.Err() != nil {
		report.Outcome = Canceled
		if failure.Phase != PhaseConnect {
			r.cancel(ctx, target, number)
		}
		return r.callerLeft()
	}
	if failure.Phase == PhaseConnect {
		report.Outcome = Unreachable
		r.fail(fault.Newf(fault.Unavailable, "send the request again", "back end %s can't be reached", target.Name))
		return verdictNext
	}
	report.Outcome = ConnectionLost
	if failure.Timeout {
		report.Outcome = TimedOut
	}
	return r.lost(ctx, target, number, report)
}

// refused handles an answer that says that nothing ran.
func (r *run) refused(response *Response, report *Report) verdict {
	report.Outcome = Refused
	r.drain(response)
	after := retryAfter(response.Header)
	r.fail(fault.New(fault.Overloaded, "the back ends refuse requests for now",
		"send the request again later").WithRetryAfter(after))
	return verdictNext
}

// fail records a fault of an attempt that did not run. What earlier attempts
// may have done decides what is known of the whole request.
func (r *run) fail(f *fault.Fault) {
	if r.mayHaveRun {
		r.result.Fault = unknown("the request may have run and its answer is lost")
		return
	}
	r.result.Fault = f.WithRan(fault.NotRun)
}

// lost handles an attempt whose answer is lost after bytes were written.
func (r *run) lost(ctx context.Context, target Target, number int, report *Report) verdict {
	r.result.Fault = unknown("the connection to the back end failed after the request was sent")
	if r.request.Stream {
		return r.takeUp(ctx, target, number, report)
	}
	r.cancelLater(ctx, target, number)
	if r.request.Repeatable && !r.result.Begun {
		return verdictNext
	}
	return verdictDone
}

// unknown is the fault of a request that may have run.
func unknown(message string) *fault.Fault {
	return fault.New(fault.OutcomeUnknown, message,
		"check whether it took effect before it is sent again").WithRan(fault.RanUnknown)
}

// callerLeft ends the request because its context ended.
func (r *run) callerLeft() verdict {
	r.result.Canceled = true
	r.result.Fault = fault.New(fault.Cancelled, "the request was cancelled", "none").WithRan(r.ran())
	return verdictDone
}

func (r *run) ran() fault.Ran {
	if r.mayHaveRun {
		return fault.RanUnknown
	}
	return fault.NotRun
}

// begin gives the head of the answer to the sink.
func (r *run) begin(response *Response, length int64) error {
	if r.result.Begun {
		return nil
	}
	r.result.Begun = true
	r.result.Status = response.Status
	r.result.FirstByte = time.Since(r.started)
	return r.sink.Begin(response.Status, response.Header, length)
}
