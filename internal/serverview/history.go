package serverview

import "time"

// historyLength is the number of recent events kept per server. Corrections of
// older reports are limited to that many events.
const historyLength = 64

// requestHistory records when this gateway's most recent online requests to a
// server were sent and ended, to correct a report by what happened after it was
// taken.
type requestHistory struct {
	sent  ring
	ended ring
}

// ring is a ring buffer of the most recent times.
type ring struct {
	times [historyLength]time.Duration
	next  int
}

func (r *ring) add(at time.Duration) {
	r.times[r.next%historyLength] = at
	r.next++
}

// countAfter returns the number of times later than at.
func (r *ring) countAfter(at time.Duration) int {
	count := 0
	for count < min(r.next, historyLength) {
		if r.times[(r.next-1-count)%historyLength] <= at {
			break
		}
		count++
	}
	return count
}
