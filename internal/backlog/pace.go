package backlog

import "time"

const (
	// paceWeight is the weight of one run in the running means.
	paceWeight = 0.05
	// caution lengthens what a run is expected to take: runs differ.
	caution = 1.25
	// leastPart is the part of a whole run that is expected to remain however much of it
	// is done.
	leastPart = 0.1
)

// RunTimeEstimator learns from the runs of a service's items how long they take. The zero RunTimeEstimator knows
// nothing and expects nothing.
type RunTimeEstimator struct {
	// events is how many events a whole output has, and event how long one takes.
	events float64
	event  float64
}

// RecordRun takes the end of a run that made so many events, and how many the whole output
// has.
func (p *RunTimeEstimator) RecordRun(made, whole int, ran time.Duration) {
	if made <= 0 || ran <= 0 {
		return
	}
	event := float64(ran) / float64(made)
	if p.events == 0 {
		p.events, p.event = float64(whole), event
		return
	}
	p.events += paceWeight * (float64(whole) - p.events)
	p.event += paceWeight * (event - p.event)
}

// Remaining is how long an item of which so many events are made is expected to run.
func (p *RunTimeEstimator) Remaining(made int) time.Duration {
	left := max(p.events-float64(made), leastPart*p.events)
	return time.Duration(caution * left * p.event)
}
