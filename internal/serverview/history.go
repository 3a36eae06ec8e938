package serverview

import "time"

// historyLength is how many recent events are kept per server. A report older
// than that is corrected by no more than so many events.
const historyLength = 64

// history keeps when this gateway's last online requests to a server were sent
// and ended, to correct a report by what happened after it was taken.
type history struct {
	sent  ring
	ended ring
}

// ring holds the last times, oldest overwritten.
type ring struct {
	times [historyLength]time.Duration
	next  int
}

func (r *ring) add(at time.Duration) {
	r.times[r.next%historyLength] = at
	r.next++
}

// after counts the times later than the given one.
func (r *ring) after(at time.Duration) int {
	count := 0
	for count < min(r.next, historyLength) {
		if r.times[(r.next-1-count)%historyLength] <= at {
			break
		}
		count++
	}
	return count
}
