package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Headers of the engine protocol and of the callers' protocol.
const (
	// HeaderRequestID names the request for resume and cancel.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is the priority at the engine; lower runs first.
	HeaderPriority = "X-Priority"
	// HeaderBatchTokenBudget bounds the batch tokens of an engine step.
	HeaderBatchTokenBudget = "X-Batch-Token-Budget"
	// HeaderPrefixHash is the hash of the prompt's first block chain.
	HeaderPrefixHash = "X-Prefix-Hash"
	// HeaderNotRun marks a refusal before anything ran.
	HeaderNotRun = "X-Not-Run"
)

// Priorities at the engine.
const (
	// PriorityOnline is the priority of callers' requests.
	PriorityOnline = 0
	// PriorityBatch is the priority of batch items.
	PriorityBatch = 10
)

// Kind tells which protocol the back end speaks.
type Kind int

// The kinds of request.
const (
	// Engine requests follow the engine protocol: they can be resumed and
	// cancelled, and their answers have an end marker.
	Engine Kind = iota
	// Service requests are plain HTTP.
	Service
	// Passthrough requests carry exactly the headers that they are given.
	Passthrough
)

// Timeouts bound the phases of an exchange. Zero means no bound.
type Timeouts struct {
	// Connect bounds the establishment of a connection.
	Connect time.Duration
	// FirstByte bounds the time from sending to the first byte of the answer.
	FirstByte time.Duration
	// BetweenBytes bounds the silence inside an answer.
	BetweenBytes time.Duration
}

// Request is one request, whatever number of attempts it takes.
type Request struct {
	// ID is unique per request; further attempts get a suffix.
	ID string
	// Kind is the protocol of the back end.
	Kind Kind
	// Host is sent in the Host header; empty means the address of the back end.
	Host string
	// MatchesResponse tells by an answer's headers whether it answers this request; nil
	// accepts every answer. An answer that does not belong is passed over, since a
	// back end may send a surplus one in the place of the next.
	MatchesResponse func(http.Header) bool
	// Method is the HTTP method.
	Method string
	// Path is the escaped path with the query.
	Path string
	// Header holds the caller's headers that are passed on; it is not changed.
	Header http.Header
	// Body is sent whole with a Content-Length.
	Body []byte
	// Priority is sent to engines.
	Priority int
	// BatchTokenBudget is sent to engines when above zero.
	BatchTokenBudget int
	// PrefixHash is sent to engines when not empty.
	PrefixHash string
	// Stream tells that the answer is a stream of server-sent events.
	Stream bool
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// Deterministic tells that a second run gives the same tokens.
	Deterministic bool
	// Timeouts bound the phases of each attempt.
	Timeouts Timeouts
}

// attemptID is the identity of the numbered attempt, counted from zero.
func (r *Request) attemptID(attempt int) string {
	if attempt == 0 {
		return r.ID
	}
	return r.ID + "-" + strconv.Itoa(attempt)
}

// maximumSharedWrite is the largest body that is copied behind the head so that
// both leave in one write.
const maximumSharedWrite = 64 << 10

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
