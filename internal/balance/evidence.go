package balance

import (
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// LoadReport is what a server told of its load with an answer.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there at the moment, as a multiple of what is usual at
	// that server; zero where it does not say.
	Pace float64
}

// RecordReport takes what a server told.
func (p *Pool) RecordReport(id string, load LoadReport, now time.Duration) {
	known := p.find(id)
	if known == nil {
		return
	}
	known.told, known.toldAt, known.since, known.known = load.Running+load.Waiting, now, 0, true
	if load.Slots > 0 {
		known.Slots = load.Slots
	}
	if p.pacer != nil {
		p.pacer.RecordReport(p.place(id), load.Pace, now)
	}
}

// RecordFirstEvent tells that the first event of a request came, or that it never will. The
// prompt tokens that the choice counted are no longer awaited.
func (p *Pool) RecordFirstEvent(choice Choice, came bool, now time.Duration) {
	place := p.place(choice.ID)
	if place < 0 {
		return
	}
	known := p.servers[place]
	known.unread = max(0, known.unread-choice.Uncached)
	p.tracker.FirstToken(place, came, now)
}

// RecordOutcome takes the end of an exchange. Latency is the time to the answer's head;
// zero where there was none.
func (p *Pool) RecordOutcome(choice Choice, outcome health.Outcome, latency, now time.Duration, random *rand.Rand) {
	p.release(choice)
	place := p.place(choice.ID)
	if place < 0 {
		return
	}
	known := p.servers[place]
	switch {
	case outcome == health.Refused:
		known.fullUntil = now + fullFor
	case outcome == health.Success && !choice.Batch:
		p.vacate(known, place, now)
	}
	p.tracker.Record(place, outcome, latency, now, random)
}

// RecordReplaced takes the end of an exchange in which another server answered at the address: the
// chosen one has ended for good, whatever the directory still says.
func (p *Pool) RecordReplaced(choice Choice) {
	p.release(choice)
	if known := p.find(choice.ID); known != nil {
		known.gone = true
	}
}

// Abandon takes the end of an exchange that says nothing of the server.
func (p *Pool) Abandon(choice Choice) {
	p.release(choice)
}

// release takes a request off the counts of its server, which may have left the pool.
func (p *Pool) release(choice Choice) {
	if !choice.Batch {
		p.pacing.ended()
	}
	known := p.find(choice.ID)
	if known == nil {
		return
	}
	known.inflight = max(0, known.inflight-1)
	known.since--
	p.summary.ended(choice.Batch)
	if choice.Batch {
		known.batch = max(0, known.batch-1)
	}
}

// Evaluate runs the judgements that depend on time. Call it a few times a second.
func (p *Pool) Evaluate(now time.Duration, random *rand.Rand) {
	p.tracker.Evaluate(now, random)
	p.findEjected(now)
	if !p.informed(now) {
		// No server tells its pace, and no choice goes by what would be remembered.
		return
	}
	for place, each := range p.servers {
		if each != nil {
			p.pacer.Remember(place, p.shares.PaceAt(each.hash), now)
		}
	}
}
