package raft

import (
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// hasLeaderMessages reports whether append messages or a heartbeat round are due.
func (n *Node) hasLeaderMessages() bool {
	if n.role != Leader {
		return false
	}
	if n.readsWaitForRound() {
		return true
	}
	for _, member := range n.members.current().GetMembers() {
		if member.GetId() != n.id && n.needsAppend(n.leaderState.progress[member.GetId()]) {
			return true
		}
	}
	return false
}

// queueLeaderMessages creates the append messages and heartbeats for a Ready. Creating
// them this late batches all proposals since the last Ready into one message per member.
func (n *Node) queueLeaderMessages() {
	if n.role != Leader {
		return
	}
	if n.readsWaitForRound() {
		n.broadcastHeartbeat()
	}
	for _, member := range n.members.current().GetMembers() {
		n.sendAppends(member.GetId())
	}
}

func (n *Node) sendAppends(id uint64) {
	if id == n.id {
		return
	}
	p := n.leaderState.progress[id]
	for n.halted == nil && n.needsAppend(p) {
		n.sendAppend(id, p)
	}
}

func (n *Node) needsAppend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.waiting
	case replicating:
		pending := p.next <= n.sendLimit(p) || p.sentCommit < n.log.committed || p.resend
		return pending && len(p.inflight) < n.config.MaxInflight
	}
	return false
}

// sendAppend sends the next entries to a member, or a snapshot if they were compacted.
func (n *Node) sendAppend(id uint64, p *progress) {
	entries, err := n.log.entries(p.next, n.sendLimit(p)+1, n.config.MaxAppendBytes)
	var previousTerm uint64
	if err == nil {
		previousTerm, err = n.log.term(p.next - 1)
	}
	if errors.Is(err, ErrCompacted) {
		n.sendSnapshot(id, p)
		return
	}
	if err != nil {
		_ = n.halt(err)
		return
	}
	if p.witness && !n.faults.contentToWitnesses {
		entries = withoutContent(entries)
	}
	n.sendBeforeSync(&rockwindpb.Message{
		Kind:    rockwindpb.MessageKind_MESSAGE_KIND_APPEND,
		To:      id,
		Index:   p.next - 1,
		LogTerm: previousTerm,
		Entries: entries,
		Commit:  n.log.committed,
	})
	p.resend = false
	p.sentCommit = n.log.committed
	if p.state == probing {
		p.waiting = true
		return
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].GetIndex() + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

// sendSnapshot asks the caller to transfer the newest snapshot to a member, if the member
// is active.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	p.becomeProbing()
	p.waiting = true
	if !n.active(p) {
		return
	}
	snapshot, err := n.config.Storage.Snapshot()
	if err != nil {
		_ = n.halt(errors.Wrap(err, "read the snapshot's metadata"))
		return
	}
	if snapshot.GetIndex() == 0 || (p.witness && snapshot.GetIndex() > n.sendLimit(p)) {
		return
	}
	if p.witness {
		snapshot = snapshotWithoutState(snapshot)
	}
	p.becomeInstalling(snapshot.GetIndex())
	n.send(&rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id, Snapshot: snapshot,
	})
}

// handleAppend processes entries from the leader.
func (n *Node) handleAppend(message *rockwindpb.Message) error {
	if message.GetIndex() < n.log.committed {
		n.acceptAppend(message, n.log.committed)
		return nil
	}
	if !n.log.hasTerm(message.GetIndex(), message.GetLogTerm()) {
		n.rejectAppend(message)
		return nil
	}
	entries := message.GetEntries()
	entries = entries[n.log.firstConflict(entries):]
	if isWitness(n.members.current(), n.id) && !n.faults.contentToWitnesses {
		// A leader of an earlier version would send content.
		entries = withoutContent(entries)
	}
	if len(entries) > 0 {
		if err := n.log.replace(entries); err != nil {
			return n.halt(err)
		}
		n.members.truncate(entries[0].GetIndex())
		if err := n.members.add(entries); err != nil {
			return n.halt(err)
		}
	}
	matched := message.GetIndex() + uint64(len(message.GetEntries()))
	n.log.committed = max(n.log.committed, min(message.GetCommit(), matched))
	n.acceptAppend(message, matched)
	return nil
}

// acceptAppend tells the leader that the log matches up to index. Like every message of a
// follower, it is sent after the sync.
func (n *Node) acceptAppend(message *rockwindpb.Message, index uint64) {
	reply := &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: message.GetFrom(), Index: index,
	}
	if n.faults.replyBeforeSync {
		n.sendBeforeSync(reply)
		return
	}
	n.send(reply)
}

func (n *Node) rejectAppend(message *rockwindpb.Message) {
	hint, term := n.log.conflictHint(min(message.GetIndex(), n.log.lastIndex()), message.GetLogTerm())
	n.send(&rockwindpb.Message{
		Kind:       rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:         message.GetFrom(),
		Index:      message.GetIndex(),
		Reject:     true,
		RejectHint: hint,
		LogTerm:    term,
	})
}

func (n *Node) handleAppendReply(p *progress, message *rockwindpb.Message) error {
	if message.GetReject() {
		hint := message.GetRejectHint()
		if message.GetLogTerm() > 0 {
			hint, _ = n.log.conflictHint(min(hint, n.log.lastIndex()), message.GetLogTerm())
		}
		p.recordReject(message.GetIndex(), hint)
		return nil
	}
	if message.GetIndex() > n.log.lastIndex() {
		return nil
	}
	if !p.recordAccept(message.GetIndex()) {
		return nil
	}
	n.advanceWitnessLimit()
	n.maybeCommit()
	if n.role == Leader && message.GetFrom() == n.leaderState.transferTarget && !n.leaderState.leaseRevoked {
		n.continueTransfer()
	}
	return nil
}

// handleSnapshot processes a snapshot whose data was already received.
func (n *Node) handleSnapshot(message *rockwindpb.Message) error {
	snapshot := message.GetSnapshot()
	switch {
	case snapshot.GetIndex() <= n.log.committed:
	case n.log.hasTerm(snapshot.GetIndex(), snapshot.GetTerm()):
		n.log.committed = snapshot.GetIndex()
	default:
		n.log.restore(snapshot)
		n.members = newMemberships(snapshot.GetIndex(), snapshot.GetMembership())
	}
	n.acceptAppend(message, n.log.committed)
	return nil
}
