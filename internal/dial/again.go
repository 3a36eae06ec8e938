package dial

import (
	"context"
	"net"
	"time"
)

// attemptInterval is the time until one more connection attempt is made beside those that
// are under way. An opening packet to a machine that is not up yet is lost, and the kernel
// sends it again after a second only: whoever asked a machine that came up a moment later
// waited for that second. Between zones a connection takes a few milliseconds, so that
// nobody makes a second attempt where the machine is up. It costs a machine that is down 16
// packets a second from each process that asks it, in place of one.
const attemptInterval = 60 * time.Millisecond

// Attempt opens one connection, as net.Dialer.DialContext does.
type Attempt func(ctx context.Context, network, address string) (net.Conn, error)

// dialed is how an attempt ended.
type dialed struct {
	connection net.Conn
	err        error
}

// Again returns a dialer that makes one more attempt after each interval in which none has
// ended, at most until the limit. The first one that ends decides: a refusal comes from a
// machine that is up.
func Again(attempt Attempt, interval, limit time.Duration) Attempt {
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
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		go try()
		for {
			select {
			case first := <-ended:
				return first.connection, first.err
			case <-ticker.C:
				go try()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}
