package raft

import "rockwind.example/rockwind/internal/rockwindpb"

// HasReady reports whether Ready would return work. It returns false between Ready and
// Advance.
func (n *Node) HasReady() bool {
	if n.awaitingAdvance || n.halted != nil {
		return false
	}
	return len(n.messages) > 0 || len(n.messagesBeforeSync) > 0 || len(n.readStates) > 0 ||
		len(n.log.unstable) > 0 || n.log.snapshot != nil ||
		n.log.applicable() > n.log.applying ||
		n.softState() != n.reportedSoftState || n.hardStateChanged() || n.hasLeaderMessages()
}

// Ready returns the next work for the caller, who must call Advance before the next Ready.
func (n *Node) Ready() Ready {
	if n.awaitingAdvance || n.halted != nil {
		return Ready{SoftState: n.softState()}
	}
	n.queueLeaderMessages()
	ready := Ready{
		SoftState:          n.softState(),
		Snapshot:           n.log.snapshot,
		Entries:            n.log.unstable[:len(n.log.unstable):len(n.log.unstable)],
		MessagesBeforeSync: n.messagesBeforeSync,
		Messages:           n.messages,
		ReadStates:         n.readStates,
		HeartbeatRound:     n.round,
		Poll:               n.poll,
	}
	n.takeHardState(&ready)
	n.takeCommitted(&ready)
	n.messages, n.messagesBeforeSync, n.readStates = nil, nil, nil
	n.reportedSoftState = ready.SoftState
	n.awaitingAdvance = true
	n.beginSync(ready.Entries)
	return ready
}

// Advance tells the node that a Ready is synced and its committed entries were passed to
// the state machine.
func (n *Node) Advance(ready Ready) {
	n.awaitingAdvance = false
	if n.halted != nil {
		return
	}
	n.log.advance(ready.Entries, ready.Snapshot)
	n.members.compact(n.log.firstIndex())
	if n.role == Leader {
		n.advanceOwnMatch(n.log.persisted())
	}
	n.endSync()
}

func (n *Node) softState() SoftState {
	return SoftState{Leader: n.leader, Role: n.role}
}

// storableCommit returns the commit index to store. It never exceeds the stored log, so
// that a restart can detect that synced entries are missing.
func (n *Node) storableCommit() uint64 {
	return max(n.storedHardState.GetCommit(), n.log.applicable())
}

func (n *Node) voteChanged() bool {
	return n.term != n.storedHardState.GetTerm() || n.vote != n.storedHardState.GetVote()
}

func (n *Node) hardStateChanged() bool {
	return n.voteChanged() || n.storableCommit() != n.storedHardState.GetCommit()
}

func (n *Node) takeHardState(ready *Ready) {
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil || n.voteChanged()
	if !n.hardStateChanged() {
		return
	}
	if n.voteChanged() {
		// The only voter of a group becomes leader before its new term is stored.
		ready.Messages = append(ready.Messages, ready.MessagesBeforeSync...)
		ready.MessagesBeforeSync = nil
	}
	n.storedHardState = &rockwindpb.HardState{Term: n.term, Vote: n.vote, Commit: n.storableCommit()}
	ready.HardState = &rockwindpb.HardState{Term: n.term, Vote: n.vote, Commit: n.storedHardState.GetCommit()}
}

func (n *Node) takeCommitted(ready *Ready) {
	limit := n.log.applicable()
	if limit <= n.log.applying {
		return
	}
	entries, err := n.log.entries(n.log.applying+1, limit+1, n.config.MaxAppendBytes)
	if err != nil {
		_ = n.halt(err)
		return
	}
	ready.CommittedEntries = entries
	n.log.applying = entries[len(entries)-1].GetIndex()
}
