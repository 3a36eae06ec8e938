// Package waitqueue orders the online requests that wait in one process for a server. Requests that
// can still meet their latency objective go before late ones, so that late work delays no other
// work. A late request that is about to time out goes before other late ones. With fair share,
// requests of equal rank are ordered by their tenants' virtual times, and a late request that is
// about to time out only goes ahead if no other waiting tenant has a lower virtual time: the late
// requests of a flooding tenant must not overtake the others.
//
// The package has no clock: times are arguments.
package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// urgentWindow is how long before its timeout a late request becomes urgent: long enough for
// some slots to become free.
const urgentWindow = 400 * time.Millisecond

// Priority is the priority of a request, by tenant and then by route. Lower numbers go first.
type Priority struct {
	Tenant uint32
	Route  uint32
}

// Before reports whether requests of this priority go before those of another one.
func (p Priority) Before(other Priority) bool { return p.compare(other) < 0 }

func (p Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Tenant, other.Tenant), cmp.Compare(p.Route, other.Route))
}

// SortKey holds the attributes by which requests are ordered.
type SortKey struct {
	priority     Priority
	arrival      uint64
	onTimeUntil  time.Time
	expires      time.Time
	tenant       Tenant
	firstAttempt time.Time
}

// Tenant is the owner of a request. The zero value is no tenant.
type Tenant struct {
	Name string
	// Weight is its weight in fair share; zero counts as one.
	Weight uint32
}

// NewSortKey returns the key of a request that meets its objective if a server starts it before
// onTimeUntil, and that times out at expires. Arrival numbers increase with each request.
func NewSortKey(priority Priority, arrival uint64, onTimeUntil, expires time.Time) SortKey {
	return SortKey{priority: priority, arrival: arrival, onTimeUntil: onTimeUntil, expires: expires}
}

// WithTenant returns the key with a tenant.
func (k SortKey) WithTenant(tenant Tenant) SortKey {
	k.tenant = tenant
	return k
}

// WithFirstAttempt returns the key with the time of the client's first attempt. Of otherwise equal
// requests the one with the earlier first attempt goes first.
func (k SortKey) WithFirstAttempt(firstAttempt time.Time) SortKey {
	k.firstAttempt = firstAttempt
	return k
}

// Tenant returns the tenant of the request.
func (k SortKey) Tenant() Tenant { return k.tenant }

// Priority returns the priority of the request.
func (k SortKey) Priority() Priority { return k.priority }

// urgency orders requests of one priority.
type urgency int

const (
	// timely requests can still meet their objective.
	timely urgency = iota
	// urgent requests are late and about to time out.
	urgent
	// late requests cannot, and wait until there is less load.
	late
)

func (k SortKey) urgency(now time.Time) urgency {
	switch {
	case now.Before(k.onTimeUntil):
		return timely
	case k.expires.Sub(now) < urgentWindow:
		return urgent
	}
	return late
}

// VirtualTime returns the recent usage of a request's tenant, in any unit.
type VirtualTime func(key SortKey) float64

// rankedKey is a key with the values that its order depends on at one moment.
type rankedKey struct {
	key     SortKey
	urgency urgency
	virtual float64
}

func (r rankedKey) before(other rankedKey) bool { return r.compare(other) < 0 }

func (r rankedKey) compare(other rankedKey) int {
	return cmp.Or(
		r.key.priority.compare(other.key.priority),
		cmp.Compare(r.urgency, other.urgency),
		cmp.Compare(r.virtual, other.virtual),
		r.key.firstAttempt.Compare(other.key.firstAttempt),
		cmp.Compare(r.key.arrival, other.key.arrival),
	)
}

// Entry is a waiting request with the owner's value.
type Entry[T any] struct {
	key   SortKey
	value T
	// removed is set once the request is no longer in the queue.
	removed bool
}

// Value returns the owner's value.
func (e *Entry[T]) Value() T { return e.value }

// Removed reports whether the request was removed.
func (e *Entry[T]) Removed() bool { return e.removed }

// Queue holds waiting requests. Their order changes with time, so the first one is found by a
// scan of all; a process has some tens of them, and hundreds under heavy overload. The zero value
// is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	entries []*Entry[T]
	virtual VirtualTime
}

// EnableFairShare orders requests of equal priority and urgency by their tenants' virtual times.
func (q *Queue[T]) EnableFairShare(virtual VirtualTime) { q.virtual = virtual }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add adds a request to the queue.
func (q *Queue[T]) Add(key SortKey, value T) *Entry[T] {
	added := &Entry[T]{key: key, value: value}
	q.entries = append(q.entries, added)
	return added
}

// Each calls visit with the key of each waiting request.
func (q *Queue[T]) Each(visit func(key SortKey)) {
	for _, each := range q.entries {
		visit(each.key)
	}
}

// Late reports whether a request with the key can no longer meet its objective.
func (k SortKey) Late(now time.Time) bool { return k.urgency(now) != timely }

// CountTimely returns how many waiting requests can still meet their objective.
func (q *Queue[T]) CountTimely(now time.Time) int {
	count := 0
	for _, each := range q.entries {
		if each.key.urgency(now) == timely {
			count++
		}
	}
	return count
}

// Any reports whether any waiting request matches.
func (q *Queue[T]) Any(matches func(value T) bool) bool {
	return slices.ContainsFunc(q.entries, func(each *Entry[T]) bool { return matches(each.value) })
}

// Matching returns the waiting requests that match, in no particular order.
func (q *Queue[T]) Matching(matches func(value T) bool) []*Entry[T] {
	var found []*Entry[T]
	for _, each := range q.entries {
		if matches(each.value) {
			found = append(found, each)
		}
	}
	return found
}

// First returns the request that goes first now, or nil.
func (q *Queue[T]) First(now time.Time) *Entry[T] {
	return q.FirstMatching(now, func(T) bool { return true })
}

// FirstMatching returns the matching request that goes first now, or nil.
func (q *Queue[T]) FirstMatching(now time.Time, matches func(value T) bool) *Entry[T] {
	var first *Entry[T]
	var best rankedKey
	minVirtualTimes := q.minVirtualTimes(now)
	for _, each := range q.entries {
		if !matches(each.value) {
			continue
		}
		if rank := q.rank(each.key, minVirtualTimes, now); first == nil || rank.before(best) {
			first, best = each, rank
		}
	}
	return first
}

// Walk visits the requests in their present order until visit returns false. The order does not
// change during the walk; visit must not change the queue.
func (q *Queue[T]) Walk(now time.Time, visit func(entry *Entry[T]) bool) {
	// Most walks end at the first request, which is found without sorting.
	first := q.First(now)
	if first == nil || !visit(first) {
		return
	}
	for _, each := range q.sortedExcept(first, now) {
		if !visit(each) {
			return
		}
	}
}

// sortedExcept returns all requests but the first one, in order.
func (q *Queue[T]) sortedExcept(first *Entry[T], now time.Time) []*Entry[T] {
	minVirtualTimes := q.minVirtualTimes(now)
	ranks := make(map[*Entry[T]]rankedKey, len(q.entries))
	others := make([]*Entry[T], 0, len(q.entries))
	for _, each := range q.entries {
		if each != first {
			ranks[each] = q.rank(each.key, minVirtualTimes, now)
			others = append(others, each)
		}
	}
	slices.SortFunc(others, func(a, b *Entry[T]) int { return ranks[a].compare(ranks[b]) })
	return others
}

// CountAhead returns how many waiting requests go before one that is not in the queue.
func (q *Queue[T]) CountAhead(key SortKey, now time.Time) int {
	ahead := 0
	q.EachAhead(key, now, func(T) { ahead++ })
	return ahead
}

// EachAhead visits the waiting requests that go before one that is not in the queue, in no
// particular order.
func (q *Queue[T]) EachAhead(key SortKey, now time.Time, visit func(value T)) {
	minVirtualTimes := q.minVirtualTimes(now, key)
	own := q.rank(key, minVirtualTimes, now)
	for _, each := range q.entries {
		if !own.before(q.rank(each.key, minVirtualTimes, now)) {
			visit(each.value)
		}
	}
}

// minVirtualTimes returns the least virtual time per priority of the waiting requests and the
// given keys. It returns nil without fair share or urgent requests.
func (q *Queue[T]) minVirtualTimes(now time.Time, more ...SortKey) map[Priority]float64 {
	if q.virtual == nil || !q.hasUrgent(now, more) {
		return nil
	}
	minVirtualTimes := make(map[Priority]float64)
	note := func(key SortKey) {
		virtual := q.virtual(key)
		if known, found := minVirtualTimes[key.priority]; !found || virtual < known {
			minVirtualTimes[key.priority] = virtual
		}
	}
	q.Each(note)
	for _, key := range more {
		note(key)
	}
	return minVirtualTimes
}

// hasUrgent reports whether any waiting request or given key is urgent.
func (q *Queue[T]) hasUrgent(now time.Time, more []SortKey) bool {
	isUrgent := func(key SortKey) bool { return key.urgency(now) == urgent }
	return slices.ContainsFunc(more, isUrgent) ||
		slices.ContainsFunc(q.entries, func(each *Entry[T]) bool { return isUrgent(each.key) })
}

// rank returns the rank of a key now. An urgent request whose tenant used more than another waiting
// one counts as late.
func (q *Queue[T]) rank(key SortKey, minVirtualTimes map[Priority]float64, now time.Time) rankedKey {
	rank := rankedKey{key: key, urgency: key.urgency(now)}
	if q.virtual == nil {
		return rank
	}
	rank.virtual = q.virtual(key)
	if rank.urgency == urgent && rank.virtual > minVirtualTimes[key.priority] {
		rank.urgency = late
	}
	return rank
}

// Remove removes a request from the queue.
func (q *Queue[T]) Remove(entry *Entry[T]) {
	entry.removed = true
	q.entries = slices.DeleteFunc(q.entries, func(each *Entry[T]) bool { return each == entry })
}
