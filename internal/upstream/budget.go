package upstream

import "rockwind.example/rockwind/internal/retry"

// Bounds of the retry budget.
const (
	// DefaultRetryRatio is the retries allowed per first attempt when the policy
	// sets none.
	DefaultRetryRatio = 0.1
	// retryReserve is how many retries a quiet gateway may make at once.
	retryReserve = 10
)

// NewRetryBudget returns the retry budget of one gateway.
func NewRetryBudget() *retry.Budget {
	return retry.NewBudget(retryReserve)
}
