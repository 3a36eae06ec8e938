package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leastUse is the part of all slots that batch work may use however much online
	// work there is, so that it never starves.
	leastUse = 0.1
	// unseenFor is how long a start of batch work may be unknown to other processes;
	// they are taken to have started as much in that time.
	unseenFor = 50 * time.Millisecond
	// settleTime is how long it takes at most until a request that waits has the slot of
	// a batch request that gave way.
	settleTime = 60 * time.Millisecond
)

// firstRivals is how many processes at a time are taken to start batch work to which the others
// leave their slots. Where all 11 of a site count, a tenant with jobs at one of them had 123 of 200
// items on time, with three 149 (backlog.TestTenantsShareOverAllShards). At most three runs were
// beyond 88 slots, nine with other heaps; with half of the digests lost 37, as where all 11 count.
// With one, where many runs end at once, each of several takes itself for the only one.
const firstRivals = 3

// headroom remembers the batch work that this process started lately, and what gave way.
type headroom struct {
	// starts are those that other processes may not know of yet.
	starts recent
	// gave holds what left slots that may be counted as taken by those who wait for them.
	gave recent
	// queued is how many waiting requests were given way to already.
	queued settled
}

// settled remembers what was decided about a quantity that others see too, so that it is
// decided once and not again at each look until the digests show what came of it.
type settled struct {
	at     time.Duration
	amount int
}

// rest is the part of an amount that was not decided about within the given time. It
// counts as decided then.
func (s *settled) rest(amount int, within, now time.Duration) int {
	if within == 0 {
		return amount
	}
	if s.amount == 0 || now-s.at >= within {
		*s = settled{at: now, amount: amount}
		return amount
	}
	rest := max(0, amount-s.amount)
	s.amount += rest
	return rest
}

// reopen has the amount decided about again: less was done than was decided.
func (s *settled) reopen() { s.amount = 0 }

// recent holds when things happened, the oldest first.
type recent []time.Duration

// add notes that something happened so many times.
func (r *recent) add(times int, now time.Duration) {
	for range times {
		*r = append(*r, now)
	}
}

// count is how many things happened within the given time. What is older is forgotten.
func (r *recent) count(within, now time.Duration) int {
	for len(*r) > 0 && now-(*r)[0] > within {
		*r = (*r)[1:]
	}
	return len(*r)
}

// usage is what a service's servers have in hand, of all processes.
type usage struct {
	// slots are those of the servers that take requests.
	slots  int
	online int
	batch  int
	// limited tells that all servers say their slots.
	limited bool
}

// add counts what a server has in hand, and its slots where it is taken to answer.
func (u *usage) add(seen sight, usable bool) {
	u.batch += seen.batch
	u.online += max(0, seen.counted-seen.batch)
	if seen.Slots == 0 {
		u.limited = false
	}
	if usable {
		u.slots += seen.Slots
	}
}

// batchAt is how much batch work a server has, of all processes.
func (p *Pool) batchAt(s *server) int { return s.batch + p.shares.At(s.hash).Batch }

// batchFits tells whether the service as a whole has room for one more batch request beside the
// online work of the moment and the slots that it leaves to others. What this process started a
// moment ago counts for each process that starts batch work: those may have started as much, but
// where they leave their slots to this one. Where requests that wait have the slots of batch work
// only once that gives way, none starts while they do.
func (p *Pool) batchFits(demand Demand, now time.Duration, random *rand.Rand) bool {
	if !p.paced() && p.shares.At(p.queue).Inflight > 0 {
		return false
	}
	sum := p.overview().usage(now)
	if !sum.limited {
		return true
	}
	budget := max(sum.slots-sum.online, int(leastUse*float64(sum.slots)), 1)
	rivals := max(1, p.batchProcesses)
	if demand.Prioritized {
		rivals = min(rivals, firstRivals)
	}
	left := budget - sum.batch - demand.Reserved - (rivals-1)*p.headroom.starts.count(max(unseenFor, p.viewAge), now)
	return float64(left) > float64(rivals-1)*random.Float64()
}

// SetBatchProcesses tells how many processes start batch work, this one included.
func (p *Pool) SetBatchProcesses(count int) { p.batchProcesses = count }

// SetMaxLoadAge tells how old the loads of other processes may be where digests go by relays;
// zero where all processes tell each other at once what others wait for.
func (p *Pool) SetMaxLoadAge(age time.Duration) { p.viewAge = age }

// PreemptBatch tells at which servers this process has batch work that should give way to online
// work, and how much of it. At a server with more requests than slots that is its share of
// what is too much; for online requests that wait in the queues of all processes, waiting
// of them in this one's, it is its share of those. Requests that are paced are sent to servers
// with batch work and do not wait for it to give way. A part of a request is drawn by chance,
// so that processes that see the same do neither nothing nor all. The visitor returns how
// many gave way.
func (p *Pool) PreemptBatch(waiting int, now time.Duration, random *rand.Rand, visit func(server string, requests int) int) {
	for _, place := range p.withBatch() {
		each := p.servers[place]
		if each.Slots == 0 {
			continue
		}
		excess := each.excess.rest(max(0, p.see(each, now).counted-each.Slots), p.viewAge, now)
		wanted := p.share(excess, each.batch, p.batchAt(each), random)
		if p.yieldAt(each, wanted, now, visit) < wanted {
			each.excess.reopen()
		}
	}
	if !p.paced() {
		p.yieldToQueues(waiting, now, random, visit)
	}
}

// yieldToQueues gives way to the online requests that wait in the queues of all processes,
// waiting of them in this one's.
func (p *Pool) yieldToQueues(waiting int, now time.Duration, random *rand.Rand, visit func(server string, requests int) int) {
	own := 0
	places := p.withBatch()
	for _, place := range places {
		own += p.servers[place].batch
	}
	queued := waiting + p.shares.At(p.queue).Inflight
	if p.viewAge == 0 {
		queued -= p.headroom.gave.count(settleTime, now)
	}
	left := 0
	if excess := p.headroom.queued.rest(max(0, queued), p.viewAge, now); excess > 0 && own > 0 {
		left = p.share(excess, own, p.allBatch(), random)
	}
	first := 0
	if len(p.servers) > 0 {
		first, _ = slices.BinarySearch(places, random.IntN(len(p.servers)))
	}
	for offset := range places {
		each := p.servers[places[(first+offset)%len(places)]]
		left -= p.yieldAt(each, min(left, each.batch), now, visit)
	}
	if left > 0 {
		p.headroom.queued.reopen()
	}
}

// allBatch is how much batch work all servers have, of all processes.
func (p *Pool) allBatch() int {
	all := 0
	for _, each := range p.servers {
		if each != nil {
			all += p.batchAt(each)
		}
	}
	return all
}

// withBatch lists the places of the servers that have batch work of this process, in order: a store
// looks at them 25 times a second, and of 10,000 servers it uses some tens.
func (p *Pool) withBatch() []int {
	p.batchPlaces = slices.DeleteFunc(p.batchPlaces, func(place int) bool {
		return p.servers[place] == nil || p.servers[place].batch == 0
	})
	return p.batchPlaces
}

// noteBatch notes that the server at a place has batch work of this process.
func (p *Pool) noteBatch(place int) {
	if at, listed := slices.BinarySearch(p.batchPlaces, place); !listed {
		p.batchPlaces = slices.Insert(p.batchPlaces, at, place)
	}
}

// share is the part of an excess that falls to whoever has own of all.
func (p *Pool) share(excess, own, all int, random *rand.Rand) int {
	if excess <= 0 || own <= 0 {
		return 0
	}
	return min(own, int(float64(excess)*float64(own)/float64(all)+random.Float64()))
}

func (p *Pool) yieldAt(s *server, requests int, now time.Duration, visit func(server string, requests int) int) int {
	if requests <= 0 {
		return 0
	}
	gave := visit(s.ID, requests)
	p.headroom.gave.add(gave, now)
	return gave
}
