// Package gate names the mechanisms of a site that an operator can switch off. Each is on
// unless the settings of a process say otherwise; off means the plain behaviour beneath it.
// What keeps a promise to callers has no gate.
package gate

import (
	"slices"
	"strings"

	"rockwind.example/rockwind/internal/fault"
)

// Gate is the name of a mechanism in settings.
type Gate string

// The gates.
const (
	// Pace has servers chosen by how long work takes there, not by their free slots alone.
	Pace Gate = "pace"
	// FairShare has the tenants of one priority share too little room by work.
	FairShare Gate = "fair_share"
	// Returns has requests refused with the time when room is expected, and those that
	// come back then go by their first arrival.
	Returns Gate = "returns"
	// Relief has a router that is short of processor, link, memory or descriptors ask
	// clients to go elsewhere.
	Relief Gate = "relief"
	// Continuation has runs that may run once copied to a second server, where they go on
	// if the first one ends.
	Continuation Gate = "continuation"
	// ItemProgress has the leader of a shard record what it receives of items, so that another
	// one goes on with them.
	ItemProgress Gate = "item_progress"
	// LeftBehind has servers asked after a start for what processes that are gone left
	// behind there, which is counted until it is over.
	LeftBehind Gate = "left_behind"
)

// All lists the gates in the order of their names.
func All() []Gate {
	return []Gate{Continuation, FairShare, ItemProgress, LeftBehind, Pace, Relief, Returns}
}

// Set tells which gates are off. The zero value has all on.
type Set struct {
	off []Gate
}

// NewSet returns the set with the named gates off. Names that Check refuses do nothing.
func NewSet(off []string) Set {
	set := Set{}
	for _, name := range off {
		set.off = append(set.off, Gate(name))
	}
	return set
}

// Check fails with fault.InvalidArgument where no gate has the name.
func Check(name string) error {
	if slices.Contains(All(), Gate(name)) {
		return nil
	}
	return fault.Newf(fault.InvalidArgument, "write names out of: "+names(), "no gate is named %q", name)
}

// On tells whether a mechanism is on.
func (s Set) On(gate Gate) bool { return !slices.Contains(s.off, gate) }

func names() string {
	var all []string
	for _, gate := range All() {
		all = append(all, string(gate))
	}
	return strings.Join(all, ", ")
}
