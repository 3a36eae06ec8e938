package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/apex/log"
)

// ProbeResult is the result of probing an address.
type ProbeResult int

// The results of a probe.
const (
	// ProbeInconclusive: the probe was canceled, failed in another way, or this process was
	// stalled for too long to tell.
	ProbeInconclusive ProbeResult = iota
	// ProbeConnected: the address accepts connections.
	ProbeConnected
	// ProbeRefused: the address refuses connections.
	ProbeRefused
	// ProbeTimedOut: no connection attempt got a reply in time.
	ProbeTimedOut
)

const (
	// probeSteps is the number of steps in which a probe waits for its timeout.
	probeSteps = 5
	// redundantProbeStep is the step after which ProbeRedundantly makes its second attempt.
	redundantProbeStep = 1
	// stallTolerance is the fraction of its timeout within which a connection attempt must end
	// after it was canceled. If it ends later, this process may have missed a reply.
	stallTolerance = 0.5
	// maximumProbeStretch bounds the duration of a probe, stalls included, as a multiple of its
	// timeout.
	maximumProbeStretch = 3
)

// Probe tries to connect to an address. A successful connection is kept for later
// requests.
//
// The limit applies to the time in which this process runs: after a stall, the reply of a
// reachable server may be in the kernel, unseen.
func (c *Client) Probe(ctx context.Context, address string, limit time.Duration) ProbeResult {
	return c.probe(ctx, address, limit, false)
}

// ProbeRedundantly is Probe with a second connection attempt if the first gets no prompt reply: one lost
// packet is no proof, and the kernel resends a SYN only after a second.
func (c *Client) ProbeRedundantly(ctx context.Context, address string, limit time.Duration) ProbeResult {
	return c.probe(ctx, address, limit, true)
}

func (c *Client) probe(ctx context.Context, address string, limit time.Duration, redundant bool) ProbeResult {
	// The context has no deadline: the runtime would let it pass before it looks for a reply.
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	results := make(chan ProbeResult, 2)
	attempts := 1
	go func() { results <- c.probeOnce(dialing, address) }()
	waited := newRunningTime(began, limit/probeSteps)
	timer := time.NewTimer(waited.step)
	defer timer.Stop()
	for waited.steps < probeSteps {
		select {
		case result := <-results:
			if result == ProbeTimedOut {
				return ProbeInconclusive
			}
			return result
		case <-ctx.Done():
			return ProbeInconclusive
		case <-timer.C:
		}
		now := time.Now()
		if now.Sub(began) > maximumProbeStretch*limit {
			break
		}
		waited.advance(now)
		if redundant && attempts == 1 && waited.steps >= redundantProbeStep {
			attempts++
			go func() { results <- c.probeOnce(dialing, address) }()
		}
		timer.Reset(waited.step)
	}
	cancel()
	result := awaitCanceled(results, attempts, time.Duration(stallTolerance*float64(limit)))
	switch {
	case result == ProbeConnected, result == ProbeRefused:
		return result
	case waited.steps < probeSteps, ctx.Err() != nil:
		result = ProbeInconclusive
	}
	log.WithFields(log.Fields{
		"address": address, "conclusive": result == ProbeTimedOut, "attempts": attempts,
		"took_ms": time.Since(began).Milliseconds(), "limit_ms": limit.Milliseconds(), "stalled_ms": waited.stalled.Milliseconds(),
	}).Info("no reply to a probe")
	return result
}

// probeOnce makes one connection attempt. It returns ProbeTimedOut if the attempt was canceled.
func (c *Client) probeOnce(ctx context.Context, address string) ProbeResult {
	network, err := c.dial(ctx, address)
	switch {
	case err == nil:
		c.pool(address).put(newConnection(network), time.Now(), idleConnections)
		return ProbeConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	case ctx.Err() != nil:
		return ProbeTimedOut
	}
	return ProbeInconclusive
}

// awaitCanceled waits for canceled connection attempts. It returns the first reply, ProbeTimedOut if there
// was none, or ProbeInconclusive if the attempts take longer than the limit to end.
func awaitCanceled(results <-chan ProbeResult, attempts int, limit time.Duration) ProbeResult {
	canceledAt := time.Now()
	for range attempts {
		if result := <-results; result != ProbeTimedOut {
			return result
		}
	}
	if time.Since(canceledAt) > limit {
		return ProbeInconclusive
	}
	return ProbeTimedOut
}

// runningTime counts the steps of a wait during which this process ran. A step that ends more
// than a step late does not count: the process was stalled in it.
type runningTime struct {
	step    time.Duration
	last    time.Time
	steps   int
	stalled time.Duration
}

func newRunningTime(now time.Time, step time.Duration) *runningTime {
	return &runningTime{step: step, last: now}
}

// advance ends a step.
func (r *runningTime) advance(now time.Time) {
	if took := now.Sub(r.last); took <= 2*r.step {
		r.steps++
	} else {
		r.stalled += took - r.step
	}
	r.last = now
}
