package raft

import (
	"cmp"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// An election that needs all voters waits for no promise. A replica that has restarted
// votes for nobody for an election timeout, since it may have promised so to a leader
// before its restart. Where all voters have restarted that leader is gone, and the wait
// buys nothing: measured, 0.3 to 0.6 s of each return after a loss of all power.
//
// A candidate that needs the votes of all voters is safe at any time. Whoever holds a
// lease is one of them, and grants no vote: it has led since its start, and ignores the
// request. Once all votes are granted, nobody holds one (spec/lease.pml). It takes a
// membership that is known to be committed, since a leader that removes itself leads until
// then.
//
// Only replicas that have neither led nor heard a leader since their start take part, so
// that no leader is disturbed. Among them the one whose log ends last stands, and the
// greatest identity decides among equals: votes are not split. Where a voter is down or
// not up to date, elections take their usual time.

// pollRounds is for how many election timeouts after its start a replica polls with each
// tick: processes that end together start within less. Whoever starts later polls itself, and
// makes the one that goes first do so. A group without a majority is quiet after that.
const pollRounds = 2

// mayWaivePromise tells whether a request may be granted although this replica may have
// promised its vote to a leader in an earlier life.
func (n *Node) mayWaivePromise(message *rockwindpb.Message) bool {
	return message.GetUnanimous() && n.restarted
}

// mayPoll tells whether this replica may ask all voters whether they would vote for it.
func (n *Node) mayPoll() bool {
	return n.restarted && n.role == Follower && n.leader == 0 &&
		n.mayCampaign() && n.members.currentIndex() <= n.log.committed
}

// poll asks all voters whether they would vote, at most once a tick: each poll may make others
// poll. The election timer goes on, so that an election that a majority wins is not put off.
func (n *Node) poll() {
	if !n.mayPoll() || n.ticks < n.nextPoll {
		return
	}
	n.nextPoll = n.ticks + 1
	n.polled = map[uint64]bool{n.id: true}
	if n.pollWon() {
		n.campaign(byAll)
		return
	}
	n.requestVotes(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE, Term: n.term + 1, Unanimous: true})
}

// pollWon tells whether all voters would vote for this replica.
func (n *Node) pollWon() bool {
	if n.faults.unanimousByMajority {
		return len(n.polled) >= quorumOf(len(voters(n.members.current())))
	}
	for _, id := range voters(n.members.current()) {
		if !n.polled[id] {
			return false
		}
	}
	return true
}

// handlePollReply counts a voter that would vote for this replica in the next term.
func (n *Node) handlePollReply(message *rockwindpb.Message) {
	if n.polled == nil || !n.mayPoll() || message.GetReject() || message.GetTerm() != n.term+1 {
		return
	}
	n.polled[message.GetFrom()] = true
	if n.pollWon() {
		n.campaign(byAll)
	}
}

// standsFirst tells whether this replica goes before a candidate that needs the votes of
// all. It asks for votes itself then: the other one has just shown that it is up. A candidate
// of either kind may lead in a moment, and goes before everyone.
func (n *Node) standsFirst(message *rockwindpb.Message) bool {
	if n.role == Candidate {
		return true
	}
	if !n.mayPoll() || !n.outranks(message) {
		return false
	}
	if !n.polled[message.GetFrom()] {
		n.poll()
	}
	return true
}

// outranks tells whether this log ends later than that of a candidate, or at the same
// place and this replica's identity is greater.
func (n *Node) outranks(message *rockwindpb.Message) bool {
	order, err := n.compareLog(message)
	return err == nil && cmp.Or(-order, cmp.Compare(n.id, message.GetFrom())) > 0
}
