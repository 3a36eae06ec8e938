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
	p.sum(now)
	return s
}

// sum makes the sums anew, with one look at each server.
func (p *Pool) sum(now time.Duration) {
	s := &p.summary
	*s = summary{
		at: now, valid: true, usage: usage{limited: true}, limited: true,
		online: s.online[:0], batch: s.batch[:0],
	}
	accused := 0
	for place, each := range p.servers {
		if each == nil {
			continue
		}
		seen, usable := p.see(each, now), p.usable(place, now)
		if seen.others.accused() {
			accused++
		}
		s.usage.add(seen, usable)
		if usable {
			s.addUsable(place, seen, now)
		}
	}
	s.avoidAccused = fewAccused(accused, len(p.places))
}

// addUsable counts the server at a place, which is taken to answer.
func (s *summary) addUsable(place int, seen sight, now time.Duration) {
	s.limited = s.limited && seen.Slots > 0
	s.free += seen.freeSlots()
	if seen.room(false, 0, now) {
		s.online = append(s.online, place)
	}
	if seen.room(true, 0, now) {
		s.batch = append(s.batch, place)
	}
}

// roomy lists the places of the servers that had room when the sums were made, in no order.
func (s *summary) roomy(batch bool) []int {
	if batch {
		return s.batch
	}
	return s.online
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
