package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// senderFor is how long the digest of a process counts without a newer one.
const senderFor = 1200 * time.Millisecond

// SharedLoad is what another process has at a server; or, under other hashes, what waits there
// for a service (QueueHash) and in a class of its requests, with how many clients were told to
// come back, and what a tenant had of a class (fairshare.Hash).
type SharedLoad struct {
	Inflight int
	Unread   int
	// Batch is how many of the requests in flight are batch work.
	Batch int
	// Suspects is how many processes take the server for failing.
	Suspects int
	// Pace is what is known of how long work takes there.
	Pace SharedPace
}

// Plus adds two loads.
func (l SharedLoad) Plus(other SharedLoad) SharedLoad { return l.plus(other, 1) }

func (l SharedLoad) plus(other SharedLoad, sign int) SharedLoad {
	return SharedLoad{
		Inflight: l.Inflight + sign*other.Inflight,
		Unread:   l.Unread + sign*other.Unread,
		Batch:    l.Batch + sign*other.Batch,
		Suspects: l.Suspects + sign*other.Suspects,
		Pace:     l.Pace.plus(other.Pace, sign),
	}
}

// ServerHash is the short name of a server in digests.
func ServerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// QueueHash is the short name of the queue of a service in digests: the requests in flight
// there are online requests that wait for a server.
func QueueHash(service string) uint32 { return uint32(xxhash.Sum64String("queue of " + service)) }

// sender is another process, or the delegate of a group, with its newest digest.
type sender struct {
	started  int64
	sequence uint64
	at       time.Duration
	loads    map[uint32]SharedLoad
	// group is the group that the digest sums up, empty for one process; members is
	// how many processes it covers.
	group   string
	members int
	// elsewhere tells that it sums up all groups but that one.
	elsewhere bool
}

// SharedLoads holds the newest digests of the other processes and their sums by server.
// It belongs to one goroutine at a time.
type SharedLoads struct {
	senders map[string]*sender
	sums    map[uint32]SharedLoad
	// processes is how many processes all digests cover.
	processes int
	// zone is that of this process, empty where it was not set, and far what was told of paces
	// by groups of other zones, by server.
	zone string
	far  map[uint32]SharedPace
	// ownLeft is what this process tells of requests left behind, and leftKnown tells whether
	// any process tells of some; leftIgnored has none counted here.
	ownLeft     map[uint32]SharedLoad
	leftKnown   bool
	leftIgnored bool
}

// NewSharedLoads returns shares without senders.
func NewSharedLoads() *SharedLoads {
	return &SharedLoads{senders: make(map[string]*sender), sums: make(map[uint32]SharedLoad), far: make(map[uint32]SharedPace)}
}

// Apply replaces what a process told before. A digest that is older than the one
// held, by the sender's start and its sequence, is passed over.
// A sum of the process's own group covered it, and counts no more: members tell their loads to
// relays, which take no such sum, and to those that stand in for them.
func (s *SharedLoads) Apply(name string, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	if s.zone != "" {
		// Without groups there is nothing to look for among all senders.
		s.dropOthers(name, s.sumsOwnGroup)
	}
	s.take(name, sender{started: started, sequence: sequence, at: now, loads: loads, members: 1})
}

// sumsOwnGroup tells whether a sender sums up the group of this process, whose zone is known.
func (s *SharedLoads) sumsOwnGroup(known *sender) bool {
	return known.group == s.zone && !known.elsewhere
}

// ApplyGroup replaces what was told of a group before, by this delegate or by
// another one, also within a sum of all groups but one. The sum of the own group also
// replaces what members of it told themselves.
func (s *SharedLoads) ApplyGroup(delegate, group string, members int, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	key := "group of " + delegate
	s.dropOthers(key, func(known *sender) bool {
		switch {
		case known.elsewhere:
			return known.group != group
		case known.group == "":
			return s.zone != "" && group == s.zone
		}
		return known.group == group
	})
	s.take(key, sender{started: started, sequence: sequence, at: now, loads: loads, group: group, members: members})
}

// ApplyOtherGroups replaces what was told of all groups but the named one.
func (s *SharedLoads) ApplyOtherGroups(delegate, group string, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	key := "elsewhere of " + delegate
	s.dropOthers(key, func(known *sender) bool {
		return known.elsewhere || (known.group != "" && known.group != group)
	})
	s.take(key, sender{started: started, sequence: sequence, at: now, loads: loads, group: group, elsewhere: true})
}

// dropOthers drops the senders whose digests a newer one under the given key covers.
func (s *SharedLoads) dropOthers(key string, covered func(known *sender) bool) {
	for other, known := range s.senders {
		if other != key && covered(known) {
			s.drop(other)
		}
	}
}

func (s *SharedLoads) take(key string, next sender) {
	known := s.senders[key]
	if known != nil {
		older := next.started < known.started || (next.started == known.started && next.sequence <= known.sequence)
		if older {
			return
		}
		s.drop(key)
	}
	s.senders[key] = &next
	s.processes += next.members
	s.add(next.loads, 1)
	s.addFar(&next, 1)
}

func (s *SharedLoads) drop(key string) {
	known := s.senders[key]
	s.add(known.loads, -1)
	s.addFar(known, -1)
	s.processes -= known.members
	delete(s.senders, key)
}

func (s *SharedLoads) add(loads map[uint32]SharedLoad, sign int) {
	for server, load := range loads {
		sum := s.sums[server].plus(load, sign)
		if sum == (SharedLoad{}) {
			delete(s.sums, server)
			continue
		}
		s.sums[server] = sum
	}
	s.noteLeft()
}

// Expire forgets the processes that were silent for long.
func (s *SharedLoads) Expire(now time.Duration) {
	for name, known := range s.senders {
		if now-known.at > senderFor {
			s.drop(name)
		}
	}
}

// HasPeers tells whether any other process tells what it has.
func (s *SharedLoads) HasPeers() bool { return len(s.senders) > 0 }

// EarliestStart is the earliest start of the processes that tell what they have, or of the
// delegates that tell it for them, in Unix milliseconds, and whether there is one.
func (s *SharedLoads) EarliestStart() (started int64, heard bool) {
	for _, known := range s.senders {
		if !heard || known.started < started {
			started, heard = known.started, true
		}
	}
	return started, heard
}

// Processes is how many other processes the digests cover.
func (s *SharedLoads) Processes() int { return s.processes }

// heardFor is how long a process counts as heard after its last digest.
const heardFor = 700 * time.Millisecond

// Heard tells whether a digest of the process itself came lately.
func (s *SharedLoads) Heard(name string, now time.Duration) bool {
	known, found := s.senders[name]
	return found && now-known.at <= heardFor
}

// SumOf adds up what the named processes have told of themselves.
func (s *SharedLoads) SumOf(names []string) map[uint32]SharedLoad {
	sums := make(map[uint32]SharedLoad)
	for _, name := range names {
		if known, found := s.senders[name]; found {
			known.addTo(sums)
		}
	}
	return sums
}

// addTo adds what the sender told to sums by server.
func (s *sender) addTo(sums map[uint32]SharedLoad) {
	for server, load := range s.loads {
		sums[server] = sums[server].Plus(load)
	}
}

// Sequences lists the newest digests of the named processes themselves.
func (s *SharedLoads) Sequences(names []string, visit func(name string, started int64, sequence uint64)) {
	for _, name := range names {
		if known, found := s.senders[name]; found {
			visit(name, known.started, known.sequence)
		}
	}
}

// SumOtherGroups adds up what was told of all groups but the named one.
func (s *SharedLoads) SumOtherGroups(group string) map[uint32]SharedLoad {
	sums := make(map[uint32]SharedLoad)
	for _, known := range s.senders {
		if known.group != "" && (known.group == group) == known.elsewhere {
			known.addTo(sums)
		}
	}
	return sums
}

// At is what all other processes together have at a server.
func (s *SharedLoads) At(server uint32) SharedLoad { return s.sums[server] }

// OwnLoads lists what this process has at the servers of the pool, which of them it takes for
// failing, and their paces where servers tell theirs.
func (p *Pool) OwnLoads(now time.Duration, visit func(server uint32, load SharedLoad)) {
	informed := p.informed(now)
	for place, known := range p.servers {
		if known == nil {
			continue
		}
		load := SharedLoad{Inflight: known.inflight, Unread: known.unread, Batch: known.batch}
		if known.gone || p.tracker.Failing(place, now) {
			load.Suspects = 1
		}
		if informed {
			load.Pace = p.pacer.OwnPace(place, now)
		}
		if load != (SharedLoad{}) {
			visit(known.hash, load)
		}
	}
}
