package balance

import "time"

// sampleAbove is the number of servers up to which each choice looks at all of them.
const sampleAbove = 64

// overview is what a choice has to know of all servers together.
type overview interface {
	// usage is what the servers have in hand.
	usage(now time.Duration) usage
	// freeSlots is how many slots of all servers online requests could use, less those that
	// queue at servers, with the spare ones. It is not limited where a server does not say its
	// slots.
	freeSlots(now time.Duration) (free float64, limited bool)
	// avoidsAccused tells that some servers are accused, and few enough to be avoided.
	avoidsAccused(now time.Duration) bool
}

var (
	_ overview = wholeLook{}
	_ overview = (*summary)(nil)
)

// overview is a look at each server where there are few, and sums that serve for a while where
// there are many.
func (p *Pool) overview() overview {
	if p.large() {
		return &p.summary
	}
	return wholeLook{p}
}

// large tells whether choices look at a part of the servers only.
func (p *Pool) large() bool { return len(p.places) > sampleAbove }

// wholeLook looks at each server whenever it is asked.
type wholeLook struct{ pool *Pool }

func (l wholeLook) usage(now time.Duration) usage {
	sum := usage{limited: true}
	for place, each := range l.pool.servers {
		if each != nil {
			sum.add(l.pool.see(each, now), l.pool.usable(place, now))
		}
	}
	return sum
}

func (l wholeLook) freeSlots(now time.Duration) (free float64, limited bool) {
	for place, each := range l.pool.servers {
		if each == nil || !l.pool.usable(place, now) {
			continue
		}
		if each.Slots == 0 {
			return 0, false
		}
		free += l.pool.see(each, now).freeSlots()
	}
	return free, true
}

func (l wholeLook) avoidsAccused(time.Duration) bool {
	accused := 0
	for _, each := range l.pool.servers {
		if each != nil && l.pool.shares.At(each.hash).accused() {
			accused++
		}
	}
	return fewAccused(accused, len(l.pool.places))
}
