package gateway

import (
	"io"
	"net/http"
	"time"
)

// stallLimits bounds how long a caller may stall in the middle of a request, so that
// it can't occupy a concurrency slot or delay a shutdown indefinitely.
type stallLimits struct {
	// requestBody is the longest time without data of the request body.
	requestBody time.Duration
	// response is the longest time for which the caller may read nothing of the
	// response. Up to a quarter more may pass before the request is cancelled.
	response time.Duration
}

// defaultStallLimits apply outside of tests.
var defaultStallLimits = stallLimits{requestBody: 30 * time.Second, response: 2 * time.Minute}

// limitBodyStalls makes reads of the request body fail if the caller stalls.
func (g *Gateway) limitBodyStalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &stallLimitedBody{ReadCloser: r.Body, control: http.NewResponseController(w), limit: g.stalls.requestBody}
		}
		next.ServeHTTP(w, r)
	})
}

// stallLimitedBody is a request body with a deadline for each read.
type stallLimitedBody struct {
	io.ReadCloser
	control *http.ResponseController
	limit   time.Duration
}

// Read implements io.Reader. At the end of the body it clears the deadline, because
// the server then reads in the background to detect that the caller disconnects.
// After other errors the deadline remains, so that the server does not wait for the
// rest of the body.
func (b *stallLimitedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.limit))
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// writeDeadline makes writes of a response fail if the caller stalls.
type writeDeadline struct {
	control *http.ResponseController
	limit   time.Duration
	until   time.Time
}

func (g *Gateway) newWriteDeadline(w http.ResponseWriter) writeDeadline {
	return writeDeadline{control: http.NewResponseController(w), limit: g.stalls.response}
}

// extend must be called before each write. It moves the deadline only after a quarter
// of the limit has passed, because resetting a timer for each token is expensive.
func (d *writeDeadline) extend() {
	now := time.Now()
	if d.until.Sub(now) > d.limit {
		return
	}
	d.until = now.Add(d.limit + d.limit/4)
	_ = d.control.SetWriteDeadline(d.until)
}
