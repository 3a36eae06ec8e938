package replica

import (
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// apply executes committed entries and returns the results to their proposers.
func (o *owner) apply(entries []*rockwindpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	results := make([]any, len(entries))
	for position, entry := range entries {
		if entry.GetIndex() != o.applied+1 {
			return errors.Newf("committed entry %d does not follow entry %d", entry.GetIndex(), o.applied)
		}
		if entry.GetKind() == rockwindpb.EntryKind_ENTRY_KIND_COMMAND {
			results[position] = o.machine.Apply(entry.GetIndex(), entry.GetData())
		}
		o.applied, o.appliedTerm = entry.GetIndex(), entry.GetTerm()
	}
	publishState(o.machine)
	for position, entry := range entries {
		o.completeProposal(entry, results[position])
	}
	o.publishApplied()
	return nil
}

// publishState calls Publish if the state machine is a Publisher.
func publishState(machine StateMachine) {
	if publisher, ok := machine.(Publisher); ok {
		publisher.Publish()
	}
}

// completeProposal finishes the proposal at the entry's index, if there is one.
func (o *owner) completeProposal(entry *rockwindpb.Entry, result any) {
	proposed, found := o.pending[entry.GetIndex()]
	if !found {
		return
	}
	delete(o.pending, entry.GetIndex())
	if proposed.term != entry.GetTerm() {
		proposed.finish(nil, o.notLeader())
		return
	}
	proposed.finish(result, nil)
}

func (o *owner) publishApplied() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.publishedApplied, o.publishedAppliedTerm = o.applied, o.appliedTerm
	close(o.appliedChanged)
	o.appliedChanged = make(chan struct{})
}

// handleRoleChange fails pending requests and resets the leader's state when a
// leadership begins or ends.
func (o *owner) handleRoleChange() {
	status := o.node.Status()
	term := uint64(0)
	if status.Role == raft.Leader {
		term = status.Term
	}
	if term == o.leadingTerm {
		return
	}
	if term == 0 && status.Term == o.leadingTerm && status.Leader == 0 && status.Voter {
		o.logLostContact(status)
	}
	o.leadingTerm = term
	o.lease.reset()
	o.shortEntries = shortEntryEncoder{}
	o.failPending("leadership was lost before the command was committed")
	o.failReads()
	o.failSyncWaits()
	log.WithField("group", o.id).WithField("term", status.Term).WithField("leading", term != 0).Info("leadership changed")
}

// publish makes the state of the Raft node visible to other goroutines. The clock was read since the
// last tick.
func (o *owner) publish(now clockReading) {
	status := o.node.Status()
	o.logInSync(status)
	o.recordRoundWithoutMessages(status, now)
	o.publishedLeadership.Store(o.leadershipUnderLease(status))
	o.publishedConfirmation.Store(o.confirmation(status))
	o.mutex.Lock()
	changed := status.Role != o.status.Role || status.Leader != o.status.Leader || status.Term != o.status.Term
	o.status = status
	o.mutex.Unlock()
	if changed {
		o.host.signalLeadershipChange()
	}
}

func (o *owner) leadershipUnderLease(status raft.Status) *leadership {
	if !status.LeaseValid {
		return nil
	}
	end := o.lease.end(o.node.LeaseRound())
	if end.isZero() {
		return nil
	}
	return &leadership{term: status.Term, end: end}
}
