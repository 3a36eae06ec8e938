package raft

import (
	"cmp"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Campaign starts an election now, unless a leader was heard within the
// election timeout or this replica may not lead.
func (n *Node) Campaign() {
	if n.halted == nil && n.role != Leader && !n.leaderPromised() && n.mayCampaign() {
		n.campaignPreVote()
	}
}

// mayCampaign tells whether this replica may become leader.
func (n *Node) mayCampaign() bool {
	return isVoter(n.members.current(), n.id) && n.log.snapshot == nil
}

// leaderPromised tells whether a leader may hold a lease that rests on this
// replica. A leader itself gives way only through check-quorum.
func (n *Node) leaderPromised() bool {
	if n.faults.forgetLeaderPromise {
		return false
	}
	return n.role == Leader || n.leaderElapsed < n.config.ElectionTicks
}

func (n *Node) campaignPreVote() {
	n.becomeFollower(n.term, 0)
	n.role = PreCandidate
	n.granted = map[uint64]bool{n.id: true}
	if n.votesWon() {
		n.campaign(byMajority)
		return
	}
	n.requestVotes(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE, Term: n.term + 1})
}

// election is what an election rests on.
type election int

const (
	// byMajority is won by the votes of a majority.
	byMajority election = iota
	// byTransfer is the same, ordered by the leader, who gave up its lease before.
	byTransfer
	// byAll is won by the votes of all voters only.
	byAll
)

// campaign starts a new term.
func (n *Node) campaign(kind election) {
	n.becomeFollower(n.term+1, 0)
	n.role = Candidate
	n.unanimous = kind == byAll
	n.vote = n.id
	n.granted = map[uint64]bool{n.id: true}
	if n.votesWon() {
		n.becomeLeader()
		return
	}
	n.requestVotes(&rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE, Term: n.term, Transfer: kind == byTransfer, Unanimous: kind == byAll,
	})
}

// requestVotes sends a request to each other voter, with where this log ends.
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
			Transfer: request.GetTransfer(), Unanimous: request.GetUnanimous(),
		})
	}
}

// votesWon tells whether enough voters of this replica's own membership granted their
// votes: a majority, or all in an election that needs all. Answers of others do not count.
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
		if answer, answered := n.granted[id]; answered && answer == granted {
			count++
		}
	}
	return count
}

// upToDate tells whether a candidate's log holds at least what this one holds.
func (n *Node) upToDate(message *rockwindpb.Message) (bool, error) {
	order, err := n.compareLog(message)
	return err == nil && order >= 0, err
}

// compareLog tells where a candidate's log ends beside this one: it is negative where that is
// earlier, zero at the same place and positive where it is later.
func (n *Node) compareLog(message *rockwindpb.Message) (int, error) {
	lastTerm, err := n.log.lastTerm()
	if err != nil {
		return 0, n.halt(err)
	}
	return cmp.Or(cmp.Compare(message.GetLogTerm(), lastTerm), cmp.Compare(message.GetIndex(), n.log.lastIndex())), nil
}

func (n *Node) handlePreVote(message *rockwindpb.Message) error {
	current, err := n.upToDate(message)
	if err != nil {
		return err
	}
	reply := &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: message.GetFrom(), Unanimous: message.GetUnanimous(),
	}
	if message.GetUnanimous() && n.standsFirst(message) {
		current = false
		reply.Term = max(n.term, message.GetTerm()-1)
	}
	if message.GetTerm() > n.term && current {
		reply.Term = message.GetTerm()
	} else {
		reply.Reject = true
	}
	n.send(reply)
	return nil
}

// handleVote votes for the first candidate of the term whose log is up to date.
// A learner answers too: it may have been promoted by an entry that it lacks,
// and the candidate counts only the voters of its own membership.
func (n *Node) handleVote(message *rockwindpb.Message) error {
	current, err := n.upToDate(message)
	if err != nil {
		return err
	}
	if !message.GetTransfer() && n.leaderPromised() && !n.mayWaivePromise(message) {
		return nil
	}
	free := n.vote == message.GetFrom() || (n.vote == 0 && n.leader == 0)
	granted := free && current && n.role != Leader
	if granted {
		n.vote = message.GetFrom()
		n.resetElectionTimer()
	}
	n.send(&rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: message.GetFrom(), Reject: !granted,
	})
	return nil
}

// handleVoteReply counts an answer to the election that is going on in role.
func (n *Node) handleVoteReply(message *rockwindpb.Message, role Role) error {
	if message.GetUnanimous() && role == PreCandidate {
		n.handlePollReply(message)
		return nil
	}
	if n.role != role {
		return nil
	}
	if role == PreCandidate && !message.GetReject() && message.GetTerm() != n.term+1 {
		return nil
	}
	if _, answered := n.granted[message.GetFrom()]; !answered {
		n.granted[message.GetFrom()] = !message.GetReject()
	}
	switch {
	case n.votesWon() && role == PreCandidate:
		n.campaign(byMajority)
	case n.votesWon():
		n.becomeLeader()
	case n.votesLost():
		n.becomeFollower(n.term, 0)
	}
	return nil
}

// votesLost tells whether the election can't be won any more: by the rejection of a majority,
// or of one voter where all votes are needed.
func (n *Node) votesLost() bool {
	if n.unanimous {
		return n.countVotes(false) > 0
	}
	return n.countVotes(false) >= quorumOf(len(voters(n.members.current())))
}

func (n *Node) handleTimeoutNow(message *rockwindpb.Message) error {
	if n.role == Follower && n.leader == message.GetFrom() && n.mayCampaign() {
		n.campaign(byTransfer)
	}
	return nil
}
