package router

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"rockwind.example/rockwind/internal/fault"
)

// returnSpread is the largest factor by which times to come back are spread.
const returnSpread = 1.3

// statusError is a fault with a status of its own.
type statusError struct {
	status int
	fault  *fault.Fault
}

// Error implements error.
func (e *statusError) Error() string { return e.fault.Error() }

// refuseFault answers with the status of a fault.
func refuseFault(writer http.ResponseWriter, err error) {
	if own, found := err.(*statusError); found {
		refuse(writer, own.status, own.fault)
		return
	}
	failure := fault.From(err)
	refuse(writer, failure.Kind.HTTPStatus(), failure)
}

// refuse answers with a fault, and with the time to come back where there is one.
// A little chance keeps clients that are refused together from coming back
// together.
func refuse(writer http.ResponseWriter, status int, failure *fault.Fault) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		spread := 1 + (returnSpread-1)*rand.Float64()
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

// WriteError answers with the status of a fault, for handlers beside the router.
func WriteError(writer http.ResponseWriter, err error) { refuseFault(writer, err) }
