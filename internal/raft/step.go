package raft

import (
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Step handles a message from another replica. It fails with ErrBadMessage for a message
// that is malformed or addressed to another replica, which is then ignored, and with
// ErrInvariant for a message that contradicts committed entries, which halts the node.
func (n *Node) Step(message *rockwindpb.Message) error {
	if n.halted != nil {
		return n.halted
	}
	if message.GetTo() != n.id || message.GetFrom() == 0 || message.GetFrom() == n.id || message.GetTerm() == 0 {
		return errors.Wrapf(ErrBadMessage, "%s from %x to %x in term %d",
			message.GetKind(), message.GetFrom(), message.GetTo(), message.GetTerm())
	}
	switch {
	case message.GetTerm() > n.term:
		if !n.acceptNewerTerm(message) {
			return nil
		}
	case message.GetTerm() < n.term && !n.faults.acceptStaleTerm:
		n.replyToStaleTerm(message)
		return nil
	}
	return n.handle(message)
}

// acceptNewerTerm advances to the term of a message if the message proves that the term has
// started. It returns false if the message must be ignored.
func (n *Node) acceptNewerTerm(message *rockwindpb.Message) bool {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return message.GetTransfer() || !n.mustWithholdVote() || n.mayVoteDespiteLease(message)
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !message.GetReject() {
			return true
		}
	case rockwindpb.MessageKind_MESSAGE_KIND_VOTE:
		if !message.GetTransfer() && n.mustWithholdVote() && !n.mayVoteDespiteLease(message) {
			return false
		}
	}
	leader := uint64(0)
	if isLeaderMessage(message) {
		leader = message.GetFrom()
	}
	n.becomeFollower(message.GetTerm(), leader)
	return true
}

func isLeaderMessage(message *rockwindpb.Message) bool {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND,
		rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return true
	}
	return false
}

// replyToStaleTerm tells the sender of a message from an older term about the current term.
func (n *Node) replyToStaleTerm(message *rockwindpb.Message) {
	reply := &rockwindpb.Message{To: message.GetFrom(), Reject: true}
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		reply.Kind = rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	case rockwindpb.MessageKind_MESSAGE_KIND_VOTE:
		reply.Kind = rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND,
		rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		reply.Kind = rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	default:
		return
	}
	n.send(reply)
}

func (n *Node) handle(message *rockwindpb.Message) error {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return n.handlePreVote(message)
	case rockwindpb.MessageKind_MESSAGE_KIND_VOTE:
		return n.handleVote(message)
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return n.handleVoteReply(message, PreCandidate)
	case rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		return n.handleVoteReply(message, Candidate)
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND:
		return n.handleFromLeader(message, n.handleAppend)
	case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		return n.handleFromLeader(message, n.handleHeartbeat)
	case rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return n.handleFromLeader(message, n.handleSnapshot)
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		return n.handleFromMember(message, n.handleAppendReply)
	case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		return n.handleFromMember(message, n.handleHeartbeatReply)
	case rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		return n.handleTimeoutNow(message)
	}
	return errors.Wrapf(ErrBadMessage, "unknown message kind %d", message.GetKind())
}

// handleFromLeader handles a message from the leader of the current term.
func (n *Node) handleFromLeader(message *rockwindpb.Message, handle func(*rockwindpb.Message) error) error {
	if n.role == Leader {
		if n.faults.acceptStaleTerm {
			return nil
		}
		return n.halt(errors.Wrapf(ErrInvariant, "replica %x also claims to lead term %d", message.GetFrom(), n.term))
	}
	if n.role != Follower || n.leader != message.GetFrom() {
		n.becomeFollower(n.term, message.GetFrom())
	}
	n.electionElapsed = 0
	n.leaderElapsed = 0
	n.noLeaderSinceStart = false
	if n.leaderCommit == 0 {
		// A leader of an earlier version does not set LeaderCommit in heartbeats, so Commit is
		// used, and append messages carry it in Commit. A snapshot message has neither; a
		// heartbeat follows it.
		n.leaderCommit = max(message.GetLeaderCommit(), message.GetCommit())
	}
	n.leaderMessages++
	n.newestCommit = max(n.newestCommit, message.GetLeaderCommit())
	if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_APPEND {
		// The commit index of a heartbeat is limited to the log of its receiver.
		n.newestCommit = max(n.newestCommit, message.GetCommit())
	}
	return handle(message)
}

// handleFromMember handles a reply to the leader.
func (n *Node) handleFromMember(message *rockwindpb.Message, handle func(*progress, *rockwindpb.Message) error) error {
	if n.role != Leader {
		return nil
	}
	p := n.leaderState.progress[message.GetFrom()]
	if p == nil {
		return nil
	}
	p.lastHeard = n.ticks
	p.diskLost = false
	return handle(p, message)
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.term {
		n.term = term
		n.vote = 0
		n.leaderCommit, n.newestCommit = 0, 0
	}
	n.role = Follower
	n.leader = leader
	n.leaderState = nil
	n.votes = nil
	n.unanimousGrants, n.unanimous = nil, false
	n.resetElectionTimer()
}
