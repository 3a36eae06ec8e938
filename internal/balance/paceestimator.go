package balance

import (
	"time"

	"rockwind.example/rockwind/internal/health"
)

// PaceEstimator estimates how long work takes at the servers of one service, as a multiple of the
// usual duration among them. Servers are identified by their places in the pool.
type PaceEstimator interface {
	// Resize changes the number of places.
	Resize(places int)
	// Forget clears the state of a place for a new server.
	Forget(place int)
	// RecordReport records the pace that a server reported with an answer.
	RecordReport(place int, pace float64, now time.Duration)
	// RecordRun records a sample of a run of this process.
	RecordRun(place int, run RunSample, now time.Duration)
	// HasReports reports whether servers of the service report their pace. If none does, the
	// estimates are not used.
	HasReports(now time.Duration) bool
	// CurrentPace returns the estimate for the moment, given what the other processes know of the
	// server.
	CurrentPace(place int, others SharedPace, now time.Duration) float64
	// LongTermPace returns the estimate for the next seconds.
	LongTermPace(place int, others SharedPace, now time.Duration) float64
	// OwnPace returns what this process reports to the others about a server.
	OwnPace(place int, now time.Duration) SharedPace
	// Remember stores the long-term pace of a server for when no more is known of it. Call it for
	// each server about once a second.
	Remember(place int, others SharedPace, now time.Duration)
}

// RunSample is a section of a run as observed by the process that relays it.
type RunSample struct {
	// EventInterval is the mean time between two events.
	EventInterval time.Duration
	// Concurrency is how many requests the server was assumed to have when the run began, including
	// this one.
	Concurrency int
	// ReportedPace is the pace that the server reported with the answer; zero if none.
	ReportedPace float64
}

// SharedPace is what processes exchange about the pace of a server. Values of several
// processes are added.
type SharedPace struct {
	// ReportedSum sums up the paces that the server reported recently, in hundredths; ReportedCount
	// is their number.
	ReportedSum   int
	ReportedCount int
	// ObservedSum sums up the durations of runs as multiples of the expected ones, in hundredths;
	// ObservedCount is their number.
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

// defaultPace is the estimate for a server of unknown pace.
const defaultPace = 1.0

// SetPaceEstimator makes choices depend on the paces of servers. Call it before the first server is
// added.
func (p *Pool) SetPaceEstimator(paceEstimator PaceEstimator) { p.paces = paceEstimator }

// usesPace reports whether choices may use pace estimates.
func (p *Pool) usesPace(now time.Duration) bool { return p.paces != nil && p.paces.HasReports(now) }

// paceFor returns the expected pace for a request at the server at a place.
func (p *Pool) paceFor(place int, demand Demand, now time.Duration) float64 {
	return p.estimatePace(place, p.loads.PaceAt(p.servers[place].hash), demand.Batch, now)
}

// estimatePace returns the expected pace, given what other processes know. Batch work uses the
// long-term pace, since it outlasts temporary slowness.
func (p *Pool) estimatePace(place int, others SharedPace, batch bool, now time.Duration) float64 {
	if batch {
		return p.paces.LongTermPace(place, others, now)
	}
	return p.paces.CurrentPace(place, others, now)
}

// Paces returns the estimates of the servers in no particular order, or nil if they are not used.
func (p *Pool) Paces(now time.Duration) []float64 {
	if !p.usesPace(now) {
		return nil
	}
	var paces []float64
	for place, srv := range p.servers {
		if srv != nil {
			paces = append(paces, p.paceFor(place, Demand{}, now))
		}
	}
	return paces
}

// Minimum numbers of events for a run sample. A single late event may be caused by the network, but
// events of a very slow server are usually late.
const (
	minEvents        = 4
	minEventsLongRun = 2
	longRun          = time.Second
)

// RecordRun records a section of a run: the number of events, the time between the first and the
// last one, and the pace that the server reported, or zero. It returns false if that is too little
// for an estimate.
func (p *Pool) RecordRun(choice Choice, events int, took time.Duration, reportedPace float64, now time.Duration) bool {
	if took <= 0 || events < minEventsLongRun || (events < minEvents && took < longRun) {
		return false
	}
	if place := p.place(choice.ID); place >= 0 && p.paces != nil {
		p.paces.RecordRun(place, RunSample{EventInterval: took / time.Duration(events-1), Concurrency: choice.Load + 1, ReportedPace: reportedPace}, now)
	}
	return true
}

// withoutSlowness returns the health state without the suspicion of being slower than other
// servers, which the pace accounts for. Otherwise many servers that slow down together would all be
// avoided.
func (p *Pool) withoutSlowness(place int, state health.State, now time.Duration) health.State {
	if state == health.Suspect && !p.tracker.Failing(place, now) {
		return health.Healthy
	}
	return state
}
