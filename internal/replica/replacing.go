package replica

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// silencePatience is how long a member must be silent before a machine with
// another name may take its place. A member that was only cut off for longer is
// not harmed: it keeps its disk and asks to join again.
const silencePatience = time.Second

// noteSilence keeps since when each member is silent, as the leader hears it. A new
// leader starts anew.
func (o *owner) noteSilence(now time.Time) {
	status := o.node.Status()
	if status.Role != raft.Leader || status.Term != o.silenceTerm {
		o.silenceTerm = status.Term
		clear(o.silentSince)
	}
	if status.Role != raft.Leader {
		return
	}
	for _, progress := range status.Progress {
		if progress.Active {
			delete(o.silentSince, progress.ID)
		} else if _, known := o.silentSince[progress.ID]; !known {
			o.silentSince[progress.ID] = now
		}
	}
}

// admitNew adds a machine with a new name as a learner: in a free place, or in the
// place of a member that is silent or has to leave. It does nothing where there is
// no place, or where another machine takes it already.
func (o *owner) admitNew(status raft.Status, request *rockwindpb.JoinRequest) error {
	if !o.host.options.AdmitNew || o.host.vacates(request.GetMachine()) {
		return nil
	}
	if len(status.Membership.GetMembers()) < o.host.options.TargetVoters {
		return o.admitTo(status, request, nil)
	}
	place := o.vacantPlace(status)
	if place == nil {
		return nil
	}
	return o.admitTo(status, request, place)
}

// admitTo adds a learner in the place of a member, nil for a free place.
func (o *owner) admitTo(status raft.Status, request *rockwindpb.JoinRequest, place *rockwindpb.Member) error {
	changed := &rockwindpb.Membership{}
	for _, member := range status.Membership.GetMembers() {
		if place == nil || member.GetReplaces() != place.GetId() {
			changed.Members = append(changed.Members, member)
			continue
		}
		if !member.GetLearner() || progressOf(status, member.GetId()).Active {
			return nil
		}
	}
	changed.Members = append(changed.Members, &rockwindpb.Member{
		Id:       request.GetDiskId(),
		Machine:  request.GetMachine(),
		Address:  request.GetAddress(),
		Learner:  true,
		Replaces: place.GetId(),
	})
	log.WithField("group", o.id).WithField("machine", request.GetMachine()).WithField("replaces", place.GetMachine()).
		WithField("silent", o.silentFor(place.GetId()).String()).Info("machine admitted")
	return o.changeMembers(changed)
}

// vacantPlace returns a voter that is silent for long or has to leave, nil where
// there is none. Silent ones go first.
func (o *owner) vacantPlace(status raft.Status) *rockwindpb.Member {
	var leaving *rockwindpb.Member
	for _, member := range status.Membership.GetMembers() {
		switch {
		case member.GetLearner():
		case o.silentFor(member.GetId()) >= silencePatience:
			return member
		case leaving == nil && o.host.vacates(member.GetMachine()):
			leaving = member
		}
	}
	return leaving
}

func (o *owner) silentFor(id uint64) time.Duration {
	since, silent := o.silentSince[id]
	if !silent {
		return 0
	}
	return time.Since(since)
}

// vacates tells whether a machine has to leave its groups.
func (h *Host) vacates(machine string) bool {
	return h.options.MustLeave != nil && h.options.MustLeave(machine)
}
