package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

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

// handOver asks the most advanced voter to lead, when there is one that is heard.
func (o *owner) handOver() error {
	status := o.node.Status()
	if status.Role != raft.Leader || status.TransferTarget != 0 || !otherVoters(status.Membership, status.ID) {
		return nil
	}
	err := o.node.TransferLeadership(0)
	if errors.Is(err, raft.ErrMembershipInvalid) {
		return notBegun("no other voter of the group is heard")
	}
	return err
}
