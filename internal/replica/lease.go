package replica

import "time"

// leaseClock checks by a monotonic clock what the core counts in ticks, since
// ticks stand still while a process is frozen. It belongs to one goroutine.
type leaseClock struct {
	duration time.Duration
	noted    []notedRound
}

// notedRound is a time before any message of a heartbeat round was sent.
type notedRound struct {
	round uint64
	at    time.Time
}

// note remembers that the messages of a round leave after now.
func (l *leaseClock) note(round uint64, now time.Time) {
	if round == 0 || (len(l.noted) > 0 && l.noted[len(l.noted)-1].round >= round) {
		return
	}
	l.noted = append(l.noted, notedRound{round: round, at: now})
}

// until returns when the lease ends that rests on a confirmed round, and the
// zero time where there is none.
func (l *leaseClock) until(confirmed uint64) time.Time {
	newest := -1
	for position, noted := range l.noted {
		if noted.round > confirmed {
			break
		}
		newest = position
	}
	if newest < 0 {
		return time.Time{}
	}
	l.noted = l.noted[newest:]
	return l.noted[0].at.Add(l.duration)
}

// reset forgets the rounds of an earlier leadership.
func (l *leaseClock) reset() {
	l.noted = nil
}
