package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

// sampleSize is how many servers a choice in a large pool draws. With 204 servers at 0.97 of their
// capacity, 24 keep as many requests in time as a search of all (docs/design/size.md); each further one
// costs some 0.2 us.
const sampleSize = 24

// nearSampleSize is how many of them are of the own region, if there are several regions.
const nearSampleSize = 16

// sample considers some servers of a large pool: those due for a trial, those with slots that this
// process freed, those likely to have a part of the prompt cached, and a random sample. Each
// randomly drawn server stands for many others, but a part's location only for itself; its penalty
// makes up for that, so that each server is chosen with nearly the same probability as among all.
// If none of them is healthy, servers are drawn from those that had room when the sums were
// computed. sample returns false if there is still no healthy server; then all have to be
// considered.
func (s *search) sample() bool {
	p := s.pool
	p.searches++
	for _, place := range p.ejected {
		if p.trialDue(place, s.now) {
			s.considerOnce(place)
		}
	}
	s.considerFreed()
	s.considerPartLocations()
	s.considerByRegion()
	if !s.foundGood() {
		s.considerRandom(p.summaryOf(s.demand.Regions).placesWithRoom(s.demand.Batch, s.now), sampleSize)
	}
	return s.foundGood()
}

// considerFreed considers the servers where this process freed slots. Such slots count for more
// only where servers report their pace, see weighFreeSlots.
func (s *search) considerFreed() {
	if s.demand.Batch || !s.usesPace {
		return
	}
	for _, place := range s.pool.placesWithFreedSlots(s.now) {
		s.considerOnce(place)
	}
}

// foundGood reports whether the best server so far is good enough to stop.
func (s *search) foundGood() bool { return s.choice.Trial || s.healthy }

// shuffledPlaces returns all places, including vacant ones, in random order.
func (p *Pool) shuffledPlaces() []int {
	for place := len(p.allPlaces); place < len(p.servers); place++ {
		p.allPlaces = append(p.allPlaces, place)
	}
	return p.allPlaces
}

// considerPartLocations considers the servers that are likely to have a part of the prompt cached.
// All processes consider the same affinity servers of a part. Without the penalty, affinity servers would receive all
// requests even for parts that are cheap to prefill.
func (s *search) considerPartLocations() {
	s.penalty = math.Log(max(1, float64(s.pool.summaryOf(s.demand.Regions).current(s.now).members)/sampleSize))
	defer func() { s.penalty = 0 }()
	for i, part := range s.demand.Parts {
		places := s.pool.partLocations.places(part.ID)
		for _, place := range places {
			s.considerOnce(int(place) - 1)
		}
		if i == len(s.demand.Parts)-1 {
			return
		}
		for _, place := range s.pool.affinityServers(part.ID, s.demand.Regions) {
			s.considerOnce(place)
		}
		// uncachedTokens assumes no cached parts after the first one that was sent nowhere, so that
		// later affinity servers are of no use.
		if places == (partPlaces{}) {
			return
		}
	}
}

// considerByRegion considers a random sample of all servers. If there are several regions, most of
// the sample is from the own one, since servers of others are rarely chosen while it has room. A
// server drawn from a region stands for fewer or more others than one drawn from all; its penalty
// makes up for that. For a request that is restricted to some regions, all allowed servers count alike.
func (s *search) considerByRegion() {
	near, away := s.pool.placesByRegion()
	if len(near) == 0 || len(away) == 0 || s.demand.Regions.Restricted() {
		s.considerRandom(s.pool.shuffledPlaces(), sampleSize)
		return
	}
	defer func() { s.penalty = 0 }()
	drawn := 0
	for _, stratum := range []struct {
		places []int
		count  int
	}{{near, nearSampleSize}, {away, sampleSize}} {
		count := min(stratum.count-drawn, len(stratum.places))
		drawn += count
		s.penalty = math.Log(float64(len(near)+len(away)) / sampleSize * float64(count) / float64(len(stratum.places)))
		s.considerRandom(stratum.places, count)
	}
}

// considerRandom considers up to count of the places in allowed regions, drawn without replacement by
// a partial shuffle in place.
func (s *search) considerRandom(places []int, count int) {
	for i, drawn := 0, 0; i < len(places) && drawn < count; i++ {
		other := i + s.random.IntN(len(places)-i)
		places[i], places[other] = places[other], places[i]
		if s.pool.allowedAt(places[i], s.demand.Regions) {
			drawn++
			s.considerOnce(places[i])
		}
	}
}

// considerOnce considers the server at a place unless the place is negative, this search has
// already considered it or has found a trial.
func (s *search) considerOnce(place int) {
	p := s.pool
	if s.choice.Trial || place < 0 || place >= len(p.servers) || p.servers[place] == nil || p.servers[place].lastSearch == p.searches {
		return
	}
	p.servers[place].lastSearch = p.searches
	s.consider(place)
}

// trialDue reports whether the server at a place is ejected and may be sent a trial request.
func (p *Pool) trialDue(place int, now time.Duration) bool {
	if place >= len(p.servers) || p.servers[place] == nil {
		return false
	}
	state, _ := p.tracker.State(place, now)
	return state == health.Ejected && !p.tracker.Failing(place, now)
}

// chooseTrial returns an ejected server that is due for a trial, for a batch request for which there is no
// slot at the other servers. The slots of ejected servers are not among those that batch work shares with online requests.
func (p *Pool) chooseTrial(demand Demand, tried []string, now time.Duration, random *rand.Rand) (Choice, bool) {
	if !demand.MayTry || p.tracker.Ejected() == 0 || !p.batchMayStart(now) {
		return Choice{}, false
	}
	s := p.newSearch(demand, tried, now, random)
	for place := range p.servers {
		if !p.trialDue(place, now) {
			continue
		}
		if s.consider(place); s.choice.Trial {
			return p.commit(s.best, s.choice, demand, now), true
		}
	}
	return Choice{}, false
}

// TrialDue reports whether any ejected server in the given regions may be sent a trial request.
func (p *Pool) TrialDue(regions topology.RegionSet, now time.Duration) bool {
	if p.tracker.Ejected() == 0 {
		return false
	}
	for place, srv := range p.servers {
		if srv != nil && regions.Allows(srv.Region) && p.trialDue(place, now) && p.viewOf(srv, now).hasRoom(true, 0, now) {
			return true
		}
	}
	return false
}

// findEjected updates the list of ejected servers. It is enough to call it now and then, since the
// first trial is due seconds after an ejection.
func (p *Pool) findEjected(now time.Duration) {
	p.ejected = p.ejected[:0]
	if !p.large() || p.tracker.Ejected() == 0 {
		return
	}
	for place, srv := range p.servers {
		if srv == nil {
			continue
		}
		if state, _ := p.tracker.State(place, now); state == health.Ejected {
			p.ejected = append(p.ejected, place)
		}
	}
}
