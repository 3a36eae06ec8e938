package store

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	connectTimeout = 400 * time.Millisecond
	// firstByteTimeout limits the time until the response header: a server may run an item and
	// lose its response. An item goes to a free slot, so the prompt is read without queueing.
	firstByteTimeout = 3 * time.Second
	// idleTimeout limits the time between two reads of an item's stream. Events usually arrive
	// several times a second. A retry costs another prompt evaluation; a longer wait for an
	// unreachable server may miss the due time.
	idleTimeout = 1500 * time.Millisecond
	// refusalDelay and failureDelay are the delays before an item is retried.
	refusalDelay = 150 * time.Millisecond
	failureDelay = 300 * time.Millisecond
	readSize     = 8 << 10
	// eventTimeout limits the time until the next event is complete, although bytes arrive.
	eventTimeout = 30 * time.Second
	// maxItemOutput limits the bytes of an attempt's response. A longer one comes from a faulty server.
	maxItemOutput = 8 << 20
)

// errOutputTooLong means that the response to an item exceeds maxItemOutput.
var errOutputTooLong = errors.New("the output of the item has no end")

// itemAttempt is one attempt to run an item on a server.
type itemAttempt struct {
	store   *Store
	item    jobstore.OpenItem
	history *history
	writer  output.Writer
	lease   *router.Lease
	// parts are the fingerprints of the parts of the item's prompt.
	parts       []fingerprint.Fingerprint
	route       string
	maxAttempts int
	// began is when the request was sent.
	began time.Time
	// broken reports that the connection broke before the response was complete.
	broken bool
}

// itemHeader returns the headers with which an item is sent, except those that each attempt adds. The host is that of the
// item's route.
func itemHeader(item jobstore.OpenItem) http.Header {
	header := make(http.Header, len(item.Item.GetHeaders()))
	for _, h := range item.Item.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	router.RemoveConnectionHeaders(header)
	header.Del("Host")
	return header
}

func (a *itemAttempt) content() fingerprint.Fingerprint { return a.history.content(a.item) }

// reportBroken reports to the crash reporter that the connection broke before the response was
// complete.
func (a *itemAttempt) reportBroken(cause error) {
	a.broken = !upstream.IsTimeout(cause)
	a.store.crashReporter.ConnectionLost(router.Attempt{
		Content: a.content(), Parts: a.parts, Server: a.lease.ID, Address: a.lease.Address, SentAt: a.began,
		Route: a.route, Tenant: a.item.Tenant, BatchItem: true,
	}, cause)
}

// retryAfter ends the attempt without a result; the item is retried after the delay.
func (a *itemAttempt) retryAfter(pause time.Duration, reason string) attemptResult {
	a.history.retryAt = time.Now().Add(pause)
	return attemptResult{history: a.history, reason: reason}
}

// countFailure counts a failed attempt. The item has failed for good when no attempts remain.
func (a *itemAttempt) countFailure(reason string) attemptResult {
	a.history.failures++
	a.writer.Discard()
	if a.history.failures >= a.maxAttempts {
		return attemptResult{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD, history: a.history, reason: reason}
	}
	r := a.retryAfter(failureDelay, reason)
	r.failed = true
	return r
}

// run performs the attempt. If the context ends, the connection is closed, which stops the
// server's work.
func (a *itemAttempt) run(ctx context.Context) attemptResult {
	request := a.request()
	a.began = time.Now()
	response, err := a.store.upstream.Do(ctx, a.lease.Address, request, 0)
	if err != nil {
		return a.handleNoResponse(ctx, err)
	}
	parsed := a.store.protocol.ParseResponse(response.Status, response.Header)
	if parsed.Load != nil {
		a.lease.RecordLoad(*parsed.Load)
	}
	latency := time.Since(a.began)
	switch {
	case parsed.NotRun:
		response.Discard()
		a.lease.Done(health.Refused, 0)
		return a.retryAfter(refusalDelay, "")
	case parsed.Misdirected:
		response.Discard()
		a.lease.DoneMisdirected()
		return a.retryAfter(0, "another server has the address")
	case response.Status == http.StatusUnprocessableEntity:
		response.Discard()
		a.lease.Done(health.Success, latency)
		return attemptResult{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD, history: a.history, reason: "the server says that it can never be done"}
	case response.Status == http.StatusInternalServerError:
		response.Discard()
		a.lease.Done(health.Success, latency)
		return a.countFailure("the server answered " + strconv.Itoa(response.Status))
	case response.Status != http.StatusOK:
		response.Discard()
		a.lease.Done(health.Success, latency)
		return a.retryAfter(failureDelay, "the server answered "+strconv.Itoa(response.Status))
	}
	return a.receiveStream(ctx, response, latency)
}

func (a *itemAttempt) request() *upstream.Request {
	header := itemHeader(a.item)
	a.store.protocol.Prepare(header, router.AttemptInfo{
		RequestID: a.item.Item.GetId(), ServerID: a.lease.ID, ResumeAfter: a.writer.ResumeAfter(), Tenant: a.item.Tenant,
	})
	return &upstream.Request{
		ID:              a.item.Item.GetId(),
		Kind:            upstream.Passthrough,
		Host:            a.item.Host,
		Method:          http.MethodPost,
		Path:            a.item.Item.GetPath(),
		Header:          header,
		Body:            a.item.Body,
		Timeouts:        upstream.Timeouts{Connect: connectTimeout, FirstByte: firstByteTimeout},
		Repeatable:      true,
		MatchesResponse: func(answer http.Header) bool { return a.store.protocol.Belongs(header, answer) },
	}
}

func (a *itemAttempt) handleNoResponse(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return a.handleCanceled(ctx)
	}
	a.lease.Done(health.Failure, 0)
	var failure *upstream.AttemptError
	if errors.As(err, &failure) && failure.Ran() == fault.NotRun {
		return a.retryAfter(refusalDelay, "the server was not reached: "+err.Error())
	}
	a.reportBroken(err)
	return a.retryAfter(failureDelay, "the server did not answer: "+err.Error())
}

// handleCanceled ends an attempt that this store canceled.
func (a *itemAttempt) handleCanceled(ctx context.Context) attemptResult {
	a.lease.Abandon()
	if errors.Is(context.Cause(ctx), errPreempted) {
		return a.retryAfter(preemptDelay, errPreempted.Error())
	}
	return a.retryAfter(0, "")
}

// receiveStream reads the item's output. Output received before an interruption is kept; the
// next attempt resumes after it.
func (a *itemAttempt) receiveStream(ctx context.Context, response *upstream.Response, latency time.Duration) attemptResult {
	var splitter upstream.EventSplitter
	buffer := make([]byte, readSize)
	received, lastEvent := 0, time.Now()
	for {
		n, err := response.Read(buffer, idleTimeout)
		if n > 0 {
			a.lease.Received(buffer[:n])
			received += n
			if complete := splitter.Add(buffer[:n]); len(complete) > 0 {
				a.writer.Add(upstream.Events(complete))
				lastEvent = time.Now()
			}
		}
		switch {
		case received > maxItemOutput:
			a.writer.Discard()
			return a.handleBroken(ctx, response, latency, errOutputTooLong)
		case splitter.TooLong() || time.Since(lastEvent) > eventTimeout:
			return a.handleBroken(ctx, response, latency, upstream.ErrEventTooLong)
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.InEvent():
			a.recordEndedInEvent(response, len(splitter.Rest()))
			return a.handleBroken(ctx, response, latency, upstream.ErrEndedInEvent)
		case errors.Is(err, io.EOF):
			// Without LF in its line endings, the output is one piece.
			a.writer.Add(upstream.Events(splitter.Rest()))
			response.Finish()
			a.store.crashReporter.Answered(a.content())
			a.store.crashReporter.PartsAnswered(a.parts, a.began)
			a.lease.Done(health.Success, latency)
			return attemptResult{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, history: a.history}
		default:
			return a.handleBroken(ctx, response, latency, err)
		}
	}
}

// handleBroken ends an attempt whose output broke off.
func (a *itemAttempt) handleBroken(ctx context.Context, response *upstream.Response, latency time.Duration, cause error) attemptResult {
	response.Abandon()
	if ctx.Err() != nil {
		return a.handleCanceled(ctx)
	}
	a.lease.Done(health.Failure, latency)
	a.reportBroken(cause)
	return a.retryAfter(refusalDelay, "the stream broke off: "+cause.Error())
}

// recordEndedInEvent records that the output ended after the given bytes of an incomplete event.
func (a *itemAttempt) recordEndedInEvent(response *upstream.Response, partial int) {
	decision.Default.Record(decision.StreamEndedInEvent, a.item.Job, log.Fields{
		"item": a.item.Index, "item_id": a.item.Item.GetId(), "server": a.lease.ID, "framing": string(response.Framing),
		"partial_bytes": partial, "events": a.history.eventCount(),
	})
}
