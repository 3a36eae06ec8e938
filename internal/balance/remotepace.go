package balance

// maxRemoteRuns limits how many runs observed by other zones count for the pace of a server. A slow
// link may affect the callers of one zone only, so that a zone's own observations come first. Where
// it has few, some runs of other zones replace the remembered long-term pace. BenchmarkOneZone and
// BenchmarkZonesAlike of package pace show the effect.
const maxRemoteRuns = 4

// SetZone sets the zone of this process; digest groups are named after their zones. Call it before
// the first digest is applied.
func (s *SharedLoads) SetZone(zone string) { s.zone = zone }

// isRemote reports whether a sender sums up groups of other zones.
func (s *SharedLoads) isRemote(from *sender) bool {
	if s.zone == "" || from.group == "" {
		return false
	}
	return (from.group == s.zone) == from.allButGroup
}

// addRemotePaces adds a sender's paces to the sums of other zones, or subtracts them.
func (s *SharedLoads) addRemotePaces(from *sender, sign int) {
	if !s.isRemote(from) {
		return
	}
	for server, load := range from.loads {
		sum := s.remotePaces[server].plus(load.Pace, sign)
		if sum == (SharedPace{}) {
			delete(s.remotePaces, server)
			continue
		}
		s.remotePaces[server] = sum
	}
}

// PaceAt returns what all other processes know of the pace of a server, with at most maxRemoteRuns
// runs of other zones.
func (s *SharedLoads) PaceAt(server uint32) SharedPace {
	return s.limitRemotePace(server, s.sums[server].Pace)
}

// limitRemotePace subtracts the runs of other zones beyond maxRemoteRuns from the sum of all other
// processes.
func (s *SharedLoads) limitRemotePace(server uint32, all SharedPace) SharedPace {
	remote := s.remotePaces[server]
	if remote.ObservedCount <= maxRemoteRuns {
		return all
	}
	all.ObservedSum -= remote.ObservedSum - remote.ObservedSum*maxRemoteRuns/remote.ObservedCount
	all.ObservedCount -= remote.ObservedCount - maxRemoteRuns
	return all
}
