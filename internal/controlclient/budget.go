package controlclient

import "sync"

const (
	// retryRatio is the part of a retry that each call earns.
	retryRatio = 0.2
	// retryReserve is how many retries may be spent in a burst.
	retryReserve = 50
)

// budget bounds retries as a part of the calls, so that a failure of the
// control machines does not multiply the traffic to them.
type budget struct {
	mutex  sync.Mutex
	tokens float64
}

func newBudget() *budget {
	return &budget{tokens: retryReserve}
}

// earn is called once a call.
func (b *budget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryReserve)
}

// spend takes one retry and tells whether there was one.
func (b *budget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
