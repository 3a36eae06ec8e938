package raft

import (
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Step handles a message from another replica. It fails with ErrBadMessage for
// a message that is not for this replica, which is then ignored, and with
// ErrInvariant when the message contradicts committed entries, which halts the
// node.
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
		n.answerStale(message)
		return nil
	}
	return n.handle(message)
}

// acceptNewerTerm moves to the term of a message, where it proves that the term
// has begun. It returns false when the message must be ignored.
func (n *Node) acceptNewerTerm(message *rockwindpb.Message) bool {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return message.GetTransfer() || !n.leaderPromised() || n.mayWaivePromise(message)
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !message.GetReject() {
			return true
		}
	case rockwindpb.MessageKind_MESSAGE_KIND_VOTE:
		if !message.GetTransfer() && n.leaderPromised() && !n.mayWaivePromise(message) {
			return false
		}
	}
	leader := uint64(0)
	if fromLeader(message) {
		leader = message.GetFrom()
	}
	n.becomeFollower(message.GetTerm(), leader)
	return true
}

func fromLeader(message *rockwindpb.Message) bool {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND,
		rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return true
	}
	return false
}

// answerStale tells the sender of a message from an older term about the term.
func (n *Node) answerStale(message *rockwindpb.Message) {
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
		return n.fromLeader(message, n.handleAppend)
	case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		return n.fromLeader(message, n.handleHeartbeat)
	case rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return n.fromLeader(message, n.handleSnapshot)
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		return n.fromMember(message, n.handleAppendReply)
	case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		return n.fromMember(message, n.handleHeartbeatReply)
	case rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		return n.handleTimeoutNow(message)
	}
	return errors.Wrapf(ErrBadMessage, "kind %d", message.GetKind())
}

// fromLeader handles a message of the leader of the term.
func (n *Node) fromLeader(message *rockwindpb.Message, handle func(*rockwindpb.Message) error) error {
	if n.role == Leader {
		if n.faults.acceptStaleTerm {
			return nil
		}
		return n.halt(errors.Wrapf(ErrInvariant, "replica %x leads term %d too", message.GetFrom(), n.term))
	}
	if n.role != Follower || n.leader != message.GetFrom() {
		n.becomeFollower(n.term, message.GetFrom())
	}
	n.electionElapsed = 0
	n.leaderElapsed = 0
	n.restarted = false
	if n.leaderCommit == 0 {
		// The commit of a heartbeat of an earlier version is as much as can be known, and
		// that of entries is all. A snapshot tells neither; a heartbeat follows.
		n.leaderCommit = max(message.GetLeaderCommit(), message.GetCommit())
	}
	return handle(message)
}

// fromMember handles a reply to the leader.
func (n *Node) fromMember(message *rockwindpb.Message, handle func(*progress, *rockwindpb.Message) error) error {
	if n.role != Leader {
		return nil
	}
	p := n.leading.progress[message.GetFrom()]
	if p == nil {
		return nil
	}
	p.heard = n.ticks
	return handle(p, message)
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.term {
		n.term = term
		n.vote = 0
		n.leaderCommit = 0
	}
	n.role = Follower
	n.leader = leader
	n.leading = nil
	n.granted = nil
	n.polled, n.unanimous = nil, false
	n.resetElectionTimer()
}
