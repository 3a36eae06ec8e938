package router

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"rockwind.example/rockwind/internal/fault"
)

// retryAfterSpread is the largest random factor applied to Retry-After.
const retryAfterSpread = 1.3

// statusError is a fault with an explicit HTTP status.
type statusError struct {
	status int
	fault  *fault.Fault
}

// Error implements error.
func (e *statusError) Error() string { return e.fault.Error() }

// writeError writes a fault as an HTTP error response.
func writeError(writer http.ResponseWriter, err error) {
	if own, found := err.(*statusError); found {
		writeErrorStatus(writer, own.status, own.fault)
		return
	}
	failure := fault.From(err)
	writeErrorStatus(writer, failure.Kind.HTTPStatus(), failure)
}

// writeErrorStatus writes a fault with the given status and, if it has one, its Retry-After.
// Jitter keeps clients that are refused together from retrying together.
func writeErrorStatus(writer http.ResponseWriter, status int, failure *fault.Fault) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		spread := 1 + (retryAfterSpread-1)*rand.Float64()
		header.Set("Retry-After", strconv.FormatFloat(spread*failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(failure)
	if err != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// WriteError writes a fault as an HTTP error response, for handlers in other packages.
func WriteError(writer http.ResponseWriter, err error) { writeError(writer, err) }
