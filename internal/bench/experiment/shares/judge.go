package shares

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/simulator"
)

// evaluator computes metrics from the samples of one run.
type evaluator struct {
	scenario *simulator.Scenario
	samples  []simulator.ServiceSample
}

// window holds sums over consecutive samples.
type window struct {
	received []float64
	// backlogged tells which groups had items waiting in every sample.
	backlogged []bool
	total      float64
}

func (e *evaluator) window(first, last int) window {
	groups := len(e.scenario.Batch)
	sums := window{received: make([]float64, groups), backlogged: make([]bool, groups)}
	for group := range groups {
		sums.backlogged[group] = true
	}
	for _, sample := range e.samples[first:last] {
		for group := range groups {
			sums.received[group] += sample.Cost[group]
			sums.total += sample.Cost[group]
			sums.backlogged[group] = sums.backlogged[group] && sample.Backlogged[group]
		}
	}
	return sums
}

// fairShares returns the weighted max-min fair share of each group in the service of a
// window. The share of a group without a backlog is at most what it received.
func (e *evaluator) fairShares(sums window) []float64 {
	fairShares := make([]float64, len(sums.received))
	settled := make([]bool, len(fairShares))
	remaining := sums.total
	for {
		shares := 0.0
		for group, load := range e.scenario.Batch {
			if !settled[group] {
				shares += load.Share
			}
		}
		changed := false
		for group, load := range e.scenario.Batch {
			if settled[group] {
				continue
			}
			fairShares[group] = remaining * load.Share / shares
			if !sums.backlogged[group] && sums.received[group] < fairShares[group] {
				fairShares[group], settled[group], changed = sums.received[group], true, true
				remaining -= fairShares[group]
				break
			}
		}
		if !changed {
			return fairShares
		}
	}
}

func (e *evaluator) samplesIn(length time.Duration) int {
	return int(length / e.scenario.SampleEvery)
}

// shortfall returns the largest shortfall in any window, and its group.
func (e *evaluator) shortfall() (float64, int) {
	length := e.samplesIn(shortfallWindow)
	largest, shortGroup := 0.0, 0
	for first := e.samplesIn(e.scenario.Warmup); first+length <= e.samplesIn(e.scenario.End()); first++ {
		sums := e.window(first, first+length)
		fairShares := e.fairShares(sums)
		for group := range fairShares {
			if !sums.backlogged[group] || fairShares[group] <= 0 {
				continue
			}
			if missing := 1 - sums.received[group]/fairShares[group]; missing > largest {
				largest, shortGroup = missing, group
			}
		}
	}
	return largest, shortGroup
}

// reclaim returns the time from a group's return until it receives its share.
func (e *evaluator) reclaim(group int, returned time.Duration) time.Duration {
	length := e.samplesIn(reclaimWindow)
	begin := e.samplesIn(returned)
	for first := begin; first+length <= len(e.samples); first++ {
		sums := e.window(first, first+length)
		sums.backlogged[group] = true
		if share := e.fairShares(sums)[group]; share > 0 && sums.received[group] >= reclaimFraction*share {
			return time.Duration(first+length-begin) * e.scenario.SampleEvery
		}
	}
	return math.MaxInt64
}

// idle returns the fraction of places that are free while work waits.
func (e *evaluator) idle() float64 {
	places, free := 0, 0
	for _, sample := range e.samples[e.samplesIn(e.scenario.Warmup):e.samplesIn(e.scenario.End())] {
		waiting := false
		for _, wanted := range sample.Backlogged {
			waiting = waiting || wanted
		}
		if waiting {
			places += sample.Slots
			free += sample.FreeSlots
		}
	}
	return float64(free) / float64(max(1, places))
}
