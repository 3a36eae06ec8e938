package backlog

import (
	"cmp"
	"slices"
	"time"
)

// WithTenant returns the item with a tenant and its weight; zero means 1.
func (i Item) WithTenant(tenant string, weight uint32) Item {
	i.tenant, i.weight = tenant, weight
	return i
}

// Tenant returns the tenant of the item; empty without tenants.
func (i Item) Tenant() string { return i.tenant }

// share returns the weight of the item's tenant, at least 1.
func (i Item) share() float64 { return float64(max(1, i.weight)) }

// OrderShared is like Order but shares between tenants if the waiting items cannot all be on time
// with the current number of runs in this shard. Without sharing, the items of a tenant that
// submits many at once would all be started before those of others that are due later. Items are
// then ordered by the number of items that their tenant has before them, running items in all
// shards included, and the items of one tenant by due time. short lists the waiting items in this
// case. An item that would be late by waiting is still not moved ahead of tenants with fewer items,
// since many items that are due soon would be ahead of all others.
func OrderShared[T any](waiting []T, runs int, usage Usage, now time.Time, item func(T) Item) (ordered, short []T) {
	early, late := split(waiting, now, item)
	if !allOnTime(early, runs, now) {
		early = byShare(early, usage)
		short = values(early)
	}
	return interleave(early, late), short
}

func values[T any](list []entry[T]) []T {
	all := make([]T, 0, len(list))
	for _, each := range list {
		all = append(all, each.value)
	}
	return all
}

// allOnTime reports whether all items can be on time if they are started in order with a number of
// concurrent runs.
func allOnTime[T any](ordered []entry[T], runs int, now time.Time) bool {
	ends := now
	for _, each := range ordered {
		ends = ends.Add(each.item.remaining / time.Duration(max(1, runs)))
		if !each.item.due.IsZero() && ends.After(each.item.due) {
			return false
		}
	}
	return true
}

// tagged is an entry with the number of its tenant's items before it, per weight.
type tagged[T any] struct {
	entry entry[T]
	tag   float64
}

// byShare sorts items by the number of their tenants' items before them: the running ones and those
// with earlier due times.
func byShare[T any](ordered []entry[T], usage Usage) []entry[T] {
	before := usage.clone()
	list := make([]tagged[T], 0, len(ordered))
	for _, each := range ordered {
		list = append(list, tagged[T]{entry: each, tag: before.RunsPerWeight(each.item)})
		before.AddRunning(each.item)
	}
	slices.SortStableFunc(list, func(a, b tagged[T]) int { return cmp.Compare(a.tag, b.tag) })
	return untagged(list)
}

func untagged[T any](list []tagged[T]) []entry[T] {
	entries := make([]entry[T], 0, len(list))
	for _, each := range list {
		entries = append(entries, each.entry)
	}
	return entries
}
