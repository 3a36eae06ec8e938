package raft

import (
	"math/rand/v2"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// restarted returns a cluster that had a leader and whose processes all started again.
func restarted(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(rand.New(rand.NewPCG(7, 7)), brokenBy{})
	for range 10 * electionTicks {
		c.pass()
	}
	if c.leader() == nil {
		t.Fatal("no leader before the restart")
	}
	c.restartBut(nil)
	return c
}

// leader is the machine that leads with a lease, nil where none does.
func (c *cluster) leader() *machine {
	for _, m := range c.machines {
		if m.node != nil && m.node.LeaseValid() {
			return m
		}
	}
	return nil
}

// TestRestartedGroupElectsAtOnce restarts all processes: nobody waits for a promise to a
// leader that is gone. Without the election that needs all votes it takes at least
// electionTicks.
func TestRestartedGroupElectsAtOnce(t *testing.T) {
	c := restarted(t)
	const most = electionTicks / 2
	led := false
	for range most {
		c.pass()
		for _, m := range c.machines {
			led = led || m.node.Status().Role == Leader
		}
	}
	if !led {
		t.Fatalf("no leader %d ticks after all processes started again; a promise lasts %d", most, electionTicks)
	}
}

// TestPromiseIsKeptWhileAVoterIsAway restarts all processes, one of which hears nobody: it
// may hold a lease for all that the others know, who wait for their promises.
func TestPromiseIsKeptWhileAVoterIsAway(t *testing.T) {
	c := restarted(t)
	for other := range machineCount {
		c.cutLink(0, other, true)
	}
	for range electionTicks - 1 {
		c.pass()
		if c.leader() != nil {
			t.Fatalf("a leader %d ticks after the start, without the vote of all", c.now)
		}
	}
	for range 4 * electionTicks {
		c.pass()
	}
	if c.leader() == nil {
		t.Fatal("no leader after the promises had ended")
	}
}

// TestLeaderIsNotDisturbedByRestarts restarts all but the leader: they come back to it, in
// its term.
func TestLeaderIsNotDisturbedByRestarts(t *testing.T) {
	c := restarted(t)
	for range 10 * electionTicks {
		c.pass()
	}
	leader := c.leader()
	term := leader.node.Status().Term
	c.restartBut(leader)
	for range 10 * electionTicks {
		c.pass()
	}
	if status := leader.node.Status(); c.leader() != leader || status.Term != term {
		t.Fatalf("term %d became %d, or the leader changed", term, status.Term)
	}
}

// TestLateVoterCompletesTheElection starts one machine long after the others, which have no
// majority without it: the group has a leader as soon as it would have at once.
func TestLateVoterCompletesTheElection(t *testing.T) {
	c := restarted(t)
	late := c.machines[:2]
	for _, m := range late {
		c.crash(m)
	}
	for range 20 * electionTicks {
		c.pass()
	}
	if polls := len(c.flights); polls > 2 {
		t.Errorf("%d messages are under way from a replica that is alone", polls)
	}
	for _, m := range late {
		c.start(m)
	}
	led := false
	for range electionTicks / 2 {
		c.pass()
		for _, m := range c.machines {
			led = led || m.node.Status().Role == Leader
		}
	}
	if !led {
		t.Fatalf("no leader %d ticks after the last start", electionTicks/2)
	}
}

// TestUnanimousCandidateStepsDownAtARejection: an election that needs all votes is lost with
// one rejection. Its candidate answers polls again at once.
func TestUnanimousCandidateStepsDownAtARejection(t *testing.T) {
	n, other := polling(t)
	n.campaign(byAll)
	if n.role != Candidate {
		t.Fatalf("it is %v", n.role)
	}
	step(t, n, &rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: other[0], Term: n.term, Reject: true})
	if n.role != Follower {
		t.Errorf("after a rejection it is %v", n.role)
	}
}

// TestCandidateGrantsNoPoll: a candidate may lead in a moment, and a poll that it granted would
// start the next term against it.
func TestCandidateGrantsNoPoll(t *testing.T) {
	for name, stand := range map[string]func(n *Node){
		"ordinary":  func(n *Node) { n.campaign(byMajority) },
		"unanimous": func(n *Node) { n.campaign(byAll) },
	} {
		t.Run(name, func(t *testing.T) {
			n, other := polling(t)
			stand(n)
			n.messages = nil
			poll(t, n, other[0], n.log.lastIndex()+1)
			if len(n.messages) != 1 || !n.messages[0].GetReject() {
				t.Errorf("it answers a poll with %v", n.messages)
			}
		})
	}
}

// TestReplicaPollsOnceATick: whoever goes first polls when a poll shows that another replica
// is up, but not for each of them.
func TestReplicaPollsOnceATick(t *testing.T) {
	n, other := polling(t)
	for tick := range 3 {
		for _, id := range other {
			poll(t, n, id, n.log.lastIndex()-1)
		}
		polls := 0
		for _, message := range n.messages {
			if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE && message.GetTo() == other[0] {
				polls++
			}
		}
		if polls != 1 {
			t.Errorf("%d polls in tick %d", polls, tick)
		}
		n.messages = nil
		n.Tick()
	}
}

// polling returns a replica that has just started again, and the identities of the others.
func polling(t *testing.T) (*Node, []uint64) {
	t.Helper()
	n := restarted(t).machines[0].node
	if !n.mayPoll() {
		t.Fatal("it may not poll")
	}
	var others []uint64
	for _, id := range voters(n.members.current()) {
		if id != n.id {
			others = append(others, id)
		}
	}
	return n, others
}

// poll has a replica polled by one whose log ends at the given index.
func poll(t *testing.T, n *Node, from, index uint64) {
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

// TestFirstCommitOfALeaderIsKept: what a replica must hold before it is up to date does not
// move on with each heartbeat, and is another one in the next term.
func TestFirstCommitOfALeaderIsKept(t *testing.T) {
	n, other := polling(t)
	held := n.log.committed
	heartbeat := func(term, commit, leaderCommit, want uint64) {
		t.Helper()
		step(t, n, &rockwindpb.Message{
			Kind: rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: other[0], Term: term, Commit: commit, LeaderCommit: leaderCommit,
		})
		if got := n.Status().LeaderCommit; got != want {
			t.Errorf("in term %d, after commits %d and %d, it is %d in place of %d", term, commit, leaderCommit, got, want)
		}
	}
	if got := n.Status().LeaderCommit; got != 0 {
		t.Errorf("before a leader is heard it is %d", got)
	}
	term := n.term
	heartbeat(term, held, held+5, held+5)
	heartbeat(term, held, held+9, held+5)
	heartbeat(term+1, held, held+7, held+7)
	// A leader of an earlier version does not tell.
	heartbeat(term+2, held, 0, held)
}
