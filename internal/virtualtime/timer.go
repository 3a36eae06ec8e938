package virtualtime

import "time"

// Timer is the next time at which an engine has to be advanced. An earlier time replaces a
// later one. The zero value is not set.
type Timer struct {
	set bool
	at  time.Duration
}

// Set has the queue wake the engine at a time, or now where that has passed. It does nothing
// if the timer is already set for that time or an earlier one.
func (t *Timer) Set(queue *Queue, at time.Duration, engine int) {
	at = max(at, queue.Now())
	if t.set && at >= t.at {
		return
	}
	t.set, t.at = true, at
	queue.Wake(at, engine)
}

// Fire reports whether the timer is set for exactly now, and clears it if so. It returns false for
// wake-ups whose time was replaced by an earlier one.
func (t *Timer) Fire(now time.Duration) bool {
	if !t.set || t.at != now {
		return false
	}
	t.set = false
	return true
}
