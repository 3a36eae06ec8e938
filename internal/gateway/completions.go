package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"rockwind.example/rockwind/internal/admission"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/httpabort"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// Limits and timeouts of completions.
const (
	maximumRequestBytes = 32 << 20
	// streamFirstByteTimeout bounds the time to the first byte of a stream.
	streamFirstByteTimeout = 60 * time.Second
	// betweenBytesTimeout is the time without data after which a response counts as
	// hung.
	betweenBytesTimeout = 10 * time.Second
	// unstreamedResponseTimeout bounds the time to the first byte of an unstreamed
	// response, which engines send after all tokens are generated.
	unstreamedResponseTimeout = 10 * time.Minute
	// connectTimeout bounds one attempt to connect to a back end. A machine that is up accepts within a few
	// round trips.
	connectTimeout = 300 * time.Millisecond
)

// headerFirstTokenWithin sets the time in milliseconds within which the caller needs
// the first token. Requests that would take longer are refused at once.
const headerFirstTokenWithin = "X-First-Token-Within-Ms"

// serveCompletion handles POST /v1/chat/completions and /v1/completions.
func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeFault(w, err)
		return
	}
	parsed, err := parseCompletion(body)
	if err != nil {
		writeFault(w, err)
		return
	}
	wanted, model, err := parsed.wanted(g.follower.Current())
	if err != nil {
		writeFault(w, g.denial(fault.From(err)))
		return
	}
	call := &call{gateway: g, writer: w, request: r, body: body, cost: sharing.Cost(wanted.PromptTokens, 0, 0), promptTokens: wanted.PromptTokens}
	call.chooser = &chooser{view: g.view, wanted: wanted, body: body, versionCount: len(model.GetVersions())}
	call.chooser.streamed = parsed.Stream && r.Header.Get(headerIdempotencyKey) == ""
	call.chooser.wanted.Streamed = call.chooser.streamed
	call.chooser.hedgePolicy = admission.DefaultHedgePolicy
	call.chooser.repeatable = completionRepeatable(r)
	call.upstream = &upstream.Request{
		ID: uuid.NewString(), Kind: upstream.Engine, Method: http.MethodPost, Path: r.URL.Path, Body: body,
		Priority: upstream.PriorityOnline, PrefixHash: prefixHash(wanted.Prefixes),
		Stream: parsed.Stream, Repeatable: completionRepeatable(r), Deterministic: parsed.deterministic(),
		Timeouts: completionTimeouts(parsed.Stream),
	}
	if key := r.Header.Get(headerIdempotencyKey); key != "" {
		call.upstream.Header = http.Header{headerIdempotencyKey: {key}}
	}
	call.serve()
}

func completionTimeouts(stream bool) upstream.Timeouts {
	if stream {
		return upstream.Timeouts{Connect: connectTimeout, FirstByte: streamFirstByteTimeout, BetweenBytes: betweenBytesTimeout}
	}
	return upstream.Timeouts{Connect: connectTimeout, FirstByte: unstreamedResponseTimeout, BetweenBytes: betweenBytesTimeout}
}

// completionRepeatable reports whether a completion may run more than once. That is
// the default for requests without an idempotency key.
func completionRepeatable(r *http.Request) bool {
	if value := r.Header.Get(headerRepeatable); value != "" {
		return value == "true"
	}
	return r.Header.Get(headerIdempotencyKey) == ""
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumRequestBytes))
	if err != nil {
		return nil, invalid("send the whole body, of at most 32 MiB", "the body can't be read: %v", err)
	}
	return body, nil
}

// call handles one request of a caller.
type call struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	body     []byte
	upstream *upstream.Request
	chooser  *chooser
	// cost is the cost of the prompt in cost units.
	cost         float64
	promptTokens int
}

// serve applies the tenant's limits, runs the request and records its usage.
func (c *call) serve() {
	g := c.gateway
	started := time.Now()
	tenant := tenantOf(c.request)
	grant, err := g.admitTenant(tenant, tenant.GetLimits(), started)
	if err != nil {
		writeFault(c.writer, err)
		return
	}
	tokens := 0.0
	defer func() { grant.Done(tokens) }()
	result := c.run(tenant, started)
	tokens = float64(result.Tokens)
	if result.Attempts > 0 {
		tokens += float64(c.promptTokens)
	}
	g.observe(c.upstream, result, started)
	g.groupUsage.addOnline(tenant.GetGroup(), c.servedCost(result))
	g.modelUsage.addOnline(c.chooser.wanted, c.servedCost(result), result.Begun)
	if result.Begun && !result.Complete && !c.upstream.Stream {
		// Abort the connection so that the caller does not take the response for complete.
		httpabort.Abort(c.writer, c.request)
	}
}

// servedCost returns the cost of the request in cost units, zero if no response began.
func (c *call) servedCost(result upstream.Result) float64 {
	if !result.Begun {
		return 0
	}
	return sharing.Cost(c.promptTokens, 0, int(result.Tokens))
}

// run refuses the request if it can't start in time. Otherwise it relays the
// request, with an idempotency record if it has a key.
func (c *call) run(tenant *rockwindpb.Tenant, started time.Time) upstream.Result {
	g := c.gateway
	within, err := firstTokenWithin(c.request)
	if err == nil {
		err = g.admit(c.chooser.wanted, within)
	}
	if err != nil {
		g.metrics.refused.WithLabelValues(string(fault.From(err).Kind)).Inc()
		writeFault(c.writer, err)
		return upstream.Result{}
	}
	g.budget.Deposit(retryRatio(g.follower.Current().Policy()))
	if key := c.request.Header.Get(headerIdempotencyKey); key != "" {
		return c.runWithIdempotencyKey(key)
	}
	sink := g.newCallerSink(c.writer, c.chooser.responseBegun)
	sink.onTokens = c.chooser.tokensRelayed
	result := g.relay.Run(c.request.Context(), c.upstream, c.chooser, sink)
	c.writeFailure(result)
	return result
}

// firstTokenWithin returns the caller's limit for the time to the first token, zero
// if there is none.
func firstTokenWithin(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(headerFirstTokenWithin)
	if value == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 32)
	if err != nil || milliseconds <= 0 {
		return 0, invalid("give a whole number of milliseconds above zero", "the header %s can't be read", headerFirstTokenWithin)
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// runWithIdempotencyKey runs the request at most once for its key. The request goes
// on after the caller disconnects, so that a resend gets its response.
func (c *call) runWithIdempotencyKey(key string) upstream.Result {
	g := c.gateway
	record := g.beginRecord(c.writer, c.request, key, c.body)
	if record == nil {
		return upstream.Result{}
	}
	sink := &recordingSink{next: g.newCallerSink(c.writer, c.chooser.responseBegun)}
	result := g.relay.Run(context.WithoutCancel(c.request.Context()), c.upstream, c.chooser, sink)
	if result.Fault != nil && result.Fault.Ran == fault.NotRun {
		// Release the key before the caller learns that the request did not run.
		record.recordOutcome(result, sink)
		c.writeFailure(result)
		return result
	}
	c.writeFailure(result)
	_ = http.NewResponseController(c.writer).Flush()
	record.recordOutcome(result, sink)
	return result
}

// writeFailure reports to the caller that there is no complete response. If an
// unstreamed response has begun, serve aborts the connection instead.
func (c *call) writeFailure(result upstream.Result) {
	switch {
	case result.Complete || result.Canceled:
	case !result.Begun:
		writeFault(c.writer, result.Fault)
	case c.upstream.Stream:
		writeStreamFault(c.writer, result.Fault)
	}
}

// writeStreamFault ends a stream with an error event instead of the end marker.
func writeStreamFault(w http.ResponseWriter, f *fault.Fault) {
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(encodeError(withDefaultRetryAfter(f)))
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}
