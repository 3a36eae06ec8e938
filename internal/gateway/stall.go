package gateway

import (
	"io"
	"net/http"
	"time"
)

// stallLimits bound how long a caller may stand still in the middle of a request,
// so that it holds neither a place nor a planned stop for ever.
type stallLimits struct {
	// body is how long a caller may send nothing of a request's body.
	body time.Duration
	// answer is how long a caller may take nothing of an answer; it is noticed
	// after up to a quarter more.
	answer time.Duration
}

// defaultStallLimits are those of a daemon.
var defaultStallLimits = stallLimits{body: 30 * time.Second, answer: 2 * time.Minute}

// boundBody makes reads of the body fail when the caller stands still.
func (g *Gateway) boundBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &boundedBody{ReadCloser: r.Body, control: http.NewResponseController(w), limit: g.stalls.body}
		}
		next.ServeHTTP(w, r)
	})
}

// boundedBody is a request's body whose silence is bounded.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
	limit   time.Duration
}

// Read implements io.Reader. Behind the end of the body the server waits for the
// caller to leave, which has no limit. After any other error the limit stays over,
// so that the server does not wait for the rest of the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.limit))
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// answerBound makes writes of an answer fail when the caller stands still.
type answerBound struct {
	control    *http.ResponseController
	limit      time.Duration
	armedUntil time.Time
}

func (g *Gateway) newAnswerBound(w http.ResponseWriter) answerBound {
	return answerBound{control: http.NewResponseController(w), limit: g.stalls.answer}
}

// arm is called before each write. It moves the deadline only when a quarter of
// the limit has passed, so that no timer is touched for a token.
func (a *answerBound) arm() {
	now := time.Now()
	if a.armedUntil.Sub(now) > a.limit {
		return
	}
	a.armedUntil = now.Add(a.limit + a.limit/4)
	_ = a.control.SetWriteDeadline(a.armedUntil)
}
