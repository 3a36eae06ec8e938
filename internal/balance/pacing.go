package balance

import "time"

const (
	// minCredit is the initial credit and the lower bound of the credit limit, so that a process may
	// always start some requests at once.
	minCredit = 2.0
	// spareShare is the fraction of all slots that online requests may queue for at busy servers. It
	// lets a process that has ended no requests start some while all servers are busy.
	spareShare = 0.01
	// excessAges is in how many maximum ages of loads an excess of requests at servers is taken off.
	excessAges = 2
	// lateWeight is the weight of a late request in the shares of the free slots, except after a restart.
	// A late answer is worth a small part of one in time.
	lateWeight = 0.1
	// timelyReserve is the part of a process's even share of the slots that late requests leave to
	// those that can meet their objective. Without it late ones take each slot as soon as it is free,
	// and a request that arrives next has to wait for one of the few of its process.
	timelyReserve = 0.1
)

// pacing limits how many online requests a process starts when the loads of other processes are
// outdated. All processes see the same free slots; if each of them filled these, requests would
// queue there while recently freed slots stay empty. A process may therefore start as many requests
// as it ends, plus its share of the free slots: in proportion to its queue if that is known, else
// an equal share.
type pacing struct {
	credit float64
	at     time.Duration
	// starts are the recent starts for which no request has ended since. The loads of other
	// processes do not show how many these have started meanwhile.
	starts recentTimes
}

// earn adds the process's share of the free slots for the time since the last call. If more requests
// are at the servers than these have slots, its share of the excess is taken off at half that rate,
// as the loads show the effect only later, but not below least. Otherwise processes that reuse the
// slots that they freed would keep queues at servers as long as requests wait.
func (p *pacing) earn(share, excess, least float64, maxLoadAge, now time.Duration) {
	most := max(minCredit, share)
	elapsed := float64(min(maxLoadAge, now-p.at)) / float64(maxLoadAge)
	p.credit = min(most, p.credit+max(0, share)*elapsed)
	if excess > 0 {
		p.credit = max(min(least, p.credit), p.credit-excess*elapsed/excessAges)
	}
	p.at = now
}

// leastCredit returns the credit that an excess leaves to this process: it may always have some
// requests at servers.
func (p *Pool) leastCredit() float64 { return max(0, minCredit-float64(p.onlineInflight)) }

// start takes the credit of a request.
func (p *pacing) start(now time.Duration) {
	p.credit--
	p.starts.add(1, now)
}

// refund returns the credit of a request that has freed its slot.
func (p *pacing) refund() {
	p.credit++
	if len(p.starts) > 0 {
		p.starts = p.starts[:len(p.starts)-1]
	}
}

// unseenStarts estimates how many slots the other processes have taken that their loads do not show
// yet: as many as this one by their shares of the free slots.
func (p *pacing) unseenStarts(share float64, maxLoadAge, now time.Duration) float64 {
	return float64(p.starts.countWithin(maxLoadAge, now)) * (1/share - 1)
}

// SetOnlineProcesses sets the number of processes that start online requests, including this one.
func (p *Pool) SetOnlineProcesses(count int) { p.onlineProcesses = count }

// SetWaiting sets the number of online requests that wait in this process, and how many of them can
// still meet their objective. Its share of the free slots depends on both from then on.
func (p *Pool) SetWaiting(count, timely int) {
	p.waiting, p.timely, p.waitingKnown = count, timely, true
}

// SetExpectedTimely sets how many requests that can meet their objective this process is expected to have
// at servers at a time, from their rate of arrival. Late requests leave it that many slots after a restart.
func (p *Pool) SetExpectedTimely(requests float64) { p.expectedTimely = requests }

// onlineShare returns this process's share of the free slots, in proportion to its waiting
// requests, of which late ones count little, and not at all after a restart. Each process counts as having one request more than it
// reports, so that the shares sum up to 1 and are equal while nothing waits. They are also equal
// while this process does not know how many requests wait elsewhere: beside an unknown queue, its
// own would give it most of the slots. With 50 routers before servers at 0.8 of their capacity, 0.999 of the
// requests are in time, and 0.732 without shares (fairshare.TestFloodOfOneTenantDoesNotMakeOthersLate).
func (p *Pool) onlineShare(now time.Duration) float64 {
	if !p.waitingKnown || !p.knowsLoads(now) {
		return 1 / float64(p.onlineProcesses)
	}
	late := lateWeight
	if p.recovering(now) {
		// Late requests leave the free slots to those in time. With a share of them, processes that have only late
		// ones would hold credit that they may not use while others have requests in time and no credit.
		late = 0
	}
	own := queueWeight(p.waiting, p.timely, late)
	elsewhere := queueWeight(p.loads.At(p.queueHash).Inflight, p.loads.At(p.timelyHash).Inflight, late)
	return (own + 1) / (own + elsewhere + float64(p.onlineProcesses))
}

// queueWeight returns the weight of a queue in the shares of the free slots, given that of a late request.
func queueWeight(waiting, timely int, late float64) float64 {
	return float64(timely) + late*float64(max(0, waiting-timely))
}

// paced reports whether online requests are paced, which is the case if the loads of other
// processes are outdated and others start online requests too.
func (p *Pool) paced() bool { return p.maxLoadAge > 0 && p.onlineProcesses > 1 }

// Paced reports whether this process is limited to its share of the free slots, which
// Demand.Overcommit exceeds.
func (p *Pool) Paced() bool { return p.paced() }

// overcommit returns how many slots a request may use beyond this process's share and beyond those
// of a server. Such a request waits at the server for the next slot that any request frees there.
func (p *Pool) overcommit(demand Demand) int {
	if demand.Overcommit && p.paced() {
		return 1
	}
	return 0
}

// mayStart reports whether this process may start another online request now.
func (p *Pool) mayStart(demand Demand, now time.Duration) bool {
	switch p.limitStarts(now) {
	case limited:
		if demand.Late && !p.leavesToTimely(now) {
			return false
		}
		return p.hasCredit(p.limitedCredit(demand.Regions, now), demand, p.overviewOf(demand.Regions).usage(now))
	case unlimited:
		return true
	}
	if demand.Late && p.recovering(now) && !p.leavesToTimely(now) {
		return false
	}
	if !p.paced() {
		return true
	}
	sum := p.overviewOf(demand.Regions).usage(now)
	if !sum.usableSlotsKnown {
		return true
	}
	pacing, share := p.pacingOf(demand.Regions), p.onlineShareOf(demand.Regions, now)
	if !p.recovering(now) {
		pacing.earn(sum.free*share, 0, 0, p.maxLoadAge, now)
		return p.hasCredit(pacing.credit, demand, sum)
	}
	orphaned := p.remainingOrphaned(sum, now) * p.partOfSlots(sum.slots, demand, now)
	unseen := pacing.unseenStarts(share, p.maxLoadAge, now)
	pacing.earn((sum.free-orphaned-unseen)*share, (sum.excess()+orphaned)*share, p.leastCredit(), p.maxLoadAge, now)
	return p.hasCredit(pacing.credit, demand, sum)
}

// hasCredit reports whether a credit suffices for a request, given the load of the servers.
func (p *Pool) hasCredit(credit float64, demand Demand, sum usage) bool {
	needed := 1.0
	if demand.Late {
		needed += min(1, timelyReserve*float64(sum.slots)/float64(p.onlineProcesses))
	}
	return credit+float64(p.overcommit(demand)) >= needed
}

// freeSlots returns how many slots online requests may use, including spare ones and less the
// requests that queue at the server.
func (s serverView) freeSlots() float64 { return float64(s.Slots)*(1+spareShare) - float64(s.online) }

// excess returns how many online requests exceed the slots, including spare ones. It is negative
// while slots are free. Unlike the free slots it does not consider the loads that servers report:
// the higher one of two loads with errors is too high on average, and slots would stay empty.
func (u usage) excess() float64 { return float64(u.online) - float64(u.slots)*(1+spareShare) }
