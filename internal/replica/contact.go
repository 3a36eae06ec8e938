package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// contact records the calls to one machine. It is safe for concurrent use.
type contact struct {
	mutex sync.Mutex
	// began is when the call in progress began, or zero.
	began time.Time
	// answered is when the last response arrived, and took the duration of that call.
	answered time.Time
	took     time.Duration
	// failed counts the calls without a response.
	failed int
}

func (c *contact) begin(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.began = now
}

func (c *contact) end(now time.Time, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.failed++
	} else {
		c.answered, c.took = now, now.Sub(c.began)
	}
	c.began = time.Time{}
}

// describe returns the age and the duration of the last answered call, the age of the one in progress and
// the number of failed calls.
func (c *contact) describe(now time.Time) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	text := "no response yet"
	if !c.answered.IsZero() {
		text = fmt.Sprintf("response %d ms ago after %d ms", now.Sub(c.answered).Milliseconds(), c.took.Milliseconds())
	}
	if !c.began.IsZero() {
		text += fmt.Sprintf(", waiting for %d ms", now.Sub(c.began).Milliseconds())
	}
	return fmt.Sprintf("%s, %d failed", text, c.failed)
}

// sendRecorded makes a call and records it.
func (p *peer) sendRecorded(ctx context.Context, request *rockwindpb.SendRequest) (*rockwindpb.SendResponse, error) {
	p.contact.begin(time.Now())
	response, err := p.client.Send(ctx, request)
	p.contact.end(time.Now(), err)
	return response, err
}

// tickDelayLogInterval is the shortest time between two log records of delayed ticks.
const tickDelayLogInterval = time.Second

// tickDelays records how much later than planned the latest ticks were: the time in which the process did
// not run. It is safe for concurrent use.
type tickDelays struct {
	mutex  sync.Mutex
	latest []time.Duration
	// unlogged is the longest delay since the last log record, which was written at loggedAt.
	unlogged time.Duration
	loggedAt time.Time
}

// add records the delay of a tick, keeps the given number of delays, and logs delays from threshold on.
func (d *tickDelays) add(now time.Time, delay time.Duration, kept int, threshold time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.latest = append(d.latest, max(0, delay))
	d.latest = d.latest[max(0, len(d.latest)-kept):]
	d.unlogged = max(d.unlogged, delay)
	if d.unlogged >= threshold && now.Sub(d.loggedAt) >= tickDelayLogInterval {
		log.WithField("longest_ms", d.unlogged.Milliseconds()).Warn("ticks of the groups were delayed")
		d.unlogged, d.loggedAt = 0, now
	}
}

// longest returns the longest of the latest delays.
func (d *tickDelays) longest() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.latest) == 0 {
		return 0
	}
	return slices.Max(d.latest)
}

// logLostContact logs what is known of the other members after this replica gave up its leadership because a
// quorum did not reply. It distinguishes stalls of this process, slow writes, and members that do not respond.
func (o *owner) logLostContact(status raft.Status) {
	now := time.Now()
	var members []string
	for _, member := range status.Membership.GetMembers() {
		if member.GetId() != status.ID {
			calls := o.host.transport.peer(o.host.routeTo(member)).contact.describe(now)
			members = append(members, member.GetMachine()+": "+calls)
		}
	}
	log.WithFields(log.Fields{
		"group": o.id, "term": status.Term, "members": members,
		"tick_delay_ms": o.host.tickDelays.longest().Milliseconds(), "write_ms": o.host.writer.writeAge(now).Milliseconds(),
	}).Warn("leadership was lost without a quorum")
}
