package repair

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Step is the next change that needs no machine to join. At most one field is set.
type Step struct {
	// Change is the membership to propose.
	Change *rockwindpb.Membership
	// TransferLeadership is set if the leader has been replaced: it cannot remove itself.
	TransferLeadership bool
}

// Steps returns the steps that are due, the most urgent first. The first one that is possible is to be taken.
// Replaced members are removed before further learners are promoted, since each additional voter raises the
// quorum. A learner becomes a voter before the member that it replaces is removed, so that the number of
// copies of an acknowledged write never decreases.
func (v View) Steps() []Step {
	var removals, promotions, updates, transfers []Step
	for position, member := range v.Members {
		if member.GetId() == v.Self && v.Address != "" && v.Address != member.GetAddress() {
			updates = append(updates, Step{Change: v.relocated(member, member.GetMachine(), v.Address)})
		}
		switch {
		case member.GetLearner() && v.isSurplus(position):
			removals = append(removals, v.remove(member))
		case member.GetLearner() && !v.hasOutgoing(position) && v.hasInactiveVoter():
			if outgoing, found := v.outgoing(false); found {
				updates = append(updates, v.assign(member, v.Members[outgoing]))
			}
		case member.GetLearner():
			if member.Complete && member.Active {
				promotions = append(promotions, v.promote(member))
			}
		case !v.isReplaced(position) && !v.isSurplus(position):
		case member.GetId() == v.Self:
			transfers = append(transfers, Step{TransferLeadership: true})
		default:
			removals = append(removals, v.remove(member))
		}
	}
	return slices.Concat(removals, promotions, updates, transfers)
}

// isSurplus reports whether a member has no place in the group: a learner that is inactive or whose place another
// one has taken, or a voter beyond the target that is inactive.
func (v View) isSurplus(position int) bool {
	member := v.Members[position]
	if member.GetLearner() {
		return member.Inactive >= abandonTimeout || !v.hasOutgoing(position) && (member.GetWitness() || v.fullVoters() >= v.Target)
	}
	return member.fullVoter() && v.Target > 0 && v.fullVoters() > v.Target && member.Inactive >= InactivityTimeout
}

func (v View) remove(removed Member) Step { return Step{Change: v.Without(removed.GetId())} }

// Without returns the membership without a member.
func (v View) Without(id uint64) *rockwindpb.Membership {
	return v.membership(func(member Member) bool { return member.GetId() != id })
}

// Shrink returns the membership without a lost voter if the number of voters is even: the others then bear one more
// loss. It is due when no machine has begun to replace the voter within removalTimeout. If its machine returns, it
// joins again. A group whose size is fixed, and one that would keep a single copy of its content, does not shrink.
func (v View) Shrink() (shrunk *rockwindpb.Membership, due bool) {
	voters, copies := 0, 0
	var lost *Member
	for position, member := range v.Members {
		if member.GetLearner() || v.isReplaced(position) {
			return nil, false
		}
		voters++
		if !member.GetWitness() {
			copies++
		}
		if lost == nil && member.fullVoter() && member.Inactive >= removalTimeout {
			lost = &member
		}
	}
	if lost == nil || v.Target == 0 || voters%2 != 0 || copies <= minimumCopies {
		return nil, false
	}
	return v.Without(lost.GetId()), true
}

func (v View) promote(learner Member) Step {
	return Step{Change: v.withMember(learner, func(member *rockwindpb.Member) { member.Learner = false })}
}

// assign lets a learner for a free place replace a member that was lost meanwhile.
func (v View) assign(learner, outgoing Member) Step {
	return Step{Change: v.withMember(learner, func(member *rockwindpb.Member) { member.Replaces = outgoing.GetId() })}
}

// relocated returns the membership with another machine name and address of a member.
func (v View) relocated(moved Member, machine, address string) *rockwindpb.Membership {
	return v.withMember(moved, func(member *rockwindpb.Member) { member.Machine, member.Address = machine, address })
}

// withMember returns the membership with one member changed.
func (v View) withMember(changed Member, change func(*rockwindpb.Member)) *rockwindpb.Membership {
	result := v.membership(func(Member) bool { return true })
	for position, member := range result.GetMembers() {
		if member.GetId() == changed.GetId() {
			result.Members[position] = proto.CloneOf(member)
			change(result.Members[position])
		}
	}
	return result
}
