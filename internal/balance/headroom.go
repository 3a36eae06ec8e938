package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// calmUse and urgentUse are the parts of all slots of a service up to which batch
	// work fills them beside the online work of the moment: calm batch work, and
	// batch work that is about to be late. Online work that comes later takes its
	// place back, see Yield.
	calmUse   = 0.85
	urgentUse = 0.95
	// leastUse is the part of all slots that batch work may use however much online
	// work there is, so that it never starves.
	leastUse = 0.1
	// unseenFor is how long a start of batch work may be unknown to other processes;
	// they are taken to have started as much in that time.
	unseenFor = 200 * time.Millisecond
	// spareSlots is how many slots of a server batch work leaves to the next online
	// requests.
	spareSlots = 1
)

// headroom remembers the batch work that this process started lately.
type headroom struct{ starts []time.Duration }

// started notes a start of batch work.
func (h *headroom) started(now time.Duration) { h.starts = append(h.starts, now) }

// unseen is how many starts other processes may not know of yet.
func (h *headroom) unseen(now time.Duration) int {
	for len(h.starts) > 0 && now-h.starts[0] > unseenFor {
		h.starts = h.starts[1:]
	}
	return len(h.starts)
}

// batchBudget is how many batch requests a service with so many slots may have.
func batchBudget(slots, online int, urgency float64) int {
	use := calmUse + urgency*(urgentUse-calmUse)
	return max(int(use*float64(slots))-online, int(leastUse*float64(slots)), 1)
}

// usage is what a service's servers have in hand, of all processes.
type usage struct {
	slots  int
	online int
	batch  int
}

// usage sums up the load of the servers that take requests. A server that does not
// say its slots has no limit.
func (p *Pool) usage(now time.Duration) (sum usage, limited bool) {
	limited = true
	for place, each := range p.servers {
		if each == nil {
			continue
		}
		batch := p.batchAt(each)
		sum.batch += batch
		sum.online += max(0, p.load(each, now)-batch)
		if each.Slots == 0 {
			limited = false
		}
		if p.usable(place, now) {
			sum.slots += each.Slots
		}
	}
	return sum, limited
}

// batchAt is how much batch work a server has, of all processes.
func (p *Pool) batchAt(s *server) int { return s.batch + p.shares.At(s.hash).Batch }

// batchFits tells whether the service as a whole has room for one more batch
// request.
func (p *Pool) batchFits(demand Demand, now time.Duration) bool {
	sum, limited := p.usage(now)
	return !limited || sum.batch+p.headroom.unseen(now) < batchBudget(sum.slots, sum.online, demand.Urgency)
}

// Yield tells at which servers this process has batch work that should give way to
// online work, and how much of it: at a server without spare slots, its share of
// what is too much. A part of a request is drawn by chance, so that processes that
// see the same do neither nothing nor all.
func (p *Pool) Yield(now time.Duration, random *rand.Rand, visit func(server string, requests int)) {
	for _, each := range p.servers {
		if each == nil || each.batch == 0 || each.Slots == 0 {
			continue
		}
		excess := p.load(each, now) - (each.Slots - spareSlots)
		if excess <= 0 {
			continue
		}
		share := float64(excess) * float64(each.batch) / float64(p.batchAt(each))
		requests := min(each.batch, int(share+random.Float64()))
		if requests > 0 {
			visit(each.ID, requests)
		}
	}
}
