package retryafter

import "time"

const (
	// commonFraction is the part of a route's attempts from which a reported time is taken for a
	// client timeout that first attempts use, and commonMinCount the least number of these
	// attempts. The remaining times of retries are spread over hundreds of milliseconds, so none
	// of them has even a hundredth of the attempts.
	commonFraction = 1.0 / 32
	commonMinCount = 4
	// generationSize is the number of attempts after which older counts start to expire. A timeout
	// that clients no longer use is forgotten within seconds.
	generationSize = 256
	// maxValues bounds the distinct times that are counted in a generation.
	maxValues = 64
)

// TimeoutEstimator learns the total timeouts of a route's clients, in milliseconds, from the few
// values that first attempts repeat. Neither the route's own limit nor one constant would do to
// recognize retries: clients don't follow changes of limits, and their timeouts differ. The zero
// value is ready to use. It is not safe for concurrent use.
type TimeoutEstimator struct {
	current, previous generation
}

// generation counts attempts by their remaining time.
type generation struct {
	counts   map[int64]int
	attempts int
}

// Observe records the remaining time of one attempt.
func (e *TimeoutEstimator) Observe(remaining time.Duration) {
	if e.current.attempts == generationSize {
		e.previous, e.current = e.current, generation{}
	}
	if e.current.counts == nil {
		e.current.counts = make(map[int64]int)
	}
	e.current.attempts++
	value := remaining.Milliseconds()
	if e.current.counts[value] > 0 || len(e.current.counts) < maxValues {
		e.current.counts[value]++
	}
}

// Estimate returns the total timeout of a client that has some time remaining: the shortest
// common timeout that is not shorter, or else the remaining time itself.
func (e *TimeoutEstimator) Estimate(remaining time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, counts := range []map[int64]int{e.current.counts, e.previous.counts} {
		for value := range counts {
			timeout := time.Duration(value) * time.Millisecond
			if timeout >= remaining.Truncate(time.Millisecond) && e.isCommon(value) && (shortest == 0 || timeout < shortest) {
				shortest = timeout
			}
		}
	}
	return max(remaining, shortest)
}

func (e *TimeoutEstimator) isCommon(value int64) bool {
	seen := e.current.counts[value] + e.previous.counts[value]
	return seen >= commonMinCount && float64(seen) >= commonFraction*float64(e.current.attempts+e.previous.attempts)
}
