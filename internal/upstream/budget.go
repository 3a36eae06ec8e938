package upstream

import "rockwind.example/rockwind/internal/retry"

// Parameters of the retry budget.
const (
	// DefaultRetryRatio is the number of retries per first attempt if the policy sets
	// none.
	DefaultRetryRatio = 0.1
	// retryReserve is how many retries may be made in a burst.
	retryReserve = 10
)

// NewRetryBudget returns the retry budget of one gateway.
func NewRetryBudget() *retry.Budget {
	return retry.NewBudget(retryReserve)
}
