package sharing

import (
	"math"
	"time"
)

// claim is a weighted claim on a capacity, bounded by demand.
type claim struct {
	weight float64
	demand float64
}

// fillAmounts splits amount by weight so that nobody gets more than its demand
// while another's demand is unmet: weighted max-min fairness.
func fillAmounts(claims []claim, amount float64) []float64 {
	got := make([]float64, len(claims))
	full := make([]bool, len(claims))
	left := amount
	for {
		weights := openWeight(claims, full)
		if weights <= 0 || left <= 0 {
			return got
		}
		level := left / weights
		filled := false
		for index, claim := range claims {
			if full[index] || claim.demand > claim.weight*level {
				continue
			}
			full[index] = true
			filled = true
			got[index] = claim.demand
			left -= claim.demand
		}
		if filled {
			continue
		}
		for index, claim := range claims {
			if !full[index] {
				got[index] = claim.weight * level
			}
		}
		return got
	}
}

func openWeight(claims []claim, full []bool) float64 {
	sum := 0.0
	for index, claim := range claims {
		if !full[index] {
			sum += claim.weight
		}
	}
	return sum
}

// partsOf returns parts that sum to one, by weight.
func partsOf(claims []claim) []float64 {
	parts := make([]float64, len(claims))
	all := 0.0
	for _, claim := range claims {
		all += claim.weight
	}
	for index, claim := range claims {
		parts[index] = 1 / float64(len(claims))
		if all > 0 {
			parts[index] = claim.weight / all
		}
	}
	return parts
}

// halved is the factor of a decay with a half-life over a period.
func halved(period, halfLife time.Duration) float64 {
	return math.Exp2(-float64(period) / float64(halfLife))
}
