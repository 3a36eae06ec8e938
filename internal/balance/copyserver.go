package balance

import (
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

// ChooseCopyServer returns the server that keeps the copy of a run at the first server: the less
// loaded of two drawn at random from the healthy servers with room. It is in the first server's
// zone if possible, or in another zone with otherZone, and in another region only if there is none in
// the first server's region. Only servers in the allowed regions and of the first server's software version are
// considered. ChooseCopyServer returns false if there is none. The run counts at the copy server only once it continues there.
func (p *Pool) ChooseCopyServer(first string, otherZone bool, regions topology.RegionSet, now time.Duration, random *rand.Rand) (Member, bool) {
	srv := p.find(first)
	if srv == nil {
		return Member{}, false
	}
	byDistance := p.copyCandidates(srv, regions, now)
	candidates := byDistance[topology.SameZone]
	if otherZone || len(candidates) == 0 {
		candidates = byDistance[topology.SameRegion]
	}
	if len(candidates) == 0 {
		candidates = byDistance[topology.OtherRegion]
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	chosen, other := candidates[random.IntN(len(candidates))], candidates[random.IntN(len(candidates))]
	if p.viewOf(other, now).online < p.viewOf(chosen, now).online {
		chosen = other
	}
	return chosen.Member, true
}

// copyCandidates returns the servers that can keep a copy of a run at the first server, by their distance from it.
func (p *Pool) copyCandidates(first *server, regions topology.RegionSet, now time.Duration) map[topology.Distance][]*server {
	candidates := make(map[topology.Distance][]*server)
	avoidSuspected := p.overviewOf(regions).avoidsSuspected(now)
	for place, candidate := range p.servers {
		if candidate == nil || candidate == first || candidate.Version != first.Version || !regions.Allows(candidate.Region) || !p.usable(place, now) {
			continue
		}
		view := p.viewOf(candidate, now)
		if !view.hasRoom(false, 0, now) || (avoidSuspected && view.peers.suspectedByPeers()) {
			continue
		}
		if state, _ := p.tracker.State(place, now); state != health.Healthy {
			continue
		}
		distance := p.topology.Distance(first.Zone, candidate.Zone)
		candidates[distance] = append(candidates[distance], candidate)
	}
	return candidates
}

// StartAt counts a request at the given server, regardless of its load, since a run continues where
// its copy is. It returns false if the server is not available anymore or not one that the demand
// allows.
func (p *Pool) StartAt(id string, demand Demand, now time.Duration) (Choice, bool) {
	srv := p.find(id)
	if srv == nil || srv.replaced || !demand.allows(srv.Member) {
		return Choice{}, false
	}
	return p.commit(srv, Choice{Candidates: 1}, demand, now), true
}
