package raft

import "rockwind.example/rockwind/internal/rockwindpb"

// pendingRead is a read that waits until a quorum confirms the leader.
type pendingRead struct {
	context uint64
	// index is 0 until the leader has committed an entry of its term.
	index uint64
	// round is the heartbeat round made after the read was asked for; 0 before.
	round uint64
}

// ReadIndex asks for an index such that a state machine that has applied it
// holds all that was committed before the call. The answer comes as a ReadState
// with the same context, after a round of heartbeats to a quorum. It does not
// depend on clocks.
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
	n.leading.reads = append(n.leading.reads, read)
	return nil
}

// LeaseValid tells whether this replica leads and, counted in ticks, no other
// can lead: a quorum answered a heartbeat that was made less than LeaseTicks
// ago. The state machine may then serve reads once it has applied
// Status().Commit. Ticks stop while a process is frozen, so the caller must
// also check by a clock that LeaseRound is recent.
func (n *Node) LeaseValid() bool {
	if n.halted != nil || n.role != Leader || !n.committedInTerm() {
		return false
	}
	if n.leading.leaseRevoked && !n.faults.leaseDuringTransfer {
		return false
	}
	return n.leading.confirmedRound > 0 && n.ticks-n.leading.leaseStart < uint64(n.config.LeaseTicks)
}

// LeaseRound is the newest heartbeat round of this term that a quorum answered,
// 0 when there is none. Rounds are numbered upwards since NewNode. The caller notes the time of a monotonic clock before
// it takes a Ready with a new HeartbeatRound; the lease may be used only while
// less than LeaseTicks times the tick interval has passed since the time noted
// for LeaseRound. The clock must be read after the request arrived.
func (n *Node) LeaseRound() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.leading.confirmedRound
}

// committedInTerm tells whether an entry of the own term is committed. Before
// that a new leader may not know of all committed entries.
func (n *Node) committedInTerm() bool {
	return n.log.hasTerm(n.log.committed, n.term) || n.faults.readWithoutOwnCommit
}

func (n *Node) readsWaitForRound() bool {
	reads := n.leading.reads
	return len(reads) > 0 && reads[len(reads)-1].round == 0
}

// broadcastHeartbeat makes a heartbeat round.
func (n *Node) broadcastHeartbeat() {
	n.leading.heartbeatElapsed = 0
	n.round++
	n.leading.sentRounds = append(n.leading.sentRounds, sentRound{round: n.round, tick: n.ticks})
	for i := range n.leading.reads {
		if n.leading.reads[i].round == 0 {
			n.leading.reads[i].round = n.round
		}
	}
	for _, member := range n.members.current().GetMembers() {
		if member.GetId() == n.id {
			continue
		}
		n.sendEarly(&rockwindpb.Message{
			Kind:    rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
			To:      member.GetId(),
			Commit:  min(n.matchOf(member.GetId()), n.log.committed),
			Context: n.round,

			LeaderCommit: n.log.committed,
		})
	}
	n.leading.progress[n.id].ackedRound = n.round
	n.confirmRounds()
}

// confirmRounds moves the lease on to the newest round that a quorum answered.
func (n *Node) confirmRounds() {
	round := quorumValue(n.members.current(), func(id uint64) uint64 {
		return n.leading.progress[id].ackedRound
	})
	if round <= n.leading.confirmedRound {
		return
	}
	n.leading.confirmedRound = round
	sent := n.leading.sentRounds
	for len(sent) > 0 && sent[0].round < round {
		sent = sent[1:]
	}
	n.leading.sentRounds = sent
	n.leading.leaseStart = sent[0].tick
	if n.faults.leaseFromAnswer {
		n.leading.leaseStart = n.ticks
	}
	n.answerReads()
}

// answerReads hands out the reads whose round a quorum answered.
func (n *Node) answerReads() {
	if !n.committedInTerm() {
		return
	}
	kept := n.leading.reads[:0]
	for _, read := range n.leading.reads {
		if read.index == 0 {
			read.index = n.log.committed
		}
		if read.round != 0 && read.round <= n.leading.confirmedRound {
			n.readStates = append(n.readStates, ReadState{Context: read.context, Index: read.index})
			continue
		}
		kept = append(kept, read)
	}
	n.leading.reads = kept
}

// handleHeartbeat answers the leader's heartbeat.
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
	p.heartbeatAnswered(n.log.lastIndex(), n.config.MaxInflight)
	n.confirmRounds()
	return nil
}
