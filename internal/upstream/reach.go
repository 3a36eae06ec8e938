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
	// ReachUnclear: the attempt was broken off, failed in another way, or ended long after its
	// limit since this process was held up.
	ReachUnclear Reach = iota
	// ReachListens: something takes connections there.
	ReachListens
	// ReachRefused: nobody listens there any more.
	ReachRefused
	// ReachSilent: nothing answers there within the limit.
	ReachSilent
)

// heldUpPart is the part of its limit by which an attempt may outlast it and still count as
// silence: one that ends later was not tended here, and an answer may have come meanwhile.
const heldUpPart = 0.5

// Reach tries to connect to an address. A connection that comes about is kept for later
// requests.
func (c *Client) Reach(ctx context.Context, address string, limit time.Duration) Reach {
	dialing, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	network, err := c.dial(dialing, address)
	took := time.Since(began)
	switch {
	case err == nil:
		c.pool(address).put(newConnection(network), time.Now(), idleConnections)
		return ReachListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return ReachRefused
	case ctx.Err() == nil && dialing.Err() != nil && took <= limit+time.Duration(heldUpPart*float64(limit)):
		return ReachSilent
	}
	return ReachUnclear
}
