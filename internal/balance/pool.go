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
	"math/rand/v2"
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
	// Reserved is how many slots of the service a batch request leaves to others, and First tells
	// that the others leave theirs to it.
	Reserved    int
	Prioritized bool
	// Overcommit lets an online request start one beyond this process's part of the slots, and one
	// beyond those of a server, where requests are paced.
	Overcommit bool
}

// Pool is the servers of one service as one process sees them. It belongs to one
// goroutine at a time.
type Pool struct {
	zone    string
	shares  *SharedLoads
	servers []*server
	// places are those of the servers by identifier, and vacant those that no server has.
	places map[string]int
	vacant []int
	// batchPlaces are those of servers that had batch work of this process, see withBatch.
	batchPlaces []int
	tracker     *health.Tracker
	// pacer estimates how long work takes at the servers; nil where they count as alike.
	pacer PaceEstimator
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
	// What follows spares choices of a large pool from looking at all servers: sums over them,
	// where parts of prompts were sent, all places in no order, where own requests left slots,
	// and which servers are out for their failures.
	summary summary
	keepers keepers
	every   []int
	leavers []int
	ejected []int
	// choices counts the searches among a part of the servers.
	choices uint64
}

// NewPool returns a pool of a service without servers, for a process in the given zone.
// The shares are those of all pools of the process.
func NewPool(service, zone string, shares *SharedLoads) *Pool {
	created := &Pool{
		zone: zone, shares: shares, queue: QueueHash(service), tracker: health.NewTracker(policy(), 0),
		places: make(map[string]int), homes: make(map[uint64]homePlaces), pacing: pacing{credit: leastCredit},
	}
	created.summary.pool = created
	return created
}

// policy judges servers as health.DefaultPolicy does, but takes silence for
// sickness earlier: first events come within a tenth of a second as a rule.
func policy() health.Policy {
	adjusted := health.DefaultPolicy
	adjusted.SilentFor = silentFor
	return adjusted
}

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
	// Candidates is how many of the servers that were looked at had room.
	Candidates int
	// Batch tells that the request is batch work.
	Batch bool
	// Pace is how long work is expected to take there, as a multiple of what is usual; zero
	// where servers count as alike.
	Pace float64
}

// ExpectedFirstEvent is how long the first event is expected to take.
func (c Choice) ExpectedFirstEvent() time.Duration {
	return time.Duration(float64(c.Uncached) / readRate * c.Slowness() * float64(time.Millisecond))
}

// NormalizeDuration is how long a usual server takes for what the chosen one takes so long for. Items of
// jobs are compared by what they need themselves, not by where the last ones ran.
func (c Choice) NormalizeDuration(ran time.Duration) time.Duration {
	return time.Duration(float64(ran) / c.Slowness())
}

// ScaleDuration is how long the chosen server takes for what a usual one takes so long for.
func (c Choice) ScaleDuration(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * c.Slowness())
}

// Slowness is the pace, 1 where servers count as alike.
func (c Choice) Slowness() float64 {
	if c.Pace == 0 {
		return usualPace
	}
	return c.Pace
}

// Choose returns a server with room, and counts the request there. A server that is out
// for its failures gets a single request as a trial when its time has come. It fails where
// no server that was not tried has room.
//
// A server is chosen with a probability in proportion to its free slots, which falls
// exponentially with the time to the first event that it is expected to take. Processes
// that see the same loads fill the servers evenly that way, however old their digests are:
// if each took the best one, all would take the same. A process that hears of no other
// takes the best one. Where servers tell their pace, a free slot counts the less the slower
// its server is, and far more if only this process knows of it. Among many servers a part of
// them is looked at, see sample.
func (p *Pool) Choose(demand Demand, tried []string, now time.Duration, random *rand.Rand) (Choice, bool) {
	if demand.Batch && !p.batchFits(demand, now, random) {
		return Choice{}, false
	}
	if !demand.Batch && !p.mayStart(demand, now) {
		return Choice{}, false
	}
	s := p.search(demand, tried, now, random)
	if s.best == nil {
		return Choice{}, false
	}
	return p.take(s.best, s.found, demand, now), true
}

// search finds the best server: among a part of them where there are many and this process
// hears of others, else, and where that part has none that will do, among all.
func (p *Pool) search(demand Demand, tried []string, now time.Duration, random *rand.Rand) *search {
	s := p.newSearch(demand, tried, now, random)
	if p.large() && !s.alone {
		if s.sample() {
			return s
		}
		s = p.newSearch(demand, tried, now, random)
	}
	s.all()
	return s
}

// take counts the request at the chosen server, and completes the choice with what it
// rested on.
func (p *Pool) take(chosen *server, choice Choice, demand Demand, now time.Duration) Choice {
	choice.ID, choice.Address, choice.Slots = chosen.ID, chosen.Address, chosen.Slots
	choice.Load, choice.ReportAge = p.see(chosen, now).load, -1
	if chosen.known {
		choice.ReportAge = now - chosen.toldAt
	}
	choice.Batch = demand.Batch
	p.start(chosen, demand, choice.Uncached, now)
	p.tracker.Sent(p.place(chosen.ID), choice.ExpectedFirstEvent(), now)
	return choice
}

// usable tells whether the server at a place is taken to answer.
func (p *Pool) usable(place int, now time.Duration) bool {
	state, _ := p.tracker.State(place, now)
	return state != health.Ejected && !p.servers[place].Silent && !p.servers[place].gone
}

func (p *Pool) start(chosen *server, demand Demand, uncached int, now time.Duration) {
	chosen.inflight++
	chosen.coldNext = now + chosen.ColdSpacing
	chosen.since++
	p.summary.started(demand.Batch)
	if demand.Batch {
		chosen.batch++
		p.noteBatch(p.place(chosen.ID))
		p.headroom.starts.add(1, now)
	} else {
		p.pacing.credit--
		chosen.occupy()
	}
	chosen.unread += uncached
	for _, part := range demand.Parts {
		chosen.parts[part.ID] = now
	}
	if p.large() {
		p.keepers.note(demand.Parts, p.place(chosen.ID))
	}
	if len(chosen.parts) > maximumParts {
		chosen.dropOldParts(now)
	}
}
