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

// sleeping is a machine that comes up after a while. Opening packets are lost until then, and
// sent again after a second.
type sleeping struct {
	upAt     time.Time
	answer   error
	attempts atomic.Int64
	open     atomic.Int64
}

// counted is a connection that is counted while it is open.
type counted struct {
	net.Conn
	open *atomic.Int64
}

func (c counted) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}

func (s *sleeping) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	s.attempts.Add(1)
	for time.Now().Before(s.upAt) {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	time.Sleep(time.Millisecond)
	if s.answer != nil {
		return nil, s.answer
	}
	near, _ := net.Pipe()
	s.open.Add(1)
	return counted{near, &s.open}, nil
}

// TestMachineThatComesUpIsReachedAtOnce: an attempt is made soon after a machine is up, and
// the connections of the others are closed.
func TestMachineThatComesUpIsReachedAtOnce(t *testing.T) {
	for _, test := range []struct {
		upAfter, most time.Duration
		attempts      int64
	}{{0, 2 * time.Millisecond, 1}, {300 * time.Millisecond, 370 * time.Millisecond, 6}, {500 * time.Millisecond, 670 * time.Millisecond, 8}} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			machine := &sleeping{upAt: began.Add(test.upAfter)}
			connection, err := dial.Hedged(machine.dial, interval, limit)(t.Context(), "tcp", "a:1")
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > test.most || machine.attempts.Load() != test.attempts {
				t.Errorf("up after %v: connected after %v with %d attempts", test.upAfter, took, machine.attempts.Load())
			}
			time.Sleep(2 * limit)
			if open := machine.open.Load(); open != 1 {
				t.Errorf("%d connections are open", open)
			}
			_ = connection.Close()
		})
	}
}

// TestRefusalEndsTheAttempts: a machine that refuses is up, and is not asked again.
func TestRefusalEndsTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &sleeping{upAt: time.Now(), answer: syscall.ECONNREFUSED}
		if _, err := dial.Hedged(machine.dial, interval, limit)(t.Context(), "tcp", "a:1"); err != syscall.ECONNREFUSED {
			t.Errorf("ended with %v", err)
		}
		if machine.attempts.Load() != 1 {
			t.Errorf("%d attempts", machine.attempts.Load())
		}
	})
}

// TestMachineThatStaysDownIsGivenUp: attempts end at the limit.
func TestMachineThatStaysDownIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		machine := &sleeping{upAt: began.Add(time.Hour)}
		if _, err := dial.Hedged(machine.dial, interval, limit)(t.Context(), "tcp", "a:1"); err == nil {
			t.Error("connected")
		}
		if took := time.Since(began); took != limit {
			t.Errorf("given up after %v", took)
		}
		if attempts := machine.attempts.Load(); attempts != 8 {
			t.Errorf("%d attempts at a machine that is down", attempts)
		}
	})
}
