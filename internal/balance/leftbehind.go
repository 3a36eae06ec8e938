package balance

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// leftBehindMarker is the hash under which a digest tells that it contains requests left behind.
// Without it, each choice would have to look up a second hash per server.
var leftBehindMarker = uint32(xxhash.Sum64String("left behind"))

// survivorsMarker is the hash under which a restarted process tells that it heard of processes that
// have not restarted.
var survivorsMarker = uint32(xxhash.Sum64String("others lived on"))

// LeftBehindHash returns the hash that identifies the requests left behind at a server in digests,
// that is, those still running there for processes that have ended. Inflight sums up the counts of
// the processes that asked the server, and Unread is the number of these processes.
func LeftBehindHash(server string) uint32 {
	return uint32(xxhash.Sum64String("left behind at " + server))
}

// SetLeftBehind replaces the numbers of requests left behind that servers told this process, by
// server identifier, and whether it reports that other processes survived. It returns whether
// anything changed.
func (s *SharedLoads) SetLeftBehind(left map[string]int, survivors bool) (changed bool) {
	next := make(map[uint32]SharedLoad, len(left)+2)
	if survivors {
		next[survivorsMarker] = SharedLoad{Inflight: 1}
	}
	for server, count := range left {
		next[LeftBehindHash(server)] = SharedLoad{Inflight: count, Unread: 1}
	}
	if len(left) > 0 {
		next[leftBehindMarker] = SharedLoad{Inflight: 1}
	}
	changed = !maps.Equal(s.ownLeftBehind, next)
	s.ownLeftBehind = next
	s.updateHasLeftBehind()
	return changed
}

// SurvivorsReported reports whether another restarted process tells that some processes have not
// restarted.
func (s *SharedLoads) SurvivorsReported() bool { return s.sums[survivorsMarker].Inflight > 0 }

// OwnLeftBehind visits the entries about requests left behind for this process's digest.
func (s *SharedLoads) OwnLeftBehind(visit func(hash uint32, load SharedLoad)) {
	for hash, load := range s.ownLeftBehind {
		visit(hash, load)
	}
}

// IgnoreLeftBehind excludes requests left behind from this process's loads. Sums for other
// processes still include them.
func (s *SharedLoads) IgnoreLeftBehind() { s.ignoreLeftBehind = true }

// updateHasLeftBehind updates whether any process tells of requests left behind.
func (s *SharedLoads) updateHasLeftBehind() {
	s.hasLeftBehind = !s.ignoreLeftBehind && (len(s.ownLeftBehind) > 0 || s.sums[leftBehindMarker].Inflight > 0)
}

// leftBehind returns the number of requests left behind at a server: the mean over the processes
// that asked it, rounded up.
func (s *SharedLoads) leftBehind(hash uint32) int {
	if !s.hasLeftBehind {
		return 0
	}
	reported := s.sums[hash].Plus(s.ownLeftBehind[hash])
	if reported.Unread == 0 {
		return 0
	}
	return (reported.Inflight + reported.Unread - 1) / reported.Unread
}

// LeftBehind returns the number of requests left behind at all servers of the pool.
func (p *Pool) LeftBehind() int {
	sum := 0
	for _, srv := range p.servers {
		if srv != nil {
			sum += p.loads.leftBehind(srv.leftBehindHash)
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
