package sharing

import (
	"slices"
	"time"
)

// Sizes of a TailEstimator.
const (
	// tailSamples is the number of answers that are remembered.
	tailSamples = 2048
	// tailMinimum is the number of answers from which an estimate is given.
	tailMinimum = 200
	// tailEvery is the number of answers between two estimates.
	tailEvery = 32
	// tailQuantile is the quantile that is kept.
	tailQuantile = 0.99
)

// TailEstimator estimates the tail that online requests would have without
// batch, from the answers of one gateway. The zero value has seen none. One
// goroutine owns it.
type TailEstimator struct {
	firstTokens samples
	perTokens   samples
}

// samples is a ring of the newest durations with a quantile of them.
type samples struct {
	ring     []time.Duration
	next     int
	since    int
	estimate time.Duration
}

// RecordFirstToken records the time to a first token.
func (e *TailEstimator) RecordFirstToken(took time.Duration) {
	e.firstTokens.add(took)
}

// RecordPerToken records the mean time per token that an answer would have had
// without batch.
func (e *TailEstimator) RecordPerToken(mean time.Duration) {
	e.perTokens.add(mean)
}

// Target returns the tail to keep: what was estimated, or DefaultTarget while too
// little was seen. The time per token is at most stepLimit, where that is not
// zero.
func (e *TailEstimator) Target(stepLimit time.Duration) Target {
	target := DefaultTarget
	if e.firstTokens.estimate > 0 {
		target.FirstToken = e.firstTokens.estimate
	}
	if e.perTokens.estimate > 0 {
		target.PerToken = e.perTokens.estimate
	}
	if stepLimit > 0 {
		target.PerToken = min(target.PerToken, stepLimit)
	}
	return target
}

func (s *samples) add(sample time.Duration) {
	if len(s.ring) < tailSamples {
		s.ring = append(s.ring, sample)
	} else {
		s.ring[s.next] = sample
	}
	s.next = (s.next + 1) % tailSamples
	s.since++
	if s.since < tailEvery || len(s.ring) < tailMinimum {
		return
	}
	s.since = 0
	sorted := slices.Clone(s.ring)
	slices.Sort(sorted)
	s.estimate = sorted[int(tailQuantile*float64(len(sorted)))]
}
