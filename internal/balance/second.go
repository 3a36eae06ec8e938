package balance

import (
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// ChooseCopyServer returns the server that keeps the copy of a run at the first one: the less loaded of
// two drawn from those that are well and would have room for the run. It fails where there is
// none. The run is not counted there before it goes on there.
func (p *Pool) ChooseCopyServer(first string, otherZone bool, now time.Duration, random *rand.Rand) (Member, bool) {
	zone := p.zone
	if known := p.find(first); known != nil {
		zone = known.Zone
	}
	near, far := p.seconds(first, zone, now)
	candidates := near
	if otherZone || len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	chosen, other := candidates[random.IntN(len(candidates))], candidates[random.IntN(len(candidates))]
	if p.see(other, now).online < p.see(chosen, now).online {
		chosen = other
	}
	return chosen.Member, true
}

// seconds lists the servers that can keep a copy, those of a zone and the others.
func (p *Pool) seconds(first, zone string, now time.Duration) (near, far []*server) {
	avoidAccused := p.overview().avoidsAccused(now)
	for place, candidate := range p.servers {
		if candidate == nil || candidate.ID == first || !p.usable(place, now) {
			continue
		}
		seen := p.see(candidate, now)
		if !seen.room(false, 0, now) || (avoidAccused && seen.others.accused()) {
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

// StartAt counts a request at a given server, however loaded that is: a run goes on where its
// copy is. It fails where the server has left.
func (p *Pool) StartAt(id string, demand Demand, now time.Duration) (Choice, bool) {
	known := p.find(id)
	if known == nil || known.gone {
		return Choice{}, false
	}
	return p.take(known, Choice{Candidates: 1}, demand, now), true
}
