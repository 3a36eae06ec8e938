package router

import (
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fault"
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

// servicePool is the pool of one service with the requests that wait for it.
type servicePool struct {
	pool    *balance.Pool
	waiting waiting.Queue[*waiter]
	// holding is how long requests held a server lately, for the time to come back, and
	// ended how many that rests on.
	holding time.Duration
	ended   int
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
	demand  balance.Demand
	tried   []string
	granted chan balance.Choice
}

// crowded is the refusal of a request behind so many others that it would wait for too long.
func (p *servicePool) crowded(service string, tooLong time.Duration) error {
	return fault.Newf(fault.Overloaded, "come back after the time given",
		"all servers of service %s are busy, and more requests wait than they take in time", service).
		WithRan(fault.NotRun).WithRetryAfter(max(shortestReturn, tooLong))
}

// busy is the refusal of a request for which no server has room in time.
func (p *servicePool) busy(service string) error {
	return fault.Newf(fault.Overloaded, "come back after the time given", "all servers of service %s are busy", service).
		WithRan(fault.NotRun).WithRetryAfter(max(shortestReturn, p.holding/2))
}
