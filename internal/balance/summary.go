package balance

import "time"

// summaryFor is how long the sums over the servers of a large pool are used again. Loads of
// other processes are some 250 ms old there, and what this process starts and ends is
// counted at once. At 1,200 servers the sums take 50 to 100 us, a thousandth of a core.
const summaryFor = 50 * time.Millisecond

// summary is the overview of a large pool: sums over its servers that serve for summaryFor.
type summary struct {
	pool *Pool
	sums
}

// sums are those over all servers of a pool at a time.
type sums struct {
	at    time.Duration
	valid bool
	// inHand is what the servers have in hand.
	inHand usage
	// free is how many slots online requests could use, and limited tells that all usable
	// servers say their slots.
	free    float64
	limited bool
	// accused is how many servers are.
	accused int
	// online and batch are the places of the servers that have room for such requests.
	online []int
	batch  []int
}

func (s *summary) usage(now time.Duration) usage { return s.current(now).inHand }

func (s *summary) freeSlots(now time.Duration) (free float64, limited bool) {
	current := s.current(now)
	return current.free, current.limited
}

func (s *summary) avoidsAccused(now time.Duration) bool {
	return fewAccused(s.current(now).accused, len(s.pool.places))
}

// roomy lists the places of the servers that had room when the sums were made, in no order.
func (s *summary) roomy(batch bool, now time.Duration) []int {
	if batch {
		return s.current(now).batch
	}
	return s.current(now).online
}

// current returns the sums, at most summaryFor old.
func (s *summary) current(now time.Duration) *sums {
	if !s.valid || now < s.at || now-s.at >= summaryFor {
		s.renew(now)
	}
	return &s.sums
}

// renew makes the sums anew, with one look at each server.
func (s *summary) renew(now time.Duration) {
	s.sums = sums{
		at: now, valid: true, inHand: usage{limited: true}, limited: true,
		online: s.online[:0], batch: s.batch[:0],
	}
	for place, each := range s.pool.servers {
		if each != nil {
			s.add(place, s.pool.see(each, now), s.pool.usable(place, now), now)
		}
	}
}

// add counts the server at a place.
func (s *sums) add(place int, seen sight, usable bool, now time.Duration) {
	if seen.others.accused() {
		s.accused++
	}
	s.inHand.add(seen, usable)
	if !usable {
		return
	}
	s.limited = s.limited && seen.Slots > 0
	s.free += seen.freeSlots()
	if seen.room(false, 0, now) {
		s.online = append(s.online, place)
	}
	if seen.room(true, 0, now) {
		s.batch = append(s.batch, place)
	}
}

// invalidate has the sums made anew: the members have changed.
func (s *sums) invalidate() { s.valid = false }

// started counts a request that this process starts, ended one that has left its server.
func (s *sums) started(batch bool) { s.count(batch, 1) }

func (s *sums) ended(batch bool) { s.count(batch, -1) }

func (s *sums) count(batch bool, requests int) {
	if batch {
		s.inHand.batch += requests
		return
	}
	s.inHand.online += requests
	s.free -= float64(requests)
}
