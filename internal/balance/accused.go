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
	avoid := false
	if p.large() {
		avoid = p.summed(now).avoidAccused
	} else {
		avoid = fewAccused(p.countAccused(), len(p.places))
	}
	if !avoid {
		return func(int) bool { return false }
	}
	return func(place int) bool { return p.shares.At(p.servers[place].hash).accused() }
}

func (p *Pool) countAccused() int {
	count := 0
	for _, known := range p.servers {
		if known != nil && p.shares.At(known.hash).accused() {
			count++
		}
	}
	return count
}

// fewAccused tells whether some of the members are accused, and few enough to be avoided.
func fewAccused(count, members int) bool {
	return count > 0 && float64(count) <= maximumAccused*float64(members)
}

// accused tells whether enough other processes take the server for failing.
func (l SharedLoad) accused() bool { return l.Suspects >= accusers }
