// Package backlog orders the items of batch jobs that wait for a server. Items that can
// still be done by the time their job is due go first, the one that is due first before
// the others; items that cannot come after them, so that work which is late already makes
// no other work late. A part of the starts is theirs all the same: no item starves.
//
// The package is pure: time is an argument.
package backlog

import (
	"cmp"
	"slices"
	"time"
)

// lateEvery is how many starts go to items that can be on time for one that goes to an
// item that cannot, while there are both.
const lateEvery = 9

// Item is an item that waits, or one that runs.
type Item struct {
	submitted time.Time
	due       time.Time
	remaining time.Duration
	// tenant shares with the others by its weight.
	tenant string
	weight uint32
}

// NewItem returns an item that was submitted at a time and takes as long as remaining once
// it runs. A zero due time means that it is never due.
func NewItem(submitted, due time.Time, remaining time.Duration) Item {
	return Item{submitted: submitted, due: due, remaining: remaining}
}

// OnTime tells whether the item can be done when it is due.
func (i Item) OnTime(now time.Time) bool {
	return i.due.IsZero() || !now.Add(i.remaining).After(i.due)
}

// compareDue orders items by their due times, those that are never due last.
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

// entry is what is ordered, with what its order rests on.
type entry[T any] struct {
	value T
	item  Item
}

// entries asks once for the item of each value: sorting compares it many times.
func entries[T any](values []T, item func(T) Item) []entry[T] {
	list := make([]entry[T], len(values))
	for place, value := range values {
		list[place] = entry[T]{value: value, item: item(value)}
	}
	return list
}

// Order sorts what waits into the order in which it is to be started.
func Order[T any](waiting []T, now time.Time, item func(T) Item) []T {
	return interleave(split(waiting, now, item))
}

// split divides what waits into what can be on time, the first that is due first, and what
// cannot, the first that was submitted first.
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

// interleave puts one late value behind each lateEvery early ones, and the rest at the
// end.
func interleave[T any](early, late []entry[T]) []T {
	ordered := make([]T, 0, len(early)+len(late))
	for place, each := range early {
		ordered = append(ordered, each.value)
		if (place+1)%lateEvery == 0 && len(late) > 0 {
			ordered = append(ordered, late[0].value)
			late = late[1:]
		}
	}
	for _, each := range late {
		ordered = append(ordered, each.value)
	}
	return ordered
}

// SortForPreemption sorts what runs into the order in which it is to give way: first what cannot be
// on time, then what was submitted last.
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
