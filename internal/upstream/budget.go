package upstream

import (
	"sync"
)

// Bounds of the retry budget.
const (
	// DefaultRetryRatio is the retries allowed per first attempt when the policy
	// sets none.
	DefaultRetryRatio = 0.1
	// retryReserve is how many retries a quiet gateway may make at once.
	retryReserve = 20
)

// Budget bounds retries to a part of the first attempts, so that a failure
// never multiplies the traffic. It is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget() *Budget {
	return &Budget{tokens: retryReserve}
}

// Deposit counts a first attempt; ratio is the retries allowed per attempt.
func (b *Budget) Deposit(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+ratio, retryReserve)
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
