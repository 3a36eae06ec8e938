// Package waiting orders the online requests that wait in one process for a server. Requests
// that can still be answered in time go before those that cannot, so that work which is late
// already makes no other work late; none waits until it gives up behind others of its
// priority. Where tenants share, of requests alike in this the one goes first whose tenant
// had least, and a late one that gives up soon goes before others only if its tenant had no
// more than any that waits: a flood that is late does not push itself before the others.
//
// The package is pure: time is an argument.
package waiting

import (
	"cmp"
	"slices"
	"time"
)

// pressingFor is how long before it gives up a late request goes before all others of its
// priority: long enough for some slots to be left meanwhile.
const pressingFor = 400 * time.Millisecond

// Priority orders requests by that of the tenant, then by that of the route. Lower numbers go
// first.
type Priority struct {
	Tenant uint32
	Route  uint32
}

// Before tells whether requests of the priority go before those of another one.
func (p Priority) Before(other Priority) bool { return p.compare(other) < 0 }

func (p Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Tenant, other.Tenant), cmp.Compare(p.Route, other.Route))
}

// SortKey is what the order of a request rests on.
type SortKey struct {
	priority    Priority
	arrival     uint64
	onTimeUntil time.Time
	givesUp     time.Time
	tenant      Tenant
	asked       time.Time
}

// Tenant is whose request waits. The zero value is no tenant.
type Tenant struct {
	Name string
	// Weight is its part of what is shared, beside those of others; zero is one.
	Weight uint32
}

// NewSortKey returns the place of a request. Its answer is in time if it begins at a server
// until onTimeUntil, and it waits no longer than until givesUp. Arrival rises with each
// request.
func NewSortKey(priority Priority, arrival uint64, onTimeUntil, givesUp time.Time) SortKey {
	return SortKey{priority: priority, arrival: arrival, onTimeUntil: onTimeUntil, givesUp: givesUp}
}

// WithTenant returns the place of a request of a tenant.
func (p SortKey) WithTenant(tenant Tenant) SortKey {
	p.tenant = tenant
	return p
}

// WithFirstAttempt returns the place of a request whose client has been asking since a time. It goes
// before those of its standing whose clients began to ask later.
func (p SortKey) WithFirstAttempt(asked time.Time) SortKey {
	p.asked = asked
	return p
}

// Tenant is whose request it is.
func (p SortKey) Tenant() Tenant { return p.tenant }

// Priority is that of the request.
func (p SortKey) Priority() Priority { return p.priority }

// standing is the order among requests of one priority.
type standing int

const (
	// pressing requests are late and give up soon.
	pressing standing = iota
	// timely requests can still be answered in time.
	timely
	// late requests cannot: they wait for a moment with less to do.
	late
)

func (p SortKey) standing(now time.Time) standing {
	switch {
	case now.Before(p.onTimeUntil):
		return timely
	case p.givesUp.Sub(now) < pressingFor:
		return pressing
	}
	return late
}

// VirtualTime is how much the tenant of a request had lately, in any unit.
type VirtualTime func(place SortKey) float64

// ranked is a place with what its order rests on at one moment.
type ranked struct {
	place    SortKey
	standing standing
	virtual  float64
}

func (r ranked) before(other ranked) bool { return r.compare(other) < 0 }

func (r ranked) compare(other ranked) int {
	return cmp.Or(
		r.place.priority.compare(other.place.priority),
		cmp.Compare(r.standing, other.standing),
		cmp.Compare(r.virtual, other.virtual),
		r.place.asked.Compare(other.place.asked),
		cmp.Compare(r.place.arrival, other.place.arrival),
	)
}

// Entry is a request that waits, with what its owner keeps of it.
type Entry[T any] struct {
	place SortKey
	value T
	// left tells that it does not wait any more.
	left bool
}

// Value is what the owner keeps of the request.
func (e *Entry[T]) Value() T { return e.value }

// Removed tells whether the request was removed.
func (e *Entry[T]) Removed() bool { return e.left }

// Queue holds requests that wait. Which one goes first changes with time, so that it is
// found anew each time, at the cost of a look at each; a process has some tens of them, and
// hundreds in the hardest floods. It belongs to one goroutine at a time. The zero value is empty.
type Queue[T any] struct {
	entries []*Entry[T]
	virtual VirtualTime
}

// EnableFairShare has tenants share: of requests alike in priority and standing the one with the least
// virtual time goes first.
func (q *Queue[T]) EnableFairShare(virtual VirtualTime) { q.virtual = virtual }

// Len is how many requests wait.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add puts a request into the queue.
func (q *Queue[T]) Add(place SortKey, value T) *Entry[T] {
	added := &Entry[T]{place: place, value: value}
	q.entries = append(q.entries, added)
	return added
}

// Each visits the places of all requests that wait.
func (q *Queue[T]) Each(visit func(place SortKey)) {
	for _, each := range q.entries {
		visit(each.place)
	}
}

// Any tells whether a request waits of which that holds.
func (q *Queue[T]) Any(holds func(value T) bool) bool {
	return slices.ContainsFunc(q.entries, func(each *Entry[T]) bool { return holds(each.value) })
}

// First is the request that goes before all others now, nil where none waits.
func (q *Queue[T]) First(now time.Time) *Entry[T] {
	return q.FirstMatching(now, func(T) bool { return true })
}

// FirstMatching is the request that goes first now of those of which that holds, nil where it holds of
// none.
func (q *Queue[T]) FirstMatching(now time.Time, holds func(value T) bool) *Entry[T] {
	var first *Entry[T]
	var best ranked
	least := q.least(now)
	for _, each := range q.entries {
		if !holds(each.value) {
			continue
		}
		if rank := q.rank(each.place, least, now); first == nil || rank.before(best) {
			first, best = each, rank
		}
	}
	return first
}

// Walk visits the requests in the order in which they go now, until the visitor returns false
// or all were visited. The order is that of its beginning; the visitor must not change the queue.
func (q *Queue[T]) Walk(now time.Time, visit func(entry *Entry[T]) bool) {
	// Most walks end at the first one, which needs no order among the others.
	first := q.First(now)
	if first == nil || !visit(first) {
		return
	}
	for _, each := range q.after(first, now) {
		if !visit(each) {
			return
		}
	}
}

// after lists all requests but the first one, in their order.
func (q *Queue[T]) after(first *Entry[T], now time.Time) []*Entry[T] {
	least := q.least(now)
	ranks := make(map[*Entry[T]]ranked, len(q.entries))
	others := make([]*Entry[T], 0, len(q.entries))
	for _, each := range q.entries {
		if each != first {
			ranks[each] = q.rank(each.place, least, now)
			others = append(others, each)
		}
	}
	slices.SortFunc(others, func(a, b *Entry[T]) int { return ranks[a].compare(ranks[b]) })
	return others
}

// CountAhead is how many of those that wait go before a request that does not wait yet.
func (q *Queue[T]) CountAhead(place SortKey, now time.Time) int {
	least := q.least(now, place)
	own := q.rank(place, least, now)
	ahead := 0
	for _, each := range q.entries {
		if !own.before(q.rank(each.place, least, now)) {
			ahead++
		}
	}
	return ahead
}

// least is the least virtual time among those that wait and the given places, by priority.
// It is nil where nothing is shared, or no request gives up soon.
func (q *Queue[T]) least(now time.Time, more ...SortKey) map[Priority]float64 {
	if q.virtual == nil || !q.presses(now, more) {
		return nil
	}
	least := make(map[Priority]float64)
	note := func(place SortKey) {
		virtual := q.virtual(place)
		if known, found := least[place.priority]; !found || virtual < known {
			least[place.priority] = virtual
		}
	}
	q.Each(note)
	for _, place := range more {
		note(place)
	}
	return least
}

// presses tells whether one of those that wait or of the given places gives up soon.
func (q *Queue[T]) presses(now time.Time, more []SortKey) bool {
	isPressing := func(place SortKey) bool { return place.standing(now) == pressing }
	return slices.ContainsFunc(more, isPressing) ||
		slices.ContainsFunc(q.entries, func(each *Entry[T]) bool { return isPressing(each.place) })
}

// rank is what the order of a place rests on now. One that gives up soon counts as any other
// late one where its tenant had more than another that waits.
func (q *Queue[T]) rank(place SortKey, least map[Priority]float64, now time.Time) ranked {
	rank := ranked{place: place, standing: place.standing(now)}
	if q.virtual == nil {
		return rank
	}
	rank.virtual = q.virtual(place)
	if rank.standing == pressing && rank.virtual > least[place.priority] {
		rank.standing = late
	}
	return rank
}

// Remove takes a request out of the queue.
func (q *Queue[T]) Remove(entry *Entry[T]) {
	entry.left = true
	q.entries = slices.DeleteFunc(q.entries, func(each *Entry[T]) bool { return each == entry })
}
