package backlog

import (
	"cmp"
	"slices"
	"time"
)

// WithTenant returns an item of a tenant with the given weight; zero is one.
func (i Item) WithTenant(tenant string, weight uint32) Item {
	i.tenant, i.weight = tenant, weight
	return i
}

// Tenant is whose item it is; empty without tenants.
func (i Item) Tenant() string { return i.tenant }

// share is what part of the room the item's tenant has beside one that has 1.
func (i Item) share() float64 { return float64(max(1, i.weight)) }

// OrderShared is Order for items of tenants, given how many each has running in all shards, and
// how many run here. It answers jobs of one tenant that come many at a time: the items of
// others, which are due later, were started after all of those and could not be on time any
// more. Where what waits here cannot all be on time with as many runs as there are now, tenants
// share: the first items of each go before the second ones, those that run included, and each
// tenant's go by when they are due; short lists what waits then. An item that would miss its due
// time by waiting goes before none of a tenant that has less: a heap that is due at once would be
// before all others.
func OrderShared[T any](waiting []T, runs int, use Usage, now time.Time, item func(T) Item) (ordered, short []T) {
	early, late := split(waiting, now, item)
	if !fits(early, runs, now) {
		early = byShare(early, use)
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

// fits tells whether items that are started in their order with so many runs at a time can
// all be on time.
func fits[T any](ordered []entry[T], runs int, now time.Time) bool {
	ends := now
	for _, each := range ordered {
		ends = ends.Add(each.item.remaining / time.Duration(max(1, runs)))
		if !each.item.due.IsZero() && ends.After(each.item.due) {
			return false
		}
	}
	return true
}

// tagged is an entry with how many items its tenant has running before it.
type tagged[T any] struct {
	entry entry[T]
	tag   float64
}

// byShare sorts items by what their tenants have before them: the items that run, and those
// that are due sooner.
func byShare[T any](ordered []entry[T], use Usage) []entry[T] {
	had := use.clone()
	list := make([]tagged[T], 0, len(ordered))
	for _, each := range ordered {
		list = append(list, tagged[T]{entry: each, tag: had.RunsPerWeight(each.item)})
		had.AddRunning(each.item)
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
