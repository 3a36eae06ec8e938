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

// Headers that callers get.
const (
	headerRetryAfter  = "Retry-After"
	headerShouldRetry = "X-Should-Retry"
	headerContentType = "Content-Type"
	contentTypeJSON   = "application/json"
)

// errorBody is the body of a failed request.
type errorBody struct {
	Error errorObject `json:"error"`
}

// errorObject is an error in the published shape, with what rockwind adds.
type errorObject struct {
	Message string `json:"message"`
	// Type is the published class of the error.
	Type string `json:"type"`
	// Code is the kind of the fault.
	Code  string  `json:"code"`
	Param *string `json:"param"`
	// Ran is "not_run" or "outcome_unknown" where the error is about a request.
	Ran string `json:"ran,omitempty"`
	// RetryAfterMs tells when to come back, in milliseconds.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Remedy       string `json:"remedy,omitempty"`
}

// publishedType is the class of error that clients of the published protocol
// know.
func publishedType(kind fault.Kind) string {
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
		Message: f.Message, Type: publishedType(f.Kind), Code: string(f.Kind),
		Ran: string(f.Ran), RetryAfterMs: f.RetryAfter.Milliseconds(), Remedy: f.Remedy,
	}}
}

// encodeError is the JSON form of a fault.
func encodeError(f *fault.Fault) []byte {
	encoded, err := json.Marshal(newErrorBody(f))
	if err != nil {
		return []byte(`{"error":{"message":"the error can't be encoded","type":"server_error","code":"internal","param":null}}`)
	}
	return encoded
}

// defaultRetryAfter is the advice where a passing fault brings none.
const defaultRetryAfter = time.Second

// withAdvice makes every passing fault of a request that did not run tell when to
// come back.
func withAdvice(f *fault.Fault) *fault.Fault {
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

// writeFault answers with a typed error and the status of its kind.
func writeFault(w http.ResponseWriter, err error) {
	f := fault.From(err)
	writeFaultStatus(w, f, f.Kind.HTTPStatus())
}

func writeFaultStatus(w http.ResponseWriter, f *fault.Fault, status int) {
	f = withAdvice(f)
	header := w.Header()
	if f.Ran == fault.NotRun {
		header.Set(upstream.HeaderNotRun, "true")
	}
	if f.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(wholeSeconds(f.RetryAfter), 10))
	}
	if f.Ran == fault.RanUnknown {
		// Published clients repeat a status of 409 or 500 and above by themselves.
		header.Set(headerShouldRetry, "false")
	}
	header.Set(headerContentType, contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(encodeError(f))
}

func wholeSeconds(after time.Duration) int64 {
	return int64(math.Ceil(after.Seconds()))
}

// writeJSON answers with a JSON document.
func writeJSON(w http.ResponseWriter, document any) {
	encoded, err := json.Marshal(document)
	if err != nil {
		writeFault(w, err)
		return
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	_, _ = w.Write(encoded)
}

// invalid is the fault of a request that is wrong and did not run.
func invalid(remedy, format string, arguments ...any) *fault.Fault {
	return fault.Newf(fault.InvalidArgument, remedy, format, arguments...).WithRan(fault.NotRun)
}
