package raft

import (
	"cmp"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Campaign starts an election now, unless this replica heard from a leader within the
// election timeout or may not lead.
func (n *Node) Campaign() {
	if n.halted == nil && n.role != Leader && !n.mustWithholdVote() && n.mayCampaign() {
		n.campaignPreVote()
	}
}

// mayCampaign reports whether this replica may become leader.
func (n *Node) mayCampaign() bool {
	return isVoter(n.members.current(), n.id) && !isWitness(n.members.current(), n.id) && n.log.snapshot == nil
}

// mustWithholdVote reports whether a leader may hold a lease that depends on this replica
// not voting for another candidate. A leader itself steps down only if it loses contact
// with a quorum.
func (n *Node) mustWithholdVote() bool {
	if n.faults.ignoreLeaderLease {
		return false
	}
	return n.role == Leader || n.leaderElapsed < n.config.ElectionTicks
}

func (n *Node) campaignPreVote() {
	n.becomeFollower(n.term, 0)
	n.role = PreCandidate
	n.votes = map[uint64]bool{n.id: true}
	if n.votesWon() {
		n.campaign(majorityElection)
		return
	}
	n.requestVotes(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE, Term: n.term + 1})
}

// electionKind defines which votes an election requires.
type electionKind int

const (
	// majorityElection requires the votes of a majority.
	majorityElection electionKind = iota
	// transferElection requires the votes of a majority, too. The previous leader gave up
	// its lease and ordered the election.
	transferElection
	// unanimousElection requires the votes of all voters.
	unanimousElection
)

// campaign starts an election in a new term.
func (n *Node) campaign(kind electionKind) {
	n.becomeFollower(n.term+1, 0)
	n.role = Candidate
	n.unanimous = kind == unanimousElection
	n.vote = n.id
	n.votes = map[uint64]bool{n.id: true}
	if n.votesWon() {
		n.becomeLeader()
		return
	}
	n.requestVotes(&rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE, Term: n.term, Transfer: kind == transferElection, Unanimous: kind == unanimousElection,
	})
}

// requestVotes sends a request to all other voters and adds the end of this log.
func (n *Node) requestVotes(request *rockwindpb.Message) {
	last := n.log.lastIndex()
	lastTerm, err := n.log.lastTerm()
	if err != nil {
		_ = n.halt(err)
		return
	}
	for _, id := range voters(n.members.current()) {
		if id == n.id {
			continue
		}
		n.send(&rockwindpb.Message{
			Kind: request.GetKind(), To: id, Term: request.GetTerm(), Index: last, LogTerm: lastTerm,
			Transfer: request.GetTransfer(), Unanimous: request.GetUnanimous(), Context: request.GetContext(),
		})
	}
}

// votesWon reports whether enough voters of this replica's own membership granted their
// votes: a majority, or all of them in a unanimous election. Others do not count.
func (n *Node) votesWon() bool {
	count := len(voters(n.members.current()))
	if n.unanimous && !n.faults.unanimousByMajority {
		return n.countVotes(true) == count
	}
	return n.countVotes(true) >= quorumOf(count)
}

func (n *Node) countVotes(granted bool) int {
	count := 0
	for _, id := range voters(n.members.current()) {
		if vote, voted := n.votes[id]; voted && vote == granted {
			count++
		}
	}
	return count
}

// upToDate reports whether the candidate's log is at least as up to date as this one.
func (n *Node) upToDate(message *rockwindpb.Message) (bool, error) {
	order, err := n.compareLog(message)
	return err == nil && order >= 0, err
}

// compareLog compares the end of the candidate's log with the end of this one. The result
// is negative if the candidate's log is less up to date, and zero if both end alike.
func (n *Node) compareLog(message *rockwindpb.Message) (int, error) {
	lastTerm, err := n.log.lastTerm()
	if err != nil {
		return 0, n.halt(err)
	}
	return cmp.Or(cmp.Compare(message.GetLogTerm(), lastTerm), cmp.Compare(message.GetIndex(), n.log.lastIndex())), nil
}

func (n *Node) handlePreVote(message *rockwindpb.Message) error {
	upToDate, err := n.upToDate(message)
	if err != nil {
		return err
	}
	reply := &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: message.GetFrom(), Unanimous: message.GetUnanimous(),
		RestartState: n.restartState(message),
	}
	if message.GetUnanimous() && n.takesPrecedence(message) {
		upToDate = false
		reply.Term = max(n.term, message.GetTerm()-1)
	}
	if message.GetTerm() > n.term && upToDate {
		reply.Term = message.GetTerm()
	} else {
		reply.Reject = true
	}
	n.send(reply)
	return nil
}

// handleVote grants the vote to the first candidate of the term whose log is up to date.
// A learner votes, too: the entry that promotes it may not have reached it yet, and the
// candidate only counts voters of its own membership.
func (n *Node) handleVote(message *rockwindpb.Message) error {
	upToDate, err := n.upToDate(message)
	if err != nil {
		return err
	}
	if !message.GetTransfer() && n.mustWithholdVote() && !n.mayVoteDespiteLease(message) {
		return nil
	}
	canVote := n.vote == message.GetFrom() || (n.vote == 0 && n.leader == 0)
	granted := canVote && upToDate && n.role != Leader
	if granted {
		n.vote = message.GetFrom()
		n.resetElectionTimer()
	}
	n.send(&rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: message.GetFrom(), Reject: !granted,
	})
	return nil
}

// handleVoteReply counts a reply in the election or pre-vote that belongs to role.
func (n *Node) handleVoteReply(message *rockwindpb.Message, role Role) error {
	if message.GetUnanimous() && role == PreCandidate {
		n.handleUnanimousPreVoteReply(message)
		return nil
	}
	if n.role != role {
		return nil
	}
	if role == PreCandidate && !message.GetReject() && message.GetTerm() != n.term+1 {
		return nil
	}
	if _, voted := n.votes[message.GetFrom()]; !voted {
		n.votes[message.GetFrom()] = !message.GetReject()
	}
	switch {
	case n.votesWon() && role == PreCandidate:
		n.campaign(majorityElection)
	case n.votesWon():
		n.becomeLeader()
	case n.votesLost():
		n.becomeFollower(n.term, 0)
	}
	return nil
}

// votesLost reports whether the election cannot be won anymore, because a majority
// rejected it, or a single voter in a unanimous election.
func (n *Node) votesLost() bool {
	if n.unanimous {
		return n.countVotes(false) > 0
	}
	return n.countVotes(false) >= quorumOf(len(voters(n.members.current())))
}

func (n *Node) handleTimeoutNow(message *rockwindpb.Message) error {
	if n.role == Follower && n.leader == message.GetFrom() && n.mayCampaign() {
		n.campaign(transferElection)
	}
	return nil
}
