package admission

import "time"

// RetryBudget bounds retries and hedges as a part of first attempts, so that a
// failure never multiplies traffic. It is a token bucket filled by first
// attempts. One goroutine owns it.
type RetryBudget struct {
	// Ratio is the retries earned by one first attempt, for example 0.1.
	Ratio float64
	// Burst is the largest number of retries that can be saved up.
	Burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Burst: burst, tokens: burst}
}

// FirstAttempt records a first attempt.
func (b *RetryBudget) FirstAttempt() {
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
}

// TryRetry takes one retry out of the budget and tells whether there was one.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// HedgePolicy says when a second attempt beside a slow first one is worth it.
type HedgePolicy struct {
	// Factor multiplies the expected wait to give the time before a hedge.
	Factor float64
	// Minimum is the least time before a hedge.
	Minimum time.Duration
	// MaximumLoad is the fleet's online load, between 0 and 1, above which no
	// hedge is sent.
	MaximumLoad float64
}

// DefaultHedgePolicy is what gateways use.
var DefaultHedgePolicy = HedgePolicy{Factor: 4, Minimum: 100 * time.Millisecond, MaximumLoad: 0.7}

// HedgeAfter tells after how long without a first token a second attempt may
// start. It returns false when the request may not be repeated or the fleet has
// no room. The caller still takes the hedge out of its RetryBudget.
func HedgeAfter(policy HedgePolicy, repeatable bool, expectedWait time.Duration, load float64) (time.Duration, bool) {
	if !repeatable || load > policy.MaximumLoad {
		return 0, false
	}
	after := time.Duration(float64(expectedWait) * policy.Factor)
	return max(after, policy.Minimum), true
}
