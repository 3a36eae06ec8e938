package balance

// mostFar is how many runs that other zones saw count at most of the pace of a server. A link or
// a neighbour may slow a server down for the callers of one zone only: what that zone saw itself
// speaks for its callers. Where it saw little, a few runs of the others replace the remembered
// speed, as they do in each process.
//
// With a third of 90 servers eight times slower for the callers of one zone of three, at half of the
// capacity, answers to these end after 635 ms instead of 796 and those of the others after 347 instead
// of 406; where servers are as fast for all, at 0.5 and 0.8 of the capacity, 1% later at most
// (BenchmarkOneZone and BenchmarkZonesAlike of package pace, means of four seeds). With 2 it is 574
// and 2% later, with 8 it is 695 and no later.
const mostFar = 4

// SetZone tells in which zone this process stands: the groups of digests are named for their
// zones. Call it before the first digest.
func (s *SharedLoads) SetZone(zone string) { s.zone = zone }

// isFar tells whether a sender sums up groups of other zones.
func (s *SharedLoads) isFar(from *sender) bool {
	if s.zone == "" || from.group == "" {
		return false
	}
	return (from.group == s.zone) == from.elsewhere
}

// addFar adds what a sender told of paces to that of other zones, or takes it out.
func (s *SharedLoads) addFar(from *sender, sign int) {
	if !s.isFar(from) {
		return
	}
	for server, load := range from.loads {
		sum := s.far[server].plus(load.Pace, sign)
		if sum == (SharedPace{}) {
			delete(s.far, server)
			continue
		}
		s.far[server] = sum
	}
}

// PaceAt is what all other processes together know of the pace of a server, those of other
// zones with at most mostFar runs.
func (s *SharedLoads) PaceAt(server uint32) SharedPace {
	return s.nearPace(server, s.sums[server].Pace)
}

// nearPace takes out of what all other processes know what other zones saw beyond mostFar runs.
func (s *SharedLoads) nearPace(server uint32, all SharedPace) SharedPace {
	far := s.far[server]
	if far.ObservedCount <= mostFar {
		return all
	}
	all.ObservedSum -= far.ObservedSum - far.ObservedSum*mostFar/far.ObservedCount
	all.ObservedCount -= far.ObservedCount - mostFar
	return all
}
