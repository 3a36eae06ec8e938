package raft

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// confirmingClusterSize is the number of machines. A majority of five leaves out two machines, one of
	// three only one.
	confirmingClusterSize = 5
	// minConfirmedShare is the required share of simulations with a confirmed state.
	minConfirmedShare = 0.5
)

// TestConfirmedStates guards against confirmed states that lack a committed entry or hold one that
// is never committed, when all or most machines lose power at any moment and restart one after the
// other, over a network that loses and delays messages and is partitioned.
func TestConfirmedStates(t *testing.T) {
	for name, size := range map[string]int{"three machines": machineCount, "five machines": confirmingClusterSize} {
		t.Run(name, func(t *testing.T) {
			runs, confirmed := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				c := newClusterOf(size, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), clusterFaults{})
				choose := func(label string, count int) int { return rapid.IntRange(0, count-1).Draw(t, label) }
				if err := c.run(choose, powerEvents); err != nil {
					t.Fatal(err)
				}
				runs++
				if c.confirmations > 0 {
					confirmed++
				}
			})
			t.Logf("states are confirmed in %d of %d simulations", confirmed, runs)
			if float64(confirmed) < minConfirmedShare*float64(runs) {
				t.Errorf("states are confirmed in only %d of %d simulations", confirmed, runs)
			}
		})
	}
}

// TestConfirmationFaultsAreFound guards against a simulation that does not detect a replica that reports a
// confirmed state although it followed a leader, or one that counts replies to polls before its restart.
func TestConfirmationFaultsAreFound(t *testing.T) {
	const seeds = 4000
	for name, faults := range map[string]faultInjection{
		"confirm after leader": {confirmAfterLeader: true},
		"confirm old polls":    {confirmOldPolls: true},
	} {
		t.Run(name, func(t *testing.T) {
			seed, found := firstFailure(seeds, powerEvents, clusterFaults{core: faults})
			if found == nil {
				t.Fatalf("%d simulations did not detect the fault", seeds)
			}
			t.Logf("seed %d: %v", seed, found)
			if falsePositive := simulateSeed(seed, powerEvents, clusterFaults{}); falsePositive != nil {
				t.Fatalf("simulation fails without the fault: %v", falsePositive)
			}
		})
	}
}

// TestEntriesOfOlderTermsAreNotConfirmed guards against a confirmed state whose last entry is on a
// majority, but was copied there in a later term: a replica with an entry of a term in between may
// still be elected and replace it. Random simulations rarely reach this case.
func TestEntriesOfOlderTermsAreNotConfirmed(t *testing.T) {
	for _, faults := range []faultInjection{{}, {confirmInAnyTerm: true}} {
		c := newCluster(rand.New(rand.NewPCG(1, 1)), clusterFaults{core: faults})
		first := &rockwindpb.Entry{Term: 1, Index: 1}
		for position, stored := range []struct{ lastTerm, term uint64 }{{2, 4}, {2, 4}, {3, 3}} {
			c.machines[position].node = nil
			c.machines[position].disk.entries = []*rockwindpb.Entry{first, {Term: stored.lastTerm, Index: 2}}
			c.machines[position].disk.hardState = &rockwindpb.HardState{Term: stored.term, Commit: 1}
		}
		c.inFlight = nil
		err := c.guarded(func() {
			for _, m := range c.machines[:2] {
				c.start(m)
			}
			for range electionTicks / 2 {
				c.tick()
			}
			c.start(c.machines[2])
			for range 10 * electionTicks {
				c.tick()
			}
			c.checkConfirmedEntries()
		})
		if broken := err != nil; broken != faults.confirmInAnyTerm {
			t.Errorf("faults %+v: %v", faults, err)
		}
		if confirmed := c.confirmations > 0; confirmed != faults.confirmInAnyTerm {
			t.Errorf("faults %+v: %d confirmations", faults, c.confirmations)
		}
	}
}

// confirmable returns a restarted replica, a reply that confirms its state, and the other voters.
func confirmable(t *testing.T) (*Node, *rockwindpb.Message, []uint64) {
	t.Helper()
	n, others := restartedNode(t)
	lastTerm, err := n.log.lastTerm()
	if err != nil {
		t.Fatal(err)
	}
	return n, &rockwindpb.Message{
		Kind: rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: others[0], Term: n.term, Reject: true, Unanimous: true,
		RestartState: &rockwindpb.RestartState{Poll: n.poll, Term: n.term, LastIndex: n.log.lastIndex(), LastTerm: lastTerm},
	}, others
}

// TestOnlyEqualAnswersConfirm guards against a condition of a confirmation that is not checked: in each case
// one of them is not met. A reply of an earlier version, which has no restart state, must not count.
func TestOnlyEqualAnswersConfirm(t *testing.T) {
	for name, change := range map[string]func(n *Node, reply *rockwindpb.Message){
		"earlier version":           func(_ *Node, reply *rockwindpb.Message) { reply.RestartState = nil },
		"fields of the reply unset": func(_ *Node, reply *rockwindpb.Message) { reply.RestartState = &rockwindpb.RestartState{} },
		"before the restart":        func(n *Node, reply *rockwindpb.Message) { reply.RestartState.Poll = n.config.FirstPoll },
		"poll not sent yet":         func(_ *Node, reply *rockwindpb.Message) { reply.RestartState.Poll++ },
		"shorter log":               func(_ *Node, reply *rockwindpb.Message) { reply.RestartState.LastIndex-- },
		"longer log":                func(_ *Node, reply *rockwindpb.Message) { reply.RestartState.LastIndex++ },
		"other last term":           func(_ *Node, reply *rockwindpb.Message) { reply.RestartState.LastTerm-- },
		"later term of the voter":   func(_ *Node, reply *rockwindpb.Message) { reply.RestartState.Term++ },
		"earlier term of the voter": func(_ *Node, reply *rockwindpb.Message) { reply.RestartState.Term-- },
		"later term here":           func(n *Node, reply *rockwindpb.Message) { n.term++; reply.Term++ },
		"not a voter":               func(_ *Node, reply *rockwindpb.Message) { reply.From = 77 },
		"learner here":              func(n *Node, _ *rockwindpb.Message) { findMember(n.members.current(), n.id).Learner = true },
		"membership not committed":  func(n *Node, _ *rockwindpb.Message) { n.members.history[0].index = n.log.committed + 1 },
		"followed a leader":         func(n *Node, _ *rockwindpb.Message) { n.noLeaderSinceStart = false },
	} {
		t.Run(name, func(t *testing.T) {
			n, reply, _ := confirmable(t)
			// Each case has a cluster of its own, since a case may change the membership of all machines.
			change(n, reply)
			step(t, n, reply)
			if n.confirmedPoll != 0 || n.Status().ConfirmedPoll != 0 {
				t.Error("the state is confirmed")
			}
		})
	}
}

// TestConfirmationIsOfTheOldestPollOfTheMajority guards against a confirmed state that counts as newer than
// the oldest poll that the majority replied to, and against one that lasts after a message of a leader.
func TestConfirmationIsOfTheOldestPollOfTheMajority(t *testing.T) {
	n, reply, others := confirmable(t)
	answered := n.poll
	n.Tick()
	if n.poll == answered {
		t.Fatal("a tick starts no poll")
	}
	step(t, n, reply)
	status := n.Status()
	if status.ConfirmedPoll != answered || status.Commit != status.LastIndex || len(status.Confirmers) != 1 {
		t.Fatalf("poll %d is confirmed by %v at index %d of %d, want poll %d", status.ConfirmedPoll, status.Confirmers, status.Commit, status.LastIndex, answered)
	}
	if status.HearsLeader || status.LeaseValid || n.role != Follower {
		t.Errorf("a confirmation gives leadership: %+v", status)
	}
	step(t, n, &rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: others[0], Term: n.term + 1})
	if n.Status().ConfirmedPoll != 0 {
		t.Error("the state is still confirmed after a heartbeat of a leader")
	}
}

// TestConfirmationNeedsNoLastVoter guards against a majority that waits for the last machine or for the end
// of leases from before the restart, as elections do.
func TestConfirmationNeedsNoLastVoter(t *testing.T) {
	c := newClusterOf(confirmingClusterSize, rand.New(rand.NewPCG(7, 7)), clusterFaults{})
	for range 10 * electionTicks {
		c.tick()
	}
	if c.leader() == nil {
		t.Fatal("no leader before the restart")
	}
	for _, m := range c.machines {
		c.crash(m)
	}
	for _, m := range c.machines[:2] {
		c.start(m)
	}
	for range electionTicks / 2 {
		c.tick()
	}
	if c.confirmations != 0 {
		t.Fatal("two of five replicas confirm a state")
	}
	c.start(c.machines[2])
	const maxTicks = 3
	for range maxTicks {
		c.tick()
	}
	if c.confirmations != 3 {
		t.Errorf("%d of 3 replicas have a confirmed state %d ticks after the third one started", c.confirmations, maxTicks)
	}
	if c.leader() != nil {
		t.Error("a leader was elected before the leases from before the restart ended")
	}
}
