// Package pace estimates how long work takes at the servers of a service, as a multiple of the
// usual duration among them. An estimate has two factors. The reported pace is sent by servers with
// their answers; it changes within tenths of a second, so only the newest reports count. The
// observed pace is what runs show beyond that, averaged over seconds: a difference in hardware, or
// a server that is slower than it reports. It decays slowly when no more runs are observed.
//
// A single process uses each server of a large site only once in many seconds, so both factors
// combine the observations of all processes, which exchange them in load digests.
package pace

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

const (
	// hundred is the unit of the sums in balance.SharedPace.
	hundred = 100.0
	// reportsValidFor is how long after the last report servers still count as reporting their
	// pace. It is far longer than a process goes without answers.
	reportsValidFor = 30 * time.Second
	// reportPrior is the weight of the usual pace relative to the reports. A report that is a third
	// of a second old is as likely outdated as not.
	reportPrior = 1.0
	// observedPrior is the weight, in runs, of the remembered pace relative to the runs of the
	// last seconds. The event interval of a single run is off by a third.
	observedPrior = 4.0
	// minimumRuns is how many runs replace the remembered pace.
	minimumRuns = 4
	// decayExponent is applied once a second to a remembered pace without new runs, so that it
	// approaches 1. A server that was three times slower counts as 1.5 times slower after 20 s, and
	// is tried again.
	decayExponent = 0.95
	// Bounds of a single run, so that one stalled run does not outweigh many.
	minimumRatio, maximumRatio = 0.2, 10.0
	// Bounds of an estimate.
	minimumPace, maximumPace = 0.2, 20.0
)

// Estimates implements balance.PaceEstimator for one service in one process.
type Estimates struct {
	servers []server
	// intervals predicts the usual event interval.
	intervals intervalModel
	// lastReportAt is when any server last reported its pace; hasReport is whether any did.
	lastReportAt time.Duration
	hasReport    bool
}

var _ balance.PaceEstimator = (*Estimates)(nil)

// server is the state of one server.
type server struct {
	reported   float64
	reportedAt time.Duration
	// observed holds the runs of the last seconds.
	observed window
	// remembered is the long-term pace as of the last call of Remember.
	remembered float64
}

// New returns empty estimates.
func New() *Estimates { return &Estimates{} }

// Resize implements balance.PaceEstimator.
func (e *Estimates) Resize(places int) {
	for len(e.servers) < places {
		e.servers = append(e.servers, server{remembered: 1})
	}
	e.servers = e.servers[:places]
}

// Forget implements balance.PaceEstimator.
func (e *Estimates) Forget(place int) { e.servers[place] = server{remembered: 1} }

// RecordReport implements balance.PaceEstimator.
func (e *Estimates) RecordReport(place int, pace float64, now time.Duration) {
	if pace <= 0 {
		return
	}
	state := &e.servers[place]
	state.reported, state.reportedAt = clampPace(pace), now
	e.hasReport, e.lastReportAt = true, now
}

// RecordRun implements balance.PaceEstimator. It divides the interval by the reported pace, which
// would count twice otherwise.
func (e *Estimates) RecordRun(place int, run balance.RunSample, now time.Duration) {
	interval := float64(run.EventInterval)
	if run.ReportedPace > 0 {
		interval /= run.ReportedPace
	}
	if expected := e.intervals.predict(run.Concurrency); expected > 0 {
		ratio := min(max(interval/expected, minimumRatio), maximumRatio)
		e.servers[place].observed.add(int(math.Round(ratio*hundred)), now)
	}
	e.intervals.add(run.Concurrency, interval)
}

// HasReports implements balance.PaceEstimator.
func (e *Estimates) HasReports(now time.Duration) bool {
	return e.hasReport && now-e.lastReportAt <= reportsValidFor
}

// CurrentPace implements balance.PaceEstimator.
func (e *Estimates) CurrentPace(place int, others balance.SharedPace, now time.Duration) float64 {
	state := &e.servers[place]
	return clampPace(state.reportedPace(others, now) * state.observedPace(others, now))
}

// LongTermPace implements balance.PaceEstimator.
func (e *Estimates) LongTermPace(place int, others balance.SharedPace, now time.Duration) float64 {
	return clampPace(e.servers[place].observedPace(others, now))
}

func clampPace(estimate float64) float64 { return min(max(estimate, minimumPace), maximumPace) }

// reportedPace returns the pace that the server reported recently to all processes.
func (s *server) reportedPace(others balance.SharedPace, now time.Duration) float64 {
	weight := s.reportWeight(now)
	sum := float64(weight)*s.reported + float64(others.ReportedSum)/hundred
	return (sum + reportPrior) / (float64(weight+others.ReportedCount) + reportPrior)
}

// observedPace returns the pace that the runs of all processes show beyond the reported one.
func (s *server) observedPace(others balance.SharedPace, now time.Duration) float64 {
	sum, count := s.observed.total(now)
	return (float64(sum+others.ObservedSum)/hundred + observedPrior*s.remembered) / (float64(count+others.ObservedCount) + observedPrior)
}

// OwnPace implements balance.PaceEstimator.
func (e *Estimates) OwnPace(place int, now time.Duration) balance.SharedPace {
	state := &e.servers[place]
	own := balance.SharedPace{ReportedCount: state.reportWeight(now)}
	own.ReportedSum = int(math.Round(float64(own.ReportedCount) * state.reported * hundred))
	own.ObservedSum, own.ObservedCount = state.observed.total(now)
	return own
}

// Remember implements balance.PaceEstimator.
func (e *Estimates) Remember(place int, others balance.SharedPace, now time.Duration) {
	state := &e.servers[place]
	if _, count := state.observed.total(now); count+others.ObservedCount >= minimumRuns {
		state.remembered = state.observedPace(others, now)
		return
	}
	state.remembered = math.Pow(state.remembered, decayExponent)
}

// reportWeights are the weights of reports by age. Servers stay busy for about 600 ms at a time,
// and digests add a quarter of a second.
var reportWeights = []struct {
	maximumAge time.Duration
	weight     int
}{{80 * time.Millisecond, 4}, {160 * time.Millisecond, 2}, {320 * time.Millisecond, 1}}

// reportWeight returns the current weight of the server's last report to this process.
func (s *server) reportWeight(now time.Duration) int {
	if s.reported == 0 {
		return 0
	}
	for _, age := range reportWeights {
		if now-s.reportedAt <= age.maximumAge {
			return age.weight
		}
	}
	return 0
}
