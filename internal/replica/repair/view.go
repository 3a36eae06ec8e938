// Package repair plans the changes of a group's membership: which machine joins, which learner is promoted and
// which member is removed. Each plan is a function of a View, and changes at most one voter.
//
// A replacement consists of three changes: a learner is added that names the outgoing member, the learner is
// promoted, and the outgoing member is removed. The learner follows the outgoing member in the membership, since
// a replica that is admitted again is added at the end. A name in a member that precedes the one that it names
// is therefore left from a replacement that has ended, and has no meaning.
package repair

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// InactivityTimeout is how long a voter must be inactive before another machine may replace it. A voter
	// that was only partitioned keeps its disk and asks to join again.
	InactivityTimeout = time.Second
	// removalTimeout is how long a voter must be inactive before a group with an even number of voters removes it
	// without a replacement. Machines that ask to join have time to do so before.
	removalTimeout = 2 * time.Second
	// minimumCopies is how many full voters a removal without a replacement must leave.
	minimumCopies = 2
	// learnerTimeout is how long a learner may be inactive before another machine takes its place, and
	// abandonTimeout before it is removed without one.
	learnerTimeout = time.Second
	abandonTimeout = 2 * learnerTimeout
	// stallTimeout is how long a learner may store nothing new before a second one is added. It covers the
	// transfer of a snapshot, during which the leader sees no progress.
	stallTimeout = 10 * time.Second
	// maxLearners is how many learners may replace one member at a time.
	maxLearners = 2
)

// Member is a member as the leader sees it.
type Member struct {
	*rockwindpb.Member
	// Active reports whether the leader is in contact with the member, and Inactive since how long it is not.
	Active   bool
	Inactive time.Duration
	// MustLeave reports whether another machine shall replace the member although it is active.
	MustLeave bool
	// Complete reports whether a learner holds what was committed when it was added, and Stalled for how long
	// it has stored nothing new.
	Complete bool
	Stalled  time.Duration
}

func (m Member) fullVoter() bool { return !m.GetLearner() && !m.GetWitness() }

// View is what the leader of a group sees at one time.
type View struct {
	// Self is the leader's disk identity, and Address its present address; empty if the membership need not have it.
	Self    uint64
	Address string
	// Target is how many full voters the group shall have; zero keeps the present number.
	Target int
	// Members has the order of the membership.
	Members []Member
}

// sanitized returns a membership without the names of replaced members that are left from earlier replacements.
func sanitized(membership *rockwindpb.Membership) *rockwindpb.Membership {
	result := &rockwindpb.Membership{}
	preceding := make(map[uint64]bool)
	for _, member := range membership.GetMembers() {
		if member.GetReplaces() != 0 && !preceding[member.GetReplaces()] {
			member = proto.CloneOf(member)
			member.Replaces = 0
		}
		preceding[member.GetId()] = true
		result.Members = append(result.Members, member)
	}
	return result
}

// membership returns the members for which keep reports true, followed by added.
func (v View) membership(keep func(Member) bool, added ...*rockwindpb.Member) *rockwindpb.Membership {
	result := &rockwindpb.Membership{}
	for _, member := range v.Members {
		if keep(member) {
			result.Members = append(result.Members, member.Member)
		}
	}
	result.Members = append(result.Members, added...)
	return sanitized(result)
}

// replaces reports whether the member at position later is to take the place of the one at position earlier.
func (v View) replaces(later, earlier int) bool {
	if later <= earlier {
		return false
	}
	return isSuccessor(v.Members[later].Member, v.Members[earlier].Member)
}

// isSuccessor reports whether a member takes the place of one that precedes it in the membership.
func isSuccessor(incoming, outgoing *rockwindpb.Member) bool {
	return incoming.GetReplaces() == outgoing.GetId() || incoming.GetMachine() == outgoing.GetMachine()
}

// HasReplacement reports whether a member takes the place of another one that has not left yet.
func HasReplacement(membership *rockwindpb.Membership) bool {
	members := membership.GetMembers()
	for later := range members {
		for earlier := range later {
			if isSuccessor(members[later], members[earlier]) {
				return true
			}
		}
	}
	return false
}

// isReplaced reports whether a voter has taken the place of a member.
func (v View) isReplaced(position int) bool {
	for later, member := range v.Members {
		if !member.GetLearner() && v.replaces(later, position) {
			return true
		}
	}
	return false
}

// replacements counts the voters and the live learners that are to take the place of a member. copying reports
// whether one of the learners makes progress.
func (v View) replacements(position int) (live int, copying bool) {
	for later, member := range v.Members {
		if v.replaces(later, position) && !isDead(member) {
			live++
			copying = copying || !member.GetLearner() || member.Stalled < stallTimeout
		}
	}
	return live, copying
}

// isDead reports whether a member is a learner that is given up.
func isDead(member Member) bool { return member.GetLearner() && member.Inactive >= learnerTimeout }

// needsReplacement reports whether a further machine may replace a member.
func (v View) needsReplacement(position int) bool {
	live, copying := v.replacements(position)
	return !copying && live < maxLearners
}

// hasOutgoing reports whether a learner takes the place of a member that has no other successor yet.
func (v View) hasOutgoing(learner int) bool {
	for position, member := range v.Members {
		if !member.GetLearner() && v.replaces(learner, position) && !v.isReplaced(position) {
			return true
		}
	}
	return false
}

// hasInactiveVoter reports whether a voter with content that has not been replaced is inactive. The group does not grow
// then: with the same number of working members its quorum would be larger. A machine that joins waits to replace it.
func (v View) hasInactiveVoter() bool {
	for position, member := range v.Members {
		if member.fullVoter() && !member.Active && !v.isReplaced(position) {
			return true
		}
	}
	return false
}

// lacksMembers reports whether a further machine may become a full voter beside the present ones.
func (v View) lacksMembers() bool {
	if v.hasInactiveVoter() {
		return false
	}
	learners, copying := 0, 0
	for position, member := range v.Members {
		if !member.GetLearner() || member.GetWitness() || isDead(member) || v.hasOutgoing(position) {
			continue
		}
		learners++
		if member.Stalled < stallTimeout {
			copying++
		}
	}
	free := v.Target - v.fullVoters()
	return copying < free && learners < maxLearners*free
}

// fullVoters counts the voters with content that have not been replaced.
func (v View) fullVoters() int {
	count := 0
	for position, member := range v.Members {
		if member.fullVoter() && !v.isReplaced(position) {
			count++
		}
	}
	return count
}
