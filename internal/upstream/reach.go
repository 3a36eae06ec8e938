package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// Reach is what an attempt to connect shows of an address.
type Reach int

// What an attempt to connect can show.
const (
	// ReachUnclear: the attempt was broken off, or failed in another way.
	ReachUnclear Reach = iota
	// ReachListens: something takes connections there.
	ReachListens
	// ReachRefused: nobody listens there any more.
	ReachRefused
	// ReachSilent: nothing answers there within the limit.
	ReachSilent
)

// Reach tries to connect to an address. A connection that comes about is kept for later
// requests.
func (c *Client) Reach(ctx context.Context, address string, limit time.Duration) Reach {
	dialing, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	network, err := c.dial(dialing, address)
	switch {
	case err == nil:
		c.pool(address).put(newConnection(network), time.Now(), idleConnections)
		return ReachListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return ReachRefused
	case ctx.Err() == nil && dialing.Err() != nil:
		return ReachSilent
	}
	return ReachUnclear
}
