package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// senderFor is how long the digest of a process counts without a newer one.
const senderFor = 1200 * time.Millisecond

// SharedLoad is what another process has at a server.
type SharedLoad struct {
	Inflight int
	Unread   int
}

// ServerHash is the short name of a server in digests.
func ServerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// sender is another process with its newest digest.
type sender struct {
	started  int64
	sequence uint64
	at       time.Duration
	loads    map[uint32]SharedLoad
}

// Shares holds the newest digests of the other processes and their sums by server.
// It belongs to one goroutine at a time.
type Shares struct {
	senders map[string]*sender
	sums    map[uint32]SharedLoad
}

// NewShares returns shares without senders.
func NewShares() *Shares {
	return &Shares{senders: make(map[string]*sender), sums: make(map[uint32]SharedLoad)}
}

// Take replaces what a process told before. A digest that is older than the one
// held, by the sender's start and its sequence, is passed over.
func (s *Shares) Take(name string, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	known := s.senders[name]
	if known == nil {
		known = &sender{}
		s.senders[name] = known
	}
	older := started < known.started || (started == known.started && sequence <= known.sequence)
	if older && known.loads != nil {
		return
	}
	s.add(known.loads, -1)
	s.add(loads, 1)
	known.started, known.sequence, known.at, known.loads = started, sequence, now, loads
}

func (s *Shares) add(loads map[uint32]SharedLoad, sign int) {
	for server, load := range loads {
		sum := s.sums[server]
		sum.Inflight += sign * load.Inflight
		sum.Unread += sign * load.Unread
		if sum == (SharedLoad{}) {
			delete(s.sums, server)
			continue
		}
		s.sums[server] = sum
	}
}

// Expire forgets the processes that were silent for long.
func (s *Shares) Expire(now time.Duration) {
	for name, known := range s.senders {
		if now-known.at > senderFor {
			s.add(known.loads, -1)
			delete(s.senders, name)
		}
	}
}

// Known tells whether any other process tells what it has.
func (s *Shares) Known() bool { return len(s.senders) > 0 }

// Senders is how many other processes tell what they have.
func (s *Shares) Senders() int { return len(s.senders) }

// At is what all other processes together have at a server.
func (s *Shares) At(server uint32) SharedLoad { return s.sums[server] }

// Own lists what this process has at the servers of the pool.
func (p *Pool) Own(visit func(server uint32, load SharedLoad)) {
	for _, known := range p.servers {
		if known != nil && (known.inflight > 0 || known.unread > 0) {
			visit(known.hash, SharedLoad{Inflight: known.inflight, Unread: known.unread})
		}
	}
}
