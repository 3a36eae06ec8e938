package backlog

import "time"

const (
	// runWeight is the weight of one run in the running means.
	runWeight = 0.05
	// safetyFactor increases the expected time of a run, since runs vary.
	safetyFactor = 1.25
	// minimumRemainingFraction is the fraction of a whole run that is always expected to remain.
	minimumRemainingFraction = 0.1
	// minRuns is the number of runs from which MeanRemaining is known. One slow run must not stand for all.
	minRuns = 20
)

// RunTimeEstimator estimates the run time of a service's items from earlier runs. The zero value
// has no data and estimates zero.
type RunTimeEstimator struct {
	// meanEvents is the mean number of events of a whole output, and meanInterval the mean time per
	// event.
	meanEvents   float64
	meanInterval float64
	// runs is the number of recorded runs, up to minRuns.
	runs int
}

// Known reports whether a run was recorded.
func (e *RunTimeEstimator) Known() bool { return e.meanEvents > 0 }

// RecordRun records a run that produced a number of events of an output with total events.
func (e *RunTimeEstimator) RecordRun(produced, total int, duration time.Duration) {
	if produced <= 0 || duration <= 0 {
		return
	}
	interval := float64(duration) / float64(produced)
	e.runs = min(e.runs+1, minRuns)
	if e.meanEvents == 0 {
		e.meanEvents, e.meanInterval = float64(total), interval
		return
	}
	e.meanEvents += runWeight * (float64(total) - e.meanEvents)
	e.meanInterval += runWeight * (interval - e.meanInterval)
}

// Remaining returns the expected remaining run time of an item that has produced a number of events.
func (e *RunTimeEstimator) Remaining(produced int) time.Duration {
	remaining := max(e.meanEvents-float64(produced), minimumRemainingFraction*e.meanEvents)
	return time.Duration(safetyFactor * remaining * e.meanInterval)
}

// MeanRemaining returns the mean remaining run time of an item that has produced a number of events,
// without the allowance for varying run times in Remaining. It is not known before some runs were
// recorded.
func (e *RunTimeEstimator) MeanRemaining(produced int) (remaining time.Duration, known bool) {
	if e.runs < minRuns {
		return 0, false
	}
	return time.Duration(max(0, e.meanEvents-float64(produced)) * e.meanInterval), true
}
