package shares

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/simulator"
)

// judge computes figures from the samples of one run.
type judge struct {
	scenario *simulator.Scenario
	samples  []simulator.ServiceSample
}

// window sums the samples from first to before last.
type window struct {
	received []float64
	// wanting tells which groups had items waiting in every sample.
	wanting []bool
	total   float64
}

func (j *judge) window(first, last int) window {
	groups := len(j.scenario.Batch)
	summed := window{received: make([]float64, groups), wanting: make([]bool, groups)}
	for group := range groups {
		summed.wanting[group] = true
	}
	for _, sample := range j.samples[first:last] {
		for group := range groups {
			summed.received[group] += sample.Cost[group]
			summed.total += sample.Cost[group]
			summed.wanting[group] = summed.wanting[group] && sample.Backlogged[group]
		}
	}
	return summed
}

// owed is what each group is owed of a window's service: weighted max-min
// fairness, in which groups that did not want more get what they received at
// most.
func (j *judge) owed(summed window) []float64 {
	owed := make([]float64, len(summed.received))
	given := make([]bool, len(owed))
	left := summed.total
	for {
		shares := 0.0
		for group, load := range j.scenario.Batch {
			if !given[group] {
				shares += load.Share
			}
		}
		changed := false
		for group, load := range j.scenario.Batch {
			if given[group] {
				continue
			}
			owed[group] = left * load.Share / shares
			if !summed.wanting[group] && summed.received[group] < owed[group] {
				owed[group], given[group], changed = summed.received[group], true, true
				left -= owed[group]
				break
			}
		}
		if !changed {
			return owed
		}
	}
}

func (j *judge) periods(length time.Duration) int {
	return int(length / j.scenario.SampleEvery)
}

// shortfall is the largest shortfall over any window and its group.
func (j *judge) shortfall() (float64, int) {
	length := j.periods(shortfallWindow)
	largest, short := 0.0, 0
	for first := j.periods(j.scenario.Warmup); first+length <= j.periods(j.scenario.End()); first++ {
		summed := j.window(first, first+length)
		owed := j.owed(summed)
		for group := range owed {
			if !summed.wanting[group] || owed[group] <= 0 {
				continue
			}
			if lacked := 1 - summed.received[group]/owed[group]; lacked > largest {
				largest, short = lacked, group
			}
		}
	}
	return largest, short
}

// reclaim is the time from a group's return until it gets its share.
func (j *judge) reclaim(group int, returned time.Duration) time.Duration {
	length := j.periods(reclaimWindow)
	begin := j.periods(returned)
	for first := begin; first+length <= len(j.samples); first++ {
		summed := j.window(first, first+length)
		summed.wanting[group] = true
		if owed := j.owed(summed)[group]; owed > 0 && summed.received[group] >= reclaimPart*owed {
			return time.Duration(first+length-begin) * j.scenario.SampleEvery
		}
	}
	return math.MaxInt64
}

// idle is the part of the places that are free while work waits.
func (j *judge) idle() float64 {
	places, free := 0, 0
	for _, sample := range j.samples[j.periods(j.scenario.Warmup):j.periods(j.scenario.End())] {
		waits := false
		for _, wanted := range sample.Backlogged {
			waits = waits || wanted
		}
		if waits {
			places += sample.Slots
			free += sample.FreeSlots
		}
	}
	return float64(free) / float64(max(1, places))
}
