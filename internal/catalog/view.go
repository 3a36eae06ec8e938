package catalog

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// View is the state of the root group at one moment. It is immutable and may
// be used by any goroutine; messages that it returns must not be changed.
type View struct {
	policy NumberPolicy
	index  *configuration.Index
	// acceptances and changes are in the order of their numbers and end with that
	// of the index; each change starts from the number before it.
	acceptances []*rockwindpb.Acceptance
	changes     []*rockwindpb.ConfigurationChange
	// source is the operator's own file of the configuration in force.
	source []byte

	full fullTransfer
}

// fullTransfer is the change that carries everything, made when it is first
// needed.
type fullTransfer struct {
	once   sync.Once
	change *rockwindpb.ConfigurationChange
	size   int
}

func newView(policy NumberPolicy, index *configuration.Index, acceptances []*rockwindpb.Acceptance, changes []*rockwindpb.ConfigurationChange) *View {
	return &View{policy: policy, index: index, acceptances: acceptances, changes: changes}
}

// Index is the configuration in force.
func (v *View) Index() *configuration.Index {
	return v.index
}

// Acceptance is that of the configuration in force, or nil before the first.
func (v *View) Acceptance() *rockwindpb.Acceptance {
	return v.acceptance(v.index.Number())
}

// acceptance finds the acceptance of a number, or nil where it is not kept.
func (v *View) acceptance(number uint64) *rockwindpb.Acceptance {
	position, found := slices.BinarySearchFunc(v.acceptances, number,
		func(kept *rockwindpb.Acceptance, wanted uint64) int { return cmp.Compare(kept.GetNumber(), wanted) })
	if !found {
		return nil
	}
	return v.acceptances[position]
}

// Source is the operator's own file of the configuration in force, empty where
// none was given.
func (v *View) Source() []byte {
	return v.source
}

// Settled tells whether an application of a file is decided without a change
// of state, and how: it is accepted already, or its number is not the next one.
func (v *View) Settled(number uint64, checksum []byte) (Outcome, bool) {
	inForce := v.index.Number()
	switch {
	case number == 0:
		return refuse(fault.New(fault.InvalidArgument, "the configuration has no number", useNext(inForce)))
	case number == inForce+1:
		return Outcome{}, false
	case v.policy == HighestNumber:
		return v.settledByHighest(number)
	case number > inForce:
		return refuse(fault.Newf(fault.Conflict, useNext(inForce),
			"the file has number %d, but configuration %d is in force", number, inForce))
	}
	kept := v.acceptance(number)
	switch {
	case kept == nil:
		return refuse(fault.Newf(fault.Stale, useNext(inForce),
			"the file has number %d, which is older than any that is remembered; configuration %d is in force", number, inForce))
	case bytes.Equal(kept.GetChecksum(), checksum):
		return Outcome{Response: &rockwindpb.ApplyConfigurationResponse{Acceptance: kept, Resent: true}}, true
	case number == inForce:
		return refuse(winnerFault(fault.Conflict, kept, inForce))
	default:
		return refuse(winnerFault(fault.Stale, kept, inForce))
	}
}

// settledByHighest lets any higher number in and acknowledges every other one,
// since the configuration in force goes before it.
func (v *View) settledByHighest(number uint64) (Outcome, bool) {
	if number > v.index.Number() {
		return Outcome{}, false
	}
	return Outcome{Response: &rockwindpb.ApplyConfigurationResponse{Acceptance: v.Acceptance(), Resent: true}}, true
}

func refuse(refusal *fault.Fault) (Outcome, bool) {
	return Outcome{Fault: refusal}, true
}

func useNext(inForce uint64) string {
	return fault.Newf(fault.Conflict, "",
		"take the configuration in force ('rockwind get configuration'), make the change there and apply it as number %d", inForce+1).Message
}

// winnerFault names who had another file accepted under the same number.
func winnerFault(kind fault.Kind, winner *rockwindpb.Acceptance, inForce uint64) *fault.Fault {
	return fault.Newf(kind, useNext(inForce),
		"another file with number %d was accepted from operator %q at %s, with checksum %x; configuration %d is in force",
		winner.GetNumber(), winner.GetOperator(), formatTime(winner.GetAcceptedUnixMs()), winner.GetChecksum(), inForce)
}

// ChangeSince returns the change that brings a daemon from the configuration
// that it holds to the one in force here, or nil where it has nothing to learn:
// it holds this one or a newer one. A daemon whose checksum is not that of the
// number, or that is too far behind, gets the whole.
func (v *View) ChangeSince(number uint64, checksum []byte) *rockwindpb.ConfigurationChange {
	inForce := v.index.Number()
	if number > inForce {
		return nil
	}
	if number == inForce {
		if number == 0 || bytes.Equal(checksum, v.index.Checksum()) {
			return nil
		}
		return v.Full()
	}
	first, kept := slices.BinarySearchFunc(v.changes, number,
		func(change *rockwindpb.ConfigurationChange, held uint64) int {
			return cmp.Compare(change.GetFromNumber(), held)
		})
	if !kept || !v.holds(number, checksum) {
		return v.Full()
	}
	merged := configuration.MergeChanges(v.changes[first:])
	if proto.Size(merged) >= v.fullSize() {
		return v.Full()
	}
	return merged
}

// holds tells whether a checksum is the one that was accepted with a number.
func (v *View) holds(number uint64, checksum []byte) bool {
	if number == 0 {
		return true
	}
	kept := v.acceptance(number)
	return kept != nil && bytes.Equal(kept.GetChecksum(), checksum)
}

// Full returns the change that carries the whole configuration, or nil before
// the first.
func (v *View) Full() *rockwindpb.ConfigurationChange {
	if v.index.Number() == 0 {
		return nil
	}
	v.full.once.Do(v.makeFull)
	return v.full.change
}

func (v *View) fullSize() int {
	v.full.once.Do(v.makeFull)
	return v.full.size
}

func (v *View) makeFull() {
	v.full.change = v.index.FullChange()
	v.full.size = proto.Size(v.full.change)
}
