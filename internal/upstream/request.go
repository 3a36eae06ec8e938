package upstream

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Headers of the engine protocol and the client protocol.
const (
	// HeaderRequestID identifies the request for resume and cancel calls.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is the priority at the engine; lower values run first.
	HeaderPriority = "X-Priority"
	// HeaderBatchTokenBudget bounds the batch tokens of an engine step.
	HeaderBatchTokenBudget = "X-Batch-Token-Budget"
	// HeaderPrefixHash is the hash of the prompt's first block chain.
	HeaderPrefixHash = "X-Prefix-Hash"
	// HeaderNotRun marks a refusal of a request that did not run.
	HeaderNotRun = "X-Not-Run"
)

// Priorities at the engine.
const (
	// PriorityOnline is the priority of interactive requests.
	PriorityOnline = 0
	// PriorityBatch is the priority of batch items.
	PriorityBatch = 10
)

// Kind is the protocol that the backend speaks.
type Kind int

// The kinds of request.
const (
	// Engine requests use the engine protocol: they can be resumed and canceled, and
	// their responses have an end marker.
	Engine Kind = iota
	// Service requests are plain HTTP.
	Service
	// Passthrough requests are sent with exactly the given headers.
	Passthrough
)

// Timeouts bound the phases of an exchange. Zero means no bound.
type Timeouts struct {
	// Connect bounds establishing a connection.
	Connect time.Duration
	// FirstByte bounds the time from sending to the first byte of the response.
	FirstByte time.Duration
	// BetweenBytes bounds the time without data within a response.
	BetweenBytes time.Duration
}

// Request is one request, regardless of the number of attempts.
type Request struct {
	// ID is unique per request; further attempts get a suffix unless Kind is Passthrough. Attempts
	// with the same identifier go on different connections.
	ID string
	// Kind is the protocol of the backend.
	Kind Kind
	// Host is sent in the Host header; if empty, the address of the backend is sent.
	Host string
	// MatchesResponse reports by its headers whether a response belongs to this
	// request. If it is nil, Passthrough requests accept every response, and others those that name
	// the attempt's ID or none. Other responses are skipped, because a
	// backend may send a stray response ahead of the right one.
	MatchesResponse func(http.Header) bool
	// Method is the HTTP method.
	Method string
	// Path is the escaped path with the query.
	Path string
	// Header holds the caller's headers to forward; it is not modified.
	Header http.Header
	// Body is sent in full with a Content-Length.
	Body []byte
	// Priority is sent to engines.
	Priority int
	// BatchTokenBudget is sent to engines if it is positive.
	BatchTokenBudget int
	// PrefixHash is sent to engines unless it is empty.
	PrefixHash string
	// Stream is set if the response is a stream of server-sent events.
	Stream bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Deterministic is set if a second run produces the same tokens.
	Deterministic bool
	// Timeouts bound the phases of each attempt.
	Timeouts Timeouts
}

// attemptID returns the ID of an attempt, counted from zero. Headers of Passthrough requests are sent
// unchanged, so their attempts share an ID.
func (r *Request) attemptID(attempt int) string {
	if attempt == 0 || r.ID == "" || r.Kind == Passthrough {
		return r.ID
	}
	return r.ID + "-" + strconv.Itoa(attempt)
}

// matches reports whether a response belongs to an attempt.
func (r *Request) matches(answer http.Header, attempt int) bool {
	switch {
	case r.MatchesResponse != nil:
		return r.MatchesResponse(answer)
	case r.Kind == Passthrough:
		return true
	}
	return namesAny(answer, r.attemptID(attempt))
}

// namesAny reports whether a response names one of the IDs, or none at all.
func namesAny(answer http.Header, ids ...string) bool {
	found := answer.Get(HeaderRequestID)
	return found == "" || slices.Contains(ids, found)
}

// maximumCombinedWrite is the largest body that is copied after the headers so that
// both are sent in one write.
const maximumCombinedWrite = 64 << 10

// appendHead encodes the request line and headers of one attempt.
func (r *Request) appendHead(buffer *bytes.Buffer, address string, attempt int) {
	buffer.WriteString(r.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(r.Path)
	buffer.WriteString(" HTTP/1.1\r\n")
	host := r.Host
	if host == "" {
		host = address
	}
	writeHeader(buffer, "Host", host)
	if len(r.Header) > 0 {
		_ = r.Header.Write(buffer)
	}
	if r.Kind != Passthrough {
		writeHeader(buffer, HeaderRequestID, r.attemptID(attempt))
	}
	if r.Kind == Engine {
		r.appendEngineHeaders(buffer)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		writeHeader(buffer, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	buffer.WriteString("\r\n")
}

func (r *Request) appendEngineHeaders(buffer *bytes.Buffer) {
	if len(r.Body) > 0 {
		writeHeader(buffer, "Content-Type", "application/json")
	}
	writeHeader(buffer, HeaderPriority, strconv.Itoa(r.Priority))
	if r.BatchTokenBudget > 0 {
		writeHeader(buffer, HeaderBatchTokenBudget, strconv.Itoa(r.BatchTokenBudget))
	}
	if r.PrefixHash != "" {
		writeHeader(buffer, HeaderPrefixHash, r.PrefixHash)
	}
}

func writeHeader(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}
