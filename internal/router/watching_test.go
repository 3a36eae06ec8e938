package router

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// outlasts is longer than the client of these tests waits.
const outlasts = 10 * time.Second

// TestStreamThatMayNotBeResumedEndsSoonOnceItsServerIsDark: after two events the server says nothing more.
// Where it is out of reach the client learns so within twice the longest good pause of the route, 300 ms,
// and not as its time is over. One that takes connections is slow, and is waited for.
func TestStreamThatMayNotBeResumedEndsSoonOnceItsServerIsDark(t *testing.T) {
	refused := func(context.Context) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	silent := func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reached := func(context.Context) (net.Conn, error) {
		near, far := net.Pipe()
		_ = far
		return near, nil
	}
	for name, test := range map[string]struct {
		later func(context.Context) (net.Conn, error)
		soon  bool
	}{"silent": {silent, true}, "in reach": {reached, false}, "refused": {refused, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				last := make(chan time.Time, 1)
				r := relayingWith(t, httptest.NewRecorder(), func(conn net.Conn) {
					_, _ = io.WriteString(conn, streamHead+event(1))
					time.Sleep(250 * time.Millisecond)
					_, _ = io.WriteString(conn, event(2))
					last <- time.Now()
					time.Sleep(outlasts)
				}, test.later)
				ctx, cancel := context.WithTimeout(t.Context(), outlasts/2)
				defer cancel()
				trying, end := r.watched(ctx, r.lease)
				defer end()
				response, err := r.router.client.Do(trying, r.lease.Address, &r.request, 0)
				if err != nil {
					t.Fatal(err)
				}
				r.sent++
				got := r.relayEvents(ctx, r.lease, response, 0)
				took := time.Since(<-last)
				t.Logf("verdict %v after %v: %s", got, took, r.reason)
				if got != verdictBroken {
					t.Errorf("the verdict is %v", got)
				}
				if soon := took <= 600*time.Millisecond; soon != test.soon {
					t.Errorf("the client learns after %v", took)
				}
				time.Sleep(outlasts)
			})
		})
	}
}
