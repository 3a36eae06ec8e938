package balance

import (
	"math"
	"time"
)

const (
	// minCoverage is the part of the other processes whose loads must be known for them to count as
	// all known.
	minCoverage = 0.75
	// minSettleTime is the least time from the first load digest until the loads of the other
	// processes count as known although fewer are covered. It covers one interval of a mesh.
	minSettleTime = 80 * time.Millisecond
	// settleAges is the same where relays pass on digests, in maximum ages of loads. After a restart
	// of the whole site the first sums cover only the few processes whose digests have reached the delegates.
	settleAges = 3
	// digestTimeout is how long a process waits for the loads of others before it goes by the loads
	// that servers report. Standbys replace the relays of a zone sooner, so after that the process is
	// alone on its side of a partition, or the others are gone. meshDigestTimeout is the same where processes send each other digests
	// directly.
	digestTimeout     = time.Second
	meshDigestTimeout = 160 * time.Millisecond
	// survivorAge is how much earlier than this process another one must have started to know the
	// loads of the site by itself. Processes that lost power together start within less.
	survivorAge = 500 * time.Millisecond
)

// A process that has just started, or has lost contact with the others, does not see what they have
// at the servers. If all processes of a site return together, the slots look free to each of them.
// So each one may have its even part of the slots, by the number of processes in the directory, and
// no more, whatever waits in its queue. Its requests in excess wait here, where they can be put in
// order, and not at the servers, which run requests in order of arrival.
//
// The limit applies to the requests in flight. The credit of pacing holds what is left of it, so
// pacing goes on from there once the loads of others are known. A process that had more in flight
// when it lost contact keeps as much.

// StartLimit describes the limit for logs and metrics.
type StartLimit struct {
	// Active is set while this process does not know the loads of the others and is limited.
	Active bool
	// Requests is how many online requests it may have at servers, and Inflight how many it has.
	Requests int
	Inflight int
	// Orphaned is the number of orphaned requests that is assumed at all servers.
	Orphaned int
	// Late is how many of the requests in flight were late at their start, and Expected how many requests
	// that can be in time the process is expected to have at servers.
	Late     int
	Expected float64
	// Covered is the number of other processes whose loads are known, and Processes that of all.
	Covered   int
	Processes int
	// Since is when the limit began.
	Since time.Duration
}

// StartLimit returns the limit as of the last online request.
func (p *Pool) StartLimit() StartLimit {
	return StartLimit{
		Active: p.startLimited, Requests: max(0, p.onlineInflight+int(p.pacing.credit)), Inflight: p.onlineInflight,
		Orphaned: int(p.assumedOrphaned), Covered: p.loads.Processes(), Processes: p.otherProcesses(), Since: p.uninformedSince,
		Late: p.lateInflight, Expected: p.expectedTimely,
	}
}

// DisableStartLimit switches the limit off, and what late requests and batch work leave to others after a
// restart. Pacing is the same then as on a site that has not restarted.
func (p *Pool) DisableStartLimit() { p.startLimitOff = true }

// otherProcesses returns the number of processes in the directory that start requests, without this
// one.
func (p *Pool) otherProcesses() int { return p.onlineProcesses + p.batchProcesses - 1 }

// startLimit is the state of the limit at a moment.
type startLimit int

const (
	// informed: the loads of other processes are known, and ordinary pacing applies.
	informed startLimit = iota
	// limited: the process may have its even part of the slots.
	limited
	// unlimited: the slots of some servers are unknown.
	unlimited
)

// SetStarted sets when this process started, in Unix milliseconds.
func (s *SharedLoads) SetStarted(unixMs int64) { s.started = unixMs }

// noteDigest records that a digest arrived.
func (s *SharedLoads) noteDigest(at time.Duration) {
	if !s.receivedAny {
		s.firstReceivedAt = at
	}
	if !s.receivedAny || at-s.lastReceivedAt > senderTTL {
		s.receivingSince = at
	}
	s.receivedAny, s.lastReceivedAt = true, max(s.lastReceivedAt, at)
}

// knowsLoads reports whether this process knows the loads of the others: digests cover most of the
// processes in the directory or arrived for some time, since many of these processes may be gone, or
// one is from a process that did not restart, whose sums are complete.
func (p *Pool) knowsLoads(now time.Duration) bool {
	if !p.loads.HasPeers() {
		return false
	}
	if p.informedOnce && p.loads.receivingSince <= p.informedAt {
		// The sums of a new delegate cover few processes at first, which is no loss of contact.
		return true
	}
	return now-p.loads.receivingSince >= max(minSettleTime, settleAges*p.maxLoadAge) ||
		float64(p.loads.Processes()) >= minCoverage*float64(p.otherProcesses()) || p.loads.hasSurvivor()
}

// hasSurvivor reports whether any digest is from a process that runs for longer than this one.
func (s *SharedLoads) hasSurvivor() bool {
	earliest, known := s.EarliestStart()
	return known && s.started > 0 && s.started-earliest > survivorAge.Milliseconds()
}

// limitStarts returns whether the number of requests that this process has at the servers is
// limited, and sets the credit to what is left of the limit if so.
func (p *Pool) limitStarts(now time.Duration) startLimit {
	p.startLimited = false
	if p.startLimitOff || p.onlineProcesses <= 1 {
		return informed
	}
	if p.knowsLoads(now) {
		if p.uninformed && (p.informedOnce || p.loads.hasSurvivor()) {
			// What servers reported was the load of processes that have not restarted.
			p.assumedOrphaned = 0
		}
		p.uninformed, p.informedOnce, p.informedAt = false, true, now
		return informed
	}
	if !p.uninformed {
		p.uninformed, p.uninformedSince = true, now
	}
	if p.digestsOverdue(now) && !p.paced() {
		return informed
	}
	sum := p.overview().usage(now)
	if !sum.slotsKnown {
		return unlimited
	}
	p.assumedOrphaned, p.assumedAt, p.assumedByReports = p.assumeOrphaned(sum), now, sum.reports > 0
	part := (float64(sum.slots) - p.assumedOrphaned) / float64(p.onlineProcesses)
	if !p.digestsOverdue(now) {
		p.pacing.credit = max(p.pacing.credit, part-float64(p.onlineInflight))
	} else {
		// The process goes beyond its part, or falls below it, as the servers report.
		free := sum.estimateFree() / float64(p.onlineProcesses)
		p.pacing.earn(free, -free, p.leastCredit(), reportedLoadAge, now)
	}
	p.pacing.at, p.startLimited = now, true
	p.wasLimited, p.limitedAt = true, now
	return limited
}

// recoveryTime is how long after a limit of the starts pacing is careful, until the backlog of a return
// from a power loss is worked off. At other times, subtracting the starts that the loads do not show yet
// leaves slots empty: with loads 300 ms old 0.057 of the requests were late instead of 0.005.
const recoveryTime = 6 * time.Second

// recovering reports whether the starts of this process were limited recently.
func (p *Pool) recovering(now time.Duration) bool {
	return p.wasLimited && now-p.limitedAt < recoveryTime
}

// batchReturnTime is how long after the first load digest batch work has no slots of
// its own after a restart of the whole site. Items are due in many seconds, online requests in a few
// hundred milliseconds.
const batchReturnTime = 2 * time.Second

// maxUninformedBatch returns how many batch requests this process may have: none before it knows the loads of
// the others. The online requests that the routers of a returning site are about to start are not visible
// yet, and batch work would take their slots. A process that has waited for the loads in vain may have its
// part of the slots that are always left to batch work, until the return is over.
func (p *Pool) maxUninformedBatch(now time.Duration) int {
	switch {
	case p.limitStarts(now) != limited || p.informedOnce || now-p.uninformedSince >= recoveryTime:
		return math.MaxInt
	case !p.digestsOverdue(now):
		return 0
	}
	return max(1, int(minBatchFraction*float64(p.overview().usage(now).slots))/max(1, p.batchProcesses))
}

// returning reports whether this process and the others have just restarted together.
func (p *Pool) returning(now time.Duration) bool {
	return !p.startLimitOff && p.paced() && p.loads.started > 0 && p.loads.receivedAny && now-p.loads.firstReceivedAt < batchReturnTime &&
		!p.loads.hasSurvivor()
}

// digestsOverdue reports whether the load digests of others have not arrived in time.
func (p *Pool) digestsOverdue(now time.Duration) bool {
	timeout := digestTimeout
	if p.maxLoadAge == 0 {
		timeout = meshDigestTimeout
	}
	return p.uninformed && now-p.uninformedSince >= timeout
}

// assumedOrphanedFraction is the part of the slots that are assumed to have orphaned requests until
// their number is known. Batch work fills the slots that online work leaves, and its runs outlast a
// power loss.
const assumedOrphanedFraction = 0.5

// minCounted is the part of the servers at which the orphaned requests must be counted for their number
// to count as known. The others have none on average once most processes that count them are ready.
const minCounted = 0.9

// assumeOrphaned returns how many slots a process that does not know the loads of others assumes to be
// taken by orphaned requests.
func (p *Pool) assumeOrphaned(sum usage) float64 {
	p.orphansKnown = p.orphansKnown || sum.orphansKnown()
	if p.orphansKnown {
		return float64(min(sum.orphaned, sum.slots))
	}
	return sum.assumedOrphaned()
}

// orphansKnown reports whether the orphaned requests are counted at most servers.
func (u usage) orphansKnown() bool {
	return u.servers > 0 && float64(u.counted) >= minCounted*float64(u.servers)
}

// assumedOrphaned estimates the number of orphaned requests. Those of servers at which they are counted
// stand for the others. Until any are counted, the loads that servers reported with the first answers
// are used. These are mostly of a moment before the processes sent their first requests; if not, the
// estimate is too high, but never higher than without reports. The assumption counts like one further
// server.
func (u usage) assumedOrphaned() float64 {
	assumed := assumedOrphanedFraction * float64(u.slots)
	if u.servers == 0 {
		return assumed
	}
	if u.counted > 0 {
		perServer := (assumed/float64(u.servers) + float64(u.orphaned)) / float64(1+u.counted)
		return min(float64(u.slots), float64(u.orphaned)+perServer*float64(u.servers-u.counted))
	}
	perServer := (assumed/float64(u.servers) + float64(u.reported)) / float64(1+u.reports)
	return min(assumed, perServer*float64(u.servers))
}

// reportedLoadAge is how old the loads that servers report with their answers may be when they show
// the requests that processes have started.
const reportedLoadAge = 500 * time.Millisecond

// estimateFree estimates the free slots of all servers from those that reported their loads
// recently.
func (u usage) estimateFree() float64 {
	if u.reports == 0 {
		return 0
	}
	return u.reportedFree / float64(u.reports) * float64(u.servers)
}

// assumedOrphanTTL is how long the assumed number of orphaned requests counts after the loads of
// other processes have become known, less and less. Stores that return with the routers count the
// orphaned requests sooner.
const assumedOrphanTTL = time.Second

// reportedOrphanTTL is the same if servers had reported their loads. Stores that return 0.5 s after the routers
// have counted the orphaned requests another 0.5 s later. Without reports the number is a guess, which would
// leave half of the slots empty.
const reportedOrphanTTL = 2 * time.Second

// remainingOrphaned returns how many orphaned requests are assumed beside the counted ones and the known
// loads of other processes, so that the even part of the slots passes over into the free slots without a
// jump.
func (p *Pool) remainingOrphaned(sum usage, now time.Duration) float64 {
	p.orphansKnown = p.orphansKnown || sum.orphansKnown()
	if p.assumedOrphaned == 0 || p.orphansKnown || p.loads.hasSurvivor() {
		return 0
	}
	ttl := assumedOrphanTTL
	if p.assumedByReports {
		ttl = reportedOrphanTTL
	}
	rest := max(0, 1-float64(now-p.assumedAt)/float64(ttl))
	if sum.counted > 0 {
		return rest * max(0, sum.assumedOrphaned()-float64(sum.orphaned))
	}
	return rest * p.assumedOrphaned
}

// arrivalsUnknownTime is how long after the first request late requests wait on a site that returns, until
// the requests that have come in meanwhile show how many can be in time.
const arrivalsUnknownTime = 100 * time.Millisecond

// ArrivalsUnknown reports whether this process has just restarted with the others and has not had the time
// to see how many requests arrive that can meet their objective.
func (p *Pool) ArrivalsUnknown(now time.Duration) bool {
	if p.startLimitOff || p.informedOnce || p.onlineProcesses <= 1 || p.knowsLoads(now) {
		return false
	}
	return !p.uninformed || now-p.uninformedSince < arrivalsUnknownTime
}

// minLatePart is the least part of a request that must be left to late requests for another one to start.
const minLatePart = 0.5

// leavesToTimely reports whether a late request that starts leaves enough slots to the requests that can
// be in time, of those that this process may have: its even part of the slots that neither orphaned
// requests nor batch work have. After a restart of the whole site the backlog would take all slots first,
// and each request that arrives within the next few hundred milliseconds would be late.
func (p *Pool) leavesToTimely(now time.Duration) bool {
	if p.ArrivalsUnknown(now) {
		return false
	}
	sum := p.overview().usage(now)
	if !sum.slotsKnown {
		return true
	}
	orphaned := float64(sum.orphaned)
	if p.startLimited {
		orphaned = p.assumedOrphaned
	} else {
		orphaned += p.remainingOrphaned(sum, now)
	}
	part := (float64(sum.slots) - orphaned) / float64(p.onlineProcesses)
	timely := max(p.expectedTimely, float64(p.onlineInflight-p.lateInflight+p.timely))
	return part-timely-float64(p.lateInflight) >= minLatePart
}
