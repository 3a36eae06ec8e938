package router

import (
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fairshare"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/returning"
	"rockwind.example/rockwind/internal/waiting"
)

const (
	// typicalHolding is how long requests are taken to hold a server before any has
	// ended.
	typicalHolding = time.Second
	// holdingWeight is the weight of one request in the running mean.
	holdingWeight = 0.05
	// shortestReturn is the shortest time to come back that is told.
	shortestReturn = 50 * time.Millisecond
	// longestExpected bounds the wait that is expected, in times of fairshare.Memory: no
	// client waits for longer.
	longestExpected = 60.0
	// leastStarts is on how many requests of one tenant, begun within a Memory, the share of
	// each rests at least: with fewer, what it has decayed to since the last start says more of
	// the time since then than of what the tenants get.
	leastStarts = 3.0
	// returnsWithin is within how many times its patience a client comes back: it has so much
	// time left (patiencePart).
	returnsWithin = 2
)

// AcquireRequest is what a request wants of a service.
type AcquireRequest struct {
	Service  string
	Demand   balance.Demand
	Priority waiting.Priority
	Tenant   waiting.Tenant
	// FirstAsked is since when its client has been asking; zero is not known.
	FirstAsked time.Time
	// StartBy is until when it may begin at a server and be answered in time.
	StartBy time.Time
	// Tried are servers that it must not go to again.
	Tried []string
	// MaxWait is how long it may wait.
	MaxWait time.Duration
	// Remaining is how long its client waits for the answer; zero is not known.
	Remaining time.Duration
	// LastAttempt tells that its client does not come back where it is refused: it has come back
	// already, or what it gets is not a refusal, as a try was sent.
	LastAttempt bool
}

// place is what the order of the request rests on, which is the given arrival.
func (a AcquireRequest) place(arrival uint64, now time.Time) waiting.SortKey {
	return waiting.NewSortKey(a.Priority, arrival, a.StartBy, now.Add(a.MaxWait)).WithTenant(a.Tenant).WithFirstAttempt(a.FirstAsked)
}

// servicePool is the pool of one service with the requests that wait for it.
type servicePool struct {
	name    string
	gates   gate.Set
	pool    *balance.Pool
	shares  *balance.SharedLoads
	waiting waiting.Queue[*waiter]
	// rechecking tells that what waits is looked at again soon.
	rechecking bool
	// classes are the requests by priority, among which tenants share.
	classes map[waiting.Priority]*class
	// scarce tells whether there is too little room, so that tenants share, and scarceSince
	// since when, as judged last at judgedAt.
	scarce      bool
	scarceSince time.Duration
	judgedAt    time.Duration
	// promises are the clients that were told to come back.
	promises returning.PendingRetries
	// holding is how long requests held a server lately, for the time to come back, and
	// ended how many that rests on.
	holding time.Duration
	ended   int
	// needHashes are the names in digests of the batch items that wait.
	needHashes *[backlog.NeedLevels]uint32
	// written is how many events answers had lately, and work what requests took, in tokens.
	written float64
	work    float64
}

// learn takes how long a request held a server. The first ones count evenly: a process that
// has just started knows nothing, and would refuse for want of room as if short requests took
// typicalHolding, until dozens of them had ended here.
func (p *servicePool) learn(held time.Duration) {
	p.ended++
	weight := max(holdingWeight, 1/float64(p.ended))
	p.holding += time.Duration(weight * float64(held-p.holding))
}

// waiter is a request that waits for room.
type waiter struct {
	ask     AcquireRequest
	place   waiting.SortKey
	began   time.Time
	granted chan grant
}

// grant is a server that a request may use, and what its tenant was charged for that.
type grant struct {
	choice balance.Choice
	charge charge
}

// someTried tells whether a request waits that has tried servers.
func (p *servicePool) someTried() bool {
	return p.waiting.Any(func(waiter *waiter) bool { return len(waiter.ask.Tried) > 0 })
}

// elsewhere is how many requests go before one with the given place at the other processes, as
// they tell.
func (p *servicePool) elsewhere(place waiting.SortKey, elapsed time.Duration) int {
	count := p.shares.At(balance.QueueHash(p.name)).Inflight
	if p.gates.On(gate.Returns) {
		count -= p.lower(place.Priority())
	}
	if p.scarce && p.gates.On(gate.FairShare) {
		count -= p.class(place.Priority()).behind(place.Tenant(), elapsed)
	}
	return max(0, count)
}

// lower is how many requests wait at other processes whose priority is known here and lower.
func (p *servicePool) lower(priority waiting.Priority) int {
	count := 0
	for other, class := range p.classes {
		if priority.Before(other) {
			count += p.shares.At(balance.QueueHash(class.name)).Inflight
		}
	}
	return count
}

// room is how fast servers become free.
func (p *servicePool) room() returning.Rate { return returning.NewRate(p.pool.Slots(), p.holding) }

// expected is how long a request waits that has so many others before it: until the servers
// have taken those; and while room has been too little for long enough to show what a tenant
// gets, until its tenant gets room for it behind its others.
func (p *servicePool) expected(ask AcquireRequest, ahead int, elapsed time.Duration) time.Duration {
	expected := p.room().EstimateWait(ahead)
	if p.gates.On(gate.Returns) && p.scarce && elapsed-p.scarceSince >= fairshare.DecayTime {
		expected = max(expected, p.ofShare(ask, elapsed))
	}
	return expected
}

// ofShare is how long a request waits that its tenant's others go before, by what the tenants
// that ask for more than their share get. It is zero where that is not known: for a request
// without a tenant, at servers that do not say how many they run, and after too few starts.
func (p *servicePool) ofShare(ask AcquireRequest, elapsed time.Duration) time.Duration {
	if ask.Tenant.Name == "" || p.pool.Slots() == 0 {
		return 0
	}
	class, waits := p.class(ask.Priority), p.waitsOf()[ask.Priority]
	highest, work := class.ledger.MaxVirtualTime(waits, class.weight, elapsed)
	share := highest * float64(max(1, ask.Tenant.Weight))
	if share <= 0 || work < leastStarts*p.work {
		return 0
	}
	before := waits[ask.Tenant.Name] + class.ledger.RemoteWaiting(ask.Tenant.Name)
	memories := float64(before+1) * p.work / share
	return time.Duration(min(memories, longestExpected) * float64(fairshare.DecayTime))
}

// comeBack is when a request that is refused now will find room, no later than its client
// would come back in time. That is what the client is told, but for the little that chance
// adds (returnSpread), and it is promised where the client is expected then. Clients that
// were told to come back are before it as if they waited, here and elsewhere.
func (p *servicePool) comeBack(ask AcquireRequest, ahead int, now time.Time, elapsed time.Duration) time.Duration {
	promised := p.promises.Count(now) + p.shares.At(balance.QueueHash(p.name)).Unread
	comeBack := max(shortestReturn, p.expected(ask, ahead, elapsed), p.room().EstimateWait(ahead+promised))
	comeBack = boundReturn(comeBack, ask.Remaining)
	if !ask.LastAttempt && comeBack <= returnsWithin*ask.MaxWait {
		p.promises.Add(now.Add(comeBack))
	}
	return comeBack
}

// crowded is the refusal of a request behind so many others that it would wait for too long.
func (p *servicePool) crowded(ask AcquireRequest, ahead int, now time.Time, elapsed time.Duration) error {
	comeBack := max(shortestReturn, p.room().EstimateWait(ahead)-ask.MaxWait)
	if p.gates.On(gate.Returns) {
		comeBack = p.comeBack(ask, ahead, now, elapsed)
	}
	return fault.Newf(fault.Overloaded, "come back after the time given",
		"all servers of service %s are busy, and more requests wait than they take in time", p.name).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}

// busy is the refusal of a request for which no server has room in time.
func (p *servicePool) busy(ask AcquireRequest, ahead int, now time.Time, elapsed time.Duration) error {
	comeBack := max(shortestReturn, p.holding/2)
	if p.gates.On(gate.Returns) {
		comeBack = p.comeBack(ask, ahead, now, elapsed)
	}
	return fault.Newf(fault.Overloaded, "come back after the time given", "all servers of service %s are busy", p.name).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}
