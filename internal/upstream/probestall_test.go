package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/upstream"
)

const (
	// probeAddressVariable makes TestProbeOfStalledProcess probe the address in it and print the result.
	probeAddressVariable = "PROBE_TEST_ADDRESS"
	stalledProbeLimit    = 500 * time.Millisecond
)

// probeWhileStopping probes an address. The process stops itself during the first connection attempt.
func probeWhileStopping(t *testing.T, address string) upstream.ProbeResult {
	stopped := false
	dialer := net.Dialer{Control: func(string, string, syscall.RawConn) error {
		if stopped {
			return nil
		}
		stopped = true
		return syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}}
	client := upstream.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	return client.Probe(t.Context(), address, stalledProbeLimit)
}

// TestProbeOfStalledProcess guards against taking a live server for unreachable after a stall of
// the probing process that is a little longer than the timeout of the probe.
func TestProbeOfStalledProcess(t *testing.T) {
	if address := os.Getenv(probeAddressVariable); address != "" {
		fmt.Printf("result %d\n", probeWhileStopping(t, address))
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	child := exec.Command(os.Args[0], "-test.run", "^TestProbeOfStalledProcess$")
	child.Env = append(os.Environ(), probeAddressVariable+"="+listener.Addr().String())
	var output strings.Builder
	child.Stdout, child.Stderr = &output, &output
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	for {
		if _, err = syscall.Wait4(child.Process.Pid, &status, syscall.WUNTRACED, nil); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil || !status.Stopped() {
		t.Fatalf("the child did not stop: status %v, %v", status, err)
	}
	// The length of the stall, not a wait for an event.
	time.Sleep(stalledProbeLimit + stalledProbeLimit/5)
	if err := child.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := child.Wait(); err != nil {
		t.Fatalf("%v: %s", err, output.String())
	}
	if want := fmt.Sprintf("result %d\n", upstream.ProbeConnected); !strings.Contains(output.String(), want) {
		t.Errorf("got %q, want %q", output.String(), want)
	}
}

// TestLostPacketIsNoProofThatServerIsUnreachable: the first connection attempt gets no reply.
func TestLostPacketIsNoProofThatServerIsUnreachable(t *testing.T) {
	const limit = 100 * time.Millisecond
	noReply := func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	for name, test := range map[string]struct {
		second upstream.DialFunc
		want   upstream.ProbeResult
	}{
		"connected": {func(context.Context, string) (net.Conn, error) { near, _ := net.Pipe(); return near, nil }, upstream.ProbeConnected},
		"refused": {func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}, upstream.ProbeRefused},
		"no reply": {noReply, upstream.ProbeTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dialed atomic.Int32 // the attempts run beside each other
				client := upstream.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
					if dialed.Add(1) == 1 {
						return noReply(ctx, address)
					}
					return test.second(ctx, address)
				})
				began := time.Now()
				if got := client.ProbeRedundantly(t.Context(), "10.0.0.1:1", limit); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
				if took := time.Since(began); dialed.Load() != 2 || took > limit {
					t.Errorf("%d attempts in %v", dialed.Load(), took)
				}
			})
		})
	}
}

// TestCanceledProbeIsInconclusive guards against taking the end of a request for a missing reply.
func TestCanceledProbeIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		client := upstream.NewClientWithDial(func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() })
		if got := client.Probe(ctx, "10.0.0.1:1", time.Second); got != upstream.ProbeInconclusive {
			t.Errorf("got %v", got)
		}
	})
}
