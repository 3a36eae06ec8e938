package backlog

import (
	"cmp"
	"slices"
	"time"
)

// leastRemaining is what an item counts for that is expected to take no time: before any run
// of a service has ended, tenants share by the number of items.
const leastRemaining = time.Millisecond

// Of returns an item of a tenant with the given weight; zero is one.
func (i Item) Of(tenant string, weight uint32) Item {
	i.tenant, i.weight = tenant, weight
	return i
}

// share is what the item counts for with its tenant.
func (i Item) share() time.Duration {
	return max(leastRemaining, i.remaining) / time.Duration(max(1, i.weight))
}

// OrderShared is Order for items of tenants, of which some run. It answers jobs of one tenant
// that come many at a time: the items of others, which are due later, were started after
// all of those and could not be on time any more. Where what waits cannot all be on time
// with as many runs as there are now, tenants share: the first items of each go before the
// second ones, counted by how long they run, and each tenant's go by when they are due.
func OrderShared[T any](waiting []T, running []Item, now time.Time, item func(T) Item) []T {
	early, late := split(waiting, now, item)
	if !fits(early, len(running), now) {
		early = byShare(early, running)
	}
	return interleave(early, late)
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

// byShare sorts items by what their tenants have before them: the items that run, and those
// that are due sooner.
func byShare[T any](ordered []entry[T], running []Item) []entry[T] {
	had := make(map[string]time.Duration)
	for _, each := range running {
		had[each.tenant] += each.share()
	}
	type tagged struct {
		entry entry[T]
		start time.Duration
	}
	list := make([]tagged, 0, len(ordered))
	for _, each := range ordered {
		list = append(list, tagged{entry: each, start: had[each.item.tenant]})
		had[each.item.tenant] += each.item.share()
	}
	slices.SortStableFunc(list, func(a, b tagged) int { return cmp.Compare(a.start, b.start) })
	shared := make([]entry[T], 0, len(list))
	for _, each := range list {
		shared = append(shared, each.entry)
	}
	return shared
}
