package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// search is the state of one choice: the servers looked at, and the best one of them.
type search struct {
	pool     *Pool
	demand   Demand
	tried    []string
	now      time.Duration
	random   *rand.Rand
	alone    bool
	informed bool
	// avoidAccused tells that servers are avoided that other processes accuse.
	avoidAccused bool
	// handicap is what servers cost that are looked at for a reason beside others that were
	// drawn, in units of costScale.
	handicap float64
	best     *server
	found    Choice
	lowest   float64
	// sound tells that the best one is healthy and not silent.
	sound bool
	// trial tells that the best one is out for its failures and gets the request as a trial:
	// the search is over.
	trial bool
}

func (p *Pool) newSearch(demand Demand, tried []string, now time.Duration, random *rand.Rand) *search {
	return &search{
		pool: p, demand: demand, tried: tried, now: now, random: random,
		alone: !p.shares.HasPeers(), informed: p.informed(now), avoidAccused: p.overview().avoidsAccused(now),
	}
}

// all looks at all servers.
func (s *search) all() {
	for place := range s.pool.servers {
		if s.look(place); s.trial {
			return
		}
	}
}

// look weighs the server at a place.
func (s *search) look(place int) {
	p, known := s.pool, s.pool.servers[place]
	if known == nil || known.refusesCold(s.now) || slices.Contains(s.tried, known.ID) {
		return
	}
	candidate := p.see(known, s.now)
	if !candidate.room(s.demand.Batch, p.beyond(s.demand), s.now) {
		return
	}
	accused := s.avoidAccused && candidate.others.accused()
	uncached := p.uncached(place, s.demand, s.now)
	state, _ := p.tracker.State(place, s.now)
	if state == health.Ejected {
		if !s.demand.Batch && !accused && p.tracker.StartTrial(place, s.now) {
			s.best, s.found.Uncached, s.trial = known, uncached, true
		}
		return
	}
	pace := 0.0
	if s.informed {
		others := p.shares.nearPace(known.hash, candidate.others.Pace)
		pace, state = p.paceWith(place, others, s.demand.Batch, s.now), p.withoutSlowness(place, state, s.now)
	}
	if state == health.Healthy && accused {
		state = health.Suspect
	}
	cost := p.cost(candidate, state, s.demand, uncached, pace, s.now) + noise(s.alone, s.random) + s.handicap
	s.found.Candidates++
	if s.best == nil || cost < s.lowest {
		s.best, s.lowest, s.found.Uncached, s.found.Pace = known, cost, uncached, pace
		s.sound = state == health.Healthy && !known.Silent
	}
}
