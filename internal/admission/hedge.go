package admission

import "time"

// HedgePolicy says when a slow first attempt is hedged by a second one.
type HedgePolicy struct {
	// Factor multiplies the expected wait to give the delay of a hedge.
	Factor float64
	// Minimum is the least delay of a hedge.
	Minimum time.Duration
}

// DefaultHedgePolicy is the policy of gateways.
var DefaultHedgePolicy = HedgePolicy{Factor: 4, Minimum: 250 * time.Millisecond}

// HedgeAfter returns how long to wait for a first token before a second attempt may start. It
// returns false if the request may not be repeated. The caller takes the hedge out of the spare
// part of its retry budget, so that an overloaded fleet makes no hedges.
func HedgeAfter(policy HedgePolicy, repeatable bool, expectedWait time.Duration) (time.Duration, bool) {
	if !repeatable || policy.Factor <= 0 {
		return 0, false
	}
	after := time.Duration(float64(expectedWait) * policy.Factor)
	return max(after, policy.Minimum), true
}
