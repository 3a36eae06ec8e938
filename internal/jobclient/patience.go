package jobclient

import "time"

const (
	// silentCall is how long a call goes on after the last word of any store, beyond what it
	// waits by design: this process may be cut off from the stores, and its caller is better
	// served by another router.
	silentCall = 2500 * time.Millisecond
	// longestCall bounds a call while stores answer and none of them leads, beyond the same.
	// An election takes 0.3 to 0.6 s; with the processors three times as busy as they can be
	// it took more than 2.5 s, and there is no use in an end while the caller still waits.
	longestCall = 10 * time.Second
	// leavingCall is how long a call goes on once this process leaves: it is to be answered
	// before its connection is cut, 4.3 s later with a grace of 8 s.
	leavingCall = 2500 * time.Millisecond
	// earlyPause is the time between attempts, and latePause once a call has lasted longer than
	// elections take in calm times: callers that wait together must not take the time of the stores.
	earlyPause = 25 * time.Millisecond
	latePause  = 100 * time.Millisecond
	lateAfter  = time.Second
)

// patience is how long a call goes on without an answer that ends it. Callers that can't wait
// as long end it before.
type patience struct {
	began time.Time
	// heard is when a store last said anything.
	heard time.Time
	wait  time.Duration
	// ends is when the call is given up at the latest.
	ends time.Time
}

// newPatience returns the patience of a call that begins now and waits by design.
func newPatience(now time.Time, wait time.Duration) patience {
	return patience{began: now, heard: now, wait: wait, ends: now.Add(longestCall + wait)}
}

// spoke notes a word of a store, also one that it does not lead.
func (p *patience) spoke(now time.Time) { p.heard = now }

// leave notes that this process leaves.
func (p *patience) leave(now time.Time) {
	if ends := now.Add(leavingCall); ends.Before(p.ends) {
		p.ends = ends
	}
}

// until is when the call is given up if nothing more is heard.
func (p patience) until() time.Time {
	if silent := p.heard.Add(silentCall + p.wait); silent.Before(p.ends) {
		return silent
	}
	return p.ends
}

// pause is the time between attempts.
func (p patience) pause(now time.Time) time.Duration {
	if now.Sub(p.began) >= p.wait+lateAfter {
		return latePause
	}
	return earlyPause
}
