package balance

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// sampleSize is how many servers a choice of a large pool draws. Before 204 servers at 0.97 of what
// they can do, 24 leave as many requests in time as a look at all (docs/design/size.md); each more
// costs some 0.2 us.
const sampleSize = 24

// sample looks at a part of the servers of a large pool: those that are due for a trial, those
// whose slots own requests have left, those that are likely to keep a part of the prompt, and
// some drawn from all. As the draw is even, each drawn server stands for many; those that keep
// a part stand for themselves, and are weighed so: a server is chosen nearly with the probability
// that it would have had among all. Where none of these is well, some are drawn from those that
// had room when the sums were made. It returns false where none of these is well either: then
// all have to be looked at.
func (s *search) sample() bool {
	p := s.pool
	p.choices++
	for _, place := range p.ejected {
		if p.trialDue(place, s.now) {
			s.lookOnce(place)
		}
	}
	s.lookAtLeavers()
	s.lookAtKeepers()
	s.draw(p.everyPlace())
	if !s.settled() {
		s.draw(p.summary.roomy(s.demand.Batch, s.now))
	}
	return s.settled()
}

// lookAtLeavers looks at the servers whose slots own requests have left. Such a slot counts for
// more than others where servers tell their pace, see surely; elsewhere it is one of many.
func (s *search) lookAtLeavers() {
	if s.demand.Batch || !s.informed {
		return
	}
	for _, place := range s.pool.leftSlots(s.now) {
		s.lookOnce(place)
	}
}

// settled tells that the best server so far will do.
func (s *search) settled() bool { return s.trial || s.sound }

// everyPlace lists the places of the servers, some of which may be vacant, in no order.
func (p *Pool) everyPlace() []int {
	for place := len(p.every); place < len(p.servers); place++ {
		p.every = append(p.every, place)
	}
	return p.every
}

// lookAtKeepers looks at the servers that are likely to keep a part of the prompt. All processes
// expect a part at the same homes: unless these stood for themselves only, beside drawn ones
// that stand for many, a part that hardly matters would gather all requests there.
func (s *search) lookAtKeepers() {
	s.handicap = math.Log(float64(len(s.pool.places)) / sampleSize)
	defer func() { s.handicap = 0 }()
	for i, part := range s.demand.Parts {
		keepers := s.pool.keepers.places(part.ID)
		for _, place := range keepers {
			s.lookOnce(int(place) - 1)
		}
		if i == len(s.demand.Parts)-1 {
			return
		}
		for _, home := range s.pool.homesOf(part.ID) {
			s.lookOnce(home)
		}
		if keepers == (keeperPlaces{}) {
			// What comes after a part that was sent nowhere is kept nowhere: uncached trusts
			// no home beyond the first such part.
			return
		}
	}
}

// draw looks at so many of the places, drawn without putting back. They stay in the order of
// the draws: the next one draws anew.
func (s *search) draw(places []int) {
	for i := range min(sampleSize, len(places)) {
		other := i + s.random.IntN(len(places)-i)
		places[i], places[other] = places[other], places[i]
		s.lookOnce(places[i])
	}
}

// lookOnce weighs the server at a place, negative for none, unless this search has done so or
// is over.
func (s *search) lookOnce(place int) {
	p := s.pool
	if s.trial || place < 0 || place >= len(p.servers) || p.servers[place] == nil || p.servers[place].looked == p.choices {
		return
	}
	p.servers[place].looked = p.choices
	s.look(place)
}

// trialDue tells whether the server at a place is out for its failures and may be tried.
func (p *Pool) trialDue(place int, now time.Duration) bool {
	if place >= len(p.servers) || p.servers[place] == nil {
		return false
	}
	state, _ := p.tracker.State(place, now)
	return state == health.Ejected && !p.tracker.Failing(place, now)
}

// findEjected notes which servers are out for their failures. Their first trial is due no
// earlier than seconds later, so that it is enough to look for them now and then.
func (p *Pool) findEjected(now time.Duration) {
	p.ejected = p.ejected[:0]
	if !p.large() || p.tracker.Ejected() == 0 {
		return
	}
	for place, each := range p.servers {
		if each == nil {
			continue
		}
		if state, _ := p.tracker.State(place, now); state == health.Ejected {
			p.ejected = append(p.ejected, place)
		}
	}
}
