package replica

import "time"

// moment is a time as a machine measures it that may be suspended.
type moment struct {
	// at has a reading of the steady clock, which stands still during a suspension.
	at time.Time
	// suspended is how long the machine has been suspended by then.
	suspended time.Duration
}

// leaseEnd is when a lease ends; the zero value is no lease.
type leaseEnd struct {
	until moment
}

// none tells whether there is no lease.
func (e leaseEnd) none() bool { return e.until.at.IsZero() }

// after tells whether the lease still holds at a moment. A suspension since it was made
// counts, though the steady clock does not show it.
func (e leaseEnd) after(now moment) bool {
	suspended := max(0, now.suspended-e.until.suspended)
	return now.at.Add(suspended).Before(e.until.at)
}

// leaseClock checks by clocks what the core counts in ticks, since ticks stand still while a
// process is frozen or its machine suspended. It belongs to one goroutine.
type leaseClock struct {
	duration time.Duration
	noted    []notedRound
}

// notedRound is a moment before any message of a heartbeat round was sent.
type notedRound struct {
	round uint64
	moment
}

// note remembers that the messages of a round leave after now.
func (l *leaseClock) note(round uint64, now moment) {
	if round == 0 || (len(l.noted) > 0 && l.noted[len(l.noted)-1].round >= round) {
		return
	}
	l.noted = append(l.noted, notedRound{round: round, moment: now})
}

// end returns when the lease ends that rests on a confirmed round.
func (l *leaseClock) end(confirmed uint64) leaseEnd {
	newest := -1
	for position, noted := range l.noted {
		if noted.round > confirmed {
			break
		}
		newest = position
	}
	if newest < 0 {
		return leaseEnd{}
	}
	l.noted = l.noted[newest:]
	began := l.noted[0].moment
	return leaseEnd{until: moment{at: began.at.Add(l.duration), suspended: began.suspended}}
}

// reset forgets the rounds of an earlier leadership.
func (l *leaseClock) reset() {
	l.noted = nil
}
