package balance

import (
	"time"

	"rockwind.example/rockwind/internal/topology"
)

// Member is a server as the directory describes it.
type Member struct {
	ID      string
	Address string
	Zone    string
	// Region is that of the zone; empty on a site whose settings name no regions.
	Region string
	// Version of its software; empty if it does not say.
	Version string
	// Slots is the number of requests it runs concurrently; zero if unknown.
	Slots int
	// Silent is set for a server that has not reported to the directory for long.
	Silent bool
	// ColdUntil is when the server stops being cold, in the pool's time. ColdSpacing is the minimum
	// time between requests of this process until then; zero means that none may be sent.
	ColdUntil   time.Duration
	ColdSpacing time.Duration
}

// server is a member with what is known of its load.
type server struct {
	Member
	// distance is how far the server is from this process.
	distance topology.Distance
	// hash identifies the server in digests.
	hash uint32
	// orphanHash identifies the orphaned requests there.
	orphanHash uint32
	// inflight counts the requests of this process.
	inflight int
	// batch counts those of them that are batch work.
	batch int
	// unread is the number of prompt tokens sent whose first event has not arrived.
	unread int
	// reportedLoad is the server's last reported load, received at reportedAt. inflightDelta is the
	// number of requests that this process started since, less those that ended.
	reportedLoad  int
	reportedAt    time.Duration
	inflightDelta int
	hasReport     bool
	// fullUntil is when the server may be used again after it refused a request as full.
	fullUntil time.Duration
	// batchTrialFailed is set if the last trial with a batch request failed.
	batchTrialFailed bool
	// replaced is set once another server answers at its address.
	replaced bool
	// handledExcess is the number of requests beyond its slots that preemptions were already decided
	// for.
	handledExcess handledAmount
	// freedSlots holds when requests of this process freed slots that none of its requests has taken
	// since.
	freedSlots recentTimes
	// coldNext is when this process may send the next request while the server is cold.
	coldNext time.Duration
	// lastSearch is the last sampling search that considered this server.
	lastSearch uint64
	// parts maps prompt parts to the time they were last sent here.
	parts map[uint64]time.Duration
}

// Update replaces the members and keeps the state of those that stay.
func (p *Pool) Update(members []Member) {
	p.invalidateSums()
	// A server's place never changes while it is a member, because its health and pace are tracked
	// by place.
	byID := make(map[string]Member, len(members))
	for _, member := range members {
		byID[member.ID] = member
	}
	for place, srv := range p.servers {
		if srv == nil {
			continue
		}
		member, stays := byID[srv.ID]
		if !stays {
			p.remove(place)
			continue
		}
		p.setMember(srv, member)
	}
	for _, member := range members {
		if _, present := p.places[member.ID]; !present {
			p.Put(member)
		}
	}
}

// Put adds or updates a member.
func (p *Pool) Put(member Member) {
	p.invalidateSums()
	if srv := p.find(member.ID); srv != nil {
		p.setMember(srv, member)
		return
	}
	p.add(&server{Member: member, hash: ServerHash(member.ID), orphanHash: OrphanHash(member.ID), parts: make(map[uint64]time.Duration)})
}

// Drop removes a member, if present.
func (p *Pool) Drop(id string) {
	if place := p.place(id); place >= 0 {
		p.invalidateSums()
		p.remove(place)
	}
}

func (p *Pool) add(added *server) {
	clear(p.affinities)
	p.regionPlaces.valid = false
	added.distance = p.topology.Distance(p.zone, added.Zone)
	place := p.vacantPlace()
	p.servers[place] = added
	p.places[added.ID] = place
	p.countVersion(added.Version, 1)
}

// vacantPlace returns a place that no server has and grows the pool if there is none.
func (p *Pool) vacantPlace() int {
	if last := len(p.vacant) - 1; last >= 0 {
		place := p.vacant[last]
		p.vacant = p.vacant[:last]
		return place
	}
	p.servers = append(p.servers, nil)
	p.tracker.Resize(len(p.servers))
	if p.paces != nil {
		p.paces.Resize(len(p.servers))
	}
	return len(p.servers) - 1
}

func (p *Pool) remove(place int) {
	clear(p.affinities)
	p.regionPlaces.valid = false
	delete(p.places, p.servers[place].ID)
	p.countVersion(p.servers[place].Version, -1)
	p.servers[place] = nil
	p.vacant = append(p.vacant, place)
	p.tracker.Forget(place)
	if p.paces != nil {
		p.paces.Forget(place)
	}
}

func (p *Pool) find(id string) *server {
	if place := p.place(id); place >= 0 {
		return p.servers[place]
	}
	return nil
}

func (p *Pool) place(id string) int {
	place, found := p.places[id]
	if !found {
		return -1
	}
	return place
}

// Size returns the number of members.
func (p *Pool) Size() int { return len(p.places) }

// Slots returns the number of slots of all members, or zero if that of any is unknown.
func (p *Pool) Slots() int { return p.SlotsIn(topology.RegionSet{}) }

// SlotsIn returns the number of slots of the members in the given regions, or zero if that of any is
// unknown.
func (p *Pool) SlotsIn(regions topology.RegionSet) int {
	slots := 0
	for _, srv := range p.servers {
		if srv == nil || !regions.Allows(srv.Region) {
			continue
		}
		if srv.Slots == 0 {
			return 0
		}
		slots += srv.Slots
	}
	return slots
}

// refusesCold reports whether the server is cold and may not be sent a request of this process now.
func (s *server) refusesCold(now time.Duration) bool {
	return now < s.ColdUntil && (s.ColdSpacing == 0 || now < s.coldNext)
}

func (s *server) dropOldParts(now time.Duration) {
	for id, last := range s.parts {
		if now-last > partTTL {
			delete(s.parts, id)
		}
	}
	for id := range s.parts {
		if len(s.parts) <= maxPartsPerServer {
			return
		}
		delete(s.parts, id)
	}
}
