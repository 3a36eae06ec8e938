package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// ProbeResult is what an attempt to connect shows of an address.
type ProbeResult int

// What an attempt to connect can show.
const (
	// ProbeInconclusive: the attempt was broken off, failed in another way, or ended long after its
	// limit since this process was held up.
	ProbeInconclusive ProbeResult = iota
	// ProbeConnected: something takes connections there.
	ProbeConnected
	// ProbeRefused: nobody listens there any more.
	ProbeRefused
	// ProbeTimedOut: nothing answers there within the limit.
	ProbeTimedOut
)

// heldUpPart is the part of its limit by which an attempt may outlast it and still count as
// silence: one that ends later was not tended here, and an answer may have come meanwhile.
const heldUpPart = 0.5

// Probe tries to connect to an address. A connection that comes about is kept for later
// requests.
func (c *Client) Probe(ctx context.Context, address string, limit time.Duration) ProbeResult {
	dialing, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	network, err := c.dial(dialing, address)
	took := time.Since(began)
	switch {
	case err == nil:
		c.pool(address).put(newConnection(network), time.Now(), idleConnections)
		return ProbeConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	case ctx.Err() == nil && dialing.Err() != nil && took <= limit+time.Duration(heldUpPart*float64(limit)):
		return ProbeTimedOut
	}
	return ProbeInconclusive
}
