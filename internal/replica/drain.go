package replica

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// prepareLimit bounds Options.BeforeLeadershipTransfer, which is meant for one or
// two commands that take some milliseconds each. It is an eighth of the 2 s that
// site.RunHost allows for draining, which leaves the rest for the transfer.
const prepareLimit = 250 * time.Millisecond

// Drain transfers all leaderships away before a planned stop, including those that
// this machine regains. It returns once this machine leads no group that another
// machine could lead, or when the context ends. The replicas continue to vote and
// to store entries until the context of Run ends.
func (h *Host) Drain(ctx context.Context) error {
	for _, o := range h.allOwners() {
		if err := o.do(ctx, o.beginDrain); err != nil {
			return err
		}
	}
	for {
		changed := h.nextLeadershipChange()
		if !h.leadsAny() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "transfer leadership")
		case <-h.ctx.Done():
			return nil
		}
	}
}

func (h *Host) leadsAny() bool {
	for _, o := range h.allOwners() {
		if o.leads() && hasOtherCandidates(o.Status().GetMembership(), h.log.DiskID()) {
			return true
		}
	}
	return false
}

// hasOtherCandidates reports whether a group has another voter that could lead it.
func hasOtherCandidates(membership *rockwindpb.Membership, disk uint64) bool {
	for _, member := range membership.GetMembers() {
		if member.GetId() != disk && !member.GetLearner() && !member.GetWitness() {
			return true
		}
	}
	return false
}

func hasOtherVoters(membership *rockwindpb.Membership, disk uint64) bool {
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

// continueDrain transfers any leadership that a draining replica still has or has
// regained, if possible into the region that holds a majority of the voters.
func (o *owner) continueDrain() {
	if !o.draining {
		return
	}
	if target := o.drainTarget(time.Now()); target != 0 {
		_ = o.prepareTransfer(func() error { return o.startDrainTransfer(target) })
		return
	}
	_ = o.transferLeadership()
}

// transferLeadership calls Options.BeforeLeadershipTransfer and then transfers
// leadership to the most up-to-date active voter, if there is one.
func (o *owner) transferLeadership() error { return o.prepareTransfer(o.startTransfer) }

// prepareTransfer calls Options.BeforeLeadershipTransfer and then start, which starts a transfer. It
// does nothing if no transfer is possible or one is already in preparation.
func (o *owner) prepareTransfer(start func() error) error {
	status := o.node.Status()
	if o.preparingTransfer || !canTransferLeadership(status) {
		return nil
	}
	if o.host.options.BeforeLeadershipTransfer == nil || !hasActiveOtherVoter(status) {
		return start()
	}
	o.preparingTransfer = true
	o.host.spawn(func() error {
		o.runBeforeTransfer()
		err := o.do(o.ctx, func() error { return o.transferAfterPreparation(start) })
		if err != nil {
			log.WithError(err).WithField("group", o.id).Info("leadership transfer failed")
		}
		return nil
	})
	return nil
}

// runBeforeTransfer calls Options.BeforeLeadershipTransfer and waits for it, but
// no longer than prepareLimit.
func (o *owner) runBeforeTransfer() {
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
		log.WithField("group", o.id).Info("leadership is transferred before all was prepared")
	}
}

// transferAfterPreparation starts the transfer unless leadership was lost meanwhile.
func (o *owner) transferAfterPreparation(start func() error) error {
	o.preparingTransfer = false
	if !canTransferLeadership(o.node.Status()) {
		return nil
	}
	return start()
}

// canTransferLeadership reports whether the replica leads a group that another
// voter could lead and no transfer is in progress.
func canTransferLeadership(status raft.Status) bool {
	return status.Role == raft.Leader && status.TransferTarget == 0 && hasOtherCandidates(status.Membership, status.ID)
}

// hasActiveOtherVoter reports whether another voter is active.
func hasActiveOtherVoter(status raft.Status) bool {
	for _, member := range status.Membership.GetMembers() {
		if member.GetId() != status.ID && !member.GetLearner() && !member.GetWitness() && progressOf(status, member.GetId()).Active {
			return true
		}
	}
	return false
}

func (o *owner) startTransfer() error {
	err := o.node.TransferLeadership(0)
	if errors.Is(err, raft.ErrMembershipInvalid) {
		return unavailable("no other voter of the group is heard")
	}
	return err
}
