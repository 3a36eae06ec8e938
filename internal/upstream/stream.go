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

// Bounds of taking up a broken stream.
const (
	// resumeTries is how often the same engine is asked in a row to go on.
	resumeTries = 6
	// resumeFailures is how many of these tries may get no answer at all.
	resumeFailures = 3
	// resumeTimeout bounds the wait for the head of a resumed stream.
	resumeTimeout = 2 * time.Second
	// resumePause is the pause before the second try; it doubles up to
	// maximumResumePause. The engine keeps a request without a reader for 10 s.
	resumePause = 50 * time.Millisecond
	// maximumResumePause bounds the pause between tries.
	maximumResumePause = 800 * time.Millisecond
	// maximumResumes bounds how often one request is resumed.
	maximumResumes = 16
	// cancelTimeout bounds the order to cancel a request.
	cancelTimeout = 2 * time.Second
)

// streamEnd is how reading a stream ended.
type streamEnd int

const (
	// streamDone: the end marker was relayed.
	streamDone streamEnd = iota
	// streamCut: the stream ended early.
	streamCut
	// streamSinkFailed: the caller can't be written to.
	streamSinkFailed
	// streamTorn: a second run can't be joined to what was relayed.
	streamTorn
)

// errNoEndMarker ends a stream that was closed without its end marker.
var errNoEndMarker = errors.New("the stream ended without its end marker")

// relayStream relays a stream and goes on when it breaks.
func (r *run) relayStream(ctx context.Context, target Target, number int, response *Response, report *Report) verdict {
	var again *replayed
	if r.result.Begun {
		again = &replayed{}
	}
	if err := r.begin(response, -1); err != nil {
		response.Abandon()
		report.Outcome = Canceled
		r.cancel(ctx, target, number)
		return r.callerLeft()
	}
	end, err := r.copyEvents(response, again)
	return r.streamEnded(ctx, target, number, end, err, report)
}

func (r *run) streamEnded(ctx context.Context, target Target, number int, end streamEnd, err error, report *Report) verdict {
	r.result.Tokens = r.relayed.sequence
	switch {
	case end == streamDone:
		r.result.Complete = true
		r.result.Fault = nil
		return verdictDone
	case end == streamSinkFailed || ctx.Err() != nil:
		report.Outcome = Canceled
		r.cancel(ctx, target, number)
		return r.callerLeft()
	case end == streamTorn:
		r.cancelLater(ctx, target, number)
		r.result.Fault = unknown("the answer broke off and a second run does not join what was sent")
		return verdictDone
	}
	report.Outcome = outcomeOf(err)
	r.result.Fault = unknown("the answer broke off before its end")
	return r.takeUp(ctx, target, number, report)
}

// copyEvents relays whole events only, so that what was relayed always ends at
// an event's end. With again set it skips what was relayed before.
func (r *run) copyEvents(response *Response, again *replayed) (streamEnd, error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	block := *buffer
	filled := 0
	for {
		if filled == len(block) {
			block = append(block, make([]byte, len(block))...)
		}
		n, err := response.Read(block[filled:], r.silence())
		filled += n
		whole := wholeEvents(block[:filled])
		if whole > 0 {
			if end, stop := r.relayEvents(block[:whole], again, response); stop {
				return end, nil
			}
			filled = copy(block, block[whole:filled])
		}
		if err == nil && filled < maximumAnswer {
			continue
		}
		response.Abandon()
		if err == nil || errors.Is(err, io.EOF) {
			err = errNoEndMarker
		}
		return streamCut, err
	}
}

// relayEvents relays whole events; stop tells that the stream is over.
func (r *run) relayEvents(events []byte, again *replayed, response *Response) (end streamEnd, stop bool) {
	passed, torn := r.passEvents(events, again)
	if len(passed) > 0 {
		if err := r.sink.Write(passed); err != nil {
			response.Abandon()
			return streamSinkFailed, true
		}
		if counter, wanted := r.sink.(TokenCounter); wanted {
			counter.Relayed(r.relayed.sequence)
		}
	}
	if torn {
		response.Abandon()
		return streamTorn, true
	}
	if r.relayed.done {
		r.finishStream(response)
		return streamDone, true
	}
	return streamCut, false
}

// passEvents moves the position over the events and returns those to relay.
func (r *run) passEvents(events []byte, again *replayed) (passed []byte, torn bool) {
	start, at := 0, 0
	for at < len(events) {
		length := nextEvent(events[at:])
		current := readEvent(events[at : at+length])
		at += length
		if again != nil && !again.caughtUp {
			switch again.judge(current, &r.relayed) {
			case passSkip:
				start = at
				continue
			case passTorn:
				return nil, true
			}
		}
		r.relayed.advance(current)
		if r.relayed.done {
			break
		}
	}
	return events[start:at], false
}

// finishStream reads the end of the body behind the end marker, so that the
// connection can be kept.
func (r *run) finishStream(response *Response) {
	var rest [512]byte
	for {
		_, err := response.Read(rest[:], finishTimeout)
		if errors.Is(err, io.EOF) {
			response.Finish()
			return
		}
		if err != nil {
			response.Abandon()
			return
		}
	}
}

// finishTimeout bounds the wait for the end of a body behind its end marker.
const finishTimeout = 100 * time.Millisecond

// takeUp goes on with a broken stream: on the same engine where it still knows
// the request, or by a second run where that is allowed.
func (r *run) takeUp(ctx context.Context, target Target, number int, report *Report) verdict {
	if r.result.Resumes < maximumResumes {
		if response := r.resume(ctx, target, number); response != nil {
			r.result.Resumes++
			return r.goOn(ctx, target, number, response, report)
		}
	}
	if ctx.Err() != nil {
		report.Outcome = Canceled
		r.cancel(ctx, target, number)
		return r.callerLeft()
	}
	r.cancelLater(ctx, target, number)
	if r.mayRunAgain() {
		return verdictNext
	}
	return verdictDone
}

// mayRunAgain tells whether a second run is allowed: the request must be
// repeatable, and what was relayed must be what a second run gives.
func (r *run) mayRunAgain() bool {
	if !r.request.Repeatable {
		return false
	}
	return r.request.Deterministic || r.relayed.sequence == 0
}

// goOn relays a resumed stream, which starts behind what was relayed.
func (r *run) goOn(ctx context.Context, target Target, number int, response *Response, report *Report) verdict {
	if err := r.begin(response, -1); err != nil {
		response.Abandon()
		report.Outcome = Canceled
		r.cancel(ctx, target, number)
		return r.callerLeft()
	}
	end, err := r.copyEvents(response, nil)
	return r.streamEnded(ctx, target, number, end, err, report)
}

// resumeOrder is the body of a resume call.
type resumeOrder struct {
	Offset uint64 `json:"offset"`
}

// resume asks the engine to go on behind the last token relayed. It returns
// nil when the engine does not know the request or can't be reached in time.
func (r *run) resume(ctx context.Context, target Target, number int) *Response {
	body, err := json.Marshal(resumeOrder{Offset: r.relayed.sequence})
	if err != nil {
		return nil
	}
	order := &Request{
		ID: r.request.ID, Kind: Engine, Method: http.MethodPost, Body: body,
		Path: "/v1/requests/" + r.request.attemptID(number) + "/resume", Priority: r.request.Priority,
		Timeouts: Timeouts{Connect: r.request.Timeouts.Connect, FirstByte: resumeTimeout},
	}
	pause, failures := resumePause, 0
	for try := 0; try < resumeTries && failures < resumeFailures; try++ {
		if try > 0 && !retry.Pause(ctx, pause) {
			return nil
		}
		pause = min(2*pause, maximumResumePause)
		response, err := r.relay.client.Do(ctx, target.Address, order, 0)
		if err != nil {
			failures++
			continue
		}
		if response.Status == http.StatusOK {
			return response
		}
		r.drain(response)
		if response.Status == http.StatusNotFound {
			return nil
		}
	}
	return nil
}

// cancelAnswer is the engine's answer to a cancel order.
type cancelAnswer struct {
	Cancelled bool `json:"cancelled"`
}

// cancel orders the engine to stop the request and records whether the engine
// confirmed it. The order does not depend on the request's own context.
func (r *run) cancel(ctx context.Context, target Target, number int) {
	if r.request.Kind == Engine {
		r.result.Stopped = r.relay.cancel(ctx, r.request, target, number)
	}
}

// cancelLater orders the engine to stop the request without waiting.
func (r *run) cancelLater(ctx context.Context, target Target, number int) {
	if r.request.Kind == Engine {
		go r.relay.cancel(ctx, r.request, target, number)
	}
}

// cancel orders the engine to stop one attempt and tells whether it confirmed.
func (r *Relay) cancel(ctx context.Context, request *Request, target Target, number int) bool {
	bounded, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	order := &Request{
		ID: request.ID, Kind: Engine, Method: http.MethodDelete, Repeatable: true,
		Path:     "/v1/requests/" + request.attemptID(number),
		Timeouts: Timeouts{Connect: request.Timeouts.Connect, FirstByte: cancelTimeout, BetweenBytes: cancelTimeout},
	}
	response, err := r.client.Do(bounded, target.Address, order, 0)
	if err != nil {
		return false
	}
	held := &run{relay: r, request: order}
	body, err := held.readAll(response)
	if err != nil || response.Status != http.StatusOK {
		return false
	}
	var answer cancelAnswer
	return json.Unmarshal(body, &answer) == nil && answer.Cancelled
}
