package virtualtime

import "time"

// Timer is the next time at which an engine has to be advanced. An earlier time replaces a
// later one. The zero value is not set.
type Timer struct {
	set bool
	at  time.Duration
}

// Set has the queue wake the engine at a time, or now where that has passed. It does nothing
// where the alarm is set for that time or an earlier one.
func (a *Timer) Set(queue *Queue, at time.Duration, engine int) {
	at = max(at, queue.Now())
	if a.set && at >= a.at {
		return
	}
	a.set, a.at = true, at
	queue.Wake(at, engine)
}

// Fire tells whether a wake-up that comes now is the one that the alarm is set for, and
// clears it then. Those that an earlier one has replaced are passed over.
func (a *Timer) Fire(now time.Duration) bool {
	if !a.set || a.at != now {
		return false
	}
	a.set = false
	return true
}
