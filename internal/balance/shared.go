package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/topology"
)

// senderTTL is how long the last digest of a process counts.
const senderTTL = 1200 * time.Millisecond

// SharedLoad is the load of another process at a server. Digests also use it under other hashes:
// for the requests that wait for a service (QueueHash) or in one of its classes, with the number of
// clients that were told to retry, and for a tenant's use of a class (fairshare.Hash).
type SharedLoad struct {
	Inflight int
	// Unread is the number of prompt tokens sent whose first event has not arrived.
	Unread int
	// Batch counts the requests in flight that are batch work.
	Batch int
	// Suspects is the number of processes that consider the server failing.
	Suspects int
	// Far counts the requests in flight that are those of processes in other regions, whose loads are older.
	Far int
	// Pace holds the reported and observed paces of the server.
	Pace SharedPace
}

// Plus returns the sum of two loads.
func (l SharedLoad) Plus(other SharedLoad) SharedLoad { return l.plus(other, 1) }

func (l SharedLoad) plus(other SharedLoad, sign int) SharedLoad {
	return SharedLoad{
		Inflight: l.Inflight + sign*other.Inflight,
		Unread:   l.Unread + sign*other.Unread,
		Batch:    l.Batch + sign*other.Batch,
		Suspects: l.Suspects + sign*other.Suspects,
		Far:      l.Far + sign*other.Far,
		Pace:     l.Pace.plus(other.Pace, sign),
	}
}

// ServerHash returns the hash that identifies a server in digests.
func ServerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// QueueHash returns the hash that identifies the queue of a service in digests. Inflight counts the
// online requests that wait in it.
func QueueHash(service string) uint32 { return uint32(xxhash.Sum64String("queue of " + service)) }

// RegionsQueueHash returns the hash that identifies the requests in the queue of a service that are
// restricted to the given regions.
func RegionsQueueHash(service string, regions topology.RegionSet) uint32 {
	return QueueHash(service + " " + regions.Key())
}

// TimelyHash returns the hash that identifies in digests those requests in the queue of a service
// that can still meet their objective. Inflight is their number.
func TimelyHash(service string) uint32 {
	return uint32(xxhash.Sum64String("timely in queue of " + service))
}

// sender is the newest digest of another process or of the delegate of a group.
type sender struct {
	started  int64
	sequence uint64
	at       time.Duration
	loads    map[uint32]SharedLoad
	// group is the group that the digest sums up; empty for a single process. members is the number
	// of processes covered.
	group   string
	members int
	// allButGroup is set if the digest sums up all groups except that one.
	allButGroup bool
	// counts is set if the sender has sent a number of covered processes since its start, in a digest of all
	// groups except one.
	counts bool
	// zones are the hashes of the groups that the digest of a region sums up; empty for others.
	zones []uint32
}

// SharedLoads holds the newest digests of the other processes and their sums by server. It is not
// safe for concurrent use.
type SharedLoads struct {
	senders map[string]*sender
	sums    map[uint32]SharedLoad
	// spares are maps of dropped digests, which Spare returns; at most maxSpares.
	spares []map[uint32]SharedLoad
	// processes is the number of processes covered by all digests.
	processes int
	// zone is the zone of this process; empty if not set. remotePaces holds the paces sent by groups
	// of other zones, by server.
	zone        string
	remotePaces map[uint32]SharedPace
	// ownOrphaned holds the orphaned requests that this process reports. hasOrphaned is set if any
	// process reports some and ignoreOrphaned is not set.
	ownOrphaned    map[uint32]SharedLoad
	hasOrphaned    bool
	ignoreOrphaned bool
	// started is when this process started, in Unix milliseconds; zero is unknown. receivedAny is set
	// once a digest has arrived, lastReceivedAt is the arrival of the last one, and receivingSince that of the first
	// one since the last long pause.
	started        int64
	receivedAny    bool
	lastReceivedAt time.Duration
	receivingSince time.Duration
	// firstReceivedAt is when the first digest arrived.
	firstReceivedAt time.Duration
}

func NewSharedLoads() *SharedLoads {
	return &SharedLoads{senders: make(map[string]*sender), sums: make(map[uint32]SharedLoad), remotePaces: make(map[uint32]SharedPace)}
}

// maxSpares is the largest number of maps that are kept for the next digests. A digest of a group may replace
// several others.
const maxSpares = 4

// Spare returns an empty map for the loads of the next digest, which has the given number of entries. It is
// the map of a dropped digest of similar size, if there is one: these maps were most of what a router with
// little traffic allocated. Large ones are not used for small digests, since a map keeps its size.
func (s *SharedLoads) Spare(entries int) map[uint32]SharedLoad {
	for i, spare := range s.spares {
		if len(spare) <= 2*entries && entries <= 2*len(spare) {
			s.spares = slices.Delete(s.spares, i, i+1)
			clear(spare)
			return spare
		}
	}
	return make(map[uint32]SharedLoad, entries)
}

// keepSpare keeps the map of a dropped digest instead of the oldest one.
func (s *SharedLoads) keepSpare(loads map[uint32]SharedLoad) {
	if len(s.spares) == maxSpares {
		s.spares = slices.Delete(s.spares, 0, 1)
	}
	s.spares = append(s.spares, loads)
}

// Apply replaces the last digest of a process. It takes over the map. Digests that are not newer, by the sender's start
// and the sequence number, are ignored. Sums of the process's own group that include the sender are
// dropped.
func (s *SharedLoads) Apply(name string, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	if s.zone != "" {
		// No sender sums up a group unless a zone is set.
		s.dropCovered(name, s.sumsOwnGroup)
	}
	s.apply(name, sender{started: started, sequence: sequence, at: now, loads: loads, members: 1})
}

// sumsOwnGroup reports whether a sender sums up the group of this process, whose zone must be set.
func (s *SharedLoads) sumsOwnGroup(held *sender) bool {
	return held.group == s.zone && !held.allButGroup
}

// ApplyGroup replaces the digests that cover a group, from any delegate, including sums of all
// groups but another one. The sum of the own group also replaces the digests of its members.
func (s *SharedLoads) ApplyGroup(delegate, group string, members int, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	key := "group of " + delegate
	s.dropCovered(key, func(held *sender) bool {
		switch {
		case len(held.zones) > 0:
			return slices.Contains(held.zones, ZoneHash(group))
		case held.allButGroup:
			return held.group != group
		case held.group == "":
			return s.zone != "" && group == s.zone
		}
		return held.group == group
	})
	s.apply(key, sender{started: started, sequence: sequence, at: now, loads: loads, group: group, members: members})
}

// ApplyOtherGroups replaces the digests that cover groups other than the given one.
func (s *SharedLoads) ApplyOtherGroups(delegate, group string, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	key := "elsewhere of " + delegate
	s.dropCovered(key, func(held *sender) bool {
		return held.allButGroup || (held.group != "" && held.group != group)
	})
	s.apply(key, sender{started: started, sequence: sequence, at: now, loads: loads, group: group, allButGroup: true})
}

// ZoneHash returns the hash that identifies a group in the digest of a region.
func ZoneHash(group string) uint32 { return uint32(xxhash.Sum64String("zone " + group)) }

// coverageWindow is how long the sum of a region replaces those of other delegates that cover fewer
// groups. It exceeds the time that a relay needs to replace a delegate and to receive the sums of all
// groups, and is shorter than senderTTL.
const coverageWindow = time.Second

// otherRegionGroup is the group of senders that sum up a region. No zone has this name.
const otherRegionGroup = "\x00region"

// ApplyRegion replaces the digests that cover groups of another region, from any delegate. A digest
// that covers fewer groups than a recent one of another delegate is ignored: a new delegate has not
// received the sums of all groups yet.
func (s *SharedLoads) ApplyRegion(delegate string, zones []uint32, members int, started int64, sequence uint64, loads map[uint32]SharedLoad, now time.Duration) {
	key := "region of " + delegate
	for other, held := range s.senders {
		if other != key && now-held.at <= coverageWindow && len(held.zones) > len(zones) && containsAll(held.zones, zones) {
			return
		}
	}
	s.dropCovered(key, func(held *sender) bool {
		if held.allButGroup || containsAny(held.zones, zones) {
			return true
		}
		return held.group != "" && slices.Contains(zones, ZoneHash(held.group))
	})
	far := make(map[uint32]SharedLoad, len(loads))
	for server, load := range loads {
		load.Far = load.Inflight
		far[server] = load
	}
	s.apply(key, sender{started: started, sequence: sequence, at: now, loads: far, group: otherRegionGroup, members: members, zones: zones})
}

func containsAny(zones, wanted []uint32) bool {
	return slices.ContainsFunc(wanted, func(zone uint32) bool { return slices.Contains(zones, zone) })
}

func containsAll(zones, wanted []uint32) bool {
	return !slices.ContainsFunc(wanted, func(zone uint32) bool { return !slices.Contains(zones, zone) })
}

// SumOfGroups adds up the digests that cover the named groups.
func (s *SharedLoads) SumOfGroups(groups []string) map[uint32]SharedLoad {
	sums := make(map[uint32]SharedLoad)
	for _, held := range s.senders {
		if held.group != "" && !held.allButGroup && slices.Contains(groups, held.group) {
			held.addTo(sums)
		}
	}
	return sums
}

// dropCovered drops the senders that a newer digest under the given key covers.
func (s *SharedLoads) dropCovered(key string, covered func(held *sender) bool) {
	for other, held := range s.senders {
		if other != key && covered(held) {
			s.drop(other)
		}
	}
}

func (s *SharedLoads) apply(key string, next sender) {
	held := s.senders[key]
	if held != nil {
		older := next.started < held.started || (next.started == held.started && next.sequence <= held.sequence)
		if older {
			return
		}
		next.counts = held.counts && next.started == held.started
		s.drop(key)
	}
	s.noteDigest(next.at)
	s.senders[key] = &next
	s.processes += next.members
	s.add(next.loads, 1)
	s.addRemotePaces(&next, 1)
}

func (s *SharedLoads) drop(key string) {
	held := s.senders[key]
	s.add(held.loads, -1)
	s.addRemotePaces(held, -1)
	s.processes -= held.members
	s.keepSpare(held.loads)
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
	s.updateHasOrphaned()
}

// Expire drops the digests older than senderTTL.
func (s *SharedLoads) Expire(now time.Duration) {
	for name, held := range s.senders {
		if now-held.at > senderTTL {
			s.drop(name)
		}
	}
}

// HasPeers reports whether there is a digest of any other process.
func (s *SharedLoads) HasPeers() bool { return len(s.senders) > 0 }

// EarliestStart returns the earliest start of the known processes, or of the delegates that report
// for them, in Unix milliseconds. It returns false if there are none.
func (s *SharedLoads) EarliestStart() (started int64, known bool) {
	for _, held := range s.senders {
		if !known || held.started < started {
			started, known = held.started, true
		}
	}
	return started, known
}

// Processes returns the number of other processes that the digests cover.
func (s *SharedLoads) Processes() int { return s.processes }

// seenWindow is how long a process counts as recently seen after its last digest.
const seenWindow = 700 * time.Millisecond

// RecentlySeen reports whether a digest of the process itself arrived recently.
func (s *SharedLoads) RecentlySeen(name string, now time.Duration) bool {
	held, found := s.senders[name]
	return found && now-held.at <= seenWindow
}

// SumOf adds up the digests of the named processes themselves.
func (s *SharedLoads) SumOf(names []string) map[uint32]SharedLoad {
	sums := make(map[uint32]SharedLoad)
	for _, name := range names {
		if held, found := s.senders[name]; found {
			held.addTo(sums)
		}
	}
	return sums
}

// addTo adds the loads of the digest to sums by server.
func (s *sender) addTo(sums map[uint32]SharedLoad) {
	for server, load := range s.loads {
		sums[server] = sums[server].Plus(load)
	}
}

// Sequences visits the newest digests of the named processes themselves.
func (s *SharedLoads) Sequences(names []string, visit func(name string, started int64, sequence uint64)) {
	for _, name := range names {
		if held, found := s.senders[name]; found {
			visit(name, held.started, held.sequence)
		}
	}
}

// SumOtherGroups adds up the digests that cover groups other than the given one.
func (s *SharedLoads) SumOtherGroups(group string) map[uint32]SharedLoad {
	sums := make(map[uint32]SharedLoad)
	for _, held := range s.senders {
		if held.group != "" && (held.group == group) == held.allButGroup {
			held.addTo(sums)
		}
	}
	return sums
}

// At returns the load of all other processes at a server.
func (s *SharedLoads) At(server uint32) SharedLoad { return s.sums[server] }

// OwnLoads visits the loads of this process at the servers of the pool, with its suspicions and, if
// servers report their pace, the paces.
func (p *Pool) OwnLoads(now time.Duration, visit func(server uint32, load SharedLoad)) {
	usesPace := p.usesPace(now)
	for place, srv := range p.servers {
		if srv == nil {
			continue
		}
		load := SharedLoad{Inflight: srv.inflight, Unread: srv.unread, Batch: srv.batch}
		// Hold-downs after failed trials with batch requests are not reported: a partition may separate some
		// stores from servers that routers reach, and routers avoid servers that two processes report.
		if srv.replaced || (p.tracker.Failing(place, now) && !srv.batchTrialFailed) {
			load.Suspects = 1
		}
		if usesPace {
			load.Pace = p.paces.OwnPace(place, now)
		}
		if load != (SharedLoad{}) {
			visit(srv.hash, load)
		}
	}
}
