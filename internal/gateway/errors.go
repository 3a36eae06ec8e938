package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/upstream"
)

// Response headers.
const (
	headerRetryAfter  = "Retry-After"
	headerShouldRetry = "X-Should-Retry"
	headerContentType = "Content-Type"
	contentTypeJSON   = "application/json"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorObject `json:"error"`
}

// errorObject is an error in the format of the OpenAI API, with additional fields.
type errorObject struct {
	Message string `json:"message"`
	// Type is the error type of the OpenAI API.
	Type string `json:"type"`
	// Code is the kind of the fault.
	Code  string  `json:"code"`
	Param *string `json:"param"`
	// Ran is "not_run" or "outcome_unknown". It is empty if the error is not about
	// running a request.
	Ran string `json:"ran,omitempty"`
	// RetryAfterMs is the delay before a retry in milliseconds.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Remedy       string `json:"remedy,omitempty"`
}

// openAIErrorType maps a kind of fault to an error type of the OpenAI API.
func openAIErrorType(kind fault.Kind) string {
	switch kind {
	case fault.InvalidArgument, fault.NotFound, fault.Conflict, fault.Stale:
		return "invalid_request_error"
	case fault.Unauthenticated:
		return "authentication_error"
	case fault.LimitReached:
		return "rate_limit_error"
	case fault.Cancelled:
		return "cancelled_error"
	default:
		return "server_error"
	}
}

func newErrorBody(f *fault.Fault) errorBody {
	return errorBody{Error: errorObject{
		Message: f.Message, Type: openAIErrorType(f.Kind), Code: string(f.Kind),
		Ran: string(f.Ran), RetryAfterMs: f.RetryAfter.Milliseconds(), Remedy: f.Remedy,
	}}
}

// encodeError returns a fault as JSON.
func encodeError(f *fault.Fault) []byte {
	encoded, err := json.Marshal(newErrorBody(f))
	if err != nil {
		return []byte(`{"error":{"message":"the error can't be encoded","type":"server_error","code":"internal","param":null}}`)
	}
	return encoded
}

// defaultRetryAfter is the Retry-After of transient faults that set none.
const defaultRetryAfter = time.Second

// withDefaultRetryAfter sets a retry delay for transient faults without one, unless
// the request may have run.
func withDefaultRetryAfter(f *fault.Fault) *fault.Fault {
	if f.RetryAfter > 0 || f.Ran == fault.RanUnknown {
		return f
	}
	switch f.Kind {
	case fault.LimitReached, fault.Overloaded, fault.Unavailable, fault.NotLeader:
		return f.WithRetryAfter(defaultRetryAfter)
	default:
		return f
	}
}

// writeFault writes an error response with the HTTP status of the fault.
func writeFault(w http.ResponseWriter, err error) {
	f := fault.From(err)
	writeFaultStatus(w, f, f.Kind.HTTPStatus())
}

func writeFaultStatus(w http.ResponseWriter, f *fault.Fault, status int) {
	f = withDefaultRetryAfter(f)
	header := w.Header()
	if f.Ran == fault.NotRun {
		header.Set(upstream.HeaderNotRun, "true")
	}
	if f.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(ceilSeconds(f.RetryAfter), 10))
	}
	if f.Ran == fault.RanUnknown {
		// OpenAI clients retry status 409 and statuses from 500 on unless told not to.
		header.Set(headerShouldRetry, "false")
	}
	header.Set(headerContentType, contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(encodeError(f))
}

func ceilSeconds(after time.Duration) int64 {
	return int64(math.Ceil(after.Seconds()))
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, document any) {
	encoded, err := json.Marshal(document)
	if err != nil {
		writeFault(w, err)
		return
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	_, _ = w.Write(encoded)
}

// invalid returns an InvalidArgument fault for a request that did not run.
func invalid(remedy, format string, arguments ...any) *fault.Fault {
	return fault.Newf(fault.InvalidArgument, remedy, format, arguments...).WithRan(fault.NotRun)
}
