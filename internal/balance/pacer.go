package balance

import (
	"time"

	"rockwind.example/rockwind/internal/health"
)

// Pacer estimates how long work takes at the servers of one service, as a multiple of what
// is usual among them. Servers are known by their places in the pool.
type Pacer interface {
	// Resize changes the number of places, and Forget makes a place that of a new server.
	Resize(places int)
	Forget(place int)
	// Told takes the pace that a server told with an answer.
	Told(place int, pace float64, now time.Duration)
	// Seen takes how a run of this process went.
	Seen(place int, run Run, now time.Duration)
	// Informed tells whether servers of the service tell their pace. Where none does, the
	// estimates are not used.
	Informed(now time.Duration) bool
	// At is the estimate for the moment, given what the other processes tell of the server,
	// and Speed the one for seconds.
	At(place int, others SharedPace, now time.Duration) float64
	Speed(place int, others SharedPace, now time.Duration) float64
	// Own is what this process tells the others of a server.
	Own(place int, now time.Duration) SharedPace
	// Remember keeps what is known of a server's own speed for when nothing more is heard of
	// it. Call it for each server about once a second.
	Remember(place int, others SharedPace, now time.Duration)
}

// Run is a piece of a run as the process that relays it saw it.
type Run struct {
	// Event is the mean time between two events.
	Event time.Duration
	// Beside is how many requests the server was taken to have when the run began, this one
	// included.
	Beside int
	// Told is the pace that the server told with the answer; zero where it told none.
	Told float64
}

// SharedPace is what processes tell each other of the pace of a server. It adds.
type SharedPace struct {
	// Told sums up the paces that the server told lately, in hundredths, each as often as
	// ToldVoices counts it.
	Told       int
	ToldVoices int
	// Seen sums up how long runs took as multiples of what was expected, in hundredths, and
	// SeenVoices counts them.
	Seen       int
	SeenVoices int
}

func (s SharedPace) plus(other SharedPace, sign int) SharedPace {
	return SharedPace{
		Told:       s.Told + sign*other.Told,
		ToldVoices: s.ToldVoices + sign*other.ToldVoices,
		Seen:       s.Seen + sign*other.Seen,
		SeenVoices: s.SeenVoices + sign*other.SeenVoices,
	}
}

// usualPace is the estimate for a server of which nothing is known.
const usualPace = 1.0

// SetPacer has the pool choose servers by the estimates of a pacer. Call it before the first
// server is added.
func (p *Pool) SetPacer(pacer Pacer) { p.pacer = pacer }

// informed tells whether the choice may rest on estimates of pace.
func (p *Pool) informed(now time.Duration) bool { return p.pacer != nil && p.pacer.Informed(now) }

// paceFor is how long the work of a request is expected to take at the server at a place.
// Batch work runs for longer than servers are slower for a moment.
func (p *Pool) paceFor(place int, demand Demand, now time.Duration) float64 {
	return p.paceWith(place, p.shares.PaceAt(p.servers[place].hash), demand.Batch, now)
}

func (p *Pool) paceWith(place int, others SharedPace, batch bool, now time.Duration) float64 {
	if batch {
		return p.pacer.Speed(place, others, now)
	}
	return p.pacer.At(place, others, now)
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

// Seen takes a piece of a run: so many events came, the last one so long after the first, at
// a server that told the given pace; zero where it told none. It returns false where that is
// too little to tell anything.
func (p *Pool) Seen(choice Choice, events int, took time.Duration, told float64, now time.Duration) bool {
	if took <= 0 || events < leastEventsLong || (events < leastEvents && took < longSight) {
		return false
	}
	if place := p.place(choice.ID); place >= 0 && p.pacer != nil {
		p.pacer.Seen(place, Run{Event: took / time.Duration(events-1), Beside: choice.Load + 1, Told: told}, now)
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
