package standin

import (
	"net/http"

	"rockwind.example/rockwind/internal/retry"
)

// failing gives requests to a dead stand-in a broken connection and lets those
// to a hung one wait until it no longer hangs or the caller leaves.
func failing(hung, dead func() bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			for hung() {
				if !retry.Pause(request.Context(), pollInterval) {
					panic(http.ErrAbortHandler)
				}
			}
			if dead() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(writer, request)
		})
	}
}

// serveFault answers POST /fault: it acknowledges the order and then injects it,
// since the fault may end the process.
func serveFault(inject func(FaultRequest)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var order FaultRequest
		if !readJSON(writer, request, &order) {
			return
		}
		writeJSON(writer, http.StatusOK, order)
		_ = http.NewResponseController(writer).Flush()
		inject(order)
	}
}
