package repair

import (
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Candidate is a machine that asks to join the group.
type Candidate struct {
	Machine string
	DiskID  uint64
	Address string
	// MayHold and MayWitness report whether the machine may hold a replica with content, and a witness.
	MayHold, MayWitness bool
	// MustLeave reports whether the machine must leave its groups.
	MustLeave bool
	// AdmitNew lets a machine whose name is not in the membership join.
	AdmitNew bool
}

// Refusal is why a machine does not join.
type Refusal string

// The refusals. They are logged and label metrics.
const (
	Admitted Refusal = ""
	// IsMember is returned for a member, also if a learner.
	IsMember Refusal = "is_member"
	// WrongRegion is returned for a machine that the group's region excludes.
	WrongRegion Refusal = "wrong_region"
	// NameInUse is returned while a member with the same name is active.
	NameInUse Refusal = "name_in_use"
	// Leaving is returned for a machine that must leave its groups.
	Leaving Refusal = "leaving"
	// UnknownName is returned where only machines with the name of a member may join.
	UnknownName Refusal = "unknown_name"
	// NotNeeded is returned while no member needs a replacement.
	NotNeeded Refusal = "not_needed"
)

// IsOfSpare reports whether the refused machine could have joined the group.
func (r Refusal) IsOfSpare() bool { return r != IsMember && r != WrongRegion }

// NeedsMember reports whether a further machine may join the group.
func (v View) NeedsMember() bool {
	_, full := v.outgoing(false)
	_, witness := v.outgoing(true)
	return full || witness || v.lacksMembers()
}

// Admit returns the membership in which a machine becomes a learner, or why it does not. The machine takes the
// place of its own earlier disk, of a member that is inactive or must leave, or a place that is free. Learners
// that are given up leave with the same change.
func (v View) Admit(candidate Candidate) (*rockwindpb.Membership, Refusal) {
	for _, member := range v.Members {
		if member.GetId() == candidate.DiskID {
			return v.relocate(member, candidate)
		}
	}
	switch {
	case !candidate.MayHold && !candidate.MayWitness:
		return nil, WrongRegion
	case v.hasMachine(candidate.Machine):
		return v.admitKnown(candidate)
	case !candidate.AdmitNew:
		return nil, UnknownName
	case candidate.MustLeave:
		return nil, Leaving
	}
	if position, found := v.outgoing(!candidate.MayHold); found {
		outgoing := v.Members[position]
		return v.withLearner(candidate, outgoing.GetId(), outgoing.GetWitness()), Admitted
	}
	if candidate.MayHold && v.lacksMembers() {
		return v.withLearner(candidate, 0, false), Admitted
	}
	return nil, NotNeeded
}

// relocate returns the membership with the present name and address of a member that is inactive at the former
// ones.
func (v View) relocate(member Member, candidate Candidate) (*rockwindpb.Membership, Refusal) {
	if !candidate.AdmitNew || member.Active || member.GetAddress() == candidate.Address && member.GetMachine() == candidate.Machine {
		return nil, IsMember
	}
	return v.relocated(member, candidate.Machine, candidate.Address), Admitted
}

// admitKnown admits a disk on a machine with the name of a member. It replaces the voter of that name, or takes
// over from the learner of that name.
func (v View) admitKnown(candidate Candidate) (*rockwindpb.Membership, Refusal) {
	replaces, witness := uint64(0), false
	for position, member := range v.Members {
		if member.GetMachine() != candidate.Machine {
			continue
		}
		if member.Active {
			return nil, NameInUse
		}
		witness = member.GetWitness()
		switch {
		case member.GetLearner():
			replaces = member.GetReplaces()
		case v.isReplacedByOther(position):
			return nil, NotNeeded
		default:
			replaces = member.GetId()
		}
	}
	return v.withLearner(candidate, replaces, witness), Admitted
}

// isReplacedByOther reports whether a machine of another name is replacing a member.
func (v View) isReplacedByOther(position int) bool {
	for later, member := range v.Members {
		if member.GetMachine() != v.Members[position].GetMachine() && v.replaces(later, position) && !isDead(member) {
			return true
		}
	}
	return false
}

func (v View) hasMachine(machine string) bool {
	for _, member := range v.Members {
		if member.GetMachine() == machine {
			return true
		}
	}
	return false
}

// outgoing returns the voter, or the witness, that another machine may replace: the first that is inactive for
// InactivityTimeout, otherwise the first that must leave.
func (v View) outgoing(witness bool) (position int, found bool) {
	for position, member := range v.Members {
		if member.GetLearner() || member.GetWitness() != witness || !v.needsReplacement(position) {
			continue
		}
		if member.Inactive >= InactivityTimeout {
			return position, true
		}
	}
	for position, member := range v.Members {
		if !member.GetLearner() && member.GetWitness() == witness && member.MustLeave && v.needsReplacement(position) {
			return position, true
		}
	}
	return 0, false
}

// withLearner adds a learner that replaces a member, or none if that is zero. Learners that are given up leave,
// and so do other learners on the same machine.
func (v View) withLearner(candidate Candidate, replaces uint64, witness bool) *rockwindpb.Membership {
	return v.membership(
		func(member Member) bool {
			return !isDead(member) && (!member.GetLearner() || member.GetMachine() != candidate.Machine)
		},
		&rockwindpb.Member{
			Id:       candidate.DiskID,
			Machine:  candidate.Machine,
			Address:  candidate.Address,
			Learner:  true,
			Replaces: replaces,
			Witness:  witness,
		})
}
