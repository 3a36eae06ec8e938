package replica

import (
	"context"
	"slices"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/raft"
)

// syncWait is a caller that waits until the active voters have synced the log up to an index.
type syncWait struct {
	ctx   context.Context
	index uint64
	// done receives the result, once.
	done chan error
}

// AwaitSynced implements Group.
func (o *owner) AwaitSynced(ctx context.Context) error {
	wait := &syncWait{ctx: ctx, done: make(chan error, 1)}
	err := o.do(ctx, func() error {
		status := o.node.Status()
		if status.Role != raft.Leader {
			return o.notLeader()
		}
		wait.index = status.Commit
		o.syncWaits = append(o.syncWaits, wait)
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case err := <-wait.done:
		return err
	case <-ctx.Done():
		return unavailable(contextReason(ctx))
	case <-o.stopped:
		return unavailable("this control process stops")
	}
}

// finishSyncWaits ends the waits whose index all active voters have synced, and drops those whose context
// has ended.
func (o *owner) finishSyncWaits() {
	if len(o.syncWaits) == 0 {
		return
	}
	synced := syncedByActiveVoters(o.node.Status())
	kept := o.syncWaits[:0]
	for _, wait := range o.syncWaits {
		switch {
		case wait.ctx.Err() != nil:
		case wait.index <= synced:
			wait.done <- nil
		default:
			kept = append(kept, wait)
		}
	}
	clear(o.syncWaits[len(kept):])
	o.syncWaits = kept
}

func (o *owner) failSyncWaits() {
	for _, wait := range o.syncWaits {
		wait.done <- unavailable("leadership was lost")
	}
	o.syncWaits = nil
}

// syncedByActiveVoters returns the index up to which all active voters have acknowledged to the leader that
// they have synced the log. The leader counts like any other voter. In a group with witnesses it is the in-sync
// set instead of the active voters.
func syncedByActiveVoters(status raft.Status) uint64 {
	synced := status.Commit
	withWitnesses := hasWitnesses(status.Membership)
	for _, progress := range status.Progress {
		required := progress.Active
		if withWitnesses {
			required = progress.InSync
		}
		if required && !progress.Learner && !progress.Witness {
			synced = min(synced, progress.Match)
		}
	}
	return synced
}

// logInSync logs changes of the in-sync set of a group with witnesses, which this replica leads. A change is logged
// before it ends a wait for the set.
func (o *owner) logInSync(status raft.Status) {
	if status.Role != raft.Leader || !hasWitnesses(status.Membership) {
		o.loggedInSync = nil
		return
	}
	var machines []string
	for i, progress := range status.Progress {
		if progress.InSync {
			machines = append(machines, status.Membership.GetMembers()[i].GetMachine())
		}
	}
	if slices.Equal(machines, o.loggedInSync) {
		return
	}
	o.loggedInSync = machines
	log.WithField("group", o.id).WithField("term", status.Term).WithField("machines", machines).Info("in-sync set changed")
}
