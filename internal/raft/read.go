package raft

import "rockwind.example/rockwind/internal/rockwindpb"

// pendingRead is a read that waits until a quorum confirms the leader.
type pendingRead struct {
	context uint64
	// index is the index to read at; 0 until the leader has committed an entry of its
	// term.
	index uint64
	// round is the first heartbeat round after the read was requested; 0 before it starts.
	round uint64
}

// ReadIndex requests a read index: a state machine that has applied it reflects everything
// that was committed before the call. The result is a ReadState with the same context,
// returned after a quorum replied to a heartbeat round. It does not depend on clocks.
func (n *Node) ReadIndex(context uint64) error {
	if n.halted != nil {
		return n.halted
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	read := pendingRead{context: context}
	if n.committedInTerm() {
		read.index = n.log.committed
	}
	n.leaderState.reads = append(n.leaderState.reads, read)
	return nil
}

// LeaseValid reports whether this replica leads and, measured in ticks, no other replica
// can lead: a quorum replied to a heartbeat that was created less than LeaseTicks ago. The
// state machine may then serve reads once it has applied Status().Commit. Ticks stop while
// a process is suspended, so the caller must also check with a clock that LeaseRound is
// recent.
func (n *Node) LeaseValid() bool {
	if n.halted != nil || n.role != Leader || !n.committedInTerm() {
		return false
	}
	if n.leaderState.leaseRevoked && !n.faults.leaseDuringTransfer {
		return false
	}
	return n.leaderState.confirmedRound > 0 && n.ticks-n.leaderState.leaseStart < uint64(n.config.LeaseTicks)
}

// LeaseRound returns the newest heartbeat round of this term that a quorum replied to, or 0
// if there is none. Round numbers increase from NewNode on. The caller must read a
// monotonic clock before it takes a Ready with a new HeartbeatRound. The lease is usable
// only while less than LeaseTicks times the tick interval has passed since the time read
// for LeaseRound, with the current time read after the request arrived.
func (n *Node) LeaseRound() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.leaderState.confirmedRound
}

// committedInTerm reports whether an entry of the current term is committed. Until then a
// new leader may not know all committed entries.
func (n *Node) committedInTerm() bool {
	return n.log.hasTerm(n.log.committed, n.term) || n.faults.readWithoutOwnCommit
}

func (n *Node) readsWaitForRound() bool {
	reads := n.leaderState.reads
	return len(reads) > 0 && reads[len(reads)-1].round == 0
}

// broadcastHeartbeat starts a heartbeat round.
func (n *Node) broadcastHeartbeat() {
	n.leaderState.heartbeatElapsed = 0
	n.round++
	n.leaderState.sentRounds = append(n.leaderState.sentRounds, sentRound{round: n.round, tick: n.ticks})
	for i := range n.leaderState.reads {
		if n.leaderState.reads[i].round == 0 {
			n.leaderState.reads[i].round = n.round
		}
	}
	for _, member := range n.members.current().GetMembers() {
		if member.GetId() == n.id {
			continue
		}
		n.sendBeforeSync(&rockwindpb.Message{
			Kind:    rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
			To:      member.GetId(),
			Commit:  min(n.matchOf(member.GetId()), n.log.committed),
			Context: n.round,

			LeaderCommit: n.log.committed,
		})
	}
	n.leaderState.progress[n.id].ackedRound = n.round
	n.confirmRounds()
}

// confirmRounds extends the lease from the newest round that a quorum replied to.
func (n *Node) confirmRounds() {
	round := quorumValue(n.members.current(), func(id uint64) uint64 {
		return n.leaderState.progress[id].ackedRound
	})
	if round <= n.leaderState.confirmedRound {
		return
	}
	n.leaderState.confirmedRound = round
	sent := n.leaderState.sentRounds
	for len(sent) > 0 && sent[0].round < round {
		sent = sent[1:]
	}
	n.leaderState.sentRounds = sent
	n.leaderState.leaseStart = sent[0].tick
	if n.faults.leaseFromReply {
		n.leaderState.leaseStart = n.ticks
	}
	n.completeReads()
}

// completeReads returns the reads whose heartbeat round was confirmed by a quorum.
func (n *Node) completeReads() {
	if !n.committedInTerm() {
		return
	}
	kept := n.leaderState.reads[:0]
	for _, read := range n.leaderState.reads {
		if read.index == 0 {
			read.index = n.log.committed
		}
		if read.round != 0 && read.round <= n.leaderState.confirmedRound {
			n.readStates = append(n.readStates, ReadState{Context: read.context, Index: read.index})
			continue
		}
		kept = append(kept, read)
	}
	n.leaderState.reads = kept
}

// handleHeartbeat replies to a heartbeat of the leader.
func (n *Node) handleHeartbeat(message *rockwindpb.Message) error {
	n.log.committed = max(n.log.committed, min(message.GetCommit(), n.log.lastIndex()))
	n.send(&rockwindpb.Message{
		Kind:    rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY,
		To:      message.GetFrom(),
		Context: message.GetContext(),
	})
	return nil
}

func (n *Node) handleHeartbeatReply(p *progress, message *rockwindpb.Message) error {
	p.ackedRound = max(p.ackedRound, message.GetContext())
	p.recordHeartbeatReply(n.sendLimit(p), n.config.MaxInflight)
	n.confirmRounds()
	return nil
}
