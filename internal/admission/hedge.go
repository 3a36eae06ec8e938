package admission

import "time"

// HedgePolicy says when a second attempt beside a slow first one is worth it.
type HedgePolicy struct {
	// Factor multiplies the expected wait to give the time before a hedge.
	Factor float64
	// Minimum is the least time before a hedge.
	Minimum time.Duration
}

// DefaultHedgePolicy is what gateways use.
var DefaultHedgePolicy = HedgePolicy{Factor: 4, Minimum: 250 * time.Millisecond}

// HedgeAfter tells after how long without a first token a second attempt may
// start. It returns false when the request may not be repeated. The caller still
// takes the hedge out of what its retry budget has to spare, so that a full
// fleet, which uses the budget up, gets none.
func HedgeAfter(policy HedgePolicy, repeatable bool, expectedWait time.Duration) (time.Duration, bool) {
	if !repeatable || policy.Factor <= 0 {
		return 0, false
	}
	after := time.Duration(float64(expectedWait) * policy.Factor)
	return max(after, policy.Minimum), true
}
