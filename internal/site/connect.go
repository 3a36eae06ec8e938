package site

import (
	"context"
	"net/http/httptrace"
	"time"
)

// ConnectTimeout bounds the time to connect to a coordinator while a process knows no directory
// yet, because some machines may not be up during a start. A coordinator may hold the call itself
// for longer. The timeout leaves room for connections between regions and for busy machines.
const ConnectTimeout = 250 * time.Millisecond

// WithConnectTimeout returns a context that is canceled if a call made with it has no connection
// within the timeout. The returned function releases its resources.
func WithConnectTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { timer.Stop() },
	})
	return tracedCtx, func() {
		timer.Stop()
		cancel()
	}
}
