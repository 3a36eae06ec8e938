package replica

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// prepareLimit bounds Options.HandingOver. What is prepared is a command or two, each one sync on a
// quorum, some milliseconds. The limit is an eighth of the 2 s that a stop has for its hand-over
// (site.RunHost), so that the hand-over itself keeps the rest.
const prepareLimit = 250 * time.Millisecond

// Drain hands over all leaderships for a planned stop, and keeps handing over
// any that comes back. It returns once this machine leads no group that another
// machine could lead, or when the context ends. The replicas go on voting and
// storing until the context of Run ends.
func (h *Host) Drain(ctx context.Context) error {
	for _, o := range h.allOwners() {
		if err := o.do(ctx, o.beginDrain); err != nil {
			return err
		}
	}
	for {
		changed := h.nextChange()
		if !h.leadsAny() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "hand over leadership")
		case <-h.ctx.Done():
			return nil
		}
	}
}

func (h *Host) leadsAny() bool {
	for _, o := range h.allOwners() {
		if o.leads() && otherVoters(o.Status().GetMembership(), h.log.DiskID()) {
			return true
		}
	}
	return false
}

func otherVoters(membership *rockwindpb.Membership, disk uint64) bool {
	for _, member := range membership.GetMembers() {
		if member.GetId() != disk && !member.GetLearner() {
			return true
		}
	}
	return false
}

func (o *owner) beginDrain() error {
	o.draining = true
	o.continueDrain()
	return nil
}

// continueDrain hands over a leadership that a draining replica still has, or
// has again.
func (o *owner) continueDrain() {
	if o.draining {
		_ = o.handOver()
	}
}

// handOver has the group prepared and then asks the most advanced voter to lead, when there is
// one that is heard.
func (o *owner) handOver() error {
	status := o.node.Status()
	if o.preparing || !mayHandOver(status) {
		return nil
	}
	if o.host.options.BeforeLeadershipTransfer == nil || !otherVoterHeard(status) {
		return o.transfer()
	}
	o.preparing = true
	o.host.spawn(func() error {
		o.prepare()
		err := o.do(o.ctx, o.transferPrepared)
		if err != nil {
			log.WithError(err).WithField("group", o.id).Info("leadership was not handed over")
		}
		return nil
	})
	return nil
}

// prepare has Options.HandingOver do its part, within its bound.
func (o *owner) prepare() {
	ctx, cancel := context.WithTimeout(o.ctx, prepareLimit)
	defer cancel()
	prepared := make(chan struct{})
	go func() {
		defer close(prepared)
		o.host.options.BeforeLeadershipTransfer(ctx, o.id)
	}()
	select {
	case <-prepared:
	case <-ctx.Done():
		log.WithField("group", o.id).Info("leadership is handed over before all was prepared")
	}
}

// transferPrepared goes on with a hand-over. Leadership may have been lost meanwhile.
func (o *owner) transferPrepared() error {
	o.preparing = false
	if !mayHandOver(o.node.Status()) {
		return nil
	}
	return o.transfer()
}

// mayHandOver tells whether the replica leads a group that another one could lead.
func mayHandOver(status raft.Status) bool {
	return status.Role == raft.Leader && status.TransferTarget == 0 && otherVoters(status.Membership, status.ID)
}

// otherVoterHeard tells whether a voter is heard to which leadership could go.
func otherVoterHeard(status raft.Status) bool {
	for _, member := range status.Membership.GetMembers() {
		if member.GetId() != status.ID && !member.GetLearner() && progressOf(status, member.GetId()).Active {
			return true
		}
	}
	return false
}

func (o *owner) transfer() error {
	err := o.node.TransferLeadership(0)
	if errors.Is(err, raft.ErrMembershipInvalid) {
		return notBegun("no other voter of the group is heard")
	}
	return err
}
