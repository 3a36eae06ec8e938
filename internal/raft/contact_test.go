package raft

import (
	"math/rand/v2"
	"testing"
)

// newLedCluster returns a cluster with a leader that holds a lease.
func newLedCluster(t *testing.T, seed uint64) (*cluster, *machine) {
	t.Helper()
	c := newCluster(rand.New(rand.NewPCG(seed, 0)), clusterFaults{})
	for range 10 * electionTicks {
		c.tick()
		for _, m := range c.machines {
			if c.holdsLease(m) {
				return c, m
			}
		}
	}
	t.Fatal("no replica leads")
	return nil, nil
}

// TestLeadershipOutlastsStalledFollowers guards against an election after each stall that is a little longer than an
// election timeout: the processes of a busy machine don't run for 200 to 400 ms at a time, and the leaders of many
// groups gave up their terms together, again and again.
func TestLeadershipOutlastsStalledFollowers(t *testing.T) {
	for seed := range uint64(20) {
		c, leader := newLedCluster(t, seed)
		term := leader.node.Status().Term
		for range 5 {
			for _, m := range c.machines {
				if m != leader {
					m.suspendedUntil = c.now + electionTicks*3/2
				}
			}
			for range electionTicks * 3 {
				c.tick()
			}
			if status := leader.node.Status(); status.Role != Leader || status.Term != term || !c.holdsLease(leader) {
				t.Fatalf("seed %d: after a stall replica %d is %s in term %d instead of %d, lease valid: %v",
					seed, status.ID, status.Role, status.Term, term, status.LeaseValid)
			}
		}
	}
}

// TestLeaderWithoutQuorumStepsDown guards against a leader that keeps its term, and the commands of its callers, although
// all other voters are unreachable, and against a lease that lasts until then.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	c, leader := newLedCluster(t, 1)
	for _, m := range c.machines {
		if m != leader {
			c.cutLink(leader.number, m.number, true)
		}
	}
	// The last reply may have arrived in the tick before the cut.
	for tick := 1; tick <= contactTimeouts*electionTicks; tick++ {
		c.tick()
		if tick >= leaseTicks && c.holdsLease(leader) {
			t.Errorf("the leader still has a lease %d ticks after the cut", tick)
		}
	}
	if status := leader.node.Status(); status.Role == Leader {
		t.Errorf("replica %d leads term %d without a quorum", status.ID, status.Term)
	}
}
