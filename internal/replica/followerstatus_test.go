package replica_test

import (
	"testing"
	"time"
)

// TestFollowerKnowsItsContact guards against a follower that can't detect that it lags or that its leader is
// silent: reads of results rely on the count of messages and on the newest commit index.
func TestFollowerKnowsItsContact(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(1, "a")
		leader := f.leader(1)
		var follower *machine
		for _, m := range f.machines {
			if m != leader {
				follower = m
			}
		}
		current := func() bool {
			status, at := follower.group(1).Status(), leader.group(1).Status()
			return status.GetApplied() == at.GetApplied() && status.GetNewestCommit() == at.GetCommit() && status.GetAppliedTerm() == status.GetTerm()
		}
		f.eventually("the follower knows what is committed", current)
		messages := func() uint64 { return follower.group(1).Status().GetLeaderMessages() }
		before := messages()
		time.Sleep(time.Second)
		if got := messages(); got < before+5 {
			t.Errorf("%d messages of the leader in a second", got-before)
		}
		for _, m := range f.machines {
			if m != follower {
				f.links.CutBoth(m.name, follower.name)
			}
		}
		time.Sleep(time.Second)
		before = messages()
		f.add(1, "a")
		time.Sleep(time.Second)
		if got := messages(); got != before {
			t.Errorf("%d messages of the leader during a partition", got-before)
		}
		f.links.Heal()
		f.eventually("the follower catches up", func() bool {
			return messages() > before && follower.group(1).Status().GetApplied() == f.leader(1).group(1).Status().GetApplied()
		})
	})
}
