package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

// Limits for resuming broken streams and canceling requests.
const (
	// maximumResumeAttempts bounds the consecutive attempts to resume a stream.
	maximumResumeAttempts = 6
	// maximumResumeFailures bounds how many of these attempts may get no response.
	maximumResumeFailures = 3
	// resumeTimeout bounds the wait for the headers of a resumed stream.
	resumeTimeout = 2 * time.Second
	// initialResumeDelay is the delay before the second attempt. It doubles up to
	// maximumResumeDelay. An engine keeps a request without a reader for 10 s.
	initialResumeDelay = 50 * time.Millisecond
	maximumResumeDelay = 800 * time.Millisecond
	// maximumResumes bounds how often one request is resumed.
	maximumResumes = 16
	// cancelTimeout bounds a call that cancels a request.
	cancelTimeout = 2 * time.Second
)

// streamEnd is how reading a stream ended.
type streamEnd int

const (
	// streamDone: the end marker was relayed.
	streamDone streamEnd = iota
	// streamTruncated: the stream ended early.
	streamTruncated
	// streamSinkFailed: writing to the caller failed.
	streamSinkFailed
	// streamMismatch: a second run does not continue what was relayed.
	streamMismatch
)

// errNoEndMarker is returned for a stream that was closed without its end marker.
var errNoEndMarker = errors.New("stream ended without its end marker")

// relayStream relays a stream and resumes it if it breaks.
func (e *exchange) relayStream(ctx context.Context, target Target, number int, response *Response, report *Report) verdict {
	var rerun *rerunPosition
	if e.result.Begun {
		rerun = &rerunPosition{}
	}
	if err := e.startResponse(response, -1); err != nil {
		response.Abandon()
		report.Outcome = Canceled
		e.cancel(ctx, target, number)
		return e.endCanceled()
	}
	end, err := e.copyEvents(response, rerun)
	return e.streamEnded(ctx, target, number, end, err, report)
}

func (e *exchange) streamEnded(ctx context.Context, target Target, number int, end streamEnd, err error, report *Report) verdict {
	e.result.Tokens = e.relayed.sequence
	switch {
	case end == streamDone:
		e.result.Complete = true
		e.result.Fault = nil
		return verdictDone
	case end == streamSinkFailed || ctx.Err() != nil:
		report.Outcome = Canceled
		e.cancel(ctx, target, number)
		return e.endCanceled()
	case end == streamMismatch:
		e.cancelAsync(ctx, target, number)
		e.result.Fault = unknownOutcome("the answer broke off and a second run does not join what was sent")
		return verdictDone
	}
	report.Outcome = outcomeOf(err)
	e.result.Fault = unknownOutcome("the answer broke off before its end")
	return e.recoverStream(ctx, target, number, report)
}

// copyEvents relays complete events only, so that the relayed part always ends at
// the end of an event. If rerun is set, it skips events that were relayed before.
func (e *exchange) copyEvents(response *Response, rerun *rerunPosition) (streamEnd, error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	block := *buffer
	filled := 0
	for {
		if filled == len(block) {
			block = append(block, make([]byte, len(block))...)
		}
		n, err := response.Read(block[filled:], e.silenceTimeout())
		filled += n
		complete := completeEvents(block[:filled])
		if complete > 0 {
			if end, stop := e.relayEvents(block[:complete], rerun, response); stop {
				return end, nil
			}
			filled = copy(block, block[complete:filled])
		}
		if err == nil && filled < MaximumEvent {
			continue
		}
		response.Abandon()
		switch {
		case err == nil:
			err = ErrEventTooLong
		case errors.Is(err, io.EOF):
			err = errNoEndMarker
		}
		return streamTruncated, err
	}
}

// relayEvents relays complete events. stop is set once the stream has ended.
func (e *exchange) relayEvents(events []byte, rerun *rerunPosition, response *Response) (end streamEnd, stop bool) {
	kept, mismatch := e.filterEvents(events, rerun)
	if len(kept) > 0 {
		if err := e.sink.Write(kept); err != nil {
			response.Abandon()
			return streamSinkFailed, true
		}
		if counter, wanted := e.sink.(TokenCounter); wanted {
			counter.Relayed(e.relayed.sequence)
		}
	}
	if mismatch {
		response.Abandon()
		return streamMismatch, true
	}
	if e.relayed.done {
		e.finishStream(response)
		return streamDone, true
	}
	return streamTruncated, false
}

// filterEvents advances the position over the events and returns those to relay.
func (e *exchange) filterEvents(events []byte, rerun *rerunPosition) (kept []byte, mismatch bool) {
	start, at := 0, 0
	for at < len(events) {
		length := nextEvent(events[at:])
		current := readEvent(events[at : at+length])
		at += length
		if rerun != nil && !rerun.caughtUp {
			switch rerun.classify(current, &e.relayed) {
			case replaySkip:
				start = at
				continue
			case replayMismatch:
				return nil, true
			}
		}
		e.relayed.advance(current)
		if e.relayed.done {
			break
		}
	}
	return events[start:at], false
}

// finishStream reads the end of the body after the end marker, so that the
// connection can be reused.
func (e *exchange) finishStream(response *Response) {
	response.discard(finishTimeout)
}

// finishTimeout bounds the wait for the end of a body after its end marker.
const finishTimeout = 100 * time.Millisecond

// recoverStream continues a broken stream: on the same engine if it still has the
// request, otherwise by a second run if that is allowed.
func (e *exchange) recoverStream(ctx context.Context, target Target, number int, report *Report) verdict {
	if e.result.Resumes < maximumResumes {
		if response := e.resume(ctx, target, number); response != nil {
			e.result.Resumes++
			return e.relayResumed(ctx, target, number, response, report)
		}
	}
	if ctx.Err() != nil {
		report.Outcome = Canceled
		e.cancel(ctx, target, number)
		return e.endCanceled()
	}
	e.cancelAsync(ctx, target, number)
	if e.mayRerun() {
		return verdictNext
	}
	return verdictDone
}

// mayRerun reports whether a second run is allowed: the request must be repeatable,
// and a second run must produce what was already relayed.
func (e *exchange) mayRerun() bool {
	if !e.request.Repeatable {
		return false
	}
	return e.request.Deterministic || e.relayed.sequence == 0
}

// relayResumed relays a resumed stream, which starts after the relayed events.
func (e *exchange) relayResumed(ctx context.Context, target Target, number int, response *Response, report *Report) verdict {
	if err := e.startResponse(response, -1); err != nil {
		response.Abandon()
		report.Outcome = Canceled
		e.cancel(ctx, target, number)
		return e.endCanceled()
	}
	end, err := e.copyEvents(response, nil)
	return e.streamEnded(ctx, target, number, end, err, report)
}

// resumeRequest is the body of a resume call.
type resumeRequest struct {
	Offset uint64 `json:"offset"`
}

// resume asks the engine to resume after the last relayed token. It returns nil if
// the engine does not know the request or does not resume it in time.
func (e *exchange) resume(ctx context.Context, target Target, number int) *Response {
	body, err := json.Marshal(resumeRequest{Offset: e.relayed.sequence})
	if err != nil {
		return nil
	}
	command := &Request{
		ID: e.request.ID, Kind: Engine, Method: http.MethodPost, Body: body,
		Path: "/v1/requests/" + e.request.attemptID(number) + "/resume", Priority: e.request.Priority,
		Timeouts: Timeouts{Connect: e.request.Timeouts.Connect, FirstByte: resumeTimeout},
		MatchesResponse: func(answer http.Header) bool {
			return namesAny(answer, e.request.ID, e.request.attemptID(number))
		},
	}
	delay, failures := initialResumeDelay, 0
	for try := 0; try < maximumResumeAttempts && failures < maximumResumeFailures; try++ {
		if try > 0 && !retry.Pause(ctx, delay) {
			return nil
		}
		delay = min(2*delay, maximumResumeDelay)
		response, err := e.relay.client.Do(ctx, target.Address, command, 0)
		if err != nil {
			failures++
			continue
		}
		if response.Status == http.StatusOK {
			return response
		}
		e.drain(response)
		if response.Status == http.StatusNotFound {
			return nil
		}
	}
	return nil
}

// cancelResponse is the engine's response to a cancel call.
type cancelResponse struct {
	Cancelled bool `json:"cancelled"`
}

// cancel cancels the request at the engine and records whether the engine confirmed
// it. It works after the request's own context has ended.
func (e *exchange) cancel(ctx context.Context, target Target, number int) {
	if e.request.Kind == Engine {
		e.result.Stopped = e.relay.cancel(ctx, e.request, target, number)
	}
}

// cancelAsync cancels the request at the engine without waiting.
func (e *exchange) cancelAsync(ctx context.Context, target Target, number int) {
	if e.request.Kind == Engine {
		go e.relay.cancel(ctx, e.request, target, number)
	}
}

// cancel cancels one attempt at the engine and reports whether the engine confirmed.
func (r *Relay) cancel(ctx context.Context, request *Request, target Target, number int) bool {
	callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	command := &Request{
		ID: request.ID, Kind: Engine, Method: http.MethodDelete, Repeatable: true,
		Path:     "/v1/requests/" + request.attemptID(number),
		Timeouts: Timeouts{Connect: request.Timeouts.Connect, FirstByte: cancelTimeout, BetweenBytes: cancelTimeout},
		MatchesResponse: func(answer http.Header) bool {
			return namesAny(answer, request.ID, request.attemptID(number))
		},
	}
	response, err := r.client.Do(callCtx, target.Address, command, 0)
	if err != nil {
		return false
	}
	call := &exchange{relay: r, request: command}
	body, err := call.readAll(response)
	if err != nil || response.Status != http.StatusOK {
		return false
	}
	var answer cancelResponse
	return json.Unmarshal(body, &answer) == nil && answer.Cancelled
}
