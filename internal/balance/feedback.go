package balance

import (
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// LoadReport is the load that a server reports with an answer.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work currently takes at the server, as a multiple of its usual duration; zero
	// if it is not reported.
	Pace float64
}

// RecordReport records a server's load report.
func (p *Pool) RecordReport(id string, report LoadReport, now time.Duration) {
	srv := p.find(id)
	if srv == nil {
		return
	}
	srv.reportedLoad, srv.reportedAt, srv.inflightDelta, srv.hasReport = report.Running+report.Waiting, now, 0, true
	if report.Slots > 0 {
		srv.Slots = report.Slots
	}
	if p.paces != nil {
		p.paces.RecordReport(p.place(id), report.Pace, now)
	}
}

// RecordFirstEvent records that the first event of a request arrived or that it never will. The
// request's prompt tokens no longer count as unread.
func (p *Pool) RecordFirstEvent(choice Choice, arrived bool, now time.Duration) {
	place := p.place(choice.ID)
	if place < 0 {
		return
	}
	srv := p.servers[place]
	srv.unread = max(0, srv.unread-choice.Uncached)
	p.tracker.RecordFirstToken(place, arrived, now)
}

// RecordOutcome records the end of an exchange. Latency is the time to the response headers; zero
// if there were none.
func (p *Pool) RecordOutcome(choice Choice, outcome health.Outcome, latency, now time.Duration, random *rand.Rand) {
	p.release(choice)
	place := p.place(choice.ID)
	if place < 0 {
		return
	}
	srv := p.servers[place]
	if choice.Trial && choice.Batch {
		srv.batchTrialFailed = outcome == health.Failure || outcome == health.Timeout
	}
	switch {
	case outcome == health.Refused && choice.Trial && choice.Batch:
		srv.fullUntil = now + refusedTrialBackoff
	case outcome == health.Refused:
		srv.fullUntil = now + fullBackoff
	case outcome == health.Success && !choice.Batch:
		p.recordFreedSlot(srv, place, now)
	}
	p.tracker.Record(place, outcome, latency, now, random)
}

// RecordReplaced records the end of an exchange in which a different server answered at the
// address. The chosen server is gone for good, even if the directory still lists it.
func (p *Pool) RecordReplaced(choice Choice) {
	p.release(choice)
	if srv := p.find(choice.ID); srv != nil {
		srv.replaced = true
	}
}

// Abandon records the end of an exchange that says nothing about the server.
func (p *Pool) Abandon(choice Choice) {
	p.release(choice)
	if place := p.place(choice.ID); place >= 0 {
		p.tracker.AbandonTrial(place)
	}
}

// release subtracts a request from the counts of its server, which may have left the pool.
func (p *Pool) release(choice Choice) {
	if !choice.Batch {
		p.refundCredit(choice.Region)
		p.onlineInflight--
		if choice.Late {
			p.lateInflight--
		}
	}
	srv := p.find(choice.ID)
	if srv == nil {
		return
	}
	srv.inflight = max(0, srv.inflight-1)
	srv.inflightDelta--
	p.countEnded(choice.Region, choice.Batch)
	if choice.Batch {
		srv.batch = max(0, srv.batch-1)
	}
}

// Evaluate updates the time-dependent health states. Call it a few times a second.
func (p *Pool) Evaluate(now time.Duration, random *rand.Rand) {
	p.tracker.Evaluate(now, random)
	p.findEjected(now)
	if p.startLimited {
		// Without further requests nothing else would notice the end of the limit.
		p.limitStarts(now)
	}
	// Unless servers report their pace, choices don't use the remembered one.
	if !p.usesPace(now) {
		return
	}
	for place, srv := range p.servers {
		if srv != nil {
			p.paces.Remember(place, p.loads.PaceAt(srv.hash), now)
		}
	}
}
