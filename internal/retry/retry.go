// Package retry holds what callers that repeat calls have in common: a budget
// that bounds retries to a part of the first attempts, and a pause that ends
// with its context.
package retry

import (
	"context"
	"sync"
	"time"
)

// Budget bounds retries to a part of the first attempts, so that a failure
// never multiplies the traffic. It is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	tokens  float64
	reserve float64
}

// NewBudget returns a budget that holds its whole reserve: the retries that
// may be made at once after a quiet time.
func NewBudget(reserve float64) *Budget {
	return &Budget{tokens: reserve, reserve: reserve}
}

// Deposit counts a first attempt; ratio is the retries allowed per attempt.
func (b *Budget) Deposit(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+ratio, b.reserve)
}

// Withdraw takes one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WithdrawSpare takes one attempt that is not needed, such as a hedge, and
// reports whether there was one. It leaves half of the reserve to retries.
func (b *Budget) WithdrawSpare() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < max(1, b.reserve/2) {
		return false
	}
	b.tokens--
	return true
}

// Pause waits for a duration and reports whether the context still lasts.
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
