package replica

import (
	"maps"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/replica/repair"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// admissionsPerTimeout is how often per election timeout a leader looks for a machine that has asked to join.
const admissionsPerTimeout = 4

// learnerProgress is what the leader has seen of a learner.
type learnerProgress struct {
	// target is the index that the learner must reach to be promoted.
	target uint64
	// match is the last index that the learner has stored, and since when.
	match uint64
	since time.Time
}

// trackMembers records since when each member has been inactive, and the progress of the learners, as the
// leader sees them. The record is reset in each term.
func (o *owner) trackMembers(status raft.Status, now time.Time) {
	if status.Role != raft.Leader || status.Term != o.inactivityTerm {
		o.inactivityTerm = status.Term
		clear(o.inactiveSince)
		clear(o.learners)
	}
	if status.Role != raft.Leader {
		return
	}
	maps.DeleteFunc(o.learners, func(id uint64, _ learnerProgress) bool { return !memberByID(status.Membership, id).GetLearner() })
	maps.DeleteFunc(o.lastInactive, func(_ string, at time.Time) bool { return now.Sub(at) >= askingTime })
	for _, progress := range status.Progress {
		if !progress.Active {
			o.lastInactive[machineOf(status.Membership, progress.ID)] = now
		}
		if progress.Active {
			delete(o.inactiveSince, progress.ID)
		} else if _, known := o.inactiveSince[progress.ID]; !known {
			o.inactiveSince[progress.ID] = now
		}
		o.trackLearner(status, progress, now)
	}
}

// trackLearner records the progress of a learner. Its target is what was committed at the first check after its
// addition was.
func (o *owner) trackLearner(status raft.Status, progress raft.ProgressStatus, now time.Time) {
	if !progress.Learner || status.MembershipIndex > status.Commit {
		return
	}
	seen, known := o.learners[progress.ID]
	if !known {
		seen = learnerProgress{target: status.Commit, since: now}
	}
	if progress.Match > seen.match || progress.Match == status.LastIndex {
		seen.match, seen.since = progress.Match, now
	}
	o.learners[progress.ID] = seen
}

func (o *owner) inactiveFor(id uint64) time.Duration {
	since, inactive := o.inactiveSince[id]
	if !inactive {
		return 0
	}
	return time.Since(since)
}

// mustLeave reports whether a machine must leave its groups.
func (h *Host) mustLeave(machine string) bool {
	return h.options.MustLeave != nil && h.options.MustLeave(machine)
}

// repairView returns what the leader sees of the group.
func (o *owner) repairView(status raft.Status, now time.Time) repair.View {
	view := repair.View{Self: status.ID, Target: o.targetVoters()}
	if o.host.options.AdmitNew {
		view.Address = o.host.options.Address
	}
	for _, member := range status.Membership.GetMembers() {
		progress := progressOf(status, member.GetId())
		seen := repair.Member{Member: member, Active: progress.Active, MustLeave: o.host.mustLeave(member.GetMachine())}
		if since, inactive := o.inactiveSince[member.GetId()]; inactive && !progress.Active {
			seen.Inactive = now.Sub(since)
		}
		if learner, known := o.learners[member.GetId()]; known && member.GetLearner() {
			seen.Complete, seen.Stalled = progress.Match >= learner.target, now.Sub(learner.since)
		}
		view.Members = append(view.Members, seen)
	}
	return view
}

// admit adds a machine that asks to join as a learner, if the group needs it.
func (o *owner) admit(request *rockwindpb.JoinRequest) error {
	now := time.Now()
	status := o.node.Status()
	if status.Role != raft.Leader {
		return o.notLeader()
	}
	if o.needsEvidence(status, request) && !o.confirmJoin(status, request, now) {
		return unavailable("the call must be repeated after an election timeout")
	}
	view := o.repairView(status, now)
	changed, refused := view.Admit(repair.Candidate{
		Machine: request.GetMachine(), DiskID: request.GetDiskId(), Address: request.GetAddress(),
		MayHold: o.host.mayHold(request.GetMachine(), o.region), MayWitness: o.host.mayWitness(request.GetMachine(), o.region, status.Membership),
		MustLeave: o.host.mustLeave(request.GetMachine()), AdmitNew: o.host.options.AdmitNew,
	})
	if refused == repair.NameInUse {
		o.refuse(request.GetMachine(), string(refused), now)
		return machineAlive(request.GetMachine())
	}
	if refused != repair.Admitted {
		if refused.IsOfSpare() {
			o.refuse(request.GetMachine(), string(refused), now)
		}
		return nil
	}
	err := o.checkLevels(status, request)
	if err == nil {
		err = o.proposeMembership(changed)
	}
	if err != nil {
		o.refuse(request.GetMachine(), err.Error(), now)
		return err
	}
	log.WithField("group", o.id).WithField("machine", request.GetMachine()).
		WithField("replaces", machineOf(status.Membership, memberByID(changed, request.GetDiskId()).GetReplaces())).Info("machine admitted")
	return nil
}

// needsEvidence reports whether a call to join says that the disk of a full voter is lost; see confirmJoin.
func (o *owner) needsEvidence(status raft.Status, request *rockwindpb.JoinRequest) bool {
	machine := request.GetMachine()
	return hasWitnesses(status.Membership) && hasMachine(status.Membership, machine) && !isWitnessMachine(status.Membership, machine) &&
		memberByID(status.Membership, request.GetDiskId()) == nil
}

// checkLevels refuses a machine of a version that does not know what the group's members must.
func (o *owner) checkLevels(status raft.Status, request *rockwindpb.JoinRequest) error {
	if err := checkLevel(status.Membership, request); err != nil {
		return err
	}
	return o.checkStateLevel(request)
}

// machineOf returns the machine of the member with a disk, empty if there is none.
func machineOf(membership *rockwindpb.Membership, disk uint64) string {
	return memberByID(membership, disk).GetMachine()
}

func machineAlive(machine string) error {
	return fault.Newf(fault.Conflict,
		"stop one of the two processes, or wait for an election timeout when the old one has just ended",
		"machine %s is alive with another disk", machine)
}

// advanceReplacement takes the next step of the replacements on the leader: the first that is possible of those
// that are due, otherwise the admission of a machine that has asked, otherwise the removal of a member that no
// machine can replace.
func (o *owner) advanceReplacement(status raft.Status, now time.Time) {
	if status.Role != raft.Leader || status.MembershipIndex > status.Commit {
		return
	}
	if o.isSettled(status) {
		o.removableSince, o.removableTerm = now, status.Term
		return
	}
	view := o.repairView(status, now)
	for _, step := range view.Steps() {
		if step.TransferLeadership {
			_ = o.transferLeadership()
			return
		}
		if err := o.proposeMembership(step.Change); err == nil {
			return
		}
	}
	if view.NeedsMember() && o.admitAsking(status, now) {
		return
	}
	if shrunk, due := view.Shrink(); due && o.host.options.AdmitNew && o.proposeMembership(shrunk) == nil {
		log.WithField("group", o.id).WithField("region", o.region).WithField("voters", len(shrunk.GetMembers())).
			Info("lost member removed without a replacement")
		return
	}
	switch leaving := o.leavingWithoutReplacement(status, now); {
	case leaving == nil:
	case leaving.GetId() == status.ID:
		_ = o.transferLeadership()
	default:
		log.WithField("group", o.id).WithField("machine", leaving.GetMachine()).WithField("region", o.region).Info("member leaves without a replacement")
		if err := o.proposeMembership(view.Without(leaving.GetId())); err != nil {
			log.WithError(err).WithField("group", o.id).Info("member not removed yet")
		}
	}
}

// isSettled reports whether all members are active voters that may stay, none is missing or replaced, and the leader is
// where the membership has it.
func (o *owner) isSettled(status raft.Status) bool {
	full := 0
	for _, progress := range status.Progress {
		if !progress.Active || progress.Learner {
			return false
		}
		if !progress.Witness {
			full++
		}
	}
	for _, member := range status.Membership.GetMembers() {
		isMoved := o.host.options.AdmitNew && member.GetId() == status.ID && member.GetAddress() != o.host.options.Address
		if isMoved || o.host.mustLeave(member.GetMachine()) {
			return false
		}
	}
	if repair.HasReplacement(status.Membership) {
		return false
	}
	return full == o.targetVoters() || o.targetVoters() == 0 && full == len(status.Progress)
}

// admitAsking admits one of the machines that have asked to join, if the group needs it. It reports whether it did.
// A call that must be repeated as evidence has to be made again, as has one of a machine that was an inactive member since.
func (o *owner) admitAsking(status raft.Status, now time.Time) bool {
	if now.Before(o.nextAdmission) {
		return false
	}
	// A group of a region may lack members for good, while many machines of other regions ask.
	o.nextAdmission = now.Add(o.host.options.electionTimeout() / admissionsPerTimeout)
	for _, call := range o.host.spares.candidates(o.id, now) {
		request, machine := call.request, call.request.GetMachine()
		mayJoin := o.host.mayHold(machine, o.region) || o.host.mayWitness(machine, o.region, status.Membership)
		if !mayJoin || !call.at.After(o.lastInactive[machine]) || memberByID(status.Membership, request.GetDiskId()) != nil || o.needsEvidence(status, request) {
			continue
		}
		if o.admit(request) == nil && o.node.Status().MembershipIndex != status.MembershipIndex {
			return true
		}
	}
	return false
}
