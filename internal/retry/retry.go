// Package retry provides a budget that bounds retries to a fraction of the first attempts, and a
// pause that ends with its context.
package retry

import (
	"context"
	"sync"
	"time"
)

// Budget bounds retries to a fraction of the first attempts, so that a failure never multiplies the
// traffic. It is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	tokens  float64
	reserve float64
}

// NewBudget returns a budget with a full reserve: the retries that may be made at once after an idle
// time.
func NewBudget(reserve float64) *Budget {
	return &Budget{tokens: reserve, reserve: reserve}
}

// Deposit counts a first attempt. The ratio is the number of retries allowed per attempt.
func (b *Budget) Deposit(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+ratio, b.reserve)
}

// Withdraw takes one retry out of the budget and reports whether it was available.
func (b *Budget) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WithdrawSpare takes one optional attempt, such as a hedge, and reports whether it was available. It
// leaves half of the reserve for retries.
func (b *Budget) WithdrawSpare() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < max(1, b.reserve/2) {
		return false
	}
	b.tokens--
	return true
}

// Pause waits for a duration. It returns false if the context ends first.
func Pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
