package router

import (
	"time"

	"rockwind.example/rockwind/internal/balance"
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
)

// Ask is what a request wants of a service.
type Ask struct {
	Service  string
	Demand   balance.Demand
	Priority waiting.Priority
	Tenant   waiting.Tenant
	// Asked is since when its client has been asking; zero is not known.
	Asked time.Time
	// OnTimeUntil is until when it may begin at a server and be answered in time.
	OnTimeUntil time.Time
	// Tried are servers that it must not go to again.
	Tried []string
	// Patience is how long it may wait.
	Patience time.Duration
}

// place is what the order of the request rests on, which is the given arrival.
func (a Ask) place(arrival uint64, now time.Time) waiting.Place {
	return waiting.NewPlace(a.Priority, arrival, a.OnTimeUntil, now.Add(a.Patience)).Of(a.Tenant).AskedAt(a.Asked)
}

// servicePool is the pool of one service with the requests that wait for it.
type servicePool struct {
	name    string
	gates   gate.Set
	pool    *balance.Pool
	shares  *balance.Shares
	waiting waiting.Queue[*waiter]
	// classes are the requests by priority, among which tenants share.
	classes map[waiting.Priority]*class
	// scarce tells whether there is too little room, so that tenants share.
	scarce bool
	// promises are the clients that were told to come back.
	promises returning.Promises
	// holding is how long requests held a server lately, for the time to come back.
	holding time.Duration
	// written is how many events answers had lately.
	written float64
}

// waiter is a request that waits for room.
type waiter struct {
	ask     Ask
	place   waiting.Place
	granted chan balance.Choice
}

// ahead is how many requests go before one with the given place, here and, as they tell, at
// the other processes.
func (p *servicePool) ahead(place waiting.Place, now time.Time, elapsed time.Duration) int {
	elsewhere := p.shares.At(balance.QueueHash(p.name)).Inflight
	if p.gates.On(gate.Returns) {
		elsewhere -= p.lower(place.Priority())
	}
	if p.scarce && p.gates.On(gate.FairShare) {
		elsewhere -= p.class(place.Priority()).behind(place.Tenant(), elapsed)
	}
	return p.waiting.Ahead(place, now) + max(0, elsewhere)
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
func (p *servicePool) room() returning.Room { return returning.NewRoom(p.pool.Slots(), p.holding) }

// comeBack is when a request that is refused now will find room, and promises it. Clients
// that were told to come back are before it as if they waited, here and elsewhere.
func (p *servicePool) comeBack(ahead int, now time.Time) time.Duration {
	ahead += p.promises.Open(now) + p.shares.At(balance.QueueHash(p.name)).Unread
	comeBack := max(shortestReturn, p.room().After(ahead))
	p.promises.Add(now.Add(comeBack))
	return comeBack
}

// crowded is the refusal of a request behind so many others that it would wait for too long.
func (p *servicePool) crowded(ahead int, patience time.Duration, now time.Time) error {
	comeBack := max(shortestReturn, p.room().After(ahead)-patience)
	if p.gates.On(gate.Returns) {
		comeBack = p.comeBack(ahead, now)
	}
	return fault.Newf(fault.Overloaded, "come back after the time given",
		"all servers of service %s are busy, and more requests wait than they take in time", p.name).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}

// busy is the refusal of a request for which no server has room in time.
func (p *servicePool) busy(ahead int, now time.Time) error {
	comeBack := max(shortestReturn, p.holding/2)
	if p.gates.On(gate.Returns) {
		comeBack = p.comeBack(ahead, now)
	}
	return fault.Newf(fault.Overloaded, "come back after the time given", "all servers of service %s are busy", p.name).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}
