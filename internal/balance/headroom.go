package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/topology"
)

const (
	// minBatchFraction is the fraction of all slots that batch work may always use, so that online
	// work never starves it.
	minBatchFraction = 0.1
	// startPropagation is how long it may take until other processes learn of a batch start. They
	// are assumed to have started as many in that time.
	startPropagation = 50 * time.Millisecond
	// slotHandover is the maximum time until a waiting request takes the slot of a preempted batch
	// request.
	slotHandover = 60 * time.Millisecond
)

// maxPrioritizedProcesses is how many processes are assumed to start prioritized batch work at the
// same time. If all processes of a site counted, prioritized work would grow too slowly to be on
// time. With 1, processes that start at the same time would each assume that they are alone and
// overfill the servers. Of 200 items of a tenant with jobs at one of 11 processes, 123 were on time if all
// counted, and 149 with 3 (backlog.TestTenantsShareOverAllShards).
const maxPrioritizedProcesses = 3

// headroom tracks recent batch starts and preemptions of this process.
type headroom struct {
	// batchStarts are the starts that other processes may not know of yet.
	batchStarts recentTimes
	// preemptions are those whose slots the waiting requests may not have taken yet.
	preemptions recentTimes
	// handledQueue is the number of waiting requests that preemptions were already decided for.
	handledQueue handledAmount
}

// handledAmount tracks how much of a shared quantity was already acted on, so that a process
// doesn't react to it again before the digests show the effect.
type handledAmount struct {
	at     time.Duration
	amount int
}

// unhandled returns the part of an amount that was not acted on within the given time and marks it
// as handled.
func (h *handledAmount) unhandled(amount int, within, now time.Duration) int {
	if within == 0 {
		return amount
	}
	if h.amount == 0 || now-h.at >= within {
		*h = handledAmount{at: now, amount: amount}
		return amount
	}
	rest := max(0, amount-h.amount)
	h.amount += rest
	return rest
}

// reset marks the amount as not handled, for use when less was done than decided.
func (h *handledAmount) reset() { h.amount = 0 }

// recentTimes holds the times of recent occurrences, the oldest first.
type recentTimes []time.Duration

// add records that something happened the given number of times.
func (r *recentTimes) add(times int, now time.Duration) {
	for range times {
		*r = append(*r, now)
	}
}

// countWithin returns how many occurrences lie within the given time and drops older ones.
func (r *recentTimes) countWithin(within, now time.Duration) int {
	for len(*r) > 0 && now-(*r)[0] > within {
		*r = (*r)[1:]
	}
	return len(*r)
}

// usage is the load of a service's servers, summed over all processes.
type usage struct {
	// slots counts those of the usable servers.
	slots  int
	online int
	batch  int
	// orphaned is the number of orphaned requests at the usable servers, and counted the number of
	// usable servers at which they are counted.
	orphaned int
	counted  int
	// servers is the number of usable servers. reports is how many of them reported their load
	// recently, reported the sum of these loads, up to their slots, and reportedFree the sum of the
	// slots that are free there for online requests.
	servers      int
	reports      int
	reported     int
	reportedFree float64
	// slotsKnown is set if all servers report their slots, and usableSlotsKnown if all usable ones do.
	slotsKnown       bool
	usableSlotsKnown bool
	// free is how many slots of the usable servers online requests may use, including spare ones and
	// less the requests that queue at servers.
	free float64
}

// noUsage is the load of no servers.
var noUsage = usage{slotsKnown: true, usableSlotsKnown: true}

// add adds the load of a server, and its slots if it is usable.
func (u *usage) add(view serverView, usable bool) {
	u.batch += view.batch
	u.online += max(0, view.totalInflight-view.batch)
	if view.Slots == 0 {
		u.slotsKnown = false
	}
	if usable {
		u.usableSlotsKnown = u.usableSlotsKnown && view.Slots > 0
		u.free += view.freeSlots()
		u.slots += view.Slots
		u.orphaned += view.orphaned
		if view.orphansCounted {
			u.counted++
		}
		u.servers++
		if view.hasReport && view.reportAge <= reportTTL {
			u.reports++
			u.reported += min(view.reportedLoad, view.Slots)
			u.reportedFree += view.freeSlots()
		}
	}
}

// batchAt returns the number of batch requests at a server, of all processes.
func (p *Pool) batchAt(s *server) int { return s.batch + p.loads.At(s.hash).Batch }

// batchMayStart reports whether batch work may start at all, regardless of how many slots it may use: no online
// requests wait unless they are paced, and the loads of other processes are known.
func (p *Pool) batchMayStart(now time.Duration) bool {
	if !p.paced() && p.loads.At(p.queueHash).Inflight > 0 {
		return false
	}
	return p.ownBatch() < p.maxUninformedBatch(now)
}

// batchFits reports whether the service has room for one more batch request besides its online work
// and the slots reserved for others. Every process that starts batch work is assumed to have
// started as many requests recently as this one, which other processes may not know of yet. Unless
// requests are paced, no batch work starts while online requests wait, because these need preempted
// slots. Where they are paced, the online requests that wait count as online work: after a power
// loss they need all slots for seconds, and batch work would have to be preempted for them.
func (p *Pool) batchFits(demand Demand, now time.Duration, random *rand.Rand) bool {
	if !p.batchMayStart(now) {
		return false
	}
	sum := p.overviewOf(demand.Regions).usage(now)
	if !sum.slotsKnown {
		return true
	}
	part := p.partOfSlots(sum.slots, demand, now)
	waiting := int(part * float64(p.loads.At(p.queueHash).Inflight))
	least := max(1, int(minBatchFraction*float64(sum.slots)))
	if p.returning(now) {
		least = 0
	}
	budget := max(sum.slots-sum.online-waiting, least)
	processes := max(1, p.batchProcesses)
	if demand.Prioritized {
		processes = min(processes, maxPrioritizedProcesses)
	}
	elsewhere := demand.Reserved + (processes-1)*p.headroom.batchStarts.countWithin(max(startPropagation, p.maxLoadAge), now)
	left := budget - sum.batch - int(part*float64(elsewhere))
	return float64(left) > float64(processes-1)*random.Float64()
}

// SlotsScarce reports whether fewer slots of the regions of a demand are free than processes may each start a
// request in before they learn of the others' starts. Where processes are paced it is false: none then starts more than
// its share.
func (p *Pool) SlotsScarce(demand Demand, now time.Duration) bool {
	if p.paced() || p.onlineProcesses <= 1 {
		return false
	}
	sum := p.overviewOf(demand.Regions).usage(now)
	return sum.usableSlotsKnown && sum.free < float64(p.onlineProcesses)
}

// BatchSlots returns how many slots all servers in some regions offer to batch work besides the online
// requests there. Servers that are not usable at the moment count. The number is not known if a server does
// not report its slots, or if there are no servers.
func (p *Pool) BatchSlots(regions topology.RegionSet, now time.Duration) (slots int, known bool) {
	online := 0
	for _, srv := range p.servers {
		if srv == nil || !regions.Allows(srv.Region) {
			continue
		}
		if srv.Slots == 0 {
			return 0, false
		}
		view := p.viewOf(srv, now)
		slots += srv.Slots
		online += min(srv.Slots, max(0, view.totalInflight-view.batch))
	}
	least := max(1, int(minBatchFraction*float64(slots)))
	return max(slots-online, least), slots > 0
}

// ownBatch returns the number of batch requests of this process.
func (p *Pool) ownBatch() int {
	own := 0
	for _, place := range p.placesWithBatch() {
		own += p.servers[place].batch
	}
	return own
}

// SetBatchProcesses sets the number of processes that start batch work, including this one.
func (p *Pool) SetBatchProcesses(count int) { p.batchProcesses = count }

// SetMaxLoadAge sets how old the loads of other processes may be when relays pass on digests. It is
// zero where processes send each other digests directly, including the lengths of their queues.
func (p *Pool) SetMaxLoadAge(age time.Duration) { p.maxLoadAge = age }

// SetMaxRegionLoadAge sets how old the loads of processes in other regions may be. Those at a server count
// until then as what they were, so the pool acts on the excess at such a server less often.
func (p *Pool) SetMaxRegionLoadAge(age time.Duration) { p.maxRegionLoadAge = age }

// excessAge returns how old the loads may be that make up the excess at a server.
func (p *Pool) excessAge(view serverView) time.Duration {
	if view.peers.Far > 0 {
		return max(p.maxLoadAge, p.maxRegionLoadAge)
	}
	return p.maxLoadAge
}

// PreemptBatch calls visit for each server where batch requests of this process should be preempted
// for online work, with the number of requests. visit returns how many were preempted.
//
// At a server with more requests than slots, this process preempts its share of the excess. For
// online requests that wait in the queues of all processes, with waiting in this one's, it preempts
// its share of those, unless requests are paced: paced requests are sent to servers with batch work
// and don't wait for its preemption. Fractions are rounded at random, so that processes that see
// the same loads together preempt about the right number.
func (p *Pool) PreemptBatch(waiting int, now time.Duration, random *rand.Rand, visit func(server string, requests int) int) {
	for _, place := range p.placesWithBatch() {
		srv := p.servers[place]
		if srv.Slots == 0 {
			continue
		}
		view := p.viewOf(srv, now)
		excess := srv.handledExcess.unhandled(max(0, view.totalInflight-srv.Slots), p.excessAge(view), now)
		wanted := p.ownShare(excess, srv.batch, p.batchAt(srv), random)
		if p.preemptAt(srv, wanted, now, visit) < wanted {
			srv.handledExcess.reset()
		}
	}
	if !p.paced() {
		p.preemptForQueues(waiting, now, random, visit)
	}
}

// preemptForQueues preempts batch work for the online requests that wait in the queues of all
// processes; waiting is their number in the queue of this process.
func (p *Pool) preemptForQueues(waiting int, now time.Duration, random *rand.Rand, visit func(server string, requests int) int) {
	own := 0
	places := p.placesWithBatch()
	for _, place := range places {
		own += p.servers[place].batch
	}
	queued := waiting + p.loads.At(p.queueHash).Inflight
	if p.maxLoadAge == 0 {
		queued -= p.headroom.preemptions.countWithin(slotHandover, now)
	}
	left := 0
	if excess := p.headroom.handledQueue.unhandled(max(0, queued), p.maxLoadAge, now); excess > 0 && own > 0 {
		left = p.ownShare(excess, own, p.totalBatch(), random)
	}
	first := 0
	if len(p.servers) > 0 {
		first, _ = slices.BinarySearch(places, random.IntN(len(p.servers)))
	}
	for offset := range places {
		srv := p.servers[places[(first+offset)%len(places)]]
		left -= p.preemptAt(srv, min(left, srv.batch), now, visit)
	}
	if left > 0 {
		p.headroom.handledQueue.reset()
	}
}

// totalBatch returns the number of batch requests at all servers, of all processes.
func (p *Pool) totalBatch() int {
	all := 0
	for _, srv := range p.servers {
		if srv != nil {
			all += p.batchAt(srv)
		}
	}
	return all
}

// placesWithBatch returns the sorted places of the servers that run batch work of this process. It
// avoids a scan of all servers, since stores call PreemptBatch 25 times a second and use only some
// tens of up to 10,000 servers.
func (p *Pool) placesWithBatch() []int {
	p.batchPlaces = slices.DeleteFunc(p.batchPlaces, func(place int) bool {
		return p.servers[place] == nil || p.servers[place].batch == 0
	})
	return p.batchPlaces
}

// noteBatch adds a place to batchPlaces.
func (p *Pool) noteBatch(place int) {
	if at, listed := slices.BinarySearch(p.batchPlaces, place); !listed {
		p.batchPlaces = slices.Insert(p.batchPlaces, at, place)
	}
}

// ownShare returns the share of an excess that falls to the owner of own out of all requests,
// randomly rounded.
func (p *Pool) ownShare(excess, own, all int, random *rand.Rand) int {
	if excess <= 0 || own <= 0 {
		return 0
	}
	return min(own, int(float64(excess)*float64(own)/float64(all)+random.Float64()))
}

func (p *Pool) preemptAt(s *server, requests int, now time.Duration, visit func(server string, requests int) int) int {
	if requests <= 0 {
		return 0
	}
	preempted := visit(s.ID, requests)
	p.headroom.preemptions.add(preempted, now)
	return preempted
}
