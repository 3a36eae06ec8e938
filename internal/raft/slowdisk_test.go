package raft

import (
	"math/rand/v2"
	"testing"
)

// TestLeaderWithSlowDiskTransfersLeadership checks that a leader whose syncs take much longer
// than those of the others transfers leadership in time, and that it stays leader if another
// replica would not be faster.
func TestLeaderWithSlowDiskTransfersLeadership(t *testing.T) {
	const (
		// limit is the maximum number of ticks until the transfer: four slow syncs of the slowest
		// leader, and two more ticks for each.
		limit = 45
		// writeTicks is the interval between writes. It is long enough for the writes during a
		// sync to fit into one message: several would be reordered and sent again.
		writeTicks = 4
	)
	for name, test := range map[string]struct {
		leader uint64
		others [2]uint64
		stays  bool
	}{
		"leader slow":               {leader: 7},
		"leader slow, others some":  {leader: 8, others: [2]uint64{1, 1}},
		"leader somewhat slow":      {leader: 2, stays: true},
		"all slow":                  {leader: 6, others: [2]uint64{6, 6}, stays: true},
		"all slow, the leader most": {leader: 6, others: [2]uint64{3, 3}, stays: true},
		"a majority slow":           {leader: 6, others: [2]uint64{6, 0}, stays: true},
		"both followers slow":       {others: [2]uint64{6, 6}, stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := newCluster(rand.New(rand.NewPCG(seed, 1)), clusterFaults{})
				first := c.waitForLeader()
				follower := 0
				for _, m := range c.machines {
					if m == first {
						m.syncTicks = test.leader
						continue
					}
					m.syncTicks = test.others[follower]
					follower++
				}
				start := c.now
				for c.now < start+3*limit && first.node.Status().Role == Leader {
					c.tick()
					if c.now%writeTicks == 0 {
						c.submitRequests()
					}
				}
				if stayed := first.node.Status().Role == Leader; stayed != test.stays {
					t.Fatalf("seed %d: the leader stays %v, want %v", seed, stayed, test.stays)
				}
				if took := c.now - start; !test.stays && took > limit {
					t.Errorf("seed %d: the leader transfers leadership after %d ticks", seed, took)
				}
			}
		})
	}
}

// waitForLeader ticks until a machine leads with a valid lease.
func (c *cluster) waitForLeader() *machine {
	for range 100 * electionTicks {
		c.tick()
		for _, m := range c.machines {
			if m.node != nil && m.node.Status().LeaseValid {
				return m
			}
		}
	}
	c.failf("no leader with a valid lease")
	return nil
}
