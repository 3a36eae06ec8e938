package upstream_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/upstream"
)

func TestProbeDistinguishesStoppedFromUnreachableServer(t *testing.T) {
	for name, test := range map[string]struct {
		dial upstream.DialFunc
		want upstream.ProbeResult
	}{
		"connected": {func(context.Context, string) (net.Conn, error) { near, _ := net.Pipe(); return near, nil }, upstream.ProbeConnected},
		"refused": {func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}, upstream.ProbeRefused},
		"no reply": {func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, upstream.ProbeTimedOut},
		"delayed": {func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			time.Sleep(time.Second)
			return nil, ctx.Err()
		}, upstream.ProbeInconclusive},
		"inconclusive": {func(context.Context, string) (net.Conn, error) { return nil, errors.New("no descriptors") }, upstream.ProbeInconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := upstream.NewClientWithDial(test.dial).Probe(t.Context(), "10.0.0.1:1", time.Second); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}
