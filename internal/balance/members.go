package balance

import "time"

// Member is a server as the directory describes it.
type Member struct {
	ID      string
	Address string
	Zone    string
	// Slots is how many requests it runs at once; zero is unknown.
	Slots int
	// Silent servers have not reported for long.
	Silent bool
	// ColdUntil is until when it is cold, in the pool's time, and ColdSpacing the least time between
	// requests of this process meanwhile; zero means none.
	ColdUntil   time.Duration
	ColdSpacing time.Duration
}

// server is a member with what is known of its load.
type server struct {
	Member
	// hash is its short name in digests.
	hash uint32
	// left is the short name of what was left behind there.
	left uint32
	// inflight counts the requests of this process.
	inflight int
	// batch is how many of them are batch work.
	batch int
	// unread is the number of prompt tokens sent whose first event is awaited.
	unread int
	// told is the load that the server told last, at toldAt; since counts the
	// requests of this process that began less those that ended since.
	told   int
	toldAt time.Duration
	since  int
	known  bool
	// fullUntil is when the server may be tried again after it refused as full.
	fullUntil time.Duration
	// gone tells that another server has its address now.
	gone bool
	// excess is how many requests beyond its slots were given way to already.
	excess settled
	// vacated is when requests of this process left slots here that none has taken since.
	vacated recent
	// coldNext is when this process may send the next request there while it is cold.
	coldNext time.Duration
	// looked is the last search among a part of the servers that looked at this one.
	looked uint64
	// parts tells when a part was last sent here.
	parts map[uint64]time.Duration
}

// Update replaces the members and keeps what is known of those that stay.
func (p *Pool) Update(members []Member) {
	p.summary.invalidate()
	// A server's place never changes while it is a member: the judgement of its
	// health is kept by place.
	byID := make(map[string]Member, len(members))
	for _, member := range members {
		byID[member.ID] = member
	}
	for place, known := range p.servers {
		if known == nil {
			continue
		}
		member, stays := byID[known.ID]
		if !stays {
			p.remove(place)
			continue
		}
		known.Member = member
	}
	for _, member := range members {
		if _, known := p.places[member.ID]; !known {
			p.Put(member)
		}
	}
}

// Put adds a member, or takes what has changed of one.
func (p *Pool) Put(member Member) {
	p.summary.invalidate()
	if known := p.find(member.ID); known != nil {
		known.Member = member
		return
	}
	p.add(&server{Member: member, hash: ServerHash(member.ID), left: LeftBehindHash(member.ID), parts: make(map[uint64]time.Duration)})
}

// Drop removes a member, if it is one.
func (p *Pool) Drop(id string) {
	if place := p.place(id); place >= 0 {
		p.summary.invalidate()
		p.remove(place)
	}
}

func (p *Pool) add(added *server) {
	clear(p.homes)
	place := p.vacantPlace()
	p.servers[place] = added
	p.places[added.ID] = place
}

// vacantPlace takes a place that no server has.
func (p *Pool) vacantPlace() int {
	if last := len(p.vacant) - 1; last >= 0 {
		place := p.vacant[last]
		p.vacant = p.vacant[:last]
		return place
	}
	p.servers = append(p.servers, nil)
	p.tracker.Resize(len(p.servers))
	if p.pacer != nil {
		p.pacer.Resize(len(p.servers))
	}
	return len(p.servers) - 1
}

func (p *Pool) remove(place int) {
	clear(p.homes)
	delete(p.places, p.servers[place].ID)
	p.servers[place] = nil
	p.vacant = append(p.vacant, place)
	p.tracker.Forget(place)
	if p.pacer != nil {
		p.pacer.Forget(place)
	}
}

func (p *Pool) find(id string) *server {
	if place := p.place(id); place >= 0 {
		return p.servers[place]
	}
	return nil
}

func (p *Pool) place(id string) int {
	place, known := p.places[id]
	if !known {
		return -1
	}
	return place
}

// Size is the number of members.
func (p *Pool) Size() int { return len(p.places) }

// Slots is how many requests all members run at once; zero where one does not say.
func (p *Pool) Slots() int {
	slots := 0
	for _, known := range p.servers {
		if known == nil {
			continue
		}
		if known.Slots == 0 {
			return 0
		}
		slots += known.Slots
	}
	return slots
}

// refusesCold tells whether a server is cold and gets nothing more from this process now.
func (s *server) refusesCold(now time.Duration) bool {
	return now < s.ColdUntil && (s.ColdSpacing == 0 || now < s.coldNext)
}

func (s *server) dropOldParts(now time.Duration) {
	for id, last := range s.parts {
		if now-last > partFor {
			delete(s.parts, id)
		}
	}
	for id := range s.parts {
		if len(s.parts) <= maximumParts {
			return
		}
		delete(s.parts, id)
	}
}
