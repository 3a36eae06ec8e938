package replica

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/replica/repair"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// minimumWithoutReplacement is how many voters must remain if a member is removed without a
// replacement: with a single one, the loss of one more disk would lose acknowledged writes.
const minimumWithoutReplacement = 2

// removalDelay returns how long all remaining voters must have been active before a member is removed
// without a replacement. A voter that has just failed counts as active for an election timeout.
func (h *Host) removalDelay() time.Duration {
	return max(repair.InactivityTimeout, 2*h.options.electionTimeout())
}

// mayHold reports whether a machine may hold a replica of a group that is restricted to a region.
func (h *Host) mayHold(machine, region string) bool {
	return region == "" || (h.options.InRegion != nil && h.options.InRegion(machine, region))
}

// targetVoters returns how many voters the group should have. A group that is restricted to a region
// has a replica on each machine of the region, up to largestGroup, since a region may have fewer
// machines than Options.TargetVoters.
func (o *owner) targetVoters() int {
	if o.region != "" {
		return largestGroup
	}
	return o.host.options.TargetVoters
}

// leavingWithoutReplacement returns the voter to remove without a replacement, if any: it has been
// removable for removalDelay.
func (o *owner) leavingWithoutReplacement(status raft.Status, now time.Time) *rockwindpb.Member {
	leaving := o.mustLeaveWithoutReplacement(status, now)
	if leaving == nil || o.removableTerm != status.Term {
		o.removableSince, o.removableTerm = now, status.Term
	}
	if now.Sub(o.removableSince) < o.host.removalDelay() {
		return nil
	}
	return leaving
}

// mustLeaveWithoutReplacement returns a voter that must leave and that no machine can replace, or
// nil if there is none. Only groups that are restricted to a region remove members without a
// replacement, and only if the remaining voters are enough and all active. A member that is merely
// inactive may return with its disk; see repair.View.Shrink.
func (o *owner) mustLeaveWithoutReplacement(status raft.Status, now time.Time) *rockwindpb.Member {
	if o.region == "" {
		return nil
	}
	var leaving *rockwindpb.Member
	remaining := 0
	for _, member := range status.Membership.GetMembers() {
		active := progressOf(status, member.GetId()).Active
		switch {
		case member.GetWitness():
		case member.GetLearner() && active:
			return nil
		case member.GetLearner():
		case leaving == nil && o.host.mustLeave(member.GetMachine()):
			leaving = member
		case active:
			remaining++
		default:
			return nil
		}
	}
	if leaving == nil || remaining < minimumWithoutReplacement || o.hasSpare(status.Membership, now) {
		return nil
	}
	return leaving
}

// hasSpare reports whether a machine that is not a member and may join the group asks to.
func (o *owner) hasSpare(membership *rockwindpb.Membership, now time.Time) bool {
	return slices.ContainsFunc(o.host.spares.candidates(o.id, now), func(call joinCall) bool {
		machine := call.request.GetMachine()
		return !hasMachine(membership, machine) && !o.host.mustLeave(machine) && o.host.mayHold(machine, o.region)
	})
}
