// Package waiting orders the online requests that wait in one process for a server. Requests
// that can still be answered in time go before those that cannot, so that work which is late
// already makes no other work late; none waits until it gives up behind others of its
// priority.
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

func (p Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Tenant, other.Tenant), cmp.Compare(p.Route, other.Route))
}

// Place is what the order of a request rests on.
type Place struct {
	priority    Priority
	arrival     uint64
	onTimeUntil time.Time
	givesUp     time.Time
}

// NewPlace returns the place of a request. Its answer is in time if it begins at a server
// until onTimeUntil, and it waits no longer than until givesUp. Arrival rises with each
// request.
func NewPlace(priority Priority, arrival uint64, onTimeUntil, givesUp time.Time) Place {
	return Place{priority: priority, arrival: arrival, onTimeUntil: onTimeUntil, givesUp: givesUp}
}

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

func (p Place) standing(now time.Time) standing {
	switch {
	case now.Before(p.onTimeUntil):
		return timely
	case p.givesUp.Sub(now) < pressingFor:
		return pressing
	}
	return late
}

// Before tells whether a request goes before another one now.
func (p Place) Before(other Place, now time.Time) bool {
	order := cmp.Or(
		p.priority.compare(other.priority),
		cmp.Compare(p.standing(now), other.standing(now)),
		cmp.Compare(p.arrival, other.arrival),
	)
	return order < 0
}

// Entry is a request that waits, with what its owner keeps of it.
type Entry[T any] struct {
	place Place
	value T
	// left tells that it does not wait any more.
	left bool
}

// Value is what the owner keeps of the request.
func (e *Entry[T]) Value() T { return e.value }

// Left tells whether the request was removed.
func (e *Entry[T]) Left() bool { return e.left }

// Queue holds requests that wait. Which one goes first changes with time, so that it is
// found anew each time; a process has some tens of them at most. It belongs to one goroutine
// at a time. The zero value is empty.
type Queue[T any] struct {
	entries []*Entry[T]
}

// Len is how many requests wait.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add puts a request into the queue.
func (q *Queue[T]) Add(place Place, value T) *Entry[T] {
	added := &Entry[T]{place: place, value: value}
	q.entries = append(q.entries, added)
	return added
}

// First is the request that goes before all others now, nil where none waits.
func (q *Queue[T]) First(now time.Time) *Entry[T] {
	var first *Entry[T]
	for _, each := range q.entries {
		if first == nil || each.place.Before(first.place, now) {
			first = each
		}
	}
	return first
}

// GoesFirst tells whether a request that does not wait yet goes before all that do.
func (q *Queue[T]) GoesFirst(place Place, now time.Time) bool {
	first := q.First(now)
	return first == nil || place.Before(first.place, now)
}

// Remove takes a request out of the queue.
func (q *Queue[T]) Remove(entry *Entry[T]) {
	entry.left = true
	q.entries = slices.DeleteFunc(q.entries, func(each *Entry[T]) bool { return each == entry })
}
