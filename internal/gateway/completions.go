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
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// Bounds of completions.
const (
	// maximumRequestBody bounds a request's body in bytes.
	maximumRequestBody = 32 << 20
	// streamFirstByte bounds the time to the head of a stream.
	streamFirstByte = 60 * time.Second
	// betweenTokens is the silence after which a stream counts as hung.
	betweenTokens = 10 * time.Second
	// unstreamedAnswer bounds the time to a whole unstreamed answer.
	unstreamedAnswer = 10 * time.Minute
	// connectTimeout bounds a connection attempt to a back end; a machine that
	// answers at all accepts within a few round trips.
	connectTimeout = 300 * time.Millisecond
)

// headerFirstTokenWithin lets callers say, in milliseconds, how soon they need
// the first token; a request that can't make it is refused at once.
const headerFirstTokenWithin = "X-First-Token-Within-Ms"

// serveCompletion answers POST /v1/chat/completions and /v1/completions.
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
		writeFault(w, err)
		return
	}
	call := &call{gateway: g, writer: w, request: r, body: body, cost: sharing.Cost(wanted.PromptTokens, 0, 0), promptTokens: wanted.PromptTokens}
	call.chooser = &chooser{view: g.view, wanted: wanted, body: body, versions: len(model.GetVersions())}
	call.chooser.streamed = parsed.Stream && r.Header.Get(headerIdempotencyKey) == ""
	call.chooser.wanted.Streamed = call.chooser.streamed
	call.chooser.hedge = admission.DefaultHedgePolicy
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
		return upstream.Timeouts{Connect: connectTimeout, FirstByte: streamFirstByte, BetweenBytes: betweenTokens}
	}
	return upstream.Timeouts{Connect: connectTimeout, FirstByte: unstreamedAnswer, BetweenBytes: betweenTokens}
}

// completionRepeatable tells whether a completion may run more than once.
// Completions may by default; an idempotency key asks for one run at most.
func completionRepeatable(r *http.Request) bool {
	if value := r.Header.Get(headerRepeatable); value != "" {
		return value == "true"
	}
	return r.Header.Get(headerIdempotencyKey) == ""
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumRequestBody))
	if err != nil {
		return nil, invalid("send the whole body, of at most 32 MiB", "the body can't be read: %v", err)
	}
	return body, nil
}

// call is one caller's request on its way through the gateway.
type call struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	request  *http.Request
	body     []byte
	upstream *upstream.Request
	chooser  *chooser
	// cost is the service of the prompt in cost units.
	cost         float64
	promptTokens int
}

// serve limits, admits and relays the request.
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
	g.usage.online(tenant.GetGroup(), c.served(result))
	g.models.online(c.chooser.wanted, c.served(result), result.Begun)
	if result.Begun && !result.Complete && !c.upstream.Stream {
		// The connection is cut, so that a part is not taken for the whole.
		panic(http.ErrAbortHandler)
	}
}

// served is the service that the request received, in cost units.
func (c *call) served(result upstream.Result) float64 {
	if !result.Begun {
		return 0
	}
	return sharing.Cost(c.promptTokens, 0, int(result.Tokens))
}

// run admits the request and relays it, under its idempotency key if it has
// one.
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
		return c.runKeyed(key)
	}
	sink := g.newCallerSink(c.writer, c.chooser.tokenSeen)
	sink.onTokens = c.chooser.relayed
	result := g.relay.Run(c.request.Context(), c.upstream, c.chooser, sink)
	c.finish(result)
	return result
}

// firstTokenWithin reads the caller's deadline; zero means none.
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

// runKeyed runs the request once for its key. It goes on when the caller
// leaves, so that a resend finds the answer.
func (c *call) runKeyed(key string) upstream.Result {
	g := c.gateway
	held := g.beginRecord(c.writer, c.request, key, c.body)
	if held == nil {
		return upstream.Result{}
	}
	sink := &keepingSink{next: g.newCallerSink(c.writer, c.chooser.tokenSeen)}
	result := g.relay.Run(context.WithoutCancel(c.request.Context()), c.upstream, c.chooser, sink)
	if result.Fault != nil && result.Fault.Ran == fault.NotRun {
		// The key must be free again before the caller is told so.
		held.end(result, sink)
		c.finish(result)
		return result
	}
	c.finish(result)
	_ = http.NewResponseController(c.writer).Flush()
	held.end(result, sink)
	return result
}

// finish tells the caller of a request without a whole answer. Where a part of
// an unstreamed answer was sent, serve cuts the connection in the end.
func (c *call) finish(result upstream.Result) {
	switch {
	case result.Complete || result.Canceled:
	case !result.Begun:
		writeFault(c.writer, result.Fault)
	case c.upstream.Stream:
		writeStreamFault(c.writer, result.Fault)
	}
}

// writeStreamFault ends a stream with a typed error event in place of its end
// marker.
func writeStreamFault(w http.ResponseWriter, f *fault.Fault) {
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(encodeError(withAdvice(f)))
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}
