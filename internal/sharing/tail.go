package sharing

import (
	"slices"
	"time"
)

// Parameters of TailEstimator.
const (
	// tailSamples is the number of answers that are kept.
	tailSamples = 2048
	// tailMinimumSamples is the number of answers required for an estimate.
	tailMinimumSamples = 200
	// tailUpdateInterval is the number of answers between two estimates.
	tailUpdateInterval = 32
	// tailQuantile is the estimated quantile.
	tailQuantile = 0.99
)

// TailEstimator estimates the tail latency that online requests would have without batch, from the
// answers of one gateway. The zero value is ready to use. It is not safe for concurrent use.
type TailEstimator struct {
	firstTokens samples
	perTokens   samples
}

// samples is a ring buffer of the newest durations with an estimate of their quantile.
type samples struct {
	ring          []time.Duration
	next          int
	sinceEstimate int
	estimate      time.Duration
}

// RecordFirstToken records the time to a first token.
func (e *TailEstimator) RecordFirstToken(took time.Duration) {
	e.firstTokens.add(took)
}

// RecordPerToken records the mean time per token that an answer would have had without batch.
func (e *TailEstimator) RecordPerToken(mean time.Duration) {
	e.perTokens.add(mean)
}

// Target returns the estimated tail latency, or DefaultTarget while there are too few samples. The
// time per token is bounded by stepLimit, unless that is zero.
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
	s.sinceEstimate++
	if s.sinceEstimate < tailUpdateInterval || len(s.ring) < tailMinimumSamples {
		return
	}
	s.sinceEstimate = 0
	sorted := slices.Clone(s.ring)
	slices.Sort(sorted)
	s.estimate = sorted[int(tailQuantile*float64(len(sorted)))]
}
