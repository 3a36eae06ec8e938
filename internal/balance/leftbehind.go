package balance

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// leftMark is the hash under which a digest says that it tells of requests left behind, so
// that loads need not be looked up under a second hash at each choice.
var leftMark = uint32(xxhash.Sum64String("left behind"))

// livedMark is the hash under which a process that has just started says that it heard of
// others that have not.
var livedMark = uint32(xxhash.Sum64String("others lived on"))

// LeftBehindHash is the short name in digests of what processes that are gone left behind at a
// server: the requests in flight there are those, as each of so many processes was told as
// the tokens say.
func LeftBehindHash(server string) uint32 {
	return uint32(xxhash.Sum64String("left behind at " + server))
}

// SetLeftBehind replaces what this process was told that processes that are gone left behind
// at servers, by identifier, and whether it says that others have lived on. It tells whether
// that differs from before.
func (s *SharedLoads) SetLeftBehind(left map[string]int, livedOn bool) (changed bool) {
	next := make(map[uint32]SharedLoad, len(left)+2)
	if livedOn {
		next[livedMark] = SharedLoad{Inflight: 1}
	}
	for server, count := range left {
		next[LeftBehindHash(server)] = SharedLoad{Inflight: count, Unread: 1}
	}
	if len(left) > 0 {
		next[leftMark] = SharedLoad{Inflight: 1}
	}
	changed = !maps.Equal(s.ownLeft, next)
	s.ownLeft = next
	s.noteLeft()
	return changed
}

// SurvivorsReported tells whether another process that has just started says that some have not.
func (s *SharedLoads) SurvivorsReported() bool { return s.sums[livedMark].Inflight > 0 }

// OwnLeftBehind visits what this process tells the others of what was left behind.
func (s *SharedLoads) OwnLeftBehind(visit func(hash uint32, load SharedLoad)) {
	for hash, load := range s.ownLeft {
		visit(hash, load)
	}
}

// IgnoreLeftBehind has nothing counted as left behind here. What others tell of it is passed
// on all the same.
func (s *SharedLoads) IgnoreLeftBehind() { s.leftIgnored = true }

// noteLeft notes whether anything is told of requests left behind.
func (s *SharedLoads) noteLeft() {
	s.leftKnown = !s.leftIgnored && (len(s.ownLeft) > 0 || s.sums[leftMark].Inflight > 0)
}

// leftBehind is how many requests of processes that are gone a server has: the mean of what
// the processes were told that asked it, rounded up.
func (s *SharedLoads) leftBehind(hash uint32) int {
	if !s.leftKnown {
		return 0
	}
	told := s.sums[hash].Plus(s.ownLeft[hash])
	if told.Unread == 0 {
		return 0
	}
	return (told.Inflight + told.Unread - 1) / told.Unread
}

// LeftBehind is how many requests of processes that are gone the servers of the pool have.
func (p *Pool) LeftBehind() int {
	sum := 0
	for _, each := range p.servers {
		if each != nil {
			sum += p.shares.leftBehind(each.left)
		}
	}
	return sum
}

// LiveInflight is how many requests the living processes have at a server, this one included.
func (p *Pool) LiveInflight(id string) int {
	known := p.find(id)
	if known == nil {
		return 0
	}
	return p.living(known)
}

func (p *Pool) living(s *server) int { return s.inflight + p.shares.At(s.hash).Inflight }
