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

// Sizes of the relay's buffers.
const (
	// copyBufferSize is the size of one read of a body.
	copyBufferSize = 32 << 10
	// maximumAnswer bounds an unstreamed answer of an engine.
	maximumAnswer = 64 << 20
	// heldServiceAnswer is the largest answer of a service that is held until it
	// is whole; larger ones are passed on as they come.
	heldServiceAnswer = 256 << 10
	// maximumDrain bounds what is read of a refusal to keep its connection.
	maximumDrain = 64 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// errTooLong ends an answer that exceeds maximumAnswer.
var errTooLong = errors.New("the answer is too long")

// relayAnswer holds an unstreamed answer of an engine until it is whole.
func (r *run) relayAnswer(ctx context.Context, target Target, number int, response *Response, report *Report) verdict {
	body, err := r.readAll(response)
	if err == nil && response.Status == http.StatusOK {
		err = r.checkCompletion(body)
	}
	if err != nil {
		return r.answerCut(ctx, target, number, err, report)
	}
	if response.Status >= http.StatusInternalServerError {
		return r.engineErred(response)
	}
	return r.deliver(response, body)
}

// engineErred handles an answer that says that the engine failed.
func (r *run) engineErred(response *Response) verdict {
	r.result.Fault = unknown("the back end failed with status " + strconv.Itoa(response.Status))
	if r.request.Repeatable {
		return verdictNext
	}
	return verdictDone
}

// deliver gives a whole answer to the sink.
func (r *run) deliver(response *Response, body []byte) verdict {
	length := int64(len(body))
	if r.request.Method == http.MethodHead {
		length = response.Length
	}
	if err := r.begin(response, length); err != nil {
		return r.callerLeft()
	}
	if err := r.sink.Write(body); err != nil {
		return r.callerLeft()
	}
	r.result.Complete = true
	r.result.Fault = nil
	return verdictDone
}

// answerCut handles an answer that ended before it was whole.
func (r *run) answerCut(ctx context.Context, target Target, number int, err error, report *Report) verdict {
	if ctx.Err() != nil {
		report.Outcome = Canceled
		r.cancel(ctx, target, number)
		return r.callerLeft()
	}
	report.Outcome = outcomeOf(err)
	return r.lost(ctx, target, number, report)
}

func outcomeOf(err error) Outcome {
	if attemptError(PhaseResponse, err).Timeout {
		return TimedOut
	}
	return ConnectionLost
}

// readAll reads the body and ends the exchange.
func (r *run) readAll(response *Response) ([]byte, error) {
	var held bytes.Buffer
	if response.Length > 0 && response.Length <= maximumAnswer {
		held.Grow(int(response.Length))
	}
	err := r.readInto(&held, response, maximumAnswer)
	if err != nil {
		response.Abandon()
		return nil, err
	}
	response.Finish()
	return held.Bytes(), nil
}

func (r *run) readInto(held *bytes.Buffer, response *Response, limit int) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Read(*buffer, r.silence())
		held.Write((*buffer)[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if held.Len() > limit {
			return errTooLong
		}
	}
}

// silence is the limit of silence inside an answer. An unstreamed answer may
// be silent for as long as the first byte may take.
func (r *run) silence() time.Duration {
	if r.request.Stream || r.request.Kind == Service {
		return r.request.Timeouts.BetweenBytes
	}
	return r.request.Timeouts.FirstByte
}

// drain reads the rest of a short answer so that its connection can be kept.
func (r *run) drain(response *Response) {
	var held bytes.Buffer
	if err := r.readInto(&held, response, maximumDrain); err != nil {
		response.Abandon()
		return
	}
	response.Finish()
}

// completion is the part of an answer that shows whether it is whole.
type completion struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Completion uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

// checkCompletion tells whether an unstreamed answer is whole and counts its
// tokens.
func (r *run) checkCompletion(body []byte) error {
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) == 0 {
		return io.ErrUnexpectedEOF
	}
	for _, choice := range parsed.Choices {
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			return io.ErrUnexpectedEOF
		}
	}
	r.result.Tokens = parsed.Usage.Completion
	return nil
}

// relayService passes on the answer of a service. A short one is held until it
// is whole, so that a repeatable request can still be sent elsewhere.
func (r *run) relayService(ctx context.Context, response *Response, report *Report) verdict {
	if response.Length >= 0 && response.Length <= heldServiceAnswer {
		return r.relayHeld(ctx, response, report)
	}
	if err := r.begin(response, response.Length); err != nil {
		response.Abandon()
		report.Outcome = Canceled
		return r.callerLeft()
	}
	return r.copyBody(ctx, response, report)
}

func (r *run) relayHeld(ctx context.Context, response *Response, report *Report) verdict {
	body, err := r.readAll(response)
	if err != nil {
		return r.serviceCut(ctx, err, report)
	}
	return r.deliver(response, body)
}

// copyBody passes a body on as it comes.
func (r *run) copyBody(ctx context.Context, response *Response, report *Report) verdict {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Read(*buffer, r.silence())
		if n > 0 {
			if writeErr := r.sink.Write((*buffer)[:n]); writeErr != nil {
				response.Abandon()
				report.Outcome = Canceled
				return r.callerLeft()
			}
		}
		if errors.Is(err, io.EOF) {
			response.Finish()
			r.result.Complete = true
			return verdictDone
		}
		if err != nil {
			response.Abandon()
			return r.serviceCut(ctx, err, report)
		}
	}
}

// serviceCut handles an answer of a service that ended before it was whole.
func (r *run) serviceCut(ctx context.Context, err error, report *Report) verdict {
	if ctx.Err() != nil {
		report.Outcome = Canceled
		return r.callerLeft()
	}
	report.Outcome = outcomeOf(err)
	return r.lost(ctx, Target{}, 0, report)
}

// retryAfter reads the Retry-After header in seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return fallbackRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// fallbackRetryAfter is the advice when the back end gives none.
const fallbackRetryAfter = time.Second
