package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// FaultKind is a way in which an engine fails.
type FaultKind string

// The kinds of fault.
const (
	// FaultNone ends every fault.
	FaultNone FaultKind = "none"
	// FaultDie loses every request and the cache. After Duration, when it is
	// set, the engine comes back empty.
	FaultDie FaultKind = "die"
	// FaultHang stops all steps, for Duration when it is set.
	FaultHang FaultKind = "hang"
	// FaultStall delays the step in progress or the next one by Duration.
	FaultStall FaultKind = "stall"
	// FaultSlow makes steps longer by Factor.
	FaultSlow FaultKind = "slow"
	// FaultTruncate cuts the streams of the next Count requests to start after
	// Tokens tokens.
	FaultTruncate FaultKind = "truncate"
	// FaultDelayFinish delivers the ends of the next Count answers late by Duration.
	FaultDelayFinish FaultKind = "late"
	// FaultRefuse refuses the next Count requests, or for Duration.
	FaultRefuse FaultKind = "refuse"
	// FaultReportIdle reports an idle engine, for Duration when it is set.
	FaultReportIdle FaultKind = "lie"
)

// Fault is an order to fail.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	Duration time.Duration `json:"duration,omitempty"`
	Factor   float64       `json:"factor,omitempty"`
	Count    int           `json:"count,omitempty"`
	Tokens   int           `json:"tokens,omitempty"`
}

// faultState is what faults do at present.
type faultState struct {
	dead, hung   bool
	stalledUntil time.Duration
	slowFactor   float64
	slowUntil    time.Duration
	lieUntil     time.Duration
	refuseUntil  time.Duration
	refuseCount  int

	truncateCount, truncateTokens int
	late                          lateFault
	// recovery names the timer that ends a hang or a death.
	recovery timerID
}

type lateFault struct {
	count    int
	duration time.Duration
}

// until returns the end of a fault: without a duration it does not end.
func until(now, duration time.Duration) time.Duration {
	if duration <= 0 {
		return Never
	}
	return now + duration
}

// Inject makes the engine fail as the fault says, from now on.
func (e *Engine) Inject(now time.Duration, fault Fault) {
	switch fault.Kind {
	case FaultNone:
		e.recover(now)
		e.faults = faultState{}
	case FaultDie:
		e.die(now)
		e.scheduleRecovery(now, fault)
	case FaultHang:
		e.faults.hung = true
		e.scheduleRecovery(now, fault)
	case FaultStall:
		e.faults.stalledUntil = now + fault.Duration
		if e.stepping {
			e.stepEnd += fault.Duration
		}
	case FaultSlow:
		e.faults.slowFactor = max(fault.Factor, 1)
		e.faults.slowUntil = until(now, fault.Duration)
	case FaultTruncate:
		e.faults.truncateCount = max(fault.Count, 1)
		e.faults.truncateTokens = max(fault.Tokens, 1)
	case FaultDelayFinish:
		e.faults.late = lateFault{count: max(fault.Count, 1), duration: fault.Duration}
	case FaultRefuse:
		e.faults.refuseCount = fault.Count
		if fault.Count == 0 {
			e.faults.refuseUntil = until(now, fault.Duration)
		}
	case FaultReportIdle:
		e.faults.lieUntil = until(now, fault.Duration)
	}
	e.begin(now)
	e.record(now)
}

// Dead tells whether the engine is dead.
func (e *Engine) Dead() bool {
	return e.faults.dead
}

// Hung tells whether a fault has stopped the steps.
func (e *Engine) Hung() bool {
	return e.faults.hung
}

func (e *Engine) scheduleRecovery(now time.Duration, fault Fault) {
	e.faults.recovery = 0
	if fault.Duration > 0 {
		e.faults.recovery = e.timers.add(timer{at: now + fault.Duration, kind: timerFault})
	}
}

// recover ends a hang or a death.
func (e *Engine) recover(now time.Duration) {
	e.faults.dead = false
	e.faults.hung = false
	e.faults.recovery = 0
	if e.stepping {
		e.stepEnd = max(e.stepEnd, now)
	}
}

// die loses everything in memory.
func (e *Engine) die(now time.Duration) {
	e.faults.dead = true
	e.faults.hung = false
	for _, entry := range e.byArrival() {
		if entry.state != stateFinished || entry.lateTokens > 0 {
			e.end(now, entry, EventLost)
		}
	}
	clear(e.known)
	e.stepping = false
	e.timers.items = nil
	e.cache.clear()
	e.orders = newOrderState(e.config).withFence(e.orders.fence)
}

// byArrival returns the known sequences in a fixed order.
func (e *Engine) byArrival() []*sequence {
	entries := slices.Collect(maps.Values(e.known))
	slices.SortFunc(entries, func(a, b *sequence) int { return cmp.Compare(a.arrival, b.arrival) })
	return entries
}

// refuses tells whether a fault refuses the request at hand.
func (f *faultState) refuses(now time.Duration) bool {
	if f.refuseCount > 0 {
		f.refuseCount--
		return true
	}
	return now < f.refuseUntil
}

// slowed returns the cost of a step under the fault in force.
func (f *faultState) slowed(cost, now time.Duration) time.Duration {
	if f.slowFactor > 1 && now < f.slowUntil {
		return time.Duration(float64(cost) * f.slowFactor)
	}
	return cost
}

// mark chooses the streams to cut as their requests start.
func (f *faultState) mark(entry *sequence) {
	if f.truncateCount > 0 {
		f.truncateCount--
		entry.truncateAt = f.truncateTokens
	}
}

// takeLate tells whether the end at hand is to be held back.
func (f *faultState) takeLate() bool {
	if f.late.count == 0 {
		return false
	}
	f.late.count--
	return true
}
