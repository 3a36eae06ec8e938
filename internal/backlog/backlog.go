// Package backlog orders the items of batch jobs that wait for a server. Items that can still be on
// time are ordered by due time. Late items come after them, so that they do not make other items
// late, but get a fixed fraction of the starts, so that they do not starve.
package backlog

import (
	"cmp"
	"slices"
	"time"
)

// onTimePerLate is the number of starts of items that can be on time per start of a late item, if
// there are both.
const onTimePerLate = 9

// Item is a waiting or running item.
type Item struct {
	submitted time.Time
	due       time.Time
	remaining time.Duration
	// The capacity is shared among tenants by weight.
	tenant string
	weight uint32
}

// NewItem returns an item. remaining is how long it takes once it runs. A zero due time means that
// it is never due.
func NewItem(submitted, due time.Time, remaining time.Duration) Item {
	return Item{submitted: submitted, due: due, remaining: remaining}
}

// OnTime reports whether the item can be done by its due time if it starts now.
func (i Item) OnTime(now time.Time) bool {
	return i.due.IsZero() || !now.Add(i.remaining).After(i.due)
}

// compareDue orders items by due time; those that are never due come last.
func (i Item) compareDue(other Item) int {
	switch {
	case i.due.IsZero() && other.due.IsZero():
		return i.submitted.Compare(other.submitted)
	case i.due.IsZero():
		return 1
	case other.due.IsZero():
		return -1
	}
	return cmp.Or(i.due.Compare(other.due), i.submitted.Compare(other.submitted))
}

// entry is a value with the item that determines its order.
type entry[T any] struct {
	value T
	item  Item
}

// entries computes the item of each value once, as sorting uses it many times.
func entries[T any](values []T, item func(T) Item) []entry[T] {
	list := make([]entry[T], len(values))
	for place, value := range values {
		list[place] = entry[T]{value: value, item: item(value)}
	}
	return list
}

// Order sorts waiting values into the order in which they are to be started.
func Order[T any](waiting []T, now time.Time, item func(T) Item) []T {
	return interleave(split(waiting, now, item))
}

// split separates waiting values into those that can be on time, by due time, and late ones, by
// submission time.
func split[T any](waiting []T, now time.Time, item func(T) Item) (early, late []entry[T]) {
	for _, each := range entries(waiting, item) {
		if each.item.OnTime(now) {
			early = append(early, each)
		} else {
			late = append(late, each)
		}
	}
	slices.SortStableFunc(early, func(a, b entry[T]) int { return a.item.compareDue(b.item) })
	slices.SortStableFunc(late, func(a, b entry[T]) int { return a.item.submitted.Compare(b.item.submitted) })
	return early, late
}

// interleave puts one late value after each onTimePerLate early ones, and the rest at the end.
func interleave[T any](early, late []entry[T]) []T {
	ordered := make([]T, 0, len(early)+len(late))
	for place, each := range early {
		ordered = append(ordered, each.value)
		if (place+1)%onTimePerLate == 0 && len(late) > 0 {
			ordered = append(ordered, late[0].value)
			late = late[1:]
		}
	}
	for _, each := range late {
		ordered = append(ordered, each.value)
	}
	return ordered
}

// SortForPreemption sorts running values into the order in which they are to be preempted: late
// items first, then the others, the last submitted first.
func SortForPreemption[T any](running []T, now time.Time, item func(T) Item) {
	list := entries(running, item)
	slices.SortStableFunc(list, func(a, b entry[T]) int {
		first, second := a.item, b.item
		if first.OnTime(now) != second.OnTime(now) {
			if second.OnTime(now) {
				return -1
			}
			return 1
		}
		return second.submitted.Compare(first.submitted)
	})
	for place, each := range list {
		running[place] = each.value
	}
}
