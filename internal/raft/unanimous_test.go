package raft

import (
	"math/rand/v2"
	"testing"
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
