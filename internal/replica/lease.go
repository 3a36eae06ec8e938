package replica

import "time"

// clockReading is a point in time on a machine that may be suspended.
type clockReading struct {
	// monotonic does not advance during a suspension.
	monotonic time.Time
	// suspended is the total time that the machine had been suspended.
	suspended time.Duration
}

// leaseEnd is when a lease ends; the zero value means no lease.
type leaseEnd struct {
	until clockReading
}

func (e leaseEnd) isZero() bool { return e.until.monotonic.IsZero() }

// validAt reports whether the lease is valid at a point in time. It counts the
// time suspended since the lease began, which the monotonic clock omits.
func (e leaseEnd) validAt(now clockReading) bool {
	suspended := max(0, now.suspended-e.until.suspended)
	return now.monotonic.Add(suspended).Before(e.until.monotonic)
}

// leaseClock measures leases by the clock. The Raft node counts them in ticks, which
// stop while a process is frozen or its machine suspended. A leaseClock belongs to
// one goroutine.
type leaseClock struct {
	duration time.Duration
	rounds   []heartbeatRound
}

// heartbeatRound is a heartbeat round and a time before its first message was sent.
type heartbeatRound struct {
	round uint64
	clockReading
}

// recordRound records that the messages of a round are sent after now.
func (l *leaseClock) recordRound(round uint64, now clockReading) {
	if round == 0 || (len(l.rounds) > 0 && l.rounds[len(l.rounds)-1].round >= round) {
		return
	}
	l.rounds = append(l.rounds, heartbeatRound{round: round, clockReading: now})
}

// end returns the end of the lease that a confirmed round grants.
func (l *leaseClock) end(confirmed uint64) leaseEnd {
	newest := -1
	for position, started := range l.rounds {
		if started.round > confirmed {
			break
		}
		newest = position
	}
	if newest < 0 {
		return leaseEnd{}
	}
	l.rounds = l.rounds[newest:]
	began := l.rounds[0].clockReading
	return leaseEnd{until: clockReading{monotonic: began.monotonic.Add(l.duration), suspended: began.suspended}}
}

// reset discards the rounds of an earlier leadership.
func (l *leaseClock) reset() {
	l.rounds = nil
}
