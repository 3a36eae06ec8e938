package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// FaultKind is the type of an injected fault.
type FaultKind string

const (
	// FaultNone clears all faults.
	FaultNone FaultKind = "none"
	// FaultDie drops all requests and the cache. If Duration is set, the engine
	// restarts empty after it.
	FaultDie FaultKind = "die"
	// FaultHang stops all steps, for Duration if it is set.
	FaultHang FaultKind = "hang"
	// FaultStall delays the end of the step in progress, or the next step, by Duration.
	FaultStall FaultKind = "stall"
	// FaultSlow multiplies step times by Factor, for Duration if it is set.
	FaultSlow FaultKind = "slow"
	// FaultTruncate breaks the streams of the next Count requests that start,
	// after Tokens tokens.
	FaultTruncate FaultKind = "truncate"
	// FaultDelayFinish delays the last events of the next Count requests by Duration.
	FaultDelayFinish FaultKind = "late"
	// FaultRefuse refuses the next Count requests, or all requests for Duration.
	FaultRefuse FaultKind = "refuse"
	// FaultReportIdle reports zero load, for Duration if it is set.
	FaultReportIdle FaultKind = "lie"
)

// Fault describes a fault to inject. Which fields apply depends on Kind.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	Duration time.Duration `json:"duration,omitempty"`
	Factor   float64       `json:"factor,omitempty"`
	Count    int           `json:"count,omitempty"`
	Tokens   int           `json:"tokens,omitempty"`
}

// faultState holds the faults in effect.
type faultState struct {
	dead, hung      bool
	stalledUntil    time.Duration
	slowFactor      float64
	slowUntil       time.Duration
	reportIdleUntil time.Duration
	refuseUntil     time.Duration
	refuseCount     int

	truncateCount, truncateTokens int
	finishDelay                   finishDelay
	// recovery is the timer that ends FaultDie or FaultHang.
	recovery timerID
}

type finishDelay struct {
	count    int
	duration time.Duration
}

// faultEnd returns the end of a fault; without a duration, it does not end.
func faultEnd(now, duration time.Duration) time.Duration {
	if duration <= 0 {
		return Never
	}
	return now + duration
}

// Inject applies a fault from now on.
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
		if e.stepInProgress {
			e.stepEnd += fault.Duration
		}
	case FaultSlow:
		e.faults.slowFactor = max(fault.Factor, 1)
		e.faults.slowUntil = faultEnd(now, fault.Duration)
	case FaultTruncate:
		e.faults.truncateCount = max(fault.Count, 1)
		e.faults.truncateTokens = max(fault.Tokens, 1)
	case FaultDelayFinish:
		e.faults.finishDelay = finishDelay{count: max(fault.Count, 1), duration: fault.Duration}
	case FaultRefuse:
		e.faults.refuseCount = fault.Count
		if fault.Count == 0 {
			e.faults.refuseUntil = faultEnd(now, fault.Duration)
		}
	case FaultReportIdle:
		e.faults.reportIdleUntil = faultEnd(now, fault.Duration)
	}
	e.startStep(now)
	e.recordReport(now)
}

// Dead reports whether the engine is down after FaultDie.
func (e *Engine) Dead() bool {
	return e.faults.dead
}

// Hung reports whether steps are stopped by FaultHang.
func (e *Engine) Hung() bool {
	return e.faults.hung
}

func (e *Engine) scheduleRecovery(now time.Duration, fault Fault) {
	e.faults.recovery = 0
	if fault.Duration > 0 {
		e.faults.recovery = e.timers.add(timer{at: now + fault.Duration, kind: timerFault})
	}
}

// recover ends FaultDie and FaultHang.
func (e *Engine) recover(now time.Duration) {
	e.faults.dead = false
	e.faults.hung = false
	e.faults.recovery = 0
	if e.stepInProgress {
		e.stepEnd = max(e.stepEnd, now)
	}
}

// die drops all requests and the cache and resets all orders except the fence.
func (e *Engine) die(now time.Duration) {
	e.faults.dead = true
	e.faults.hung = false
	for _, seq := range e.byArrival() {
		if seq.state != stateFinished || seq.delayedTokens > 0 {
			e.abort(now, seq, EventLost)
		}
	}
	clear(e.sequences)
	e.stepInProgress = false
	e.timers.items = nil
	e.cache.clear()
	e.orders = newOrderState(e.config).withFence(e.orders.fence)
}

// byArrival returns all sequences in order of arrival, for deterministic iteration.
func (e *Engine) byArrival() []*sequence {
	entries := slices.Collect(maps.Values(e.sequences))
	slices.SortFunc(entries, func(a, b *sequence) int { return cmp.Compare(a.arrival, b.arrival) })
	return entries
}

// refuses reports whether a fault refuses the current request, and counts it.
func (f *faultState) refuses(now time.Duration) bool {
	if f.refuseCount > 0 {
		f.refuseCount--
		return true
	}
	return now < f.refuseUntil
}

// slowed returns the step time under FaultSlow.
func (f *faultState) slowed(cost, now time.Duration) time.Duration {
	if f.slowFactor > 1 && now < f.slowUntil {
		return time.Duration(float64(cost) * f.slowFactor)
	}
	return cost
}

// markTruncated applies FaultTruncate to a sequence that starts.
func (f *faultState) markTruncated(seq *sequence) {
	if f.truncateCount > 0 {
		f.truncateCount--
		seq.truncateAt = f.truncateTokens
	}
}

// takeFinishDelay reports whether the current finish is delayed, and counts it.
func (f *faultState) takeFinishDelay() bool {
	if f.finishDelay.count == 0 {
		return false
	}
	f.finishDelay.count--
	return true
}
