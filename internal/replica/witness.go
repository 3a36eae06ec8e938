package replica

import (
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/replica/repair"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// A witness is a voter outside the region of a group that stores no content; see package raft. Its replica
// has no state, and Host.Group does not return it.

// noState is the state machine of a witness.
type noState struct{}

// Apply implements StateMachine.
func (noState) Apply(uint64, []byte) any { return nil }

// Snapshot implements StateMachine.
func (noState) Snapshot() ([]byte, error) { return nil, nil }

// Restore implements StateMachine.
func (noState) Restore([]byte) error { return nil }

// isWitnessMachine reports whether a machine holds a witness. A machine never holds both a witness and a
// replica with content of one group, since they are in different regions.
func isWitnessMachine(membership *rockwindpb.Membership, machine string) bool {
	for _, member := range membership.GetMembers() {
		if member.GetMachine() == machine {
			return member.GetWitness()
		}
	}
	return false
}

func hasWitnesses(membership *rockwindpb.Membership) bool {
	for _, member := range membership.GetMembers() {
		if member.GetWitness() {
			return true
		}
	}
	return false
}

// newStateMachine returns the state machine of a group on this machine.
func (h *Host) newStateMachine(founding *rockwindpb.FoundingGroup) StateMachine {
	if isWitnessMachine(founding.GetMembership(), h.options.Machine) {
		return noState{}
	}
	return h.options.StateMachines(founding.GetGroup())
}

// mayWitness reports whether a machine may become a witness of a group: the group has witnesses, and the machine
// is known to be in another region.
func (h *Host) mayWitness(machine, region string, membership *rockwindpb.Membership) bool {
	return region != "" && hasWitnesses(membership) && h.options.RegionOf != nil &&
		h.options.RegionOf(machine) != "" && h.options.RegionOf(machine) != region
}

// repeatedJoin is the record of the join calls of one disk.
type repeatedJoin struct{ first, last time.Time }

// confirmJoin reports whether a join call beside a full voter with the same machine name is evidence that the
// voter's disk is lost, and if so, tells the Raft node. A single call may be a stale one of a replica that
// was admitted and replaced since. A store with an empty disk repeats its call at each election timeout, so two
// calls at least that far apart are required. Silence of the voter is a further condition.
func (o *owner) confirmJoin(status raft.Status, request *rockwindpb.JoinRequest, now time.Time) bool {
	timeout := o.host.options.electionTimeout()
	join := o.joins[request.GetDiskId()]
	if status.Term != o.joinsTerm {
		o.joinsTerm = status.Term
		clear(o.joins)
		join = repeatedJoin{}
	}
	if join.first.IsZero() || now.Sub(join.last) > joinEvidencePeriods*timeout {
		join.first = now
	}
	join.last = now
	o.joins[request.GetDiskId()] = join
	if now.Sub(join.first) < timeout {
		return false
	}
	for _, member := range status.Membership.GetMembers() {
		if member.GetMachine() == request.GetMachine() && member.GetId() != request.GetDiskId() && !member.GetWitness() && !member.GetLearner() &&
			!progressOf(status, member.GetId()).Active {
			o.node.ReportDiskLost(member.GetId())
		}
	}
	return true
}

// joinEvidencePeriods is how many election timeouts may pass between two join calls of a disk that count as
// repeated. A machine calls once per election timeout, and a call may take a few of them to fail.
const joinEvidencePeriods = 10

// reportRetired tells the Raft node of silent voters that an operator has retired. The data on their disks is
// given up, so that they count like lost ones.
func (o *owner) reportRetired(status raft.Status) {
	if status.Role != raft.Leader || !hasWitnesses(status.Membership) {
		return
	}
	for _, member := range status.Membership.GetMembers() {
		if !member.GetLearner() && !member.GetWitness() && o.host.mustLeave(member.GetMachine()) && o.inactiveFor(member.GetId()) >= repair.InactivityTimeout {
			o.node.ReportDiskLost(member.GetId())
		}
	}
}

// checkLevel refuses a machine of a version that does not know witnesses: it could be elected and would send
// content to them.
func checkLevel(membership *rockwindpb.Membership, request *rockwindpb.JoinRequest) error {
	if !hasWitnesses(membership) || request.GetFeatureLevel() >= featurelevel.Witnesses {
		return nil
	}
	return fault.Newf(fault.Conflict, "run this version on it", "machine %s has feature level %d, and the group has witnesses, which need %d",
		request.GetMachine(), request.GetFeatureLevel(), featurelevel.Witnesses)
}

// checkStateLevel refuses a machine of a version that does not know the commands that the state rests on.
func (o *owner) checkStateLevel(request *rockwindpb.JoinRequest) error {
	if o.host.options.MinimumLevel == nil {
		return nil
	}
	if needed := o.host.options.MinimumLevel(o.id); request.GetFeatureLevel() < needed {
		return fault.Newf(fault.Conflict, "run this version on it", "machine %s has feature level %d, and the state of the group needs %d",
			request.GetMachine(), request.GetFeatureLevel(), needed)
	}
	return nil
}

// isAppendToWitness reports whether a message brings entries to a witness. They are not encoded by reference to
// earlier entries, whose content it does not have.
func (o *owner) isAppendToWitness(message *rockwindpb.Message) bool {
	return o.region != "" && message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_APPEND &&
		memberByID(o.node.Status().Membership, message.GetTo()).GetWitness()
}
