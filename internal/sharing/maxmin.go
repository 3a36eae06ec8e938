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

// maxMinShares divides amount by weight with weighted max-min fairness: no claim gets more than its
// demand while another one's demand is not met.
func maxMinShares(claims []claim, amount float64) []float64 {
	amounts := make([]float64, len(claims))
	satisfied := make([]bool, len(claims))
	remaining := amount
	for {
		weights := unsatisfiedWeight(claims, satisfied)
		if weights <= 0 || remaining <= 0 {
			return amounts
		}
		level := remaining / weights
		progressed := false
		for index, claim := range claims {
			if satisfied[index] || claim.demand > claim.weight*level {
				continue
			}
			satisfied[index] = true
			progressed = true
			amounts[index] = claim.demand
			remaining -= claim.demand
		}
		if progressed {
			continue
		}
		for index, claim := range claims {
			if !satisfied[index] {
				amounts[index] = claim.weight * level
			}
		}
		return amounts
	}
}

func unsatisfiedWeight(claims []claim, satisfied []bool) float64 {
	sum := 0.0
	for index, claim := range claims {
		if !satisfied[index] {
			sum += claim.weight
		}
	}
	return sum
}

// fractionsByWeight returns fractions that are proportional to the weights and sum to one.
func fractionsByWeight(claims []claim) []float64 {
	fractions := make([]float64, len(claims))
	total := 0.0
	for _, claim := range claims {
		total += claim.weight
	}
	for index, claim := range claims {
		fractions[index] = 1 / float64(len(claims))
		if total > 0 {
			fractions[index] = claim.weight / total
		}
	}
	return fractions
}

// decayFactor returns the factor of an exponential decay with a half-life over a period.
func decayFactor(period, halfLife time.Duration) float64 {
	return math.Exp2(-float64(period) / float64(halfLife))
}
