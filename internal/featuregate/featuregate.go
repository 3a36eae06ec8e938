// Package featuregate defines the feature gates of a site: mechanisms that an operator can switch off in
// the settings. All gates are on by default; with a gate off, the simpler behavior beneath it
// applies. Mechanisms that guarantees to callers depend on have no gate.
package featuregate

import (
	"slices"
	"strings"

	"rockwind.example/rockwind/internal/fault"
)

// Gate is the name of a feature gate in the settings.
type Gate string

const (
	// Pace selects servers by how long work takes there, not only by their free slots.
	Pace Gate = "pace"
	// FairShare divides scarce capacity among the tenants of one priority by the work they use.
	FairShare Gate = "fair_share"
	// RetryAfter adds the expected time until capacity is available to refusals, and orders requests
	// that are sent again then by their first arrival.
	RetryAfter Gate = "returns"
	// OverloadRelief lets a router that is short of CPU, bandwidth, memory or file descriptors ask clients
	// to use another router.
	OverloadRelief Gate = "relief"
	// Continuation copies runs that must not be started twice to a second server, which continues
	// them if the first one fails.
	Continuation Gate = "continuation"
	// ItemProgress lets the leader of a shard record the partial results of items, so that the next
	// leader can resume them.
	ItemProgress Gate = "item_progress"
	// JobMoves lets the leader of a shard move jobs whose allowed regions changed to another shard. Moves that have
	// begun are completed.
	JobMoves Gate = "job_moves"
	// Orphans lets a starting process query the servers for orphaned requests, that is
	// requests of terminated processes, and count these as load until they end.
	Orphans Gate = "left_behind"
	// StartLimit limits what a process sends to servers after a restart of the whole site, until it knows
	// the loads of the others, and lets late requests and batch work leave slots to requests in time.
	StartLimit Gate = "start_limit"
)

// All lists the gates in alphabetical order.
func All() []Gate {
	return []Gate{Continuation, FairShare, ItemProgress, JobMoves, Orphans, Pace, OverloadRelief, RetryAfter, StartLimit}
}

// Set is the set of gates that are on. In the zero value all are on.
type Set struct {
	off []Gate
}

// NewSet returns the set with the named gates off. Unknown names have no effect; Check rejects
// them.
func NewSet(off []string) Set {
	set := Set{}
	for _, name := range off {
		set.off = append(set.off, Gate(name))
	}
	return set
}

// Check returns a fault.InvalidArgument error if no gate has the name.
func Check(name string) error {
	if slices.Contains(All(), Gate(name)) {
		return nil
	}
	return fault.Newf(fault.InvalidArgument, "use names from: "+names(), "unknown gate %q", name)
}

// On reports whether a gate is on.
func (s Set) On(gate Gate) bool { return !slices.Contains(s.off, gate) }

func names() string {
	var all []string
	for _, gate := range All() {
		all = append(all, string(gate))
	}
	return strings.Join(all, ", ")
}
