package balance

import (
	"time"

	"rockwind.example/rockwind/internal/topology"
)

// summaryTTL is how long the sums over the servers of a large pool are reused. Loads of other
// processes are older than that on large sites, and this process's own starts and ends are counted
// immediately. At 1,200 servers computing the sums takes 50 to 100 us.
const summaryTTL = 50 * time.Millisecond

// summary implements overview for a large pool with cached sums.
type summary struct {
	pool *Pool
	// regions are those whose servers are summed up.
	regions topology.RegionSet
	totals
}

// totals are the sums over all servers of a pool at a moment.
type totals struct {
	at    time.Duration
	valid bool
	// members counts the servers.
	members int
	// inUse is the load of the servers.
	inUse usage
	// suspected counts the servers that other processes suspect.
	suspected int
	// onlinePlaces and batchPlaces are the places of the servers with room for such requests.
	onlinePlaces []int
	batchPlaces  []int
}

func (s *summary) usage(now time.Duration) usage { return s.current(now).inUse }

func (s *summary) avoidsSuspected(now time.Duration) bool {
	current := s.current(now)
	return fewSuspected(current.suspected, current.members)
}

// placesWithRoom returns the places of the servers that had room when the sums were computed, in no
// particular order.
func (s *summary) placesWithRoom(batch bool, now time.Duration) []int {
	if batch {
		return s.current(now).batchPlaces
	}
	return s.current(now).onlinePlaces
}

// current returns the sums, which are at most summaryTTL old.
func (s *summary) current(now time.Duration) *totals {
	if !s.valid || now < s.at || now-s.at >= summaryTTL {
		s.recompute(now)
	}
	return &s.totals
}

// recompute computes the sums from all servers.
func (s *summary) recompute(now time.Duration) {
	s.totals = totals{
		at: now, valid: true, inUse: noUsage,
		onlinePlaces: s.onlinePlaces[:0], batchPlaces: s.batchPlaces[:0],
	}
	for place, srv := range s.pool.servers {
		if srv != nil && s.regions.Allows(srv.Region) {
			s.add(place, s.pool.viewOf(srv, now), s.pool.usable(place, now), now)
		}
	}
}

// add adds the server at a place.
func (s *totals) add(place int, view serverView, usable bool, now time.Duration) {
	s.members++
	if view.peers.suspectedByPeers() {
		s.suspected++
	}
	s.inUse.add(view, usable)
	if !usable {
		return
	}
	if view.hasRoom(false, 0, now) {
		s.onlinePlaces = append(s.onlinePlaces, place)
	}
	if view.hasRoom(true, 0, now) {
		s.batchPlaces = append(s.batchPlaces, place)
	}
}

// invalidate forces a recomputation after a change of members.
func (s *totals) invalidate() { s.valid = false }

// started counts a request that this process starts.
func (s *totals) started(batch bool) { s.count(batch, 1) }

// ended subtracts a request that has left its server.
func (s *totals) ended(batch bool) { s.count(batch, -1) }

func (s *totals) count(batch bool, requests int) {
	if batch {
		s.inUse.batch += requests
		return
	}
	s.inUse.online += requests
	s.inUse.free -= float64(requests)
}
