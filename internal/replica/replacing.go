package replica

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// inactivityTimeout is how long a member must be inactive before a machine with
// another name may replace it. A replaced member that was only partitioned keeps
// its disk and asks to join again.
const inactivityTimeout = time.Second

// trackInactivity records since when each member has been inactive, as the leader
// sees it. The record is reset in each term.
func (o *owner) trackInactivity(now time.Time) {
	status := o.node.Status()
	if status.Role != raft.Leader || status.Term != o.inactivityTerm {
		o.inactivityTerm = status.Term
		clear(o.inactiveSince)
	}
	if status.Role != raft.Leader {
		return
	}
	for _, progress := range status.Progress {
		if progress.Active {
			delete(o.inactiveSince, progress.ID)
		} else if _, known := o.inactiveSince[progress.ID]; !known {
			o.inactiveSince[progress.ID] = now
		}
	}
}

// admitNew adds a machine with a new name as a learner if the group has fewer
// members than its target, or as a replacement of a member that is
// inactive or must leave. Otherwise it does nothing.
func (o *owner) admitNew(status raft.Status, request *rockwindpb.JoinRequest) error {
	if !o.host.options.AdmitNew || o.host.mustLeave(request.GetMachine()) {
		o.refuse(request.GetMachine(), "machines with new names may not join, or it must leave its groups", time.Now())
		return nil
	}
	outgoing := o.replaceableMember(status)
	incomplete := fullMembers(status.Membership) < o.targetVoters()
	switch {
	case incomplete && o.region != "" && outgoing != nil:
		// A group in a region may stay below its target. If it kept an inactive voter beside its
		// replacement, the quorum would grow and the next loss could stop the group.
		return o.addLearner(status, request, outgoing)
	case incomplete:
		return o.addLearner(status, request, nil)
	case outgoing == nil:
		o.refuse(request.GetMachine(), "no member needs a replacement", time.Now())
		return nil
	}
	return o.addLearner(status, request, outgoing)
}

// addLearner adds a learner that replaces outgoing, or no member if that is nil. It
// does nothing if another machine is already replacing outgoing: a later member that names it. An earlier one
// names it since a replacement that has ended, after which outgoing was admitted again.
func (o *owner) addLearner(status raft.Status, request *rockwindpb.JoinRequest, outgoing *rockwindpb.Member) error {
	changed := &rockwindpb.Membership{}
	passed := false
	for _, member := range status.Membership.GetMembers() {
		passed = passed || member.GetId() == outgoing.GetId()
		if outgoing == nil || !passed || member.GetReplaces() != outgoing.GetId() {
			changed.Members = append(changed.Members, member)
			continue
		}
		if !member.GetLearner() || progressOf(status, member.GetId()).Active {
			o.refuse(request.GetMachine(), member.GetMachine()+" is replacing "+outgoing.GetMachine(), time.Now())
			return nil
		}
	}
	changed.Members = append(changed.Members, &rockwindpb.Member{
		Id:       request.GetDiskId(),
		Machine:  request.GetMachine(),
		Address:  request.GetAddress(),
		Learner:  true,
		Replaces: outgoing.GetId(),
		Witness:  outgoing.GetWitness(),
	})
	log.WithField("group", o.id).WithField("machine", request.GetMachine()).WithField("replaces", outgoing.GetMachine()).
		WithField("silent", o.inactiveFor(outgoing.GetId()).String()).Info("machine admitted")
	return o.proposeMembership(changed)
}

// replaceableMember returns a voter, other than a witness, that has been inactive for inactivityTimeout,
// otherwise one that must leave, or nil if there is none.
func (o *owner) replaceableMember(status raft.Status) *rockwindpb.Member {
	var leaving *rockwindpb.Member
	for _, member := range status.Membership.GetMembers() {
		switch {
		case member.GetLearner() || member.GetWitness():
		case o.inactiveFor(member.GetId()) >= inactivityTimeout:
			return member
		case leaving == nil && o.host.mustLeave(member.GetMachine()):
			leaving = member
		}
	}
	return leaving
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
