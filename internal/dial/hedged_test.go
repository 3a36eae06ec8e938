package dial_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/dial"
)

const (
	interval = 60 * time.Millisecond
	limit    = time.Second
)

// startingHost is a host that becomes reachable after some time. Connection attempts before that
// are delayed by the retransmission interval of one second.
type startingHost struct {
	reachableAt time.Time
	refusal     error
	attempts    atomic.Int64
	open        atomic.Int64
}

// countedConn counts a connection while it is open.
type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}

func (h *startingHost) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	h.attempts.Add(1)
	for time.Now().Before(h.reachableAt) {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	time.Sleep(time.Millisecond)
	if h.refusal != nil {
		return nil, h.refusal
	}
	conn, _ := net.Pipe()
	h.open.Add(1)
	return countedConn{conn, &h.open}, nil
}

// TestMachineThatComesUpIsReachedAtOnce verifies that a host is connected soon after it is
// reachable and that the connections of other attempts are closed.
func TestMachineThatComesUpIsReachedAtOnce(t *testing.T) {
	for _, test := range []struct {
		reachableAfter, maxDuration time.Duration
		attempts                    int64
	}{{0, 2 * time.Millisecond, 1}, {300 * time.Millisecond, 370 * time.Millisecond, 6}, {500 * time.Millisecond, 670 * time.Millisecond, 8}} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			host := &startingHost{reachableAt: began.Add(test.reachableAfter)}
			connection, err := dial.Hedged(host.dial, interval, limit)(t.Context(), "tcp", "a:1")
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > test.maxDuration || host.attempts.Load() != test.attempts {
				t.Errorf("reachable after %v: connected after %v with %d attempts", test.reachableAfter, took, host.attempts.Load())
			}
			time.Sleep(2 * limit)
			if open := host.open.Load(); open != 1 {
				t.Errorf("%d connections are open", open)
			}
			_ = connection.Close()
		})
	}
}

// TestRefusalEndsTheAttempts verifies that there are no further attempts after a host refused one.
func TestRefusalEndsTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := &startingHost{reachableAt: time.Now(), refusal: syscall.ECONNREFUSED}
		if _, err := dial.Hedged(host.dial, interval, limit)(t.Context(), "tcp", "a:1"); err != syscall.ECONNREFUSED {
			t.Errorf("ended with %v", err)
		}
		if host.attempts.Load() != 1 {
			t.Errorf("%d attempts", host.attempts.Load())
		}
	})
}

// TestAttemptsEndAtTheLimit verifies that attempts at an unreachable host end.
func TestAttemptsEndAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		host := &startingHost{reachableAt: began.Add(time.Hour)}
		if _, err := dial.Hedged(host.dial, interval, limit)(t.Context(), "tcp", "a:1"); err == nil {
			t.Error("connected")
		}
		if took := time.Since(began); took != limit {
			t.Errorf("given up after %v", took)
		}
		if attempts := host.attempts.Load(); attempts != 8 {
			t.Errorf("%d attempts at an unreachable host", attempts)
		}
	})
}
