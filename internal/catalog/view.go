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

// View is an immutable snapshot of the state of the root group, safe for concurrent
// use. Messages that it returns must not be modified.
type View struct {
	policy NumberPolicy
	index  *configuration.Index
	// acceptances and changes are sorted by number and end with the number of the
	// index; each change starts from the number of the one before it.
	acceptances []*rockwindpb.Acceptance
	changes     []*rockwindpb.ConfigurationChange
	// source is the file from which the configuration in force was submitted.
	source []byte

	full fullTransfer
}

// fullTransfer is the change that carries the full configuration, built on first use.
type fullTransfer struct {
	once   sync.Once
	change *rockwindpb.ConfigurationChange
	size   int
}

func newView(policy NumberPolicy, index *configuration.Index, acceptances []*rockwindpb.Acceptance, changes []*rockwindpb.ConfigurationChange) *View {
	return &View{policy: policy, index: index, acceptances: acceptances, changes: changes}
}

// Index returns the configuration in force.
func (v *View) Index() *configuration.Index {
	return v.index
}

// Acceptance returns the acceptance of the configuration in force, or nil if there
// is none yet.
func (v *View) Acceptance() *rockwindpb.Acceptance {
	return v.acceptance(v.index.Number())
}

// acceptance returns the acceptance of a number, or nil if it is not kept.
func (v *View) acceptance(number uint64) *rockwindpb.Acceptance {
	position, found := slices.BinarySearchFunc(v.acceptances, number,
		func(kept *rockwindpb.Acceptance, wanted uint64) int { return cmp.Compare(kept.GetNumber(), wanted) })
	if !found {
		return nil
	}
	return v.acceptances[position]
}

// Source returns the file from which the configuration in force was submitted, or
// nothing if none was given.
func (v *View) Source() []byte {
	return v.source
}

// OutcomeWithoutChange returns the outcome of a submitted file that does not change the
// state: one that was accepted before, or whose number is refused. It returns false if
// the file can be accepted now.
func (v *View) OutcomeWithoutChange(number uint64, checksum []byte) (Outcome, bool) {
	inForce := v.index.Number()
	switch {
	case number == 0:
		return refuse(fault.New(fault.InvalidArgument, "the configuration has no number", useNext(inForce)))
	case number == inForce+1:
		return Outcome{}, false
	case v.policy == HighestNumber:
		return v.outcomeByHighest(number)
	case number > inForce:
		return refuse(fault.Newf(fault.Conflict, useNext(inForce),
			"the file has number %d, but configuration %d is in force", number, inForce))
	}
	kept := v.acceptance(number)
	switch {
	case kept == nil:
		return refuse(fault.Newf(fault.Stale, useNext(inForce),
			"the file has number %d, which is older than any that is kept; configuration %d is in force", number, inForce))
	case bytes.Equal(kept.GetChecksum(), checksum):
		return Outcome{Response: &rockwindpb.ApplyConfigurationResponse{Acceptance: kept, Resent: true}}, true
	case number == inForce:
		return refuse(otherFileFault(fault.Conflict, kept, inForce))
	default:
		return refuse(otherFileFault(fault.Stale, kept, inForce))
	}
}

// outcomeByHighest is OutcomeWithoutChange for the policy HighestNumber: higher numbers
// can be accepted, and all others are acknowledged with the acceptance in force.
func (v *View) outcomeByHighest(number uint64) (Outcome, bool) {
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

// otherFileFault returns the fault for a number under which another file was accepted.
func otherFileFault(kind fault.Kind, accepted *rockwindpb.Acceptance, inForce uint64) *fault.Fault {
	return fault.Newf(kind, useNext(inForce),
		"another file with number %d was accepted from operator %q at %s, with checksum %x; configuration %d is in force",
		accepted.GetNumber(), accepted.GetOperator(), formatTime(accepted.GetAcceptedUnixMs()), accepted.GetChecksum(), inForce)
}

// ChangeSince returns the change from the configuration that a daemon holds to the one
// in force, or nil if the daemon holds this configuration or a newer one. A daemon
// whose checksum doesn't match its number, or that is too far behind, gets the full
// configuration.
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
	if !kept || !v.accepted(number, checksum) {
		return v.Full()
	}
	merged := configuration.MergeChanges(v.changes[first:])
	if proto.Size(merged) >= v.fullSize() {
		return v.Full()
	}
	return merged
}

// accepted reports whether a configuration with this number and checksum was accepted.
func (v *View) accepted(number uint64, checksum []byte) bool {
	if number == 0 {
		return true
	}
	kept := v.acceptance(number)
	return kept != nil && bytes.Equal(kept.GetChecksum(), checksum)
}

// Full returns the change that carries the full configuration, or nil if there is no
// configuration yet.
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
