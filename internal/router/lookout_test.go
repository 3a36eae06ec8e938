package router_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/upstream"
)

// lookedAt returns a lookout for a server that answers connections in the given way.
func lookedAt(ctx context.Context, dial upstream.DialFunc) *router.Watchdog {
	return router.NewWatchdog(ctx, upstream.NewClientWithDial(dial), "10.0.0.1:1", 300*time.Millisecond)
}

// outOfReach answers nothing.
func outOfReach(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func refuses(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

func listens(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

func broken(context.Context, string) (net.Conn, error) { return nil, errors.New("no descriptors") }

func TestTryEndsWhereItsServerIsOutOfReach(t *testing.T) {
	for name, test := range map[string]struct {
		dial upstream.DialFunc
		dark bool
	}{
		"out of reach": {outOfReach, true}, "refuses": {refuses, true}, "listens": {listens, false}, "unclear": {broken, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lookout := lookedAt(t.Context(), test.dial)
				defer lookout.Stop()
				began := time.Now()
				lookout.Reset()
				select {
				case <-lookout.Context().Done():
				case <-time.After(5 * time.Second):
				}
				if lookout.Unreachable() != test.dark {
					t.Fatalf("dark: %v after %v", lookout.Unreachable(), time.Since(began))
				}
				if took := time.Since(began); test.dark && took > 250*time.Millisecond {
					t.Errorf("it took %v; the client sees a pause of 300 ms", took)
				}
			})
		})
	}
}

func TestServerThatIsHeardIsNotLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		looks := 0
		lookout := lookedAt(t.Context(), func(ctx context.Context, address string) (net.Conn, error) {
			looks++
			return refuses(ctx, address)
		})
		// Nothing is looked at before the first piece, in time or not.
		time.Sleep(time.Second)
		for range 20 {
			lookout.Reset()
			time.Sleep(100 * time.Millisecond)
		}
		lookout.Stop()
		time.Sleep(time.Second)
		if looks != 0 || lookout.Unreachable() {
			t.Errorf("%d looks", looks)
		}
	})
}

// TestLookOfARequestThatIsOverShowsNothing: the client leaves during the look.
func TestLookOfARequestThatIsOverShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		lookout := lookedAt(ctx, outOfReach)
		defer lookout.Stop()
		lookout.Reset()
		time.Sleep(160 * time.Millisecond)
		leave()
		synctest.Wait()
		if lookout.Unreachable() {
			t.Error("the server is taken for one that is out of reach")
		}
	})
}

// TestLookIsVoidWhereTheServerSpeaksMeanwhile: the connection of the look gets no answer, but
// the stream goes on, so that the server may still work on it.
func TestLookIsVoidWhereTheServerSpeaksMeanwhile(t *testing.T) {
	for name, dial := range map[string]upstream.DialFunc{
		"silent": outOfReach,
		"refused": func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return refuses(ctx, address)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lookout := lookedAt(t.Context(), dial)
				defer lookout.Stop()
				// Each pause is longer than half of the good one, and the look in it ends after it.
				for range 5 {
					lookout.Reset()
					time.Sleep(170 * time.Millisecond)
				}
				if lookout.Unreachable() {
					t.Fatal("a server that speaks is taken for one that is out of reach")
				}
				time.Sleep(time.Second)
				if !lookout.Unreachable() {
					t.Error("the server is silent now and is not looked at")
				}
			})
		})
	}
}
