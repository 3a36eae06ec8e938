package dial

import (
	"context"
	"net"
	"time"
)

const (
	// attemptInterval is the time until one more connection attempt is made beside those
	// that are under way. An opening packet to a machine that is not up yet is lost, and the
	// kernel sends it again after a second only: whoever asked a machine that came up a
	// moment later waited for that second. Between zones a connection takes a few
	// milliseconds, so that nobody makes a second attempt where the machine is up.
	attemptInterval = 60 * time.Millisecond
	// steadyIntervals is after how many intervals each one is twice as long as the one
	// before: 300 ms, within which processes start that are started together. A call to a
	// machine that stays down makes eight attempts within its second, each with a socket
	// of its own.
	steadyIntervals = 5
)

// DialFunc opens one connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialed is how an attempt ended.
type dialed struct {
	connection net.Conn
	err        error
}

// Hedged returns a dialer that makes one more attempt after each interval in which none has
// ended, at most until the limit; intervals get longer after the first few. The first attempt
// that ends decides: a refusal comes from a machine that is up.
func Hedged(attempt DialFunc, interval, limit time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ended := make(chan dialed)
		try := func() {
			connection, err := attempt(ctx, network, address)
			select {
			case ended <- dialed{connection, err}:
			case <-ctx.Done():
				if connection != nil {
					_ = connection.Close()
				}
			}
		}
		pause := interval
		timer := time.NewTimer(pause)
		defer timer.Stop()
		go try()
		for retries := 0; ; {
			select {
			case first := <-ended:
				return first.connection, first.err
			case <-timer.C:
				go try()
				if retries++; retries >= steadyIntervals {
					pause *= 2
				}
				timer.Reset(pause)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}
