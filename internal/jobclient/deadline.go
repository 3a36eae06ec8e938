package jobclient

import "time"

const (
	// maxSilence is how long a call continues after the last response of any store, in addition to
	// the requested wait. This process may be partitioned from the stores, and another router may
	// reach them.
	maxSilence = 2500 * time.Millisecond
	// maxCallDuration bounds a call while stores respond but none of them leads, in addition to
	// the requested wait. It is much longer than an election on overloaded machines.
	maxCallDuration = 10 * time.Second
	// shutdownCallTimeout is how long a call continues after the shutdown of this process has
	// begun. It is shorter than the 4.3 s after which connections are closed with a grace period
	// of 8 s.
	shutdownCallTimeout = 2500 * time.Millisecond
	// initialRetryDelay is the delay between attempts for the duration of a normal election, and
	// laterRetryDelay the delay after that, so that many waiting calls do not load the stores.
	initialRetryDelay = 25 * time.Millisecond
	laterRetryDelay   = 100 * time.Millisecond
	initialRetryPhase = time.Second
)

// callDeadline determines when a call ends without a result. The context of the call may end
// before.
type callDeadline struct {
	startedAt time.Time
	// lastResponse is when a store last responded.
	lastResponse time.Time
	wait         time.Duration
	// latest is when the call ends at the latest.
	latest time.Time
}

// newCallDeadline returns the deadline of a call that starts now and requests a wait.
func newCallDeadline(now time.Time, wait time.Duration) callDeadline {
	return callDeadline{startedAt: now, lastResponse: now, wait: wait, latest: now.Add(maxCallDuration + wait)}
}

// recordResponse notes a response of a store, including one that says that it does not lead.
func (d *callDeadline) recordResponse(now time.Time) { d.lastResponse = now }

// beginShutdown notes that this process is shutting down.
func (d *callDeadline) beginShutdown(now time.Time) {
	if end := now.Add(shutdownCallTimeout); end.Before(d.latest) {
		d.latest = end
	}
}

// at returns when the call ends if there is no further response.
func (d callDeadline) at() time.Time {
	if silenceEnd := d.lastResponse.Add(maxSilence + d.wait); silenceEnd.Before(d.latest) {
		return silenceEnd
	}
	return d.latest
}

// retryDelay returns the delay between attempts.
func (d callDeadline) retryDelay(now time.Time) time.Duration {
	if now.Sub(d.startedAt) >= d.wait+initialRetryPhase {
		return laterRetryDelay
	}
	return initialRetryDelay
}
