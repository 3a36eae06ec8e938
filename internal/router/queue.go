package router

import (
	"cmp"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fault"
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
	waiting waiters
	// holding is how long requests held a server lately, for the time to come back.
	holding time.Duration
}

// Priority orders requests that wait: by that of the tenant, then by that of the route.
// Lower numbers go first.
type Priority struct {
	Tenant uint32
	Route  uint32
}

// Before tells whether a request of this priority goes before one of the other.
func (p Priority) Before(other Priority) bool {
	return cmp.Or(cmp.Compare(p.Tenant, other.Tenant), cmp.Compare(p.Route, other.Route)) < 0
}

// waiter is a request that waits for room.
type waiter struct {
	demand   balance.Demand
	priority Priority
	order    uint64
	tried    []string
	granted  chan balance.Choice
	// index is its place in the heap, -1 once it has left.
	index int
}

// waiters orders those that wait by priority, then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority.Before(w[j].priority)
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(added any) {
	entry := added.(*waiter)
	entry.index = len(*w)
	*w = append(*w, entry)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	entry := (*w)[last]
	entry.index = -1
	(*w)[last] = nil
	*w = (*w)[:last]
	return entry
}

// busy is the refusal of a request for which no server has room in time.
func (p *servicePool) busy(service string) error {
	return fault.Newf(fault.Overloaded, "come back after the time given", "all servers of service %s are busy", service).
		WithRan(fault.NotRun).WithRetryAfter(max(shortestReturn, p.holding/2))
}

