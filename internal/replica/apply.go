package replica

import (
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// apply executes committed entries and answers those who proposed them.
func (o *owner) apply(entries []*rockwindpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	results := make([]any, len(entries))
	for position, entry := range entries {
		if entry.GetIndex() != o.applied+1 {
			return errors.Newf("entry %d is committed after entry %d", entry.GetIndex(), o.applied)
		}
		if entry.GetKind() == rockwindpb.EntryKind_ENTRY_KIND_COMMAND {
			results[position] = o.machine.Apply(entry.GetIndex(), entry.GetData())
		}
		o.applied, o.appliedTerm = entry.GetIndex(), entry.GetTerm()
	}
	publishState(o.machine)
	for position, entry := range entries {
		o.answer(entry, results[position])
	}
	o.showApplied()
	return nil
}

// publishState has a state machine show its state, if it does so.
func publishState(machine StateMachine) {
	if publisher, shows := machine.(Publisher); shows {
		publisher.Publish()
	}
}

// answer ends the proposal that stands at the entry's index.
func (o *owner) answer(entry *rockwindpb.Entry, result any) {
	waiting, found := o.pending[entry.GetIndex()]
	if !found {
		return
	}
	delete(o.pending, entry.GetIndex())
	if waiting.term != entry.GetTerm() {
		waiting.finish(nil, o.notLeader())
		return
	}
	waiting.finish(result, nil)
}

func (o *owner) showApplied() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.appliedShown, o.appliedTermShown = o.applied, o.appliedTerm
	close(o.moved)
	o.moved = make(chan struct{})
}

// followRole ends what waits for a leadership that is over.
func (o *owner) followRole() {
	status := o.node.Status()
	leading := uint64(0)
	if status.Role == raft.Leader {
		leading = status.Term
	}
	if leading == o.wasLeading {
		return
	}
	o.wasLeading = leading
	o.lease.reset()
	o.short = shortener{}
	clear(o.targets)
	o.failPending("leadership was lost before the command was committed")
	o.failReads()
	log.WithField("group", o.id).WithField("term", status.Term).WithField("leading", leading != 0).Info("leadership changed")
}

// publish shows the state of the core to other goroutines.
func (o *owner) publish() {
	status := o.node.Status()
	o.leadingUntil.Store(o.leadershipNow(status))
	o.mutex.Lock()
	changed := status.Role != o.status.Role || status.Leader != o.status.Leader || status.Term != o.status.Term
	o.status = status
	o.mutex.Unlock()
	if changed {
		o.host.signalChange()
	}
}

func (o *owner) leadershipNow(status raft.Status) *leadership {
	if !status.LeaseValid {
		return nil
	}
	end := o.lease.end(o.node.LeaseRound())
	if end.none() {
		return nil
	}
	return &leadership{term: status.Term, end: end}
}
