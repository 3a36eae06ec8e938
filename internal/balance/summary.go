package balance

import "time"

const (
	// sampleAbove is the number of servers up to which each choice looks at all of them.
	sampleAbove = 64
	// summaryFor is how long the sums over the servers of a large pool are used again. Loads of
	// other processes are some 250 ms old there, and what this process starts and ends is
	// counted at once. At 1,200 servers the sums take 50 to 100 us, a thousandth of a core.
	summaryFor = 50 * time.Millisecond
)

// summary is what a choice has to know of all servers together.
type summary struct {
	at    time.Duration
	valid bool
	// usage is what the servers have in hand.
	usage usage
	// free is how many slots online requests could use, and limited tells that all usable
	// servers say their slots.
	free    float64
	limited bool
	// avoidAccused tells that few enough servers are accused for these to be avoided.
	avoidAccused bool
	// online and batch are the places of the servers that have room for such requests.
	online []int
	batch  []int
}

// large tells whether choices look at a part of the servers only.
func (p *Pool) large() bool { return len(p.places) > sampleAbove }

// summed returns the sums over the servers of a large pool, at most summaryFor old.
func (p *Pool) summed(now time.Duration) *summary {
	s := &p.summary
	if s.valid && now >= s.at && now-s.at < summaryFor {
		return s
	}
	s.at, s.valid = now, true
	s.usage = p.sumUsage(now)
	s.free, s.limited = p.sumFreeSlots(now)
	s.avoidAccused = p.fewAccused()
	s.online, s.batch = s.online[:0], s.batch[:0]
	for place, each := range p.servers {
		if each == nil || !p.usable(place, now) {
			continue
		}
		if p.room(each, Demand{}, now) {
			s.online = append(s.online, place)
		}
		if p.room(each, Demand{Batch: true}, now) {
			s.batch = append(s.batch, place)
		}
	}
	return s
}

// started counts a request that this process starts, ended one that has left its server.
func (s *summary) started(batch bool) { s.count(batch, 1) }

func (s *summary) ended(batch bool) { s.count(batch, -1) }

func (s *summary) count(batch bool, requests int) {
	if batch {
		s.usage.batch += requests
		return
	}
	s.usage.online += requests
	s.free -= float64(requests)
}
