package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// ProbeResult is the result of probing an address.
type ProbeResult int

// The results of a probe.
const (
	// ProbeInconclusive: the probe was canceled, failed in another way, or ended
	// long after its timeout because this process was delayed.
	ProbeInconclusive ProbeResult = iota
	// ProbeConnected: the address accepts connections.
	ProbeConnected
	// ProbeRefused: the address refuses connections.
	ProbeRefused
	// ProbeTimedOut: the connection attempt got no reply in time.
	ProbeTimedOut
)

// stallTolerance is the fraction of its timeout by which a probe may exceed it and
// still count as timed out. If it ends later, this process was delayed and may have
// missed a reply.
const stallTolerance = 0.5

// Probe tries to connect to an address. A successful connection is kept for later
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
	case ctx.Err() == nil && dialing.Err() != nil && took <= limit+time.Duration(stallTolerance*float64(limit)):
		return ProbeTimedOut
	}
	return ProbeInconclusive
}
