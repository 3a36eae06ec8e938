package pace_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// partial ignores some of the sources of information on pace.
type partial struct {
	*pace.Estimates
	reports, runs, digests bool
}

func (p partial) RecordReport(place int, reported float64, now time.Duration) {
	if !p.reports {
		reported = 1
	}
	p.Estimates.RecordReport(place, reported, now)
}

func (p partial) RecordRun(place int, run balance.RunSample, now time.Duration) {
	if !p.reports {
		run.ReportedPace = 0
	}
	if p.runs {
		p.Estimates.RecordRun(place, run, now)
	}
}

func (p partial) CurrentPace(place int, others balance.SharedPace, now time.Duration) float64 {
	if !p.digests {
		others = balance.SharedPace{}
	}
	return p.Estimates.CurrentPace(place, others, now)
}

func (p partial) Remember(place int, others balance.SharedPace, now time.Duration) {
	if !p.digests {
		others = balance.SharedPace{}
	}
	p.Estimates.Remember(place, others, now)
}

// oracle knows the true pace of the servers.
type oracle struct {
	*pace.Estimates
	site *site
}

func (o oracle) HasReports(time.Duration) bool { return true }

func (o oracle) CurrentPace(place int, _ balance.SharedPace, _ time.Duration) float64 {
	return o.site.servers[o.site.names[place]].pace()
}

func (o oracle) LongTermPace(place int, _ balance.SharedPace, _ time.Duration) float64 {
	known := o.site.servers[o.site.names[place]]
	return known.speed * known.slowed
}

func (o oracle) OwnPace(int, time.Duration) balance.SharedPace { return balance.SharedPace{} }

// estimators are the sources of information on pace to compare: none, own observations, reports,
// both, the digests of all processes, and the true paces.
var estimators = []struct {
	name         string
	newEstimator func(s *site) balance.PaceEstimator
}{
	{"free-slots", func(*site) balance.PaceEstimator { return nil }},
	{"own-runs", func(*site) balance.PaceEstimator { return partial{Estimates: pace.New(), runs: true} }},
	{"told", func(*site) balance.PaceEstimator { return partial{Estimates: pace.New(), reports: true} }},
	{"own-and-told", func(*site) balance.PaceEstimator { return partial{Estimates: pace.New(), runs: true, reports: true} }},
	{"digests", func(*site) balance.PaceEstimator { return pace.New() }},
	{"oracle", func(s *site) balance.PaceEstimator { return oracle{pace.New(), s} }},
}

// simulate runs 64 processes and 90 servers, a quarter of which are slower than they report. load
// is the rate of requests as a fraction of the capacity.
func simulate(seed uint64, newEstimator func(s *site) balance.PaceEstimator, slowed, load float64) result {
	const (
		processes, servers = 64, 90
		sending, ending    = 12 * time.Second, 16 * time.Second
	)
	s := newSite(seed, processes, servers, newEstimator)
	for i, name := range s.names {
		if i%4 == 0 {
			s.servers[name].slowed = slowed
		}
	}
	s.arrive(load*s.capacity(), sending)
	s.run(ending)
	return s.result()
}

// TestEstimatesServeUnevenServersNearlyAsWellAsTruePaces guards against requests that wait at slow
// servers while fast ones have free slots. With estimated paces, requests must take at most 1.2
// times as long as with the true ones, and less than when servers are chosen by free slots alone.
func TestEstimatesServeUnevenServersNearlyAsWellAsTruePaces(t *testing.T) {
	const (
		load     = 0.8
		gain     = 0.9
		regret   = 1.2
		slowdown = 3
	)
	for seed := uint64(1); seed <= 2; seed++ {
		plain := simulate(seed, estimators[0].newEstimator, slowdown, load)
		paced := simulate(seed, func(*site) balance.PaceEstimator { return pace.New() }, slowdown, load)
		best := simulate(seed, func(s *site) balance.PaceEstimator { return oracle{pace.New(), s} }, slowdown, load)
		t.Logf("seed %d: free slots %+v, estimates %+v, true paces %+v", seed, plain, paced, best)
		if paced.whole > time.Duration(gain*float64(plain.whole)) || paced.late > plain.late {
			t.Errorf("seed %d: %+v with estimates, %+v by free slots", seed, paced, plain)
		}
		if paced.whole > time.Duration(regret*float64(best.whole)) {
			t.Errorf("seed %d: %+v with estimates, %+v with true paces", seed, paced, best)
		}
	}
}

// TestServersThatReportTheirPaceAreAvoidedWhileBusy checks that reported paces shorten answers even
// though the reports are somewhat old when they are used.
func TestServersThatReportTheirPaceAreAvoidedWhileBusy(t *testing.T) {
	const load = 0.5
	plain := simulate(1, estimators[0].newEstimator, 1, load)
	paced := simulate(1, func(*site) balance.PaceEstimator { return pace.New() }, 1, load)
	t.Logf("free slots %+v, estimates %+v", plain, paced)
	if paced.whole >= plain.whole || paced.first >= plain.first {
		t.Errorf("%+v with estimates, %+v by free slots", paced, plain)
	}
}

// TestProcessesDoNotCollideOnFreeSlots guards against processes that fill the same free slots
// because their load information is old, while other servers stay empty.
func TestProcessesDoNotCollideOnFreeSlots(t *testing.T) {
	const (
		load, slowdown = 1, 3
		maximumRatio   = 0.25
	)
	plain := simulate(1, estimators[0].newEstimator, slowdown, load)
	paced := simulate(1, func(*site) balance.PaceEstimator { return pace.New() }, slowdown, load)
	t.Logf("free slots %+v, estimates %+v", plain, paced)
	if paced.late > maximumRatio*plain.late {
		t.Errorf("%+v with estimates, %+v by free slots", paced, plain)
	}
}

// BenchmarkRegret reports the times of requests, in milliseconds, for each of the estimators.
func BenchmarkRegret(b *testing.B) {
	const seeds = 4
	for _, slowed := range []float64{1, 3} {
		for _, load := range []float64{0.5, 0.8, 1, 1.2} {
			for _, estimator := range estimators {
				b.Run(fmt.Sprintf("slowed=%g/load=%g/%s", slowed, load, estimator.name), func(b *testing.B) {
					var first, first99, whole, late float64
					for range b.N {
						for seed := range uint64(seeds) {
							outcome := simulate(seed, estimator.newEstimator, slowed, load)
							first += outcome.first.Seconds()
							first99 += outcome.first99.Seconds()
							whole += outcome.whole.Seconds()
							late += outcome.late
						}
					}
					simulations := float64(seeds * b.N)
					b.ReportMetric(1000*first/simulations, "first-ms")
					b.ReportMetric(1000*first99/simulations, "first99-ms")
					b.ReportMetric(1000*whole/simulations, "whole-ms")
					b.ReportMetric(late/simulations, "late")
				})
			}
		}
	}
}
