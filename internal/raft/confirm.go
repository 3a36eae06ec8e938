package raft

import (
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// A confirmed state lets a restarted replica serve what was committed before the restart
// while there is no leader yet: the election waits for the last voter or for the end of the leases that
// were granted before the restart, but a majority of equal logs determines what was committed.
//
// A replica that has neither led nor followed a leader since its start confirms its state if a
// majority of the voters, itself included, meets these conditions. Each voter
//
//   - replied to a poll that this replica sent since its start,
//   - has neither led nor followed a leader since its own start,
//   - has a log that ends with the same entry as the log of this replica, and
//   - has the term of this entry as its current term.
//
// The proof needs the last two conditions, and that a reply is sent after everything before it
// is synced. The second one limits confirmations to restarts.
//
// When it replied, no voter of the majority had voted in a later term, so no leader of a later term
// was elected before, and later leaders need a vote of one of them, which requires a log with this entry.
// The entry is on a majority in its own term, hence committed. An entry after it, or of a later term,
// that was committed before the poll would be on the disk of one of them. See docs/design/recovery.md.
//
// The membership must be committed, so that each membership in which an entry can have been
// committed before the poll differs from it by at most one voter, and the majorities overlap. It is
// the newest membership in the log, which all of the majority share.
//
// Nothing else depends on a confirmation: it grants no lease and no read, and elections take
// place as without it. The commit index that it sets is the one that the next leader would set.

// startPoll returns the number of a new poll.
func (n *Node) startPoll() uint64 {
	n.poll = max(n.poll, n.config.FirstPoll) + 1
	return n.poll
}

// restartState returns the state that a reply to the poll of a unanimous pre-vote carries, or nil if
// this replica must not take part in confirmations.
func (n *Node) restartState(request *rockwindpb.Message) *rockwindpb.RestartState {
	if !request.GetUnanimous() || request.GetContext() == 0 || !n.awaitsFirstLeader() {
		return nil
	}
	lastTerm, err := n.log.lastTerm()
	if err != nil {
		return nil
	}
	return &rockwindpb.RestartState{Poll: request.GetContext(), Term: n.term, LastIndex: n.log.lastIndex(), LastTerm: lastTerm}
}

// countConfirmation counts the reply to a poll. Once a majority has confirmed the end of the log,
// everything in it is committed.
func (n *Node) countConfirmation(message *rockwindpb.Message) {
	state := message.GetRestartState()
	if state == nil || n.confirmedPoll != 0 || !n.mayConfirm() || !n.isOwnPoll(state.GetPoll()) {
		return
	}
	last := n.log.lastIndex()
	if state.GetLastIndex() != last || !n.log.hasTerm(last, state.GetLastTerm()) {
		return
	}
	if state.GetTerm() != state.GetLastTerm() && !n.faults.confirmInAnyTerm {
		return
	}
	if n.confirmations == nil {
		n.confirmations = map[uint64]uint64{}
	}
	n.confirmations[message.GetFrom()] = max(n.confirmations[message.GetFrom()], state.GetPoll())
	poll := quorumValue(n.members.current(), func(id uint64) uint64 {
		if id == n.id {
			return n.poll
		}
		return n.confirmations[id]
	})
	if poll != 0 {
		n.confirmedPoll = poll
		n.log.committed = max(n.log.committed, last)
	}
}

// mayConfirm reports whether this replica is one of those that can confirm a state. An empty
// log is that of a group that is being founded, which has no state to serve.
func (n *Node) mayConfirm() bool {
	if !n.awaitsFirstLeader() || !n.mayCampaign() || n.members.currentIndex() > n.log.committed || n.log.lastIndex() == 0 {
		return false
	}
	return n.log.hasTerm(n.log.lastIndex(), n.term) || n.faults.confirmInAnyTerm
}

// awaitsFirstLeader reports whether this replica has neither led nor followed a leader since it
// started.
func (n *Node) awaitsFirstLeader() bool {
	return n.noLeaderSinceStart || n.faults.confirmAfterLeader
}

// isOwnPoll reports whether this replica started a poll since its start.
func (n *Node) isOwnPoll(poll uint64) bool {
	return n.config.FirstPoll < poll && poll <= n.poll || n.faults.confirmOldPolls
}

// confirmers returns the other voters whose replies the confirmed state is based on.
func (n *Node) confirmers() []uint64 {
	if n.confirmedPoll == 0 {
		return nil
	}
	var ids []uint64
	for _, id := range voters(n.members.current()) {
		if id != n.id && n.confirmations[id] >= n.confirmedPoll {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
