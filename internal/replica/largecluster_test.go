package replica_test

import (
	"testing"
	"time"
)

// A large cluster, in which each machine holds replicas of only a few groups.
const (
	manyMachines = 20
	manyShards   = 20
)

// TestJoinCallsOfLargeClusterStaySmall checks that the join calls of a large cluster stay few and small
// while no group needs another member.
func TestJoinCallsOfLargeClusterStaySmall(t *testing.T) {
	runClusterWithShards(t, manyMachines, manyShards, admitNew, func(f *testCluster) {
		f.eventually("all groups have leaders", func() bool { return f.groupsWithLeader() == manyShards+1 })
		// Each machine asks all others once and learns their groups.
		time.Sleep(2 * time.Minute)
		f.network.resetJoins()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		calls, bytes := f.network.resetJoins()
		// The election timeout is one second in these tests.
		if most := manyMachines * seconds; calls > most {
			t.Errorf("%d calls to join in %d seconds, more than %d", calls, seconds, most)
		}
		if most := 64 * calls; bytes > most {
			t.Errorf("%d bytes answered to %d calls, more than %d", bytes, calls, most)
		}
	})
}

// TestLostMachineIsReplacedInAllItsGroups checks that a lost machine is replaced soon although spares ask
// one peer at a time.
func TestLostMachineIsReplacedInAllItsGroups(t *testing.T) {
	runClusterWithShards(t, manyMachines, manyShards, admitNew, func(f *testCluster) {
		f.eventually("all groups have leaders", func() bool { return f.groupsWithLeader() == manyShards+1 })
		time.Sleep(time.Minute)
		lost := f.machines[3]
		f.loseDisk(lost)
		began := time.Now()
		for group := range uint32(manyShards + 1) {
			f.eventually("the lost machine is replaced", func() bool {
				members := f.repairedVoters(group)
				return len(members) == 5 && includes(members, members[0], lost.name)
			})
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Errorf("it took %s to repair all groups", took)
		}
	})
}

// groupsWithLeader counts the groups that have a leader.
func (f *testCluster) groupsWithLeader() int {
	led := 0
	for group := range uint32(manyShards + 1) {
		if f.leaderNow(group) != nil {
			led++
		}
	}
	return led
}
