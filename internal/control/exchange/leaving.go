package exchange

import (
	"maps"
	"slices"
	"time"
)

// leavingTimeout is how long a back end counts as leaving after the last report.
// Gateways repeat the report in each exchange.
const leavingTimeout = 3 * Period

// recordLeaving records the back ends that a gateway reports as leaving.
func (f *FleetState) recordLeaving(now time.Time, names []string) {
	for _, name := range names {
		if lastSeen, known := f.leaving[name]; !known || now.Sub(lastSeen) >= leavingTimeout {
			f.newlyLeaving = true
		}
		f.leaving[name] = now
	}
}

// TakeNewlyLeaving reports whether a back end started to leave since the last call.
// The other control machines need to know it at once.
func (f *FleetState) TakeNewlyLeaving() bool {
	newlyLeaving := f.newlyLeaving
	f.newlyLeaving = false
	return newlyLeaving
}

// localLeaving returns the leaving back ends that gateways reported to this machine.
func (f *FleetState) localLeaving(now time.Time) []string {
	maps.DeleteFunc(f.leaving, func(_ string, lastSeen time.Time) bool { return now.Sub(lastSeen) >= leavingTimeout })
	return slices.Sorted(maps.Keys(f.leaving))
}

// allLeaving returns the leaving back ends known to any control machine.
func (f *FleetState) allLeaving(now time.Time) []string {
	names := f.localLeaving(now)
	for _, other := range f.others {
		if now.Sub(other.lastSeen) < livenessTimeout {
			names = append(names, other.leaving...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
