package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

// search is the state of one choice.
type search struct {
	pool     *Pool
	demand   Demand
	tried    []string
	now      time.Duration
	random   *rand.Rand
	noPeers  bool
	usesPace bool
	// avoidSuspected is set if servers that other processes suspect are avoided.
	avoidSuspected bool
	// contended are the regions that the request leaves to others if it can, see contendedRegions.
	contended []topology.RegionSet
	// penalty is added to the cost of servers that are considered for their cached parts, in units
	// of costScale.
	penalty    float64
	best       *server
	choice     Choice
	lowestCost float64
	// healthy is set if the best server is healthy and not silent.
	healthy bool
}

func (p *Pool) newSearch(demand Demand, tried []string, now time.Duration, random *rand.Rand) *search {
	return &search{
		pool: p, demand: demand, tried: tried, now: now, random: random,
		noPeers: !p.loads.HasPeers(), usesPace: p.usesPace(now), avoidSuspected: p.overviewOf(demand.Regions).avoidsSuspected(now),
		contended: p.contendedRegions(demand),
	}
}

// considerAll considers all servers.
func (s *search) considerAll() {
	for place := range s.pool.servers {
		if s.consider(place); s.choice.Trial {
			return
		}
	}
}

// consider compares the server at a place with the best one so far.
func (s *search) consider(place int) {
	p, srv := s.pool, s.pool.servers[place]
	if srv == nil || !s.demand.allows(srv.Member) || srv.refusesCold(s.now) || slices.Contains(s.tried, srv.ID) {
		return
	}
	candidate := p.viewOf(srv, s.now)
	if !candidate.hasRoom(s.demand.Batch, p.overcommit(s.demand), s.now) {
		return
	}
	suspected := s.avoidSuspected && candidate.peers.suspectedByPeers()
	uncached := p.uncachedTokens(place, s.demand, s.now)
	state, _ := p.tracker.State(place, s.now)
	if state == health.Ejected {
		if s.demand.mayTry() && !suspected && p.tracker.StartTrial(place, s.now) {
			s.best, s.choice.Uncached, s.choice.Trial = srv, uncached, true
		}
		return
	}
	if s.demand.Regions.Restricted() && srv.lost(state) {
		return
	}
	pace := 0.0
	if s.usesPace {
		others := p.loads.limitRemotePace(srv.hash, candidate.peers.Pace)
		pace, state = p.estimatePace(place, others, s.demand.Batch, s.now), p.withoutSlowness(place, state, s.now)
	}
	if state == health.Healthy && suspected {
		state = health.Suspect
	}
	cost := p.cost(candidate, state, s.demand, uncached, pace, s.now) + noise(s.noPeers, s.random) + s.penalty + s.contention(srv.Region)
	s.choice.Candidates++
	if s.best == nil || cost < s.lowestCost {
		s.best, s.lowestCost, s.choice.Uncached, s.choice.Pace = srv, cost, uncached, pace
		s.healthy = state == health.Healthy && !srv.Silent
	}
}
