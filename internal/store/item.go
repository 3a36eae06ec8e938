package store

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

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
	connectLimit = 400 * time.Millisecond
	// answerLimit is how long the head of an answer may take: a server may run an item
	// and lose the answer. An item goes to a free slot, where its prompt is read within
	// half a second on the sites known.
	answerLimit = 3 * time.Second
	// silenceLimit is how long a stream of an item may be silent. Events come several times
	// a second; to go on elsewhere costs the reading of the prompt, and to wait for a server
	// that has gone dark costs the item its due time.
	silenceLimit = 1500 * time.Millisecond
	// pauseAfterRefusal and pauseAfterFailure are the times before an item is tried
	// again.
	pauseAfterRefusal = 150 * time.Millisecond
	pauseAfterFailure = 300 * time.Millisecond
	readSize          = 8 << 10
)

// itemTry is one try of an item at one server.
type itemTry struct {
	store    *Store
	item     jobstore.OpenItem
	history  *history
	writer   output.Writer
	lease    *router.Lease
	route    string
	attempts int
	// began is when the try was sent to its server.
	began time.Time
}

func itemHeader(item jobstore.OpenItem) http.Header {
	header := make(http.Header, len(item.Item.GetHeaders()))
	for _, each := range item.Item.GetHeaders() {
		header.Add(each.GetName(), each.GetValue())
	}
	return header
}

func (t *itemTry) content() fingerprint.Fingerprint { return t.history.content(t.item) }

// broke tells that the connection of the try broke off before the answer was whole.
func (t *itemTry) broke(cause error) {
	t.store.witness.ConnectionLost(router.Attempt{
		Content: t.content(), Server: t.lease.ID, Address: t.lease.Address, SentAt: t.began,
		Route: t.route, Tenant: t.item.Tenant, BatchItem: true,
	}, cause)
}

// again ends the try without a result.
func (t *itemTry) again(pause time.Duration, reason string) itemEnd {
	t.history.after = time.Now().Add(pause)
	return itemEnd{history: t.history, reason: reason}
}

// failed counts an answer that says that the item failed.
func (t *itemTry) failed(reason string) itemEnd {
	t.history.failures++
	t.writer.Discard()
	if t.history.failures >= t.attempts {
		return itemEnd{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD, history: t.history, reason: reason}
	}
	end := t.again(pauseAfterFailure, reason)
	end.failed = true
	return end
}

// run performs the try. A try whose context ends closes its connection, so that
// the server stops.
func (t *itemTry) run(ctx context.Context) itemEnd {
	request := t.request()
	t.began = time.Now()
	response, err := t.store.upstream.Do(ctx, t.lease.Address, request, 0)
	if err != nil {
		return t.unanswered(ctx, err)
	}
	judgement := t.store.protocol.ParseResponse(response.Status, response.Header)
	if judgement.Load != nil {
		t.lease.RecordLoad(*judgement.Load)
	}
	latency := time.Since(t.began)
	switch {
	case judgement.NotRun:
		response.Discard()
		t.lease.Done(health.Refused, 0)
		return t.again(pauseAfterRefusal, "")
	case judgement.Misdirected:
		response.Discard()
		t.lease.DoneMisdirected()
		return t.again(0, "another server has the address")
	case response.Status == http.StatusUnprocessableEntity:
		response.Discard()
		t.lease.Done(health.Success, latency)
		return itemEnd{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD, history: t.history, reason: "the server says that it can never be done"}
	case response.Status == http.StatusInternalServerError:
		response.Discard()
		t.lease.Done(health.Success, latency)
		return t.failed("the server answered " + strconv.Itoa(response.Status))
	case response.Status != http.StatusOK:
		response.Discard()
		t.lease.Done(health.Success, latency)
		return t.again(pauseAfterFailure, "the server answered "+strconv.Itoa(response.Status))
	}
	return t.receive(ctx, response, latency)
}

func (t *itemTry) request() *upstream.Request {
	header := itemHeader(t.item)
	t.store.protocol.Prepare(header, router.AttemptInfo{
		RequestID: t.item.Item.GetId(), ServerID: t.lease.ID, ResumeAfter: t.writer.ResumeAfter(), Tenant: t.item.Tenant,
	})
	return &upstream.Request{
		ID:         t.item.Item.GetId(),
		Kind:       upstream.Relayed,
		Host:       t.item.Host,
		Method:     http.MethodPost,
		Path:       t.item.Item.GetPath(),
		Header:     header,
		Body:       t.item.Body,
		Timeouts:   upstream.Timeouts{Connect: connectLimit, FirstByte: answerLimit},
		Repeatable: true,
		Belongs:    func(answer http.Header) bool { return t.store.protocol.Belongs(header, answer) },
	}
}

func (t *itemTry) unanswered(ctx context.Context, err error) itemEnd {
	if ctx.Err() != nil {
		return t.stopped(ctx)
	}
	t.lease.Done(health.Failure, 0)
	var failure *upstream.AttemptError
	if errors.As(err, &failure) && failure.Ran() == fault.NotRun {
		return t.again(pauseAfterRefusal, "the server was not reached: "+err.Error())
	}
	t.broke(err)
	return t.again(pauseAfterFailure, "the server did not answer: "+err.Error())
}

// stopped ends a try that this store has ended itself.
func (t *itemTry) stopped(ctx context.Context) itemEnd {
	t.lease.Abandon()
	if errors.Is(context.Cause(ctx), errYielded) {
		return t.again(pauseAfterYield, errYielded.Error())
	}
	return t.again(0, "")
}

// receive takes the stream of the item's output. What came before a break is kept:
// the next try goes on after it.
func (t *itemTry) receive(ctx context.Context, response *upstream.Response, latency time.Duration) itemEnd {
	var splitter upstream.EventSplitter
	buffer := make([]byte, readSize)
	for {
		n, err := response.Read(buffer, silenceLimit)
		if n > 0 {
			t.lease.Received(buffer[:n])
			t.writer.Add(upstream.Events(splitter.Add(buffer[:n])))
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			response.Finish()
			t.store.witness.Answered(t.content())
			t.lease.Done(health.Success, latency)
			return itemEnd{outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, history: t.history}
		default:
			response.Abandon()
			if ctx.Err() != nil {
				return t.stopped(ctx)
			}
			t.lease.Done(health.Failure, latency)
			t.broke(err)
			return t.again(pauseAfterRefusal, "the stream broke off: "+err.Error())
		}
	}
}
