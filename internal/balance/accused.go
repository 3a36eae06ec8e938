package balance

import "time"

const (
	// accusers is how many other processes must take a server for failing before this one
	// avoids it: one may be wrong, or have bad luck with its own connections.
	accusers = 2
	// maximumAccused is the largest part of the servers that is avoided on the word of
	// others. Where more are accused all of them are slow, and avoiding some would only
	// press the rest.
	maximumAccused = 0.3
)

// accused tells which servers are avoided on the word of other processes, by place. On a
// large site a process meets a server so rarely that each would have to lose a request to
// learn that it has gone dark.
func (p *Pool) accused(now time.Duration) func(place int) bool {
	few := false
	if p.large() {
		few = p.summed(now).avoidAccused
	} else {
		few = p.fewAccused()
	}
	if !few {
		return func(int) bool { return false }
	}
	return func(place int) bool { return p.isAccused(p.servers[place]) }
}

// fewAccused tells whether some servers are accused, and few enough of them to be avoided.
func (p *Pool) fewAccused() bool {
	count, members := 0, 0
	for _, known := range p.servers {
		if known == nil {
			continue
		}
		members++
		if p.isAccused(known) {
			count++
		}
	}
	return count > 0 && float64(count) <= maximumAccused*float64(members)
}

func (p *Pool) isAccused(s *server) bool { return p.shares.At(s.hash).Suspects >= accusers }
