package balance

import (
	"time"

	"rockwind.example/rockwind/internal/health"
)

// sampleSize is how many servers a choice of a large pool draws.
const sampleSize = 24

// sample looks at a part of the servers of a large pool: those that are due for a trial, those
// that are likely to keep a part of the prompt, those whose slots own requests have left, and
// some drawn from all. Each is weighed as among all; as the draw is even, a server is chosen
// nearly with the probability that it would have had. Where none of them is well, some are
// drawn from those that had room when the sums were made. It returns false where none of
// these is well either: then all have to be looked at.
func (s *search) sample() bool {
	p := s.pool
	p.choices++
	for _, place := range p.ejected {
		if p.trialDue(place, s.now) {
			s.lookOnce(place)
		}
	}
	s.lookAtKeepers()
	if !s.demand.Batch {
		for _, place := range p.leftSlots(s.now) {
			s.lookOnce(place)
		}
	}
	s.draw(p.everyPlace())
	if !s.settled() {
		s.draw(p.summed(s.now).roomy(s.demand.Batch))
	}
	return s.settled()
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

// lookAtKeepers looks at the servers that are likely to keep a part of the prompt.
func (s *search) lookAtKeepers() {
	for i, part := range s.demand.Parts {
		for _, place := range s.pool.keepers.places(part.ID) {
			s.lookOnce(int(place) - 1)
		}
		if i == len(s.demand.Parts)-1 {
			return
		}
		for _, home := range s.pool.homesOf(part.ID) {
			s.lookOnce(home)
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
