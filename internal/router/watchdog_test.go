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

// watchdogFor returns a watchdog for a server with the given dial function.
func watchdogFor(ctx context.Context, dial upstream.DialFunc) *router.Watchdog {
	return router.NewWatchdog(ctx, upstream.NewClientWithDial(dial), "10.0.0.1:1", 300*time.Millisecond)
}

// unreachable never connects.
func unreachable(ctx context.Context, _ string) (net.Conn, error) {
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

func dialFails(context.Context, string) (net.Conn, error) { return nil, errors.New("no descriptors") }

func TestWatchdogCancelsAttemptOfUnreachableServer(t *testing.T) {
	for name, test := range map[string]struct {
		dial     upstream.DialFunc
		canceled bool
	}{
		"out of reach": {unreachable, true}, "refuses": {refuses, true}, "listens": {listens, false}, "unclear": {dialFails, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				watchdog := watchdogFor(t.Context(), test.dial)
				defer watchdog.Stop()
				began := time.Now()
				watchdog.Reset()
				select {
				case <-watchdog.Context().Done():
				case <-time.After(5 * time.Second):
				}
				if watchdog.Unreachable() != test.canceled {
					t.Fatalf("unreachable: %v after %v", watchdog.Unreachable(), time.Since(began))
				}
				if took := time.Since(began); test.canceled && took > 250*time.Millisecond {
					t.Errorf("it took %v; the client sees a pause of 300 ms", took)
				}
			})
		})
	}
}

func TestWatchdogDoesNotProbeActiveServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		watchdog := watchdogFor(t.Context(), func(ctx context.Context, address string) (net.Conn, error) {
			probes++
			return refuses(ctx, address)
		})
		// There is no probe before the first Reset.
		time.Sleep(time.Second)
		for range 20 {
			watchdog.Reset()
			time.Sleep(100 * time.Millisecond)
		}
		watchdog.Stop()
		time.Sleep(time.Second)
		if probes != 0 || watchdog.Unreachable() {
			t.Errorf("%d probes", probes)
		}
	})
}

// TestWatchdogIgnoresProbeOfCanceledRequest cancels the request during a probe.
func TestWatchdogIgnoresProbeOfCanceledRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		watchdog := watchdogFor(ctx, unreachable)
		defer watchdog.Stop()
		watchdog.Reset()
		time.Sleep(160 * time.Millisecond)
		cancel()
		synctest.Wait()
		if watchdog.Unreachable() {
			t.Error("the server counts as unreachable")
		}
	})
}

// TestWatchdogIgnoresProbeDuringActivity checks that a failed probe does not count if the server
// sends something meanwhile.
func TestWatchdogIgnoresProbeDuringActivity(t *testing.T) {
	for name, dial := range map[string]upstream.DialFunc{
		"silent": unreachable,
		"refused": func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			return refuses(ctx, address)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				watchdog := watchdogFor(t.Context(), dial)
				defer watchdog.Stop()
				// Each pause triggers a probe, which ends after it.
				for range 5 {
					watchdog.Reset()
					time.Sleep(170 * time.Millisecond)
				}
				if watchdog.Unreachable() {
					t.Fatal("a server that sends data counts as unreachable")
				}
				time.Sleep(time.Second)
				if !watchdog.Unreachable() {
					t.Error("the silent server is not probed")
				}
			})
		})
	}
}
