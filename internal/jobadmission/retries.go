package jobadmission

import (
	"slices"
	"time"
)

// maxRetries bounds the refused jobs that are tracked. A region refuses fewer within the seconds until they
// are submitted again.
const maxRetries = 1024

// Retries holds the refused jobs that are expected to be submitted again. They use room that would
// otherwise be promised to the next refused job as well. The zero value is empty. It is not safe for
// concurrent use.
type Retries struct{ expected []retry }

type retry struct {
	at   time.Time
	work time.Duration
}

// Add records that a job with a sum of run times is expected again at a time.
func (r *Retries) Add(at time.Time, work time.Duration) {
	if len(r.expected) == maxRetries {
		r.expected = r.expected[1:]
	}
	r.expected = append(r.expected, retry{at: at, work: work})
}

// Ahead returns the sum of the run times of the jobs that are still expected.
func (r *Retries) Ahead(now time.Time) time.Duration {
	r.expected = slices.DeleteFunc(r.expected, func(each retry) bool { return !each.at.After(now) })
	sum := time.Duration(0)
	for _, each := range r.expected {
		sum += each.work
	}
	return sum
}
