package pace_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// blind hears nothing of what it does not want to.
type blind struct {
	*pace.Estimates
	told, seen, others bool
}

func (b blind) RecordReport(place int, told float64, now time.Duration) {
	if !b.told {
		told = 1
	}
	b.Estimates.RecordReport(place, told, now)
}

func (b blind) RecordRun(place int, run balance.RunSample, now time.Duration) {
	if !b.told {
		run.ReportedPace = 0
	}
	if b.seen {
		b.Estimates.RecordRun(place, run, now)
	}
}

func (b blind) CurrentPace(place int, others balance.SharedPace, now time.Duration) float64 {
	if !b.others {
		others = balance.SharedPace{}
	}
	return b.Estimates.CurrentPace(place, others, now)
}

func (b blind) Remember(place int, others balance.SharedPace, now time.Duration) {
	if !b.others {
		others = balance.SharedPace{}
	}
	b.Estimates.Remember(place, others, now)
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

// ways are those to know the paces: none, by what a process sees itself, by what servers tell
// it, by both, by what all processes tell each other, and by the truth.
var ways = []struct {
	name  string
	pacer func(s *site) balance.PaceEstimator
}{
	{"free-slots", func(*site) balance.PaceEstimator { return nil }},
	{"own-runs", func(*site) balance.PaceEstimator { return blind{Estimates: pace.New(), seen: true} }},
	{"told", func(*site) balance.PaceEstimator { return blind{Estimates: pace.New(), told: true} }},
	{"own-and-told", func(*site) balance.PaceEstimator { return blind{Estimates: pace.New(), seen: true, told: true} }},
	{"digests", func(*site) balance.PaceEstimator { return pace.New() }},
	{"oracle", func(s *site) balance.PaceEstimator { return oracle{pace.New(), s} }},
}

// play has 64 processes send so much of the capacity of 90 servers, a quarter of which is
// slowed beyond what it tells.
func play(seed uint64, pacer func(s *site) balance.PaceEstimator, slowed, load float64) result {
	const (
		processes, servers = 64, 90
		sending, ending    = 12 * time.Second, 16 * time.Second
	)
	s := newSite(seed, processes, servers, pacer)
	for i, name := range s.names {
		if i%4 == 0 {
			s.servers[name].slowed = slowed
		}
	}
	s.arrive(load*s.capacity(), sending)
	s.run(ending)
	return s.result()
}

// TestPacesServeUnevenServersNearlyAsWellAsTheTruth: at 0.8 of what servers of uneven speed
// can do, slow ones hold work that the others have room for. With what all processes tell of
// the paces, answers end within a fifth of the time that they take where the true paces of
// all servers are known at once, and earlier than by free slots alone; no more are late.
func TestPacesServeUnevenServersNearlyAsWellAsTheTruth(t *testing.T) {
	const (
		load     = 0.8
		gain     = 0.9
		regret   = 1.2
		slowdown = 3
	)
	for seed := uint64(1); seed <= 2; seed++ {
		plain := play(seed, ways[0].pacer, slowdown, load)
		paced := play(seed, func(*site) balance.PaceEstimator { return pace.New() }, slowdown, load)
		best := play(seed, func(s *site) balance.PaceEstimator { return oracle{pace.New(), s} }, slowdown, load)
		t.Logf("seed %d: free slots %+v, paces %+v, true paces %+v", seed, plain, paced, best)
		if paced.whole > time.Duration(gain*float64(plain.whole)) || paced.late > plain.late {
			t.Errorf("seed %d: %+v with paces, %+v by free slots", seed, paced, plain)
		}
		if paced.whole > time.Duration(regret*float64(best.whole)) {
			t.Errorf("seed %d: %+v with paces, %+v with the true ones", seed, paced, best)
		}
	}
}

// TestServersThatTellTheTruthAreLeftWhileOthersUseTheirMachine: no server is slower than it
// says. What they tell is worth more than what it costs also where it is old.
func TestServersThatTellTheTruthAreLeftWhileOthersUseTheirMachine(t *testing.T) {
	const load = 0.5
	plain := play(1, ways[0].pacer, 1, load)
	paced := play(1, func(*site) balance.PaceEstimator { return pace.New() }, 1, load)
	t.Logf("free slots %+v, paces %+v", plain, paced)
	if paced.whole >= plain.whole || paced.first >= plain.first {
		t.Errorf("%+v with paces, %+v by free slots", paced, plain)
	}
}

// TestProcessesDoNotMeetAtTheSameFreeSlots: at all that uneven servers can do, processes whose
// loads are old fill the slots that all see as free, and find them taken, while others stay
// empty. Those that pass their own slots on have a quarter of the requests late.
func TestProcessesDoNotMeetAtTheSameFreeSlots(t *testing.T) {
	const (
		load, slowdown = 1, 3
		part           = 0.25
	)
	plain := play(1, ways[0].pacer, slowdown, load)
	paced := play(1, func(*site) balance.PaceEstimator { return pace.New() }, slowdown, load)
	t.Logf("free slots %+v, paces %+v", plain, paced)
	if paced.late > part*plain.late {
		t.Errorf("%+v with paces, %+v by free slots", paced, plain)
	}
}

// BenchmarkRegret reports what requests meet by each way to know the paces, in milliseconds.
func BenchmarkRegret(b *testing.B) {
	const seeds = 4
	for _, slowed := range []float64{1, 3} {
		for _, load := range []float64{0.5, 0.8, 1, 1.2} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("slowed=%g/load=%g/%s", slowed, load, way.name), func(b *testing.B) {
					var first, first99, whole, late float64
					for range b.N {
						for seed := range uint64(seeds) {
							met := play(seed, way.pacer, slowed, load)
							first += met.first.Seconds()
							first99 += met.first99.Seconds()
							whole += met.whole.Seconds()
							late += met.late
						}
					}
					plays := float64(seeds * b.N)
					b.ReportMetric(1000*first/plays, "first-ms")
					b.ReportMetric(1000*first99/plays, "first99-ms")
					b.ReportMetric(1000*whole/plays, "whole-ms")
					b.ReportMetric(late/plays, "late")
				})
			}
		}
	}
}
