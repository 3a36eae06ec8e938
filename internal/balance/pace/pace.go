// Package pace estimates how long work takes at the servers of a service, as a multiple of
// what is usual among them. An estimate has two factors. The moment is what servers tell with
// their answers: it changes within tenths of a second, so only what was told within the
// last few of them counts. The speed is what runs show beyond that: a server's own, or that
// of a server that says that it is fast and is not; it is a mean over seconds, and what is
// known of it fades only slowly once nothing more is heard.
//
// A process meets each server of a large site once in many seconds, so both rest on what all
// processes saw, which they add up in their load digests. The package is pure.
package pace

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

const (
	// hundred is the unit of shared sums.
	hundred = 100.0
	// informedFor is how long servers count as telling their pace after the last did: far
	// longer than a process is without answers.
	informedFor = 30 * time.Second
	// momentPrior is how many voices the usual pace counts beside what was told: one that is
	// old by a third of a second is as likely over as not.
	momentPrior = 1.0
	// speedPrior is how many runs the remembered speed counts beside those of the last
	// seconds: the time between events of a single run is off by a third.
	speedPrior = 4.0
	// leastVoices is how many runs replace the remembered speed.
	leastVoices = 4
	// fading is the exponent by which a remembered speed of which nothing more is heard
	// approaches the usual one at each look, once a second: a server that was three times
	// slower counts as 1.5 times after 20 s, and is tried again.
	fading = 0.95
	// Bounds of a single sighting, so that one stalled run does not outweigh many.
	leastRatio, mostRatio = 0.2, 10.0
	// Bounds of an estimate.
	leastPace, mostPace = 0.2, 20.0
)

// Estimates implements balance.PaceEstimator for one service in one process.
type Estimates struct {
	servers []server
	// usual is how long an event usually takes.
	usual usual
	// heardAt is when a server last told its pace, and heard whether any did.
	heardAt time.Duration
	heard   bool
}

var _ balance.PaceEstimator = (*Estimates)(nil)

// server is what is known of one.
type server struct {
	told   float64
	toldAt time.Duration
	// seen holds the runs of the last seconds.
	seen window
	// speed is the remembered one.
	speed float64
}

// New returns estimates that know nothing.
func New() *Estimates { return &Estimates{} }

// Resize implements balance.PaceEstimator.
func (e *Estimates) Resize(places int) {
	for len(e.servers) < places {
		e.servers = append(e.servers, server{speed: 1})
	}
	e.servers = e.servers[:places]
}

// Forget implements balance.PaceEstimator.
func (e *Estimates) Forget(place int) { e.servers[place] = server{speed: 1} }

// RecordReport implements balance.PaceEstimator.
func (e *Estimates) RecordReport(place int, pace float64, now time.Duration) {
	if pace <= 0 {
		return
	}
	known := &e.servers[place]
	known.told, known.toldAt = bounded(pace), now
	e.heard, e.heardAt = true, now
}

// RecordRun implements balance.PaceEstimator. What the server told of the moment is taken out, so that it
// does not count twice.
func (e *Estimates) RecordRun(place int, run balance.RunSample, now time.Duration) {
	event := float64(run.EventInterval)
	if run.ReportedPace > 0 {
		event /= run.ReportedPace
	}
	if expected := e.usual.event(run.Concurrency); expected > 0 {
		ratio := min(max(event/expected, leastRatio), mostRatio)
		e.servers[place].seen.add(int(math.Round(ratio*hundred)), now)
	}
	e.usual.add(run.Concurrency, event)
}

// HasReports implements balance.PaceEstimator.
func (e *Estimates) HasReports(now time.Duration) bool {
	return e.heard && now-e.heardAt <= informedFor
}

// CurrentPace implements balance.PaceEstimator.
func (e *Estimates) CurrentPace(place int, others balance.SharedPace, now time.Duration) float64 {
	known := &e.servers[place]
	return bounded(known.moment(others, now) * known.speedNow(others, now))
}

// LongTermPace implements balance.PaceEstimator.
func (e *Estimates) LongTermPace(place int, others balance.SharedPace, now time.Duration) float64 {
	return bounded(e.servers[place].speedNow(others, now))
}

func bounded(estimate float64) float64 { return min(max(estimate, leastPace), mostPace) }

// moment is how long work takes at this moment by what the server told all processes.
func (s *server) moment(others balance.SharedPace, now time.Duration) float64 {
	voices := s.toldVoices(now)
	sum := float64(voices)*s.told + float64(others.ReportedSum)/hundred
	return (sum + momentPrior) / (float64(voices+others.ReportedCount) + momentPrior)
}

// speedNow is the server's own speed by what the runs of all processes showed.
func (s *server) speedNow(others balance.SharedPace, now time.Duration) float64 {
	sum, voices := s.seen.total(now)
	return (float64(sum+others.ObservedSum)/hundred + speedPrior*s.speed) / (float64(voices+others.ObservedCount) + speedPrior)
}

// OwnPace implements balance.PaceEstimator.
func (e *Estimates) OwnPace(place int, now time.Duration) balance.SharedPace {
	known := &e.servers[place]
	own := balance.SharedPace{ReportedCount: known.toldVoices(now)}
	own.ReportedSum = int(math.Round(float64(own.ReportedCount) * known.told * hundred))
	own.ObservedSum, own.ObservedCount = known.seen.total(now)
	return own
}

// Remember implements balance.PaceEstimator.
func (e *Estimates) Remember(place int, others balance.SharedPace, now time.Duration) {
	known := &e.servers[place]
	if _, voices := known.seen.total(now); voices+others.ObservedCount >= leastVoices {
		known.speed = known.speedNow(others, now)
		return
	}
	known.speed = math.Pow(known.speed, fading)
}

// ages are how old what a server told may be to count so many voices: busy moments last for
// some 600 ms, and digests add a quarter of a second.
var ages = []struct {
	most   time.Duration
	voices int
}{{80 * time.Millisecond, 4}, {160 * time.Millisecond, 2}, {320 * time.Millisecond, 1}}

// toldVoices is how much what the server told this process counts now.
func (s *server) toldVoices(now time.Duration) int {
	if s.told == 0 {
		return 0
	}
	for _, age := range ages {
		if now-s.toldAt <= age.most {
			return age.voices
		}
	}
	return 0
}
