package returning

import "time"

const (
	// usualPart is the part of a route's tries that tell the same deadline from which it is
	// one with which clients ask for the first time, and usualLeast the least number of
	// tries. What clients have left that come back is spread over the hundreds of
	// milliseconds at which they were refused and told to come, so that no such time has a
	// hundredth of the tries even in a flood.
	usualPart  = 1.0 / 32
	usualLeast = 4
	// generationTries is after how many tries what was learned before begins to be forgotten:
	// a deadline that clients do not use any more is for as many as they make in seconds.
	generationTries = 256
	// mostValues bounds the deadlines that are counted in a generation.
	mostValues = 64
)

// TimeoutEstimator learns how long the clients of a route wait in all, by the millisecond: those that
// ask for the first time tell the same few times again and again. It answers that neither a
// route's own limit nor one time for all says who has come back: limits are changed under
// clients that know nothing of it, and clients differ in how long they wait. The zero value
// knows nothing. It belongs to one goroutine at a time.
type TimeoutEstimator struct {
	current, previous generation
}

// generation counts tries by the deadline that they told.
type generation struct {
	counts map[int64]int
	tries  int
}

// Observe takes the deadline of one try.
func (d *TimeoutEstimator) Observe(left time.Duration) {
	if d.current.tries == generationTries {
		d.previous, d.current = d.current, generation{}
	}
	if d.current.counts == nil {
		d.current.counts = make(map[int64]int)
	}
	d.current.tries++
	value := left.Milliseconds()
	if d.current.counts[value] > 0 || len(d.current.counts) < mostValues {
		d.current.counts[value]++
	}
}

// Estimate is how long a client waits in all that has so much of its time left: the shortest usual
// time that is not shorter, or what is left itself where there is none.
func (d *TimeoutEstimator) Estimate(left time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, counts := range []map[int64]int{d.current.counts, d.previous.counts} {
		for value := range counts {
			whole := time.Duration(value) * time.Millisecond
			if whole >= left.Truncate(time.Millisecond) && d.usual(value) && (shortest == 0 || whole < shortest) {
				shortest = whole
			}
		}
	}
	return max(left, shortest)
}

func (d *TimeoutEstimator) usual(value int64) bool {
	seen := d.current.counts[value] + d.previous.counts[value]
	return seen >= usualLeast && float64(seen) >= usualPart*float64(d.current.tries+d.previous.tries)
}
