// Package balance chooses the server of a service for a request. It is pure:
// time and randomness are arguments, so that routers, stores and simulations run
// the same code. Times are durations since an origin of the caller's choice.
//
// What a process sent itself is always counted at once. What servers tell of
// their load with each answer is late and covers all callers; both together give
// the estimate of a server's load. Prompt parts that were sent to a server lately
// are likely to be kept in its memory; where nothing is known, all processes
// expect a shared part at the same few servers, found by rendezvous hashing.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// Tuning of the choice.
const (
	// reportFor is how long a told load counts, and reportBeside how long where other
	// processes tell theirs.
	reportFor    = 1500 * time.Millisecond
	reportBeside = 150 * time.Millisecond
	// fullFor is how long a server that refused as full is passed over.
	fullFor = 60 * time.Millisecond
	// readRate is how many prompt tokens a server reads in a millisecond.
	readRate = 85.0
	// Costs in milliseconds of the time to the first event.
	otherZoneCost = 4.0
	suspectCost   = 1000.0
	silentCost    = 2000.0
	// costScale is how much later, in milliseconds, the first event may come from a server
	// that has e times as many free slots.
	costScale = 8.0
	// tieCost breaks ties, in units of costScale.
	tieCost = 0.1
	// leastFree is what a server that was tried although it is full counts as.
	leastFree = 0.1
	// smallestNoise keeps the logarithm of zero away.
	smallestNoise = 1e-12
	// silentFor is how long no first event may come from a server while some are
	// awaited.
	silentFor = 350 * time.Millisecond
	// partFor is how long a part that was sent to a server counts as kept.
	partFor = 20 * time.Second
	// maximumParts bounds the parts remembered for a server.
	maximumParts = 512
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	// ID identifies the content, given everything before it.
	ID     uint64
	Tokens int
}

// Demand is what a request asks of a server.
type Demand struct {
	// Parts of the prompt in order; the last one is the request's own.
	Parts []Part
	// Batch requests only take what online requests leave.
	Batch bool
}

// Member is a server as the directory describes it.
type Member struct {
	ID      string
	Address string
	Zone    string
	// Slots is how many requests it runs at once; zero is unknown.
	Slots int
	// Silent servers have not reported for long.
	Silent bool
}

// server is a member with what is known of its load.
type server struct {
	Member
	// hash is its short name in digests.
	hash uint32
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
	// parts tells when a part was last sent here.
	parts map[uint64]time.Duration
}

// Pool is the servers of one service as one process sees them. It belongs to one
// goroutine at a time.
type Pool struct {
	zone    string
	shares  *Shares
	servers []*server
	// places are those of the servers by identifier.
	places  map[string]int
	tracker *health.Tracker
	// homes are the places of the servers that are expected to keep a shared part.
	homes map[uint64]homePlaces
	// headroom is what batch work leaves to online work.
	headroom headroom
	// queue is the name of the service's queue in digests.
	queue uint32
	// batchProcesses is how many processes start batch work.
	batchProcesses int
	// viewAge is how old the loads of other processes may be.
	viewAge time.Duration
	// onlineProcesses is how many processes start online requests, and pacing bounds what
	// this one starts.
	onlineProcesses int
	pacing          pacing
	// waiting is how many online requests wait in this process, where it is told.
	waiting      int
	waitingKnown bool
}

// NewPool returns a pool of a service without servers, for a process in the given zone.
// The shares are those of all pools of the process.
func NewPool(service, zone string, shares *Shares) *Pool {
	return &Pool{
		zone: zone, shares: shares, queue: QueueHash(service), tracker: health.NewTracker(policy(), 0),
		places: make(map[string]int), homes: make(map[uint64]homePlaces), pacing: pacing{credit: leastCredit},
	}
}

// policy judges servers as health.DefaultPolicy does, but takes silence for
// sickness earlier: first events come within a tenth of a second as a rule.
func policy() health.Policy {
	adjusted := health.DefaultPolicy
	adjusted.SilentFor = silentFor
	return adjusted
}

// Update replaces the members and keeps what is known of those that stay.
func (p *Pool) Update(members []Member) {
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
			p.add(&server{Member: member, hash: ServerHash(member.ID), parts: make(map[uint64]time.Duration)})
		}
	}
}

func (p *Pool) add(added *server) {
	clear(p.homes)
	place := slices.Index(p.servers, nil)
	if place < 0 {
		place = len(p.servers)
		p.servers = append(p.servers, nil)
		p.tracker.Resize(len(p.servers))
	}
	p.servers[place] = added
	p.places[added.ID] = place
}

func (p *Pool) remove(place int) {
	clear(p.homes)
	delete(p.places, p.servers[place].ID)
	p.servers[place] = nil
	p.tracker.Forget(place)
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
func (p *Pool) Size() int {
	size := 0
	for _, known := range p.servers {
		if known != nil {
			size++
		}
	}
	return size
}

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

// load estimates how many requests a server has, from all callers: those of this
// process and those that the others tell of. What the server told itself counts
// beside it while it is new, and for longer where no other process tells anything.
func (p *Pool) load(s *server, now time.Duration) int {
	estimate := p.counted(s)
	valid := reportFor
	if p.shares.Known() {
		valid = reportBeside
	}
	if s.known && now-s.toldAt <= valid {
		estimate = max(estimate, s.told+s.since)
	}
	return estimate
}

// counted is how many requests all processes together have at a server.
func (p *Pool) counted(s *server) int { return s.inflight + p.shares.At(s.hash).Inflight }

// Choice is a chosen server.
type Choice struct {
	ID      string
	Address string
	// Load and Slots are what the choice rested on, and ReportAge the age of what
	// the server told of its load; negative where it told nothing.
	Load      int
	Slots     int
	ReportAge time.Duration
	// Uncached is how many prompt tokens the server is expected to read.
	Uncached int
	// Candidates is how many servers had room.
	Candidates int
	// Batch tells that the request is batch work.
	Batch bool
}

// Expected is how long the first event is expected to take.
func (c Choice) Expected() time.Duration {
	return time.Duration(float64(c.Uncached) / readRate * float64(time.Millisecond))
}

// Choose returns a server with room, and counts the request there. A server that is out
// for its failures gets a single request as a trial when its time has come. It fails where
// no server that was not tried has room.
//
// A server is chosen with a probability in proportion to its free slots, which falls
// exponentially with the time to the first event that it is expected to take. Processes
// that see the same loads fill the servers evenly that way, however old their digests are:
// if each took the best one, all would take the same. A process that hears of no other
// takes the best one.
func (p *Pool) Choose(demand Demand, tried []string, now time.Duration, random *rand.Rand) (Choice, bool) {
	if demand.Batch && !p.batchFits(now, random) {
		return Choice{}, false
	}
	if !demand.Batch && !p.mayStart(now) {
		return Choice{}, false
	}
	var best *server
	var found Choice
	lowest := 0.0
	alone, accused := !p.shares.Known(), p.accused()
	for place, candidate := range p.servers {
		if candidate == nil || slices.Contains(tried, candidate.ID) || !p.room(candidate, demand, now) {
			continue
		}
		uncached := p.uncached(place, demand, now)
		state, _ := p.tracker.State(place, now)
		if state == health.Ejected {
			if !demand.Batch && !accused(place) && p.tracker.StartTrial(place, now) {
				best, found.Uncached = candidate, uncached
				break
			}
			continue
		}
		if state == health.Healthy && accused(place) {
			state = health.Suspect
		}
		cost := p.cost(candidate, state, demand, uncached, now) + noise(alone, random)
		found.Candidates++
		if best == nil || cost < lowest {
			best, lowest, found.Uncached = candidate, cost, uncached
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.take(best, found, demand, now), true
}

// take counts the request at the chosen server, and completes the choice with what it
// rested on.
func (p *Pool) take(chosen *server, choice Choice, demand Demand, now time.Duration) Choice {
	choice.ID, choice.Address, choice.Slots = chosen.ID, chosen.Address, chosen.Slots
	choice.Load, choice.ReportAge = p.load(chosen, now), -1
	if chosen.known {
		choice.ReportAge = now - chosen.toldAt
	}
	choice.Batch = demand.Batch
	p.start(chosen, demand, choice.Uncached, now)
	p.tracker.Sent(p.place(chosen.ID), choice.Expected(), now)
	return choice
}

// usable tells whether the server at a place is taken to answer.
func (p *Pool) usable(place int, now time.Duration) bool {
	state, _ := p.tracker.State(place, now)
	return state != health.Ejected && !p.servers[place].Silent && !p.servers[place].gone
}

// room tells whether a server can take a request at once.
func (p *Pool) room(s *server, demand Demand, now time.Duration) bool {
	if s.gone || now < s.fullUntil {
		return false
	}
	if s.Slots == 0 {
		return true
	}
	if demand.Batch {
		// What servers tell is new and old by turns; added to the counts it would keep
		// slots empty. It only tells of requests that wait at the server.
		return p.counted(s) < s.Slots && p.load(s, now) <= s.Slots
	}
	return p.online(s, now) < s.Slots
}

// online is the load of a server as an online request counts it. Where requests are paced it
// leaves out the batch work there, which gives way: a request that goes to a server full of
// batch work begins as soon as some of it is cut. Where loads are new the request waits for
// that in the router, and finds a server that others have left as well.
func (p *Pool) online(s *server, now time.Duration) int {
	if !p.paced() {
		return p.load(s, now)
	}
	return max(0, p.load(s, now)-p.batchAt(s))
}

// noise makes the least of some costs a draw: with the logarithm of exponential noise each
// is the least with a probability in proportion to the exponential of its negative.
func noise(alone bool, random *rand.Rand) float64 {
	if alone {
		return tieCost * random.Float64()
	}
	return math.Log(random.ExpFloat64() + smallestNoise)
}

// cost is the time to the first event that a server is expected to take, in units of
// costScale, less the logarithm of its free slots.
func (p *Pool) cost(candidate *server, state health.State, demand Demand, uncached int, now time.Duration) float64 {
	return p.firstEvent(candidate, state, uncached)/costScale - math.Log(p.free(candidate, demand, now))
}

// free is how many more requests a server is taken to have room for; where its slots are
// not known, the less the more it has.
func (p *Pool) free(candidate *server, demand Demand, now time.Duration) float64 {
	seen := p.online
	if demand.Batch {
		seen = p.load
	}
	load := float64(seen(candidate, now))
	if candidate.Slots == 0 {
		return 1 / (1 + load)
	}
	return max(leastFree, float64(candidate.Slots)-load)
}

// firstEvent is the time to the first event that a server is expected to take, beyond that
// of the best one, in milliseconds.
func (p *Pool) firstEvent(candidate *server, state health.State, uncached int) float64 {
	cost := float64(uncached+candidate.unread+p.shares.At(candidate.hash).Unread) / readRate
	if candidate.Zone != p.zone {
		cost += otherZoneCost
	}
	if state != health.Healthy {
		cost += suspectCost
	}
	if candidate.Silent {
		cost += silentCost
	}
	return cost
}

// uncached estimates how many prompt tokens a server has to read.
func (p *Pool) uncached(place int, demand Demand, now time.Duration) int {
	candidate := p.servers[place]
	total := 0
	kept := true
	for i, part := range demand.Parts {
		if !kept {
			total += part.Tokens
			continue
		}
		last, sent := candidate.parts[part.ID]
		if sent && now-last < partFor {
			continue
		}
		kept = false
		trust := 0.0
		if i < len(demand.Parts)-1 {
			trust = p.trust(place, part.ID)
		}
		total += int(float64(part.Tokens) * (1 - trust))
	}
	return total
}

func (p *Pool) start(chosen *server, demand Demand, uncached int, now time.Duration) {
	chosen.inflight++
	chosen.since++
	if demand.Batch {
		chosen.batch++
		p.headroom.starts.add(1, now)
	} else {
		p.pacing.credit--
	}
	chosen.unread += uncached
	for _, part := range demand.Parts {
		chosen.parts[part.ID] = now
	}
	if len(chosen.parts) > maximumParts {
		chosen.dropOldParts(now)
	}
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
