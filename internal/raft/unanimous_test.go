package raft

import (
	"math/rand/v2"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// restartedCluster returns a cluster that had a leader and whose processes all restarted.
func restartedCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(rand.New(rand.NewPCG(7, 7)), clusterFaults{})
	for range 10 * electionTicks {
		c.tick()
	}
	if c.leader() == nil {
		t.Fatal("no leader before the restart")
	}
	c.restartAllExcept(nil)
	return c
}

// leader returns the machine that leads with a valid lease, or nil.
func (c *cluster) leader() *machine {
	for _, m := range c.machines {
		if m.node != nil && m.node.LeaseValid() {
			return m
		}
	}
	return nil
}

// TestRestartedGroupElectsWithoutWaiting guards against a needless wait for a lease after all
// processes restarted. A majority election would take at least electionTicks.
func TestRestartedGroupElectsWithoutWaiting(t *testing.T) {
	c := restartedCluster(t)
	const maxTicks = electionTicks / 2
	led := false
	for range maxTicks {
		c.tick()
		for _, m := range c.machines {
			led = led || m.node.Status().Role == Leader
		}
	}
	if !led {
		t.Fatalf("no leader %d ticks after all processes restarted; the election timeout is %d", maxTicks, electionTicks)
	}
}

// TestNoEarlyElectionWithUnreachableVoter restarts all processes and isolates one of them. It
// might hold a lease, so the others must wait before they elect a leader.
func TestNoEarlyElectionWithUnreachableVoter(t *testing.T) {
	c := restartedCluster(t)
	for other := range machineCount {
		c.cutLink(0, other, true)
	}
	for range electionTicks - 1 {
		c.tick()
		if c.leader() != nil {
			t.Fatalf("leader at tick %d without the votes of all voters", c.now)
		}
	}
	for range 4 * electionTicks {
		c.tick()
	}
	if c.leader() == nil {
		t.Fatal("no leader after the election timeout")
	}
}

// TestLeaderIsNotDisturbedByRestarts restarts all replicas except the leader, which must keep
// leading in the same term.
func TestLeaderIsNotDisturbedByRestarts(t *testing.T) {
	c := restartedCluster(t)
	for range 10 * electionTicks {
		c.tick()
	}
	leader := c.leader()
	term := leader.node.Status().Term
	c.restartAllExcept(leader)
	for range 10 * electionTicks {
		c.tick()
	}
	if status := leader.node.Status(); c.leader() != leader || status.Term != term {
		t.Fatalf("term %d became %d, or the leader changed", term, status.Term)
	}
}

// TestLateVoterCompletesTheElection starts a majority long after the first replica. The group
// must elect a leader without waiting for a majority election, and a lone replica must not keep
// sending requests.
func TestLateVoterCompletesTheElection(t *testing.T) {
	c := restartedCluster(t)
	late := c.machines[:2]
	for _, m := range late {
		c.crash(m)
	}
	for range 20 * electionTicks {
		c.tick()
	}
	if messages := len(c.inFlight); messages > 2 {
		t.Errorf("%d messages are in flight from a lone replica", messages)
	}
	for _, m := range late {
		c.start(m)
	}
	led := false
	for range electionTicks / 2 {
		c.tick()
		for _, m := range c.machines {
			led = led || m.node.Status().Role == Leader
		}
	}
	if !led {
		t.Fatalf("no leader %d ticks after the last start", electionTicks/2)
	}
}

// TestUnanimousCandidateStepsDownOnRejection checks that a single rejection ends a unanimous
// election, so that the candidate can grant unanimous pre-votes again.
func TestUnanimousCandidateStepsDownOnRejection(t *testing.T) {
	n, other := restartedNode(t)
	n.campaign(unanimousElection)
	if n.role != Candidate {
		t.Fatalf("role is %v, want candidate", n.role)
	}
	step(t, n, &rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: other[0], Term: n.term, Reject: true})
	if n.role != Follower {
		t.Errorf("role after a rejection is %v, want follower", n.role)
	}
}

// TestCandidateRejectsUnanimousPreVote guards against a candidate helping to start the next
// term when it is about to be elected.
func TestCandidateRejectsUnanimousPreVote(t *testing.T) {
	for name, stand := range map[string]func(n *Node){
		"ordinary":  func(n *Node) { n.campaign(majorityElection) },
		"unanimous": func(n *Node) { n.campaign(unanimousElection) },
	} {
		t.Run(name, func(t *testing.T) {
			n, other := restartedNode(t)
			stand(n)
			n.messages = nil
			stepUnanimousPreVote(t, n, other[0], n.log.lastIndex()+1)
			if len(n.messages) != 1 || !n.messages[0].GetReject() {
				t.Errorf("reply to a unanimous pre-vote is %v, want one rejection", n.messages)
			}
		})
	}
}

// TestUnanimousPreVoteOncePerTick checks that a replica that takes precedence replies to
// requests of others with its own request, but only once per tick.
func TestUnanimousPreVoteOncePerTick(t *testing.T) {
	n, other := restartedNode(t)
	for tick := range 3 {
		for _, id := range other {
			stepUnanimousPreVote(t, n, id, n.log.lastIndex()-1)
		}
		requests := 0
		for _, message := range n.messages {
			if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE && message.GetTo() == other[0] {
				requests++
			}
		}
		if requests != 1 {
			t.Errorf("%d requests in tick %d, want 1", requests, tick)
		}
		n.messages = nil
		n.Tick()
	}
}

// restartedNode returns a replica that has just restarted, and the IDs of the others.
func restartedNode(t *testing.T) (*Node, []uint64) {
	t.Helper()
	n := restartedCluster(t).machines[0].node
	if !n.mayRequestUnanimousPreVote() {
		t.Fatal("the replica may not request a unanimous pre-vote")
	}
	var others []uint64
	for _, id := range voters(n.members.current()) {
		if id != n.id {
			others = append(others, id)
		}
	}
	return n, others
}

// stepUnanimousPreVote steps a unanimous pre-vote request of a replica whose log ends at index.
func stepUnanimousPreVote(t *testing.T, n *Node, from, index uint64) {
	t.Helper()
	lastTerm, err := n.log.lastTerm()
	if err != nil {
		t.Fatal(err)
	}
	step(t, n, &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE, From: from, Term: n.term + 1, LogTerm: lastTerm, Index: index, Unanimous: true,
	})
}

func step(t *testing.T, n *Node, message *rockwindpb.Message) {
	t.Helper()
	message.To = n.id
	if err := n.Step(message); err != nil {
		t.Fatal(err)
	}
}

// TestLeaderCommitIsFixedPerTerm checks that the index that a replica must apply to be up to
// date does not move with each heartbeat, and is set again in the next term.
func TestLeaderCommitIsFixedPerTerm(t *testing.T) {
	n, other := restartedNode(t)
	held := n.log.committed
	heartbeat := func(term, commit, leaderCommit, want uint64) {
		t.Helper()
		step(t, n, &rockwindpb.Message{
			Kind: rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: other[0], Term: term, Commit: commit, LeaderCommit: leaderCommit,
		})
		if got := n.Status().LeaderCommit; got != want {
			t.Errorf("in term %d, after commits %d and %d, LeaderCommit is %d, want %d", term, commit, leaderCommit, got, want)
		}
	}
	if got := n.Status().LeaderCommit; got != 0 {
		t.Errorf("LeaderCommit is %d before the replica heard from a leader", got)
	}
	term := n.term
	heartbeat(term, held, held+5, held+5)
	heartbeat(term, held, held+9, held+5)
	heartbeat(term+1, held, held+7, held+7)
	// A leader of an earlier version does not set LeaderCommit.
	heartbeat(term+2, held, 0, held)
}
