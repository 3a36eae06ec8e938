package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Sizes for reading response bodies.
const (
	copyBufferSize = 32 << 10
	// maximumResponse bounds an unstreamed response of an engine, which is buffered.
	maximumResponse = 8 << 20
	// maximumBufferedService bounds the service responses that are buffered until
	// they are complete; larger ones are relayed as they arrive.
	maximumBufferedService = 256 << 10
	// maximumDrain bounds how much of an unneeded response is read to reuse its
	// connection.
	maximumDrain = 64 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// errResponseTooLong is returned for a response that exceeds its size limit.
var errResponseTooLong = errors.New("response is too long")

// relayUnstreamed buffers an unstreamed response of an engine until it is complete
// and relays it.
func (e *exchange) relayUnstreamed(ctx context.Context, target Target, number int, response *Response, report *Report) verdict {
	body, err := e.readAll(response)
	if err == nil && response.Status == http.StatusOK {
		err = e.checkCompletion(body)
	}
	if err != nil {
		return e.handleTruncated(ctx, target, number, err, report)
	}
	if response.Status >= http.StatusInternalServerError {
		return e.handleServerError(response)
	}
	return e.deliver(response, body)
}

// handleServerError handles a response with a status of 500 or above.
func (e *exchange) handleServerError(response *Response) verdict {
	e.result.Fault = unknownOutcome("the back end failed with status " + strconv.Itoa(response.Status))
	if e.request.Repeatable {
		return verdictNext
	}
	return verdictDone
}

// deliver writes a complete response to the sink.
func (e *exchange) deliver(response *Response, body []byte) verdict {
	length := int64(len(body))
	if e.request.Method == http.MethodHead {
		length = response.Length
	}
	if err := e.startResponse(response, length); err != nil {
		return e.endCanceled()
	}
	if err := e.sink.Write(body); err != nil {
		return e.endCanceled()
	}
	e.result.Complete = true
	e.result.Fault = nil
	return verdictDone
}

// handleTruncated handles an engine response that ended before it was complete.
func (e *exchange) handleTruncated(ctx context.Context, target Target, number int, err error, report *Report) verdict {
	if ctx.Err() != nil {
		report.Outcome = Canceled
		e.cancel(ctx, target, number)
		return e.endCanceled()
	}
	report.Outcome = outcomeOf(err)
	return e.handleLost(ctx, target, number, report)
}

func outcomeOf(err error) Outcome {
	if attemptError(PhaseResponse, err).Timeout {
		return TimedOut
	}
	return ConnectionLost
}

// readAll reads the body to its end and finishes or abandons the response.
func (e *exchange) readAll(response *Response) ([]byte, error) {
	var content bytes.Buffer
	if response.Length > 0 && response.Length <= maximumResponse {
		content.Grow(int(response.Length))
	}
	err := e.readInto(&content, response, maximumResponse)
	if err != nil {
		response.Abandon()
		return nil, err
	}
	response.Finish()
	return content.Bytes(), nil
}

func (e *exchange) readInto(content *bytes.Buffer, response *Response, limit int) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Read(*buffer, e.silenceTimeout())
		content.Write((*buffer)[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if content.Len() > limit {
			return errResponseTooLong
		}
	}
}

// silenceTimeout bounds the time without data within a response. An unstreamed
// engine response may be silent for as long as the first byte may take.
func (e *exchange) silenceTimeout() time.Duration {
	if e.request.Stream || e.request.Kind == Service {
		return e.request.Timeouts.BetweenBytes
	}
	return e.request.Timeouts.FirstByte
}

// drain reads the rest of a short response so that its connection can be reused.
func (e *exchange) drain(response *Response) { response.Discard() }

// completion holds the fields of a response that show whether it is complete.
type completion struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Completion uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

// checkCompletion returns an error if an unstreamed response is incomplete, and
// records its token count.
func (e *exchange) checkCompletion(body []byte) error {
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) == 0 {
		return io.ErrUnexpectedEOF
	}
	for _, choice := range parsed.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return io.ErrUnexpectedEOF
		}
	}
	e.result.Tokens = parsed.Usage.Completion
	return nil
}

// relayService relays the response of a service. A short one is buffered until it is
// complete, so that a repeatable request can still be sent elsewhere.
func (e *exchange) relayService(ctx context.Context, response *Response, report *Report) verdict {
	if response.Length >= 0 && response.Length <= maximumBufferedService {
		return e.relayBuffered(ctx, response, report)
	}
	if err := e.startResponse(response, response.Length); err != nil {
		response.Abandon()
		report.Outcome = Canceled
		return e.endCanceled()
	}
	return e.copyBody(ctx, response, report)
}

func (e *exchange) relayBuffered(ctx context.Context, response *Response, report *Report) verdict {
	body, err := e.readAll(response)
	if err == nil && IsEventStream(response.Header) {
		err = checkEventsComplete(body)
	}
	if err != nil {
		return e.handleTruncatedService(ctx, err, report)
	}
	return e.deliver(response, body)
}

// checkEventsComplete returns an error if a stream ends inside an event.
func checkEventsComplete(body []byte) error {
	var tail eventTail
	tail.add(body)
	if tail.inEvent {
		return ErrEndedInEvent
	}
	return nil
}

// copyBody relays a body as it arrives.
func (e *exchange) copyBody(ctx context.Context, response *Response, report *Report) verdict {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	var tail eventTail
	isEventStream := IsEventStream(response.Header)
	for {
		n, err := response.Read(*buffer, e.silenceTimeout())
		if n > 0 {
			if isEventStream {
				tail.add((*buffer)[:n])
			}
			if writeErr := e.sink.Write((*buffer)[:n]); writeErr != nil {
				response.Abandon()
				report.Outcome = Canceled
				return e.endCanceled()
			}
		}
		if errors.Is(err, io.EOF) && tail.inEvent {
			err = ErrEndedInEvent
		}
		if errors.Is(err, io.EOF) {
			response.Finish()
			e.result.Complete = true
			return verdictDone
		}
		if err != nil {
			response.Abandon()
			return e.handleTruncatedService(ctx, err, report)
		}
	}
}

// handleTruncatedService handles a service response that ended before it was
// complete.
func (e *exchange) handleTruncatedService(ctx context.Context, err error, report *Report) verdict {
	if ctx.Err() != nil {
		report.Outcome = Canceled
		return e.endCanceled()
	}
	report.Outcome = outcomeOf(err)
	return e.handleLost(ctx, Target{}, 0, report)
}

// retryAfter parses the Retry-After header, which must be in seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return fallbackRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// fallbackRetryAfter is used if the backend sends no valid Retry-After.
const fallbackRetryAfter = time.Second
