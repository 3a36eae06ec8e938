package raft

import (
	"cmp"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// A unanimous election replaces the wait after a restart. A restarted replica normally does
// not vote for an election timeout, because before the restart it may have acknowledged a
// heartbeat on which a leader's lease is based. If all voters have restarted, that leader is
// gone and the wait is unnecessary.
//
// A candidate with the votes of all voters is always safe: the holder of a lease is one of
// the voters, and it does not grant its vote, because it has led since its start and ignores
// the request. Once all votes are granted, no lease is valid (see spec/lease.pml). The
// membership must be known to be committed, because a leader that removes itself leads until
// its removal is committed.
//
// Only replicas that have neither led nor heard from a leader since their start take part, so
// that no leader is disrupted. Among them, the one with the most up-to-date log campaigns,
// and the highest ID breaks ties, which avoids split votes. If a voter is down or its log is
// not up to date, ordinary elections take place after their usual timeout.

// unanimousPreVoteTimeouts is the number of election timeouts after its start during which a
// replica requests a unanimous pre-vote with each tick. A replica that starts later sends
// its own request, which makes the one that takes precedence send one, too. After that, a
// group without a majority sends no more requests.
const unanimousPreVoteTimeouts = 2

// mayVoteDespiteLease reports whether a request may be granted although this replica may
// have acknowledged a leader's lease before its restart.
func (n *Node) mayVoteDespiteLease(message *rockwindpb.Message) bool {
	return message.GetUnanimous() && n.noLeaderSinceStart
}

// mayRequestUnanimousPreVote reports whether this replica may start a unanimous pre-vote.
func (n *Node) mayRequestUnanimousPreVote() bool {
	return n.noLeaderSinceStart && n.role == Follower && n.leader == 0 &&
		n.mayCampaign() && n.members.currentIndex() <= n.log.committed
}

// requestUnanimousPreVote asks all voters for a unanimous pre-vote, at most once per tick,
// because each request may trigger requests of others. It leaves the election timer
// unchanged, so that a majority election is not delayed.
func (n *Node) requestUnanimousPreVote() {
	if !n.mayRequestUnanimousPreVote() || n.ticks < n.nextUnanimousPreVote {
		return
	}
	n.nextUnanimousPreVote = n.ticks + 1
	n.unanimousGrants = map[uint64]bool{n.id: true}
	if n.unanimousPreVoteWon() {
		n.campaign(unanimousElection)
		return
	}
	n.requestVotes(&rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE, Term: n.term + 1, Unanimous: true, Context: n.startPoll(),
	})
}

// unanimousPreVoteWon reports whether all voters granted the unanimous pre-vote.
func (n *Node) unanimousPreVoteWon() bool {
	if n.faults.unanimousByMajority {
		return len(n.unanimousGrants) >= quorumOf(len(voters(n.members.current())))
	}
	for _, id := range voters(n.members.current()) {
		if !n.unanimousGrants[id] {
			return false
		}
	}
	return true
}

// handleUnanimousPreVoteReply counts a reply to the unanimous pre-vote.
func (n *Node) handleUnanimousPreVoteReply(message *rockwindpb.Message) {
	n.countConfirmation(message)
	if n.unanimousGrants == nil || !n.mayRequestUnanimousPreVote() || message.GetReject() || message.GetTerm() != n.term+1 {
		return
	}
	n.unanimousGrants[message.GetFrom()] = true
	if n.unanimousPreVoteWon() {
		n.campaign(unanimousElection)
	}
}

// takesPrecedence reports whether this replica rejects a unanimous pre-vote because it
// campaigns before the sender. It then sends a request of its own, since the sender is known
// to be up. A replica that is already a candidate may be elected at any moment and precedes
// everyone.
func (n *Node) takesPrecedence(message *rockwindpb.Message) bool {
	if n.role == Candidate {
		return true
	}
	if !n.mayRequestUnanimousPreVote() || !n.outranks(message) {
		return false
	}
	if !n.unanimousGrants[message.GetFrom()] {
		n.requestUnanimousPreVote()
	}
	return true
}

// outranks reports whether this log is more up to date than that of the candidate, or equally
// so and the ID of this replica is higher.
func (n *Node) outranks(message *rockwindpb.Message) bool {
	order, err := n.compareLog(message)
	return err == nil && cmp.Or(-order, cmp.Compare(n.id, message.GetFrom())) > 0
}
