package exchange

import (
	"maps"
	"slices"
	"time"
)

// leavingFor is how long a back end counts as leaving after a gateway last said
// so; gateways repeat it in each exchange.
const leavingFor = 3 * Period

// hearLeaving notes the back ends that a gateway found leaving.
func (b *FleetState) hearLeaving(now time.Time, names []string) {
	for _, name := range names {
		if heard, known := b.leaving[name]; !known || now.Sub(heard) >= leavingFor {
			b.newsOfLeaving = true
		}
		b.leaving[name] = now
	}
}

// TakeNewlyLeaving tells whether something was heard since the last call that the other
// machines need to know at once.
func (b *FleetState) TakeNewlyLeaving() bool {
	news := b.newsOfLeaving
	b.newsOfLeaving = false
	return news
}

// ownLeaving lists the leaving back ends that this machine's gateways named.
func (b *FleetState) ownLeaving(now time.Time) []string {
	maps.DeleteFunc(b.leaving, func(_ string, heard time.Time) bool { return now.Sub(heard) >= leavingFor })
	return slices.Sorted(maps.Keys(b.leaving))
}

// allLeaving lists the leaving back ends that any machine knows.
func (b *FleetState) allLeaving(now time.Time) []string {
	names := b.ownLeaving(now)
	for _, other := range b.others {
		if now.Sub(other.heard) < liveFor {
			names = append(names, other.leaving...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
