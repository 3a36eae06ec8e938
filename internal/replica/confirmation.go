package replica

import (
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/raft"
)

// maxConfirmedAge limits the age of a confirmed state. A majority usually elects a leader within
// two election timeouts, 0.6 s; routers consider their state stale 2.5 s after the last answer of a
// coordinator.
const maxConfirmedAge = time.Second

// sentPoll is the newest poll of a Ready and a time before its messages were sent.
type sentPoll struct {
	poll uint64
	clockReading
}

// pollClock measures the age of a confirmed state. Only one goroutine may use it.
type pollClock struct{ sent []sentPoll }

// record records that the messages of a poll, and of those since the last recorded one, are sent
// after now.
func (p *pollClock) record(poll uint64, now clockReading) {
	if poll != 0 && (len(p.sent) == 0 || p.sent[len(p.sent)-1].poll < poll) {
		p.sent = append(p.sent, sentPoll{poll: poll, clockReading: now})
	}
}

// sentAfter returns a time before the messages of a poll were sent, or nil if it is unknown.
func (p *pollClock) sentAfter(poll uint64) *clockReading {
	position := slices.IndexFunc(p.sent, func(sent sentPoll) bool { return sent.poll >= poll })
	if position < 0 {
		return nil
	}
	return &p.sent[position].clockReading
}

// since returns the time since an earlier reading, including suspensions.
func (c clockReading) since(earlier clockReading) time.Duration {
	return c.monotonic.Sub(earlier.monotonic) + max(0, c.suspended-earlier.suspended)
}

// confirmation returns the time as of which the applied state is confirmed, or nil if it is not.
func (o *owner) confirmation(status raft.Status) *clockReading {
	if status.ConfirmedPoll == 0 || o.applied < status.Commit {
		return nil
	}
	confirmed := o.polls.sentAfter(status.ConfirmedPoll)
	if confirmed != nil && !o.confirmationRecorded {
		o.confirmationRecorded = true
		o.recordConfirmation(status, *confirmed)
	}
	return confirmed
}

func (o *owner) recordConfirmation(status raft.Status, confirmed clockReading) {
	var confirmers []string
	for _, id := range status.Confirmers {
		confirmers = append(confirmers, strconv.FormatUint(id, 16))
	}
	decision.Default.Record(decision.StateConfirmed, strconv.FormatUint(uint64(o.id), 10), log.Fields{
		"term": status.Term, "index": status.Commit, "age_ms": o.now().since(confirmed).Milliseconds(), "voters": confirmers,
	})
}

// confirmedAge returns the age of the confirmed state, and whether there is one that may be served.
func (o *owner) confirmedAge() (time.Duration, bool) {
	confirmed := o.publishedConfirmation.Load()
	if confirmed == nil {
		return 0, false
	}
	age := o.now().since(*confirmed)
	return age, age <= maxConfirmedAge
}
