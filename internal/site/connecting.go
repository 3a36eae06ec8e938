package site

import (
	"context"
	"net/http/httptrace"
	"time"
)

// ConnectTimeout is how long a process that knows no directory yet waits for a connection
// to a coordinator, before it asks another one: at a start some machines may not be up.
// Once connected it waits for the answer, which the coordinator may hold until it knows.
// It has room for a connection between regions, and for a start on a busy core.
const ConnectTimeout = 250 * time.Millisecond

// WithConnectTimeout returns a context that ends where a call made with it has no connection
// within the limit. The returned function releases it.
func WithConnectTimeout(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { timer.Stop() },
	})
	return traced, func() {
		timer.Stop()
		cancel()
	}
}
