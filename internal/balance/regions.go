package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

// maxRegionalStates bounds the sets of regions with a state of their own. A configuration has a few;
// once there are more, all are dropped, so that those of earlier configurations do not accumulate.
const maxRegionalStates = 64

// regionalState is the state of a pool for the requests that are restricted to a set of regions: the
// sums over the servers there, and their pacing. If they were paced by the free slots of all regions,
// every process would start its share of these in the few regions that are allowed.
type regionalState struct {
	sums   summary
	pacing pacing
	// waiting counts the requests that wait in this process. hash identifies those that wait at others.
	waiting int
	hash    uint32
}

// contendedCost is the additional cost, in milliseconds of time to the first event, of a server for which
// requests with fewer allowed regions wait. It is small compared with that of a suspect server.
const contendedCost = 100.0

// stateOf returns the state of a set of regions, which must be restricted.
func (p *Pool) stateOf(regions topology.RegionSet) *regionalState {
	if known, found := p.regional[regions.Key()]; found {
		return known
	}
	if p.regional == nil || len(p.regional) >= maxRegionalStates {
		p.regional = make(map[string]*regionalState)
	}
	created := &regionalState{sums: summary{pool: p, regions: regions}, pacing: pacing{credit: minCredit}, hash: RegionsQueueHash(p.service, regions)}
	p.regional[regions.Key()] = created
	return created
}

// overviewOf returns the sums over the servers in the given regions.
func (p *Pool) overviewOf(regions topology.RegionSet) overview {
	switch {
	case !regions.Restricted():
		return p.overview()
	case p.large():
		return &p.stateOf(regions).sums
	}
	return &fullScan{pool: p, regions: regions}
}

// summaryOf returns the cached sums over the servers in the given regions.
func (p *Pool) summaryOf(regions topology.RegionSet) *summary {
	if regions.Restricted() {
		return &p.stateOf(regions).sums
	}
	return &p.summary
}

// pacingOf returns the pacing of requests that are restricted to the given regions.
func (p *Pool) pacingOf(regions topology.RegionSet) *pacing {
	if regions.Restricted() {
		return &p.stateOf(regions).pacing
	}
	return &p.pacing
}

// KnowRegions sets the sets of regions to which requests of this or other processes may be restricted.
func (p *Pool) KnowRegions(sets []topology.RegionSet) {
	for _, regions := range sets {
		p.stateOf(regions)
	}
}

// SetWaitingIn sets the numbers of online requests that wait in this process and are restricted to
// regions, by the keys of the sets. Sets that the map lacks have none.
func (p *Pool) SetWaitingIn(counts map[string]int) {
	for key, state := range p.regional {
		state.waiting = counts[key]
	}
}

// onlineShareOf returns this process's share of the free slots in the given regions, see onlineShare.
func (p *Pool) onlineShareOf(regions topology.RegionSet, now time.Duration) float64 {
	if !regions.Restricted() || !p.waitingKnown || !p.knowsLoads(now) {
		return p.onlineShare(now)
	}
	state := p.stateOf(regions)
	all := state.waiting + p.loads.At(state.hash).Inflight + p.onlineProcesses
	return float64(state.waiting+1) / float64(all)
}

// contendedRegions returns the sets of regions for which requests wait, in this or other processes, that
// have fewer regions to choose from than the demand. A demand that can use other regions should leave
// these to them: otherwise it would take each slot that becomes free there.
func (p *Pool) contendedRegions(demand Demand) []topology.RegionSet {
	var contended []topology.RegionSet
	for _, state := range p.regional {
		regions := state.sums.regions
		fewer := !demand.Regions.Restricted() || regions.Len() < demand.Regions.Len()
		if fewer && (state.waiting > 0 || p.loads.At(state.hash).Inflight > 0) {
			contended = append(contended, regions)
		}
	}
	return contended
}

// contention returns the additional cost of a server in a region, in units of costScale.
func (s *search) contention(region string) float64 {
	for _, regions := range s.contended {
		if regions.Allows(region) {
			return contendedCost / costScale
		}
	}
	return 0
}

// eachStateWith visits the states of the sets that allow a region.
func (p *Pool) eachStateWith(region string, visit func(state *regionalState)) {
	for _, state := range p.regional {
		if state.sums.regions.Allows(region) {
			visit(state)
		}
	}
}

// countStarted counts a request that this process starts in a region.
func (p *Pool) countStarted(region string, batch bool) {
	p.summary.started(batch)
	p.eachStateWith(region, func(state *regionalState) { state.sums.started(batch) })
}

// countEnded subtracts a request that has left its server in a region.
func (p *Pool) countEnded(region string, batch bool) {
	p.summary.ended(batch)
	p.eachStateWith(region, func(state *regionalState) { state.sums.ended(batch) })
}

// spendCredit spends credit for an online request that starts in a region, restricted or not.
func (p *Pool) spendCredit(region string, now time.Duration) {
	p.pacing.start(now)
	p.eachStateWith(region, func(state *regionalState) { state.pacing.start(now) })
}

// limitedCredit returns the credit for a request while the number of requests is limited, see
// limitStarts. In the regions to which the request is restricted the process may have its even part of
// the slots there.
func (p *Pool) limitedCredit(regions topology.RegionSet, now time.Duration) float64 {
	if !regions.Restricted() {
		return p.pacing.credit
	}
	sum := p.overviewOf(regions).usage(now)
	orphaned := p.assumedOrphaned * p.partOfSlots(sum.slots, Demand{Regions: regions}, now)
	inflight := 0
	for _, srv := range p.servers {
		if srv != nil && regions.Allows(srv.Region) {
			inflight += srv.inflight - srv.batch
		}
	}
	return min(p.pacing.credit, (float64(sum.slots)-orphaned)/float64(p.onlineProcesses)-float64(inflight))
}

// refundCredit returns the credit of an online request that has freed its slot in a region.
func (p *Pool) refundCredit(region string) {
	p.pacing.refund()
	p.eachStateWith(region, func(state *regionalState) { state.pacing.refund() })
}

// invalidateSums forces a recomputation of all sums after a change of members.
func (p *Pool) invalidateSums() {
	p.summary.invalidate()
	for _, state := range p.regional {
		state.sums.invalidate()
	}
}

// allowedAt reports whether a place is in the given regions. Unless these are restricted, vacant
// places are too.
func (p *Pool) allowedAt(place int, regions topology.RegionSet) bool {
	return !regions.Restricted() || (p.servers[place] != nil && regions.Allows(p.servers[place].Region))
}

// partOfSlots returns the fraction of all slots that a number of slots in the allowed regions is. Callers
// use it for reserved slots and starts in all regions, which are assumed to be spread evenly.
func (p *Pool) partOfSlots(slots int, demand Demand, now time.Duration) float64 {
	if !demand.Regions.Restricted() {
		return 1
	}
	return float64(slots) / max(1, float64(p.overview().usage(now).slots))
}

// Reachable reports whether any server that the demand allows, apart from those already tried, may
// answer.
func (p *Pool) Reachable(demand Demand, tried []string, now time.Duration) bool {
	for place, srv := range p.servers {
		if srv == nil || !demand.allows(srv.Member) || slices.Contains(tried, srv.ID) {
			continue
		}
		if state, _ := p.tracker.State(place, now); !srv.lost(state) {
			return true
		}
	}
	return false
}

// lost reports whether a server in the given state of health can't be reached: it was replaced or
// ejected, or it neither answers nor reports to the directory. Ejection alone does not suffice, because
// the fraction of servers that may be ejected is bounded and all servers of a region may be lost at once.
func (s *server) lost(state health.State) bool {
	return s.replaced || state == health.Ejected || (s.Silent && state == health.Suspect)
}

// BatchIn returns the number of batch requests in the given regions, of all processes.
func (p *Pool) BatchIn(regions topology.RegionSet) int {
	batch := 0
	for _, srv := range p.servers {
		if srv != nil && regions.Allows(srv.Region) {
			batch += p.batchAt(srv)
		}
	}
	return batch
}

// Waiting is a number of waiting requests that are restricted to the same regions.
type Waiting struct {
	Regions topology.RegionSet
	Count   int
}

// EquivalentAhead converts the requests ahead of one that is restricted to the given regions to the
// number of requests, restricted to these regions alone, behind which it would wait as long. It
// assumes that all slots become free at the same rate, and that each request goes to the region with the
// shortest queue among its own.
func (p *Pool) EquivalentAhead(regions topology.RegionSet, ahead []Waiting) int {
	queues := p.regionQueues()
	// Requests with fewer slots to choose from are assigned first.
	ordered := slices.Clone(ahead)
	slices.SortStableFunc(ordered, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(queues.slots(a.Regions), queues.slots(b.Regions)), cmp.Compare(a.Regions.Key(), b.Regions.Key()))
	})
	for _, each := range ordered {
		queues.add(each)
	}
	return int(math.Round(queues.shortest(regions) * queues.slots(regions)))
}

// regionQueue is the queue that the servers of a region are expected to process.
type regionQueue struct {
	region string
	slots  float64
	// perSlot is the number of requests for each slot.
	perSlot float64
}

type regionQueues []*regionQueue

// regionQueues returns an empty queue for each region with slots.
func (p *Pool) regionQueues() regionQueues {
	byRegion := make(map[string]*regionQueue)
	var queues regionQueues
	for _, srv := range p.servers {
		if srv == nil || srv.Slots == 0 {
			continue
		}
		if byRegion[srv.Region] == nil {
			byRegion[srv.Region] = &regionQueue{region: srv.Region}
			queues = append(queues, byRegion[srv.Region])
		}
		byRegion[srv.Region].slots += float64(srv.Slots)
	}
	return queues
}

// in returns the queues of the given regions, the shortest first.
func (q regionQueues) in(regions topology.RegionSet) regionQueues {
	var allowed regionQueues
	for _, each := range q {
		if regions.Allows(each.region) {
			allowed = append(allowed, each)
		}
	}
	slices.SortStableFunc(allowed, func(a, b *regionQueue) int { return cmp.Compare(a.perSlot, b.perSlot) })
	return allowed
}

func (q regionQueues) slots(regions topology.RegionSet) float64 {
	slots := 0.0
	for _, each := range q.in(regions) {
		slots += each.slots
	}
	return slots
}

// shortest returns the requests for each slot of the shortest queue in the given regions.
func (q regionQueues) shortest(regions topology.RegionSet) float64 {
	if allowed := q.in(regions); len(allowed) > 0 {
		return allowed[0].perSlot
	}
	return 0
}

// add adds requests to the shortest queues that they may use, which become equally long.
func (q regionQueues) add(waiting Waiting) {
	allowed := q.in(waiting.Regions)
	rest, slots := float64(waiting.Count), 0.0
	for i, each := range allowed {
		slots += each.slots
		level := each.perSlot + rest/slots
		if i+1 < len(allowed) && level > allowed[i+1].perSlot {
			// Fill the queues so far up to the next longer one.
			rest -= (allowed[i+1].perSlot - each.perSlot) * slots
			for _, filled := range allowed[:i+1] {
				filled.perSlot = allowed[i+1].perSlot
			}
			continue
		}
		for _, filled := range allowed[:i+1] {
			filled.perSlot = level
		}
		return
	}
}
