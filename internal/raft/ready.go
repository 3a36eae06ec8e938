package raft

import "rockwind.example/rockwind/internal/rockwindpb"

// HasReady tells whether Ready has something to do. It is false between Ready
// and Advance.
func (n *Node) HasReady() bool {
	if n.outstanding || n.halted != nil {
		return false
	}
	return len(n.messages) > 0 || len(n.earlyMessages) > 0 || len(n.readStates) > 0 ||
		len(n.log.unstable) > 0 || n.log.snapshot != nil ||
		n.log.applicable() > n.log.handed ||
		n.softState() != n.storedSoft || n.hardStateChanged() || n.leaderHasWork()
}

// Ready returns what the caller must do next. Advance must follow before the
// next Ready.
func (n *Node) Ready() Ready {
	if n.outstanding || n.halted != nil {
		return Ready{SoftState: n.softState()}
	}
	n.sendLeaderWork()
	ready := Ready{
		SoftState:          n.softState(),
		Snapshot:           n.log.snapshot,
		Entries:            n.log.unstable[:len(n.log.unstable):len(n.log.unstable)],
		MessagesBeforeSync: n.earlyMessages,
		Messages:           n.messages,
		ReadStates:         n.readStates,
		HeartbeatRound:     n.round,
	}
	n.takeHardState(&ready)
	n.takeCommitted(&ready)
	n.messages, n.earlyMessages, n.readStates = nil, nil, nil
	n.storedSoft = ready.SoftState
	n.outstanding = true
	n.beginSync(ready.Entries)
	return ready
}

// Advance tells that a Ready is synced and its entries are handed to the state
// machine.
func (n *Node) Advance(ready Ready) {
	n.outstanding = false
	if n.halted != nil {
		return
	}
	n.log.advance(ready.Entries, ready.Snapshot)
	n.members.compact(n.log.firstIndex())
	if n.role == Leader {
		n.countSelf(n.log.persisted())
	}
	n.endSync()
}

func (n *Node) softState() SoftState {
	return SoftState{Leader: n.leader, Role: n.role}
}

// storableCommit is the commit index that may be stored: it never points past
// the stored log, so a restart can tell that synced entries are missing.
func (n *Node) storableCommit() uint64 {
	return max(n.stored.GetCommit(), n.log.applicable())
}

func (n *Node) voteChanged() bool {
	return n.term != n.stored.GetTerm() || n.vote != n.stored.GetVote()
}

func (n *Node) hardStateChanged() bool {
	return n.voteChanged() || n.storableCommit() != n.stored.GetCommit()
}

func (n *Node) takeHardState(ready *Ready) {
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil || n.voteChanged()
	if !n.hardStateChanged() {
		return
	}
	if n.voteChanged() {
		// A leader of a single voter has not stored its term yet.
		ready.Messages = append(ready.Messages, ready.MessagesBeforeSync...)
		ready.MessagesBeforeSync = nil
	}
	n.stored = &rockwindpb.HardState{Term: n.term, Vote: n.vote, Commit: n.storableCommit()}
	ready.HardState = &rockwindpb.HardState{Term: n.term, Vote: n.vote, Commit: n.stored.GetCommit()}
}

func (n *Node) takeCommitted(ready *Ready) {
	limit := n.log.applicable()
	if limit <= n.log.handed {
		return
	}
	entries, err := n.log.entries(n.log.handed+1, limit+1, n.config.MaxAppendBytes)
	if err != nil {
		_ = n.halt(err)
		return
	}
	ready.CommittedEntries = entries
	n.log.handed = entries[len(entries)-1].GetIndex()
}
