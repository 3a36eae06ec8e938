// Package returning decides about clients that come back after a refusal: since when they
// have been asking, and when those that are refused for want of room are to come back. It
// answers a time with too little room, in which more ask than can be served: who is refused
// is told a time at which there is room, each another one, and goes before those who began
// to ask later. Its time to be answered counts from its first try all the same: who comes back
// after that, though as told, is late, and goes after those who can be in time.
//
// The package is pure: time is an argument.
package returning

import (
	"slices"
	"time"
)

const (
	// wholePart is the part of its time that a client has at least which asks for the first
	// time: the rest is its way here.
	wholePart = 0.97
	// mostPromised bounds the promises that are held: as many as come back to one router
	// within a few seconds of the hardest floods, some 50 a second.
	mostPromised = 256
)

// FirstAttempt is since when a client has been asking that waits so long in all, and whose try was
// received at a time with so much of that left. One that asks for the first time has nearly
// all of it, and one that says nothing of its time is taken for such.
func FirstAttempt(received time.Time, whole, left time.Duration) time.Time {
	if IsFirstAttempt(whole, left) {
		return received
	}
	return received.Add(left - whole)
}

// IsFirstAttempt tells whether a client that waits so long in all, with so much of that left, asks
// for the first time.
func IsFirstAttempt(whole, left time.Duration) bool {
	return left <= 0 || left >= time.Duration(wholePart*float64(whole))
}

// Rate is how fast servers become free.
type Rate struct {
	slots   int
	holding time.Duration
}

// NewRate returns the room of servers that together run so many requests at once, each for as
// long as holding.
func NewRate(slots int, holding time.Duration) Rate { return Rate{slots: slots, holding: holding} }

// EstimateWait is when a request gets room that has so many others before it. It is zero where the
// servers do not say how many requests they run.
func (r Rate) EstimateWait(ahead int) time.Duration {
	if r.slots == 0 {
		return 0
	}
	return time.Duration(float64(r.holding) * float64(ahead+1) / float64(r.slots))
}

// PendingRetries are the times at which clients were told to come back. They count as requests
// that wait until then, so that the next one is told a later time and finds room that was
// not promised to another. The zero value has made none. It belongs to one goroutine at a
// time.
type PendingRetries struct {
	due []time.Time
}

// Add notes that a client was told to come back at a time.
func (p *PendingRetries) Add(due time.Time) {
	if len(p.due) == mostPromised {
		p.due = p.due[1:]
	}
	p.due = append(p.due, due)
}

// Count is how many clients have not come back yet by what they were told.
func (p *PendingRetries) Count(now time.Time) int {
	p.due = slices.DeleteFunc(p.due, func(due time.Time) bool { return !due.After(now) })
	return len(p.due)
}
