package replica

import (
	"strconv"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/replica/leaderregion"
)

// replacementTime is how long a leader that could transfer leadership to the preferred region leads on after the loss of a
// voter.
const replacementTime = 3 * time.Second

// returnToRegion transfers leadership to the region that holds a majority of the voters, if this replica
// leads elsewhere. It is called at each tick.
func (o *owner) returnToRegion(now time.Time) {
	if o.host.options.RegionOf == nil {
		return
	}
	view := o.regionView()
	if failed := o.leaderRegion.Observe(now, view); failed != 0 {
		log.WithField("group", o.id).WithField("to", diskName(failed)).Info("leadership transfer to the preferred region failed")
	}
	if o.draining || o.mayReplaceMember(now) {
		return
	}
	target := o.leaderRegion.Target(now, view)
	if target == 0 {
		return
	}
	o.leaderRegion.Begin(now, target)
	if err := o.prepareTransfer(func() error { return o.startTransferToRegion(target) }); err != nil {
		log.WithError(err).WithField("group", o.id).Info("leadership transfer failed")
	}
}

// mayReplaceMember reports whether a voter was lost so recently that its replacement may be under way. The next leader
// would begin to wait for it anew.
func (o *owner) mayReplaceMember(now time.Time) bool {
	if !o.host.options.AdmitNew {
		return false
	}
	for _, member := range o.node.Status().Membership.GetMembers() {
		if since, inactive := o.inactiveSince[member.GetId()]; inactive && !member.GetLearner() && now.Sub(since) < replacementTime {
			return true
		}
	}
	return false
}

// drainTarget returns the voter of the preferred region to which a draining leader transfers leadership,
// zero if any voter will do. The caller must start the transfer.
func (o *owner) drainTarget(now time.Time) uint64 {
	if o.host.options.RegionOf == nil {
		return 0
	}
	target := o.leaderRegion.DrainTarget(now, o.regionView())
	if target != 0 {
		o.leaderRegion.Begin(now, target)
	}
	return target
}

// startDrainTransfer starts a transfer after its preparation, to any voter if the target has failed meanwhile.
func (o *owner) startDrainTransfer(target uint64) error {
	if !o.leaderRegion.Eligible(time.Now(), o.regionView(), target) {
		return o.startTransfer()
	}
	return o.node.TransferLeadership(target)
}

// startTransferToRegion starts a transfer after its preparation, unless the target has failed meanwhile.
func (o *owner) startTransferToRegion(target uint64) error {
	if !o.leaderRegion.Eligible(time.Now(), o.regionView(), target) {
		return nil
	}
	if err := o.node.TransferLeadership(target); err != nil {
		return err
	}
	decision.Default.Record(decision.LeadershipTransferred, strconv.FormatUint(uint64(o.id), 10), log.Fields{
		"reason": "another region holds most voters", "term": o.node.Status().Term, "to": diskName(target),
	})
	return nil
}

// diskName returns the identity of a disk as it is written to logs.
func diskName(id uint64) string { return strconv.FormatUint(id, 16) }

// regionView returns what the leader's choice of a region is made from.
func (o *owner) regionView() leaderregion.View {
	status := o.node.Status()
	view := leaderregion.View{Self: status.ID, Term: status.Term, Leader: status.Leader}
	if status.Role != raft.Leader {
		return view
	}
	view.Leader, view.Last, view.Commit = status.ID, status.LastIndex, status.Commit
	view.Transferring = status.TransferTarget != 0 || o.preparingTransfer
	view.Stable = status.MembershipIndex <= status.Commit && status.LeaseValid
	for _, member := range status.Membership.GetMembers() {
		if member.GetLearner() || member.GetWitness() {
			continue
		}
		progress := progressOf(status, member.GetId())
		view.Voters = append(view.Voters, leaderregion.Voter{
			ID: member.GetId(), Region: o.host.options.RegionOf(member.GetMachine()), Active: progress.Active, Match: progress.Match,
			Leaving: o.host.mustLeave(member.GetMachine()),
		})
	}
	return view
}
