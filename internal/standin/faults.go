package standin

import (
	"net/http"

	"rockwind.example/rockwind/internal/retry"
)

// failing returns middleware that closes the connections of a dead stand-in and
// blocks requests to a hung one until it recovers or the client disconnects.
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

// serveFault handles POST /fault. It responds before it injects the fault, which
// may terminate the process.
func serveFault(inject func(FaultRequest)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body FaultRequest
		if !readJSON(writer, request, &body) {
			return
		}
		writeJSON(writer, http.StatusOK, body)
		_ = http.NewResponseController(writer).Flush()
		inject(body)
	}
}
