package balance

import (
	"time"

	"rockwind.example/rockwind/internal/health"
)

// PaceEstimator estimates how long work takes at the servers of one service, as a multiple of what
// is usual among them. Servers are known by their places in the pool.
type PaceEstimator interface {
	// Resize changes the number of places, and Forget makes a place that of a new server.
	Resize(places int)
	Forget(place int)
	// RecordReport takes the pace that a server told with an answer.
	RecordReport(place int, pace float64, now time.Duration)
	// RecordRun takes how a run of this process went.
	RecordRun(place int, run RunSample, now time.Duration)
	// HasReports tells whether servers of the service tell their pace. Where none does, the
	// estimates are not used.
	HasReports(now time.Duration) bool
	// CurrentPace is the estimate for the moment, given what the other processes tell of the server,
	// and Speed the one for seconds.
	CurrentPace(place int, others SharedPace, now time.Duration) float64
	LongTermPace(place int, others SharedPace, now time.Duration) float64
	// OwnPace is what this process tells the others of a server.
	OwnPace(place int, now time.Duration) SharedPace
	// Remember keeps what is known of a server's own speed for when nothing more is heard of
	// it. Call it for each server about once a second.
	Remember(place int, others SharedPace, now time.Duration)
}

// RunSample is a piece of a run as the process that relays it saw it.
type RunSample struct {
	// EventInterval is the mean time between two events.
	EventInterval time.Duration
	// Concurrency is how many requests the server was taken to have when the run began, this one
	// included.
	Concurrency int
	// ReportedPace is the pace that the server told with the answer; zero where it told none.
	ReportedPace float64
}

// SharedPace is what processes tell each other of the pace of a server. It adds.
type SharedPace struct {
	// ReportedSum sums up the paces that the server told lately, in hundredths, each as often as
	// ToldVoices counts it.
	ReportedSum   int
	ReportedCount int
	// ObservedSum sums up how long runs took as multiples of what was expected, in hundredths, and
	// SeenVoices counts them.
	ObservedSum   int
	ObservedCount int
}

func (s SharedPace) plus(other SharedPace, sign int) SharedPace {
	return SharedPace{
		ReportedSum:   s.ReportedSum + sign*other.ReportedSum,
		ReportedCount: s.ReportedCount + sign*other.ReportedCount,
		ObservedSum:   s.ObservedSum + sign*other.ObservedSum,
		ObservedCount: s.ObservedCount + sign*other.ObservedCount,
	}
}

// usualPace is the estimate for a server of which nothing is known.
const usualPace = 1.0

// SetPaceEstimator has the pool choose servers by the estimates of a pacer. Call it before the first
// server is added.
func (p *Pool) SetPaceEstimator(pacer PaceEstimator) { p.pacer = pacer }

// informed tells whether the choice may rest on estimates of pace.
func (p *Pool) informed(now time.Duration) bool { return p.pacer != nil && p.pacer.HasReports(now) }

// paceFor is how long the work of a request is expected to take at the server at a place.
// Batch work runs for longer than servers are slower for a moment.
func (p *Pool) paceFor(place int, demand Demand, now time.Duration) float64 {
	return p.paceWith(place, p.shares.PaceAt(p.servers[place].hash), demand.Batch, now)
}

func (p *Pool) paceWith(place int, others SharedPace, batch bool, now time.Duration) float64 {
	if batch {
		return p.pacer.LongTermPace(place, others, now)
	}
	return p.pacer.CurrentPace(place, others, now)
}

// Paces lists the estimates of the servers, in no order; none where they are not used.
func (p *Pool) Paces(now time.Duration) []float64 {
	if !p.informed(now) {
		return nil
	}
	var paces []float64
	for place, each := range p.servers {
		if each != nil {
			paces = append(paces, p.paceFor(place, Demand{}, now))
		}
	}
	return paces
}

// How much of a run tells something of the time between its events: one that is late may be
// the network's fault, and one of a server that is many times slower than others comes late
// as a rule.
const (
	leastEvents     = 4
	leastEventsLong = 2
	longSight       = time.Second
)

// RecordRun takes a piece of a run: so many events came, the last one so long after the first, at
// a server that told the given pace; zero where it told none. It returns false where that is
// too little to tell anything.
func (p *Pool) RecordRun(choice Choice, events int, took time.Duration, told float64, now time.Duration) bool {
	if took <= 0 || events < leastEventsLong || (events < leastEvents && took < longSight) {
		return false
	}
	if place := p.place(choice.ID); place >= 0 && p.pacer != nil {
		p.pacer.RecordRun(place, RunSample{EventInterval: took / time.Duration(events-1), Concurrency: choice.Load + 1, ReportedPace: told}, now)
	}
	return true
}

// withoutSlowness is the verdict on a server without that of being slower than its peers,
// which the pace answers: many that are slow together are not all avoided.
func (p *Pool) withoutSlowness(place int, state health.State, now time.Duration) health.State {
	if state == health.Suspect && !p.tracker.Failing(place, now) {
		return health.Healthy
	}
	return state
}
