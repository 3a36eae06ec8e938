package balance

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// orphanMarker is the hash under which a digest reports that it contains orphaned requests.
// Without it, each choice would have to look up a second hash per server.
var orphanMarker = uint32(xxhash.Sum64String("left behind"))

// survivorsMarker is the hash under which a restarted process reports that it knows of processes that
// have not restarted.
var survivorsMarker = uint32(xxhash.Sum64String("others lived on"))

// OrphanHash returns the hash that identifies the orphaned requests at a server in digests,
// that is, those still running there for processes that have ended. Inflight sums up the counts of
// the processes that asked the server, and Unread is the number of these processes.
func OrphanHash(server string) uint32 {
	return uint32(xxhash.Sum64String("left behind at " + server))
}

// SetOrphaned replaces the numbers of orphaned requests that servers told this process, by
// server identifier, and whether it reports that other processes survived. It returns whether
// anything changed.
func (s *SharedLoads) SetOrphaned(left map[string]int, survivors bool) (changed bool) {
	next := make(map[uint32]SharedLoad, len(left)+2)
	if survivors {
		next[survivorsMarker] = SharedLoad{Inflight: 1}
	}
	for server, count := range left {
		next[OrphanHash(server)] = SharedLoad{Inflight: count, Unread: 1}
	}
	if len(left) > 0 {
		next[orphanMarker] = SharedLoad{Inflight: 1}
	}
	changed = !maps.Equal(s.ownOrphaned, next)
	s.ownOrphaned = next
	s.updateHasOrphaned()
	return changed
}

// SurvivorsReported reports whether another restarted process reports that some processes have not
// restarted.
func (s *SharedLoads) SurvivorsReported() bool { return s.sums[survivorsMarker].Inflight > 0 }

// OwnOrphaned visits the entries about orphaned requests for this process's digest.
func (s *SharedLoads) OwnOrphaned(visit func(hash uint32, load SharedLoad)) {
	for hash, load := range s.ownOrphaned {
		visit(hash, load)
	}
}

// IgnoreOrphaned excludes orphaned requests from this process's loads. Sums for other
// processes still include them.
func (s *SharedLoads) IgnoreOrphaned() { s.ignoreOrphaned = true }

// updateHasOrphaned updates whether any process tells of orphaned requests.
func (s *SharedLoads) updateHasOrphaned() {
	s.hasOrphaned = !s.ignoreOrphaned && (len(s.ownOrphaned) > 0 || s.sums[orphanMarker].Inflight > 0)
}

// orphaned returns the number of orphaned requests at a server: the mean over the processes
// that asked it, rounded up.
func (s *SharedLoads) orphaned(hash uint32) int {
	if !s.hasOrphaned {
		return 0
	}
	reported := s.sums[hash].Plus(s.ownOrphaned[hash])
	if reported.Unread == 0 {
		return 0
	}
	return (reported.Inflight + reported.Unread - 1) / reported.Unread
}

// orphansCounted reports whether any process has counted the orphaned requests at a server, which may be
// none.
func (s *SharedLoads) orphansCounted(hash uint32) bool {
	return s.hasOrphaned && s.sums[hash].Unread+s.ownOrphaned[hash].Unread > 0
}

// Orphaned returns the number of orphaned requests at all servers of the pool.
func (p *Pool) Orphaned() int {
	sum := 0
	for _, srv := range p.servers {
		if srv != nil {
			sum += p.loads.orphaned(srv.orphanHash)
		}
	}
	return sum
}

// LiveInflight returns the number of requests that live processes, including this one, have at a
// server.
func (p *Pool) LiveInflight(id string) int {
	srv := p.find(id)
	if srv == nil {
		return 0
	}
	return p.liveInflight(srv)
}

func (p *Pool) liveInflight(s *server) int { return s.inflight + p.loads.At(s.hash).Inflight }
