// Package retryafter handles clients that retry after a refusal. It determines when a client made
// its first attempt, and when refused clients are to retry. Under overload each refused client
// is given a different time at which capacity is expected, and then goes before clients that
// started later. Its latency objective still counts from the first attempt: a retry after that is
// late and goes after requests that can still meet theirs.
//
// The package has no clock: times are arguments.
package retryafter

import (
	"slices"
	"time"
)

const (
	// firstAttemptFraction is the least part of its timeout that a first attempt has left; the
	// rest is time spent on the network.
	firstAttemptFraction = 0.97
	// maxPendingRetries bounds the pending retries that are tracked: as many as one router expects
	// within a few seconds of heavy overload, at some 50 a second.
	maxPendingRetries = 256
)

// FirstAttempt returns when a client with the given total timeout made its first attempt, from
// the time remaining when the present one was received. An attempt with nearly the whole timeout
// left, or without one, is a first attempt.
func FirstAttempt(received time.Time, timeout, remaining time.Duration) time.Time {
	if IsFirstAttempt(timeout, remaining) {
		return received
	}
	return received.Add(remaining - timeout)
}

// IsFirstAttempt reports whether an attempt with some of a total timeout remaining is the client's
// first one.
func IsFirstAttempt(timeout, remaining time.Duration) bool {
	return remaining <= 0 || remaining >= time.Duration(firstAttemptFraction*float64(timeout))
}

// Rate is the rate at which servers become free.
type Rate struct {
	slots   int
	holding time.Duration
}

// NewRate returns the rate of servers that together run a number of requests at once, each for the
// given holding time.
func NewRate(slots int, holding time.Duration) Rate { return Rate{slots: slots, holding: holding} }

// EstimateWait returns how long a request waits behind a number of others. It is zero where the
// servers do not report how many requests they run.
func (r Rate) EstimateWait(ahead int) time.Duration {
	if r.slots == 0 {
		return 0
	}
	return time.Duration(float64(r.holding) * float64(ahead+1) / float64(r.slots))
}

// PendingRetries holds the times at which clients were advised to retry. They count as waiting
// requests until then, so that the next client is given a later time. The zero value is empty. It
// is not safe for concurrent use.
type PendingRetries struct {
	due []time.Time
}

// Add records that a client was advised to retry at a time.
func (p *PendingRetries) Add(due time.Time) {
	if len(p.due) == maxPendingRetries {
		p.due = p.due[1:]
	}
	p.due = append(p.due, due)
}

// Count returns how many retries are still due.
func (p *PendingRetries) Count(now time.Time) int {
	p.due = slices.DeleteFunc(p.due, func(due time.Time) bool { return !due.After(now) })
	return len(p.due)
}
