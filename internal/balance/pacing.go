package balance

import "time"

const (
	// minCredit is the initial credit and the lower bound of the credit limit, so that a process may
	// always start some requests at once.
	minCredit = 2.0
	// spareShare is the fraction of all slots that online requests may queue for at busy servers. It
	// lets a process that has ended no requests start some while all servers are busy.
	spareShare = 0.01
)

// pacing limits how many online requests a process starts when the loads of other processes are
// outdated. All processes see the same free slots; if each of them filled these, requests would
// queue there while recently freed slots stay empty. A process may therefore start as many requests
// as it ends, plus its share of the free slots: in proportion to its queue if that is known, else
// an equal share.
type pacing struct {
	credit float64
	at     time.Duration
}

// earn adds the process's share of the free slots for the time since the last call.
func (p *pacing) earn(share float64, maxLoadAge, now time.Duration) {
	most := max(minCredit, share)
	elapsed := min(maxLoadAge, now-p.at)
	p.credit = min(most, p.credit+max(0, share)*float64(elapsed)/float64(maxLoadAge))
	p.at = now
}

// refund returns the credit of a request that has freed its slot.
func (p *pacing) refund() { p.credit++ }

// SetOnlineProcesses sets the number of processes that start online requests, including this one.
func (p *Pool) SetOnlineProcesses(count int) { p.onlineProcesses = count }

// SetWaiting sets the number of online requests that wait in this process. Its share of the free
// slots depends on it from then on.
func (p *Pool) SetWaiting(count int) { p.waiting, p.waitingKnown = count, true }

// onlineShare returns this process's share of the free slots, in proportion to its waiting
// requests. Each process counts as having one request more than it reports, so that the shares sum
// up to 1 and are equal while nothing waits.
func (p *Pool) onlineShare() float64 {
	if !p.waitingKnown {
		return 1 / float64(p.onlineProcesses)
	}
	all := p.waiting + p.loads.At(p.queueHash).Inflight + p.onlineProcesses
	return float64(p.waiting+1) / float64(all)
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
	if !p.paced() {
		return true
	}
	free, slotsKnown := p.overview().freeSlots(now)
	if !slotsKnown {
		return true
	}
	p.pacing.earn(free*p.onlineShare(), p.maxLoadAge, now)
	return p.pacing.credit+float64(p.overcommit(demand)) >= 1
}

// freeSlots returns how many slots online requests may use, including spare ones and less the
// requests that queue at the server.
func (s serverView) freeSlots() float64 { return float64(s.Slots)*(1+spareShare) - float64(s.online) }
