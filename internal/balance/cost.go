package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// Figures of what a server costs.
const (
	// readRate is how many prompt tokens a server reads in a millisecond.
	readRate = 85.0
	// Costs in milliseconds of the time to the first event.
	otherZoneCost = 4.0
	suspectCost   = 1000.0
	silentCost    = 2000.0
	// costScale is how much later, in milliseconds, the first event may come from a server
	// that has e times as many free slots.
	costScale = 8.0
	// tieCost breaks ties, in units of costScale.
	tieCost = 0.1
	// leastFree is what a server that was tried although it is full counts as.
	leastFree = 0.1
	// smallestNoise keeps the logarithm of zero away.
	smallestNoise = 1e-12
)

// noise makes the least of some costs a draw: with the logarithm of exponential noise each
// is the least with a probability in proportion to the exponential of its negative.
func noise(alone bool, random *rand.Rand) float64 {
	if alone {
		return tieCost * random.Float64()
	}
	return math.Log(random.ExpFloat64() + smallestNoise)
}

// cost is the time to the first event that a server is expected to take, in units of
// costScale, less the logarithm of what its free slots are worth: one at a server that is
// twice as slow serves half as many requests. Sent that way, 64 processes that share 90 servers
// of 0.6 to 1.6 times the usual pace, a quarter of them three times slower, have the ends of
// answers come 18% earlier at 0.8 of the capacity than by free slots alone.
func (p *Pool) cost(candidate sight, state health.State, demand Demand, uncached int, pace float64, now time.Duration) float64 {
	free := candidate.free(demand.Batch)
	if pace == 0 {
		return p.firstEvent(candidate, state, uncached, usualPace)/costScale - math.Log(free)
	}
	if !demand.Batch && p.paced() {
		free = p.surely(candidate.server, free, now)
	}
	return p.firstEvent(candidate, state, uncached, pace)/costScale - math.Log(free/pace)
}

// firstEvent is the time to the first event that a server is expected to take, beyond that
// of the best one, in milliseconds.
func (p *Pool) firstEvent(candidate sight, state health.State, uncached int, pace float64) float64 {
	cost := float64(uncached+candidate.unread+candidate.others.Unread) / readRate * pace
	if candidate.Zone != p.zone {
		cost += otherZoneCost
	}
	if state != health.Healthy {
		cost += suspectCost
	}
	if candidate.Silent {
		cost += silentCost
	}
	return cost
}

// uncached estimates how many prompt tokens a server has to read.
func (p *Pool) uncached(place int, demand Demand, now time.Duration) int {
	candidate := p.servers[place]
	total := 0
	kept := true
	for i, part := range demand.Parts {
		if !kept {
			total += part.Tokens
			continue
		}
		last, sent := candidate.parts[part.ID]
		if sent && now-last < partFor {
			continue
		}
		kept = false
		trust := 0.0
		if i < len(demand.Parts)-1 {
			trust = p.trust(place, part.ID)
		}
		total += int(float64(part.Tokens) * (1 - trust))
	}
	return total
}
