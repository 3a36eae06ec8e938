package router

import (
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fairshare"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/retryafter"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/waitqueue"
)

const (
	// defaultHoldTime is the assumed hold time of a slot before any request has ended.
	defaultHoldTime = time.Second
	// holdTimeWeight is the weight of one request in the moving average of hold times.
	holdTimeWeight = 0.05
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
	// maxExpectedDecayTimes bounds the expected wait in multiples of fairshare.DecayTime: no
	// client waits longer.
	maxExpectedDecayTimes = 60.0
	// minShareStarts is the minimum number of requests that a tenant must have started within
	// fairshare.DecayTime for its share to be known. With fewer, the decayed value depends mostly
	// on the time since the last start.
	minShareStarts = 3.0
	// maxRetryWaits bounds the Retry-After after which a client is expected back, in multiples of
	// its maximum wait: it has that much time left (see maxWaitFraction).
	maxRetryWaits = 2
)

// AcquireRequest describes a request for a server of a service.
type AcquireRequest struct {
	Service string
	Demand  balance.Demand
	// Residency determines the regions of the demand, also after a change of the configuration while
	// the request waits. If it is nil, the regions of the demand apply unchanged.
	Residency *Residency
	// ConfigNumber is the number of the configuration that the regions of the demand are from.
	ConfigNumber uint64
	Priority     waitqueue.Priority
	Tenant       waitqueue.Tenant
	// FirstAsked is when the client first sent the request, including earlier refusals; zero is
	// unknown.
	FirstAsked time.Time
	// StartBy is the latest start at a server that still meets the goal of the route.
	StartBy time.Time
	// Tried are servers that the request must not be sent to again.
	Tried []string
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
	// Remaining is how long the client still waits for the response; zero is unknown.
	Remaining time.Duration
	// LastAttempt is set if the client is not expected to retry after a refusal, because it is
	// retrying already or gets another error after a sent attempt.
	LastAttempt bool
}

// sortKey returns the key that orders the request in the queue.
func (a AcquireRequest) sortKey(arrival uint64, now time.Time) waitqueue.SortKey {
	return waitqueue.NewSortKey(a.Priority, arrival, a.StartBy, now.Add(a.MaxWait)).WithTenant(a.Tenant).WithFirstAttempt(a.FirstAsked)
}

// servicePool is the pool of one service with its queue.
type servicePool struct {
	name   string
	gates  featuregate.Set
	pool   *balance.Pool
	shares *balance.SharedLoads
	// versions holds when servers of each software version last served.
	versions versionHistory
	// wasMixed is whether they were mixed at the last directory, and mixedSince since when.
	wasMixed   bool
	mixedSince time.Duration
	waiting    waitqueue.Queue[*waiter]
	// rechecking is set while a recheck of the queue is scheduled.
	rechecking bool
	// classes are the priority classes, within which tenants share capacity.
	classes map[waitqueue.Priority]*priorityClass
	// overloaded is set if capacity is short, so that tenants share it. overloadedSince is when
	// that began, and overloadCheckedAt when it was last checked.
	overloaded        bool
	overloadedSince   time.Duration
	overloadCheckedAt time.Duration
	// startLimited is whether the last recorded start limit was active.
	startLimited bool
	// pendingRetries are the times at which refused clients were told to retry.
	pendingRetries retryafter.PendingRetries
	// restrictedRetries are those of restricted requests among them, by the key of their regions.
	restrictedRetries map[string]*regionalRetries
	// timelyArrivals measures the rate of the requests that could meet their objective on arrival.
	timelyArrivals arrivalRate
	// holdTime is the moving average of slot hold times, and holdTimeSamples the number of
	// samples in it.
	holdTime        time.Duration
	holdTimeSamples int
	// needHashes are the hashes of waiting batch items in load digests.
	needHashes *[backlog.UnmetDemandLevels]uint32
	// meanEvents is the moving average of events in a response, and meanWork that of the work of
	// a request, in tokens.
	meanEvents float64
	meanWork   float64
}

// recordHoldTime adds a sample to the average hold time. The first samples have equal weight, so
// that a new process does not refuse short requests because of defaultHoldTime.
func (p *servicePool) recordHoldTime(held time.Duration) {
	p.holdTimeSamples++
	weight := max(holdTimeWeight, 1/float64(p.holdTimeSamples))
	p.holdTime += time.Duration(weight * float64(held-p.holdTime))
}

// waiter is a waiting request.
type waiter struct {
	request      AcquireRequest
	key          waitqueue.SortKey
	waitingSince time.Time
	granted      chan grant
}

// grant is a server assigned to a request, and the charge to its tenant, or the refusal of a request
// that no server can take anymore.
type grant struct {
	choice  balance.Choice
	charge  charge
	refusal error
}

// aheadElsewhere estimates how many requests at other processes are ahead of the given key. Late
// ones of the same or a lower priority are not ahead of a request that can be in time.
func (p *servicePool) aheadElsewhere(key waitqueue.SortKey, now time.Time, elapsed time.Duration) int {
	count := p.shares.At(balance.QueueHash(p.name)).Inflight
	if p.gates.On(featuregate.RetryAfter) {
		count -= p.lowerElsewhere(key.Priority())
		if !key.Late(now) {
			count = min(count, p.higherElsewhere(key.Priority())+p.shares.At(balance.TimelyHash(p.name)).Inflight)
		}
	}
	if p.overloaded && p.gates.On(featuregate.FairShare) {
		count -= p.class(key.Priority()).waitingBehind(key.Tenant(), elapsed)
	}
	return max(0, count)
}

// lowerElsewhere returns how many requests of known lower priorities wait at other processes.
func (p *servicePool) lowerElsewhere(priority waitqueue.Priority) int {
	return p.waitingElsewhere(priority.Before)
}

// higherElsewhere returns how many requests of known higher priorities wait at other processes.
func (p *servicePool) higherElsewhere(priority waitqueue.Priority) int {
	return p.waitingElsewhere(func(other waitqueue.Priority) bool { return other.Before(priority) })
}

// waitingElsewhere returns how many requests of matching priorities wait at other processes.
func (p *servicePool) waitingElsewhere(matches func(priority waitqueue.Priority) bool) int {
	count := 0
	for other, class := range p.classes {
		if matches(other) {
			count += p.shares.At(balance.QueueHash(class.name)).Inflight
		}
	}
	return count
}

// slotRate is the rate at which slots become free in the given regions, of those that have no orphaned
// requests. These are assumed to be spread evenly.
func (p *servicePool) slotRate(regions topology.RegionSet) retryafter.Rate {
	slots := p.pool.SlotsIn(regions)
	if slots > 0 {
		slots = max(1, slots-p.pool.Orphaned()*slots/max(1, p.pool.Slots()))
	}
	return retryafter.NewRate(slots, p.holdTime)
}

// expectedWait estimates the wait of a request behind the given number of others. If capacity has
// been short for long enough to know the shares of the tenants, it also considers the other
// requests of its tenant.
func (p *servicePool) expectedWait(request AcquireRequest, ahead int, elapsed time.Duration) time.Duration {
	expected := p.slotRate(request.Demand.Regions).EstimateWait(ahead)
	if p.gates.On(featuregate.RetryAfter) && p.overloaded && elapsed-p.overloadedSince >= fairshare.DecayTime {
		expected = max(expected, p.expectedShareWait(request, elapsed))
	}
	return expected
}

// expectedShareWait estimates the wait of a request behind the others of its tenant from the
// share of the tenants that want more than they get. It is zero if unknown: for a request without
// a tenant, for servers that do not report their slots, and after too few starts.
func (p *servicePool) expectedShareWait(request AcquireRequest, elapsed time.Duration) time.Duration {
	if request.Tenant.Name == "" || p.pool.Slots() == 0 {
		return 0
	}
	class, counts := p.class(request.Priority), p.waitingCounts()[request.Priority]
	highest, work := class.ledger.MaxVirtualTime(counts, class.weight, elapsed)
	share := highest * float64(max(1, request.Tenant.Weight))
	if share <= 0 || work < minShareStarts*p.meanWork {
		return 0
	}
	before := counts[request.Tenant.Name] + class.ledger.RemoteWaiting(request.Tenant.Name)
	decayTimes := float64(before+1) * p.meanWork / share
	return time.Duration(min(decayTimes, maxExpectedDecayTimes) * float64(fairshare.DecayTime))
}

// retryAfter returns when a request that is refused now is expected to find capacity, bounded by
// the client's remaining time. Refused clients that are expected back count as ahead of it. The
// time is added to the pending retries if the client is expected to retry.
func (p *servicePool) retryAfter(request AcquireRequest, ahead int, now time.Time, elapsed time.Duration) time.Duration {
	pending := p.pendingAhead(request.Demand.Regions, now)
	retryAfter := max(minRetryAfter, p.expectedWait(request, ahead, elapsed), p.slotRate(request.Demand.Regions).EstimateWait(ahead+pending))
	retryAfter = boundRetryAfter(retryAfter, request.Remaining)
	if !request.LastAttempt && retryAfter <= maxRetryWaits*request.MaxWait {
		p.addPendingRetry(request.Demand.Regions, now.Add(retryAfter))
	}
	return retryAfter
}

// queueFullFault returns the refusal of a request whose expected wait is too long.
func (p *servicePool) queueFullFault(request AcquireRequest, ahead int, now time.Time, elapsed time.Duration) error {
	retryAfter := max(minRetryAfter, p.slotRate(request.Demand.Regions).EstimateWait(ahead)-request.MaxWait)
	if p.gates.On(featuregate.RetryAfter) {
		retryAfter = p.retryAfter(request, ahead, now, elapsed)
	}
	return fault.Newf(fault.Overloaded, "retry after the given time",
		"all servers of service %s are busy, and the queue is too long", p.name).
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}

// busyFault returns the refusal of a request that found no capacity in time.
func (p *servicePool) busyFault(request AcquireRequest, ahead int, now time.Time, elapsed time.Duration) error {
	retryAfter := max(minRetryAfter, p.holdTime/2)
	if p.gates.On(featuregate.RetryAfter) {
		retryAfter = p.retryAfter(request, ahead, now, elapsed)
	}
	return fault.Newf(fault.Overloaded, "retry after the given time", "all servers of service %s are busy", p.name).
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}
