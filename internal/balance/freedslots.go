package balance

import (
	"slices"
	"time"
)

// sharedSlotWeight is the weight of a free slot that all processes see, relative to one that only
// this process knows of. As loads of other processes are delayed, many processes choose the same
// visible slots, and requests queue there while other slots stay empty (pace.BenchmarkRegret).
const sharedSlotWeight = 0.001

// weighFreeSlots returns the weighted number of a server's free slots. Slots freed by requests of
// this process are not known to other processes until the loads show them.
func (p *Pool) weighFreeSlots(candidate *server, free float64, now time.Duration) float64 {
	left := min(free, float64(candidate.freedSlots.countWithin(p.maxLoadAge, now)))
	return left + (free-left)*sharedSlotWeight
}

// recordFreedSlot records that a request of this process freed its slot.
func (p *Pool) recordFreedSlot(s *server, place int, now time.Duration) {
	s.freedSlots.add(1, now)
	if p.large() && p.paced() && !slices.Contains(p.freedPlaces, place) {
		p.freedPlaces = append(p.freedPlaces, place)
	}
}

// placesWithFreedSlots returns the places in a large pool where this process freed slots recently
// and has not reused them, at most the newest sampleSize ones.
func (p *Pool) placesWithFreedSlots(now time.Duration) []int {
	p.freedPlaces = slices.DeleteFunc(p.freedPlaces, func(place int) bool {
		srv := p.servers[place]
		return srv == nil || srv.freedSlots.countWithin(p.maxLoadAge, now) == 0
	})
	return p.freedPlaces[max(0, len(p.freedPlaces)-sampleSize):]
}

// takeFreedSlot records that a request of this process takes a slot, preferably a freed one.
func (s *server) takeFreedSlot() {
	if len(s.freedSlots) > 0 {
		s.freedSlots = s.freedSlots[1:]
	}
}
