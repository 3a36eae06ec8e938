package dial

import (
	"context"
	"net"
	"time"
)

const (
	// attemptInterval is the delay before an additional connection attempt. The SYN to a machine
	// that is still starting is lost, and the kernel retransmits it only after a second. The
	// interval is longer than the handshake between zones, so that a reachable machine gets one
	// attempt.
	attemptInterval = 60 * time.Millisecond
	// constantIntervals is the number of intervals of equal length, after which each is twice as
	// long as the one before. They cover 300 ms, within which processes that are started together
	// become reachable; a call to a machine that is down makes eight attempts in a second.
	constantIntervals = 5
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// attemptResult is the result of one attempt.
type attemptResult struct {
	connection net.Conn
	err        error
}

// Hedged returns a dial function that makes an additional attempt after each interval in which
// none has ended, until the limit. Intervals get longer after the first few. The first attempt
// that ends decides, even if it fails: a refusal shows that the machine is up.
func Hedged(dial DialFunc, interval, limit time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		results := make(chan attemptResult)
		dialOnce := func() {
			connection, err := dial(ctx, network, address)
			select {
			case results <- attemptResult{connection, err}:
			case <-ctx.Done():
				if connection != nil {
					_ = connection.Close()
				}
			}
		}
		delay := interval
		timer := time.NewTimer(delay)
		defer timer.Stop()
		go dialOnce()
		for retries := 0; ; {
			select {
			case first := <-results:
				return first.connection, first.err
			case <-timer.C:
				go dialOnce()
				if retries++; retries >= constantIntervals {
					delay *= 2
				}
				timer.Reset(delay)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}
