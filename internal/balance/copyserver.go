package balance

import (
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// ChooseCopyServer returns the server that keeps the copy of a run at the first server: the less
// loaded of two drawn at random from the healthy servers with room. It is in the first server's
// zone if possible, or in another zone with otherZone. ChooseCopyServer returns false if there is
// none. The run counts at the copy server only once it continues there.
func (p *Pool) ChooseCopyServer(first string, otherZone bool, now time.Duration, random *rand.Rand) (Member, bool) {
	zone := p.zone
	if srv := p.find(first); srv != nil {
		zone = srv.Zone
	}
	near, far := p.copyCandidates(first, zone, now)
	candidates := near
	if otherZone || len(near) == 0 {
		candidates = far
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

// copyCandidates returns the servers that can keep a copy, those in the given zone and the others.
func (p *Pool) copyCandidates(first, zone string, now time.Duration) (near, far []*server) {
	avoidSuspected := p.overview().avoidsSuspected(now)
	for place, candidate := range p.servers {
		if candidate == nil || candidate.ID == first || !p.usable(place, now) {
			continue
		}
		view := p.viewOf(candidate, now)
		if !view.hasRoom(false, 0, now) || (avoidSuspected && view.peers.suspectedByPeers()) {
			continue
		}
		if state, _ := p.tracker.State(place, now); state != health.Healthy {
			continue
		}
		if candidate.Zone == zone {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	return near, far
}

// StartAt counts a request at the given server, regardless of its load, since a run continues where
// its copy is. It returns false if the server is not available anymore.
func (p *Pool) StartAt(id string, demand Demand, now time.Duration) (Choice, bool) {
	srv := p.find(id)
	if srv == nil || srv.replaced {
		return Choice{}, false
	}
	return p.commit(srv, Choice{Candidates: 1}, demand, now), true
}
