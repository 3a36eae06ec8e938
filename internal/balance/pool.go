// Package balance chooses the server of a service for a request. It is pure: time and randomness
// are arguments, so that routers, stores and simulations run the same code. Times are durations
// since an origin of the caller's choice.
//
// A process always counts its own requests immediately. The load that servers report with each
// answer is delayed but covers all callers; a server's load is estimated from both and from the
// digests of other processes. Prompt parts that were recently sent to a server are likely still
// cached there. Without such knowledge, all processes expect a shared part at the same few servers,
// its affinity servers, which are found by rendezvous hashing.
//
// The state of a server is kept under its place, an index that doesn't change while the server is a
// member of the pool.
package balance

import (
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

// Periods and limits for the state of a server.
const (
	// reportTTL is how long a load report counts, and reportTTLWithPeers how long while other
	// processes share their loads.
	reportTTL          = 1500 * time.Millisecond
	reportTTLWithPeers = 150 * time.Millisecond
	// fullBackoff is how long a server is avoided after it refused a request as full.
	fullBackoff = 60 * time.Millisecond
	// silenceTimeout is how long a server may send no first event while some are awaited.
	silenceTimeout = 350 * time.Millisecond
	// partTTL is how long a part that was sent to a server counts as cached.
	partTTL = 20 * time.Second
	// maxPartsPerServer bounds the parts remembered for a server.
	maxPartsPerServer = 512
	// refusedTrialBackoff is how long an ejected server that refused a batch request gets no other one. It
	// is as long as the first hold-down.
	refusedTrialBackoff = 2 * time.Second
)

// Part is a piece of a prompt that requests may have in common.
type Part struct {
	// ID identifies the content together with everything before it.
	ID     uint64
	Tokens int
}

// Demand describes what a request needs from a server.
type Demand struct {
	// Parts of the prompt in order; the last one belongs to this request alone.
	Parts []Part
	// Bytes is the size of the request.
	Bytes int
	// Batch requests only take what online requests leave.
	Batch bool
	// Reserved is how many slots of the service a batch request leaves to others. Prioritized is set
	// if others leave their slots to it.
	Reserved    int
	Prioritized bool
	// MayTry is set for a batch request that may be sent to an ejected server as a trial. Online requests
	// always may.
	MayTry bool
	// Overcommit lets an online request exceed this process's share of the slots, and the slots of a
	// server, by one while requests are paced.
	Overcommit bool
	// Late is set for an online request that can no longer meet its objective, while others that can
	// arrive. Where the number of requests is limited, it leaves some of it to these.
	Late bool
	// Regions are those in which the request may be served.
	Regions topology.RegionSet
	// SameVersion restricts the request to servers of the software version Version: it continues a
	// stream that began there.
	SameVersion bool
	Version     string
}

// allows reports whether the request may be served by a member.
func (d Demand) allows(member Member) bool {
	return d.Regions.Allows(member.Region) && (!d.SameVersion || member.Version == d.Version)
}

// mayTry reports whether the request may be sent to an ejected server as a trial.
func (d Demand) mayTry() bool { return !d.Batch || d.MayTry }

// Pool holds the servers of one service as seen by one process. It is not safe for concurrent use.
type Pool struct {
	service string
	zone    string
	loads   *SharedLoads
	servers []*server
	// topology has the distances of servers, and roundTrips the round-trip times to other regions. They
	// are zero and nil if all servers are in one region.
	topology   topology.Map
	roundTrips *RoundTrips
	// places maps server identifiers to places. vacant lists the places without a server.
	places map[string]int
	vacant []int
	// versions counts the members of each software version.
	versions map[string]int
	// batchPlaces are the places of servers that had batch work of this process, see
	// placesWithBatch.
	batchPlaces []int
	tracker     *health.Tracker
	// paces estimates how long work takes at the servers; if nil, all are considered equally fast.
	paces PaceEstimator
	// affinities caches the affinity servers of parts.
	affinities map[affinityKey]affinityPlaces
	// headroom limits batch work to what online work leaves.
	headroom headroom
	// queueHash identifies the service's queue in digests.
	queueHash uint32
	// batchProcesses is the number of processes that start batch work.
	batchProcesses int
	// maxLoadAge is how old the loads of other processes may be.
	maxLoadAge time.Duration
	// maxRegionLoadAge is how old those of processes in other regions may be.
	maxRegionLoadAge time.Duration
	// onlineProcesses is the number of processes that start online requests. pacing limits those of
	// this one.
	onlineProcesses int
	pacing          pacing
	// waiting and timely are the numbers of online requests that wait in this process, and of those
	// among them that can still meet their objective, if waitingKnown.
	waiting      int
	timely       int
	waitingKnown bool
	// timelyHash identifies the requests in the service's queue that can meet their objective.
	timelyHash uint32
	// onlineInflight is the number of online requests of this process at all servers. uninformed is
	// set while it does not know the loads of the others, since uninformedSince, and startLimited if
	// the number is limited for that. informedOnce is set once it has known them, and wasLimited once the
	// number has been limited, last at limitedAt.
	onlineInflight  int
	uninformed      bool
	startLimited    bool
	informedOnce    bool
	wasLimited      bool
	uninformedSince time.Duration
	limitedAt       time.Duration
	// informedAt is when it last knew them.
	informedAt time.Duration
	// assumedOrphaned is the number of orphaned requests that was assumed at assumedAt. assumedByReports is
	// set if servers had reported their loads then.
	assumedOrphaned  float64
	assumedAt        time.Duration
	assumedByReports bool
	// startLimitOff is set by DisableStartLimit.
	startLimitOff bool
	// orphansKnown is set once the orphaned requests have been counted at most servers.
	orphansKnown bool
	// lateInflight counts those of onlineInflight that were late at their start, and expectedTimely is
	// how many others this process is expected to have.
	lateInflight   int
	expectedTimely float64
	// regional is the state for restricted requests, by the key of their regions.
	regional map[string]*regionalState
	// scan computes the sums over a small pool.
	scan fullScan
	// The following fields avoid a scan of all servers for each choice in a large pool: cached sums,
	// where prompt parts were sent, all places in random order, the places with slots freed by this
	// process, and the places of ejected servers.
	summary       summary
	partLocations partLocations
	allPlaces     []int
	freedPlaces   []int
	ejected       []int
	// regionPlaces are the places of the servers by region, and regionRoom the room in the own one.
	regionPlaces regionPlaces
	regionRoom   regionRoom
	// searches counts the sampling searches.
	searches uint64
}

// NewPool returns an empty pool of a service for a process in the given zone. All pools of a
// process use the same loads.
func NewPool(service, zone string, loads *SharedLoads) *Pool {
	created := &Pool{
		service: service, zone: zone, loads: loads, queueHash: QueueHash(service), timelyHash: TimelyHash(service), tracker: health.NewTracker(healthPolicy(), 0),
		places: make(map[string]int), versions: make(map[string]int), affinities: make(map[affinityKey]affinityPlaces), pacing: pacing{credit: minCredit},
	}
	created.summary.pool, created.scan.pool = created, created
	return created
}

// healthPolicy returns health.DefaultPolicy with a shorter silence timeout, since first events
// usually arrive within a tenth of a second.
func healthPolicy() health.Policy {
	adjusted := health.DefaultPolicy
	adjusted.SilenceTimeout = silenceTimeout
	return adjusted
}

// Choice is a chosen server.
type Choice struct {
	ID      string
	Address string
	Region  string
	// Version is that of the server's software.
	Version string
	// Load and Slots are those at the time of the choice. ReportAge is the age of the server's last
	// load report; negative if there was none.
	Load      int
	Slots     int
	ReportAge time.Duration
	// Uncached is the estimated number of prompt tokens that the server has to prefill.
	Uncached int
	// Candidates is how many of the considered servers had room.
	Candidates int
	// Batch is set if the request is batch work.
	Batch bool
	// Late is that of the demand.
	Late bool
	// Trial is set if the server is ejected and gets the request as a trial, which ends the search.
	Trial bool
	// StartLimit is how many online requests this process might have at servers at the time because
	// it did not know the loads of the others; zero if that was not limited.
	StartLimit int
	// Pace is the expected duration of work at the server as a multiple of the usual one; zero if
	// pace is not used.
	Pace float64
	// Distance is how far the server is from this process.
	Distance topology.Distance
}

// ExpectedFirstEvent returns the expected time to the first event.
func (c Choice) ExpectedFirstEvent() time.Duration {
	return time.Duration(float64(c.Uncached) / prefillTokensPerMillisecond * c.Slowness() * float64(time.Millisecond))
}

// NormalizeDuration converts a duration at the chosen server to that at a server of usual pace, so
// that job items can be compared independently of where they ran.
func (c Choice) NormalizeDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / c.Slowness())
}

// ScaleDuration converts a duration at a server of usual pace to that at the chosen server.
func (c Choice) ScaleDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * c.Slowness())
}

// Slowness returns the pace, or 1 if pace is not used.
func (c Choice) Slowness() float64 {
	if c.Pace == 0 {
		return defaultPace
	}
	return c.Pace
}

// Choose returns a server with room and counts the request there. An ejected server gets a single
// trial request once one is due. Choose returns false if no server has room apart from those
// already tried.
//
// Servers are chosen at random, with a probability proportional to their free slots that falls
// exponentially with the expected time to the first event. Processes that see the same loads thus
// spread over the servers even if their digests are old. A process that knows no others chooses
// the best server. Where servers report their pace, a free slot counts less at a slower server, and
// much more if only this process knows of it. Large pools are sampled, see sample.
func (p *Pool) Choose(demand Demand, tried []string, now time.Duration, random *rand.Rand) (Choice, bool) {
	if demand.Batch && !p.batchFits(demand, now, random) {
		return p.chooseTrial(demand, tried, now, random)
	}
	if !demand.Batch && !p.mayStart(demand, now) {
		return Choice{}, false
	}
	s := p.search(demand, tried, now, random)
	if s.best == nil {
		return Choice{}, false
	}
	return p.commit(s.best, s.choice, demand, now), true
}

// search finds the best server. In a large pool it considers a sample first, unless the process
// knows no others, and all servers only if the sample has no suitable one.
func (p *Pool) search(demand Demand, tried []string, now time.Duration, random *rand.Rand) *search {
	s := p.newSearch(demand, tried, now, random)
	// Few servers may have the version of a stream that continues, so that a sample could miss them.
	if p.large() && !s.noPeers && !demand.SameVersion {
		if s.sample() {
			return s
		}
		s = p.newSearch(demand, tried, now, random)
	}
	s.considerAll()
	return s
}

// commit counts the request at the chosen server and completes the choice.
func (p *Pool) commit(chosen *server, choice Choice, demand Demand, now time.Duration) Choice {
	choice.ID, choice.Address, choice.Region, choice.Version, choice.Slots = chosen.ID, chosen.Address, chosen.Region, chosen.Version, chosen.Slots
	choice.Load, choice.ReportAge = p.viewOf(chosen, now).load, -1
	if chosen.hasReport {
		choice.ReportAge = now - chosen.reportedAt
	}
	choice.Batch, choice.Late, choice.Distance = demand.Batch, demand.Late, chosen.distance
	if limit := p.StartLimit(); limit.Active && !demand.Batch {
		choice.StartLimit = limit.Requests
	}
	p.start(chosen, demand, choice.Uncached, now)
	p.tracker.RecordSent(p.place(chosen.ID), choice.ExpectedFirstEvent(), now)
	return choice
}

// usable reports whether the server at a place is expected to answer.
func (p *Pool) usable(place int, now time.Duration) bool {
	state, _ := p.tracker.State(place, now)
	return state != health.Ejected && !p.servers[place].Silent && !p.servers[place].replaced
}

func (p *Pool) start(chosen *server, demand Demand, uncached int, now time.Duration) {
	chosen.inflight++
	chosen.coldNext = now + chosen.ColdSpacing
	chosen.inflightDelta++
	p.countStarted(chosen.Region, demand.Batch)
	if demand.Batch {
		chosen.batch++
		p.noteBatch(p.place(chosen.ID))
		p.headroom.batchStarts.add(1, now)
	} else {
		p.spendCredit(chosen.Region, now)
		p.onlineInflight++
		if demand.Late {
			p.lateInflight++
		}
		chosen.takeFreedSlot()
	}
	chosen.unread += uncached
	for _, part := range demand.Parts {
		chosen.parts[part.ID] = now
	}
	if p.large() {
		p.partLocations.record(demand.Parts, p.place(chosen.ID))
	}
	if len(chosen.parts) > maxPartsPerServer {
		chosen.dropOldParts(now)
	}
}
