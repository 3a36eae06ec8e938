package replica_test

import (
	"context"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
)

// TestRestartsKeepEverything checks that no acknowledged write is lost when machines crash one
// after another or all at once.
func TestRestartsKeepEverything(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		for count := 1; count <= 9; count++ {
			if got := f.add(1, "a"); got != count {
				t.Fatalf("increment %d gave %d", count, got)
			}
			m := f.machines[count%3]
			f.crash(m)
			f.start(m)
		}
		for _, m := range f.machines {
			f.crash(m)
		}
		for _, m := range f.machines {
			f.start(m)
		}
		if got := f.read(1, "a"); got != 9 {
			t.Fatalf("%d of 9 increments are left", got)
		}
	})
}

// TestPartitionedLeaderRejectsRequests checks that a partitioned leader rejects reads and proposals, and that
// it does not disturb the new leader when the partition ends.
func TestPartitionedLeaderRejectsRequests(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(0, "a")
		old := f.leader(0)
		for _, m := range f.machines {
			if m != old {
				f.links.CutBoth(m.name, old.name)
			}
		}
		proposed := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := old.group(0).Propose(ctx, encode(command{Key: "a", Value: 100}))
			proposed <- err
		}()
		f.eventually("another machine leads", func() bool {
			now := f.leaderNow(0)
			return now != nil && now != old
		})
		if _, leading := old.group(0).Leading(); leading {
			t.Fatal("the old leader still holds a lease beside the new one")
		}
		if err := <-proposed; !fault.Is(err, fault.OutcomeUnknown) {
			t.Fatalf("a proposal at the partitioned leader ended with %v", err)
		}
		if got := f.add(0, "a"); got != 2 {
			t.Fatalf("the second increment gave %d", got)
		}
		f.expectNotLeader(old)
		time.Sleep(time.Minute)
		current := f.leader(0)
		term, _ := current.group(0).Leading()
		f.links.Heal()
		f.eventually("the old leader follows", func() bool {
			return old.group(0).Status().GetLeader() == current.host.DiskID() && old.state(0).get("a") == 2
		})
		time.Sleep(time.Minute)
		if now, leading := current.group(0).Leading(); !leading || now != term {
			t.Fatalf("the returned machine forced an election: term %d became %d", term, now)
		}
	})
}

func (f *testCluster) expectNotLeader(m *machine) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := m.group(0).Read(ctx, func() {}); !fault.Is(err, fault.NotLeader) {
		f.t.Fatalf("a partitioned machine answered a read with %v", err)
	}
	if _, err := m.group(0).Propose(ctx, encode(command{Key: "a", Value: 1})); !fault.Is(err, fault.NotLeader) {
		f.t.Fatalf("a partitioned machine answered a proposal with %v", err)
	}
}

// TestFrozenLeaderServesNothingStale checks that a leader whose owner goroutine was blocked for
// longer than a lease does not serve stale reads.
func TestFrozenLeaderServesNothingStale(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(0, "a")
		old := f.leader(0)
		thaw := make(chan struct{})
		go func() { _ = old.group(0).ReadLocal(context.Background(), func() { <-thaw }) }()
		f.eventually("another machine leads", func() bool {
			now := f.leaderNow(0)
			return now != nil && now != old
		})
		if term, leads := old.group(0).Leading(); leads {
			t.Errorf("the frozen machine counts as the leader of term %d", term)
		}
		if got := f.add(0, "a"); got != 2 {
			t.Fatalf("the second increment gave %d", got)
		}
		value, ended := 0, make(chan error, 1)
		go func() {
			ended <- old.group(0).Read(context.Background(), func() { value = old.state(0).get("a") })
		}()
		time.Sleep(tick)
		close(thaw)
		if err := <-ended; err == nil && value != 2 {
			t.Fatalf("the leader served %d after it was blocked", value)
		}
	})
}

// TestLaggingReplicaCatchesUpBySnapshot partitions a machine until the others have compacted the
// entries that it lacks.
func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	adjust := func(o *replica.Options) {
		o.SnapshotEntries = 50
		o.SegmentBytes = 4096
	}
	runCluster(t, 3, adjust, func(f *testCluster) {
		f.add(1, "a")
		lagging := f.machines[0]
		for _, m := range f.machines[1:] {
			f.links.CutBoth(lagging.name, m.name)
		}
		f.eventually("another machine leads", func() bool {
			now := f.leaderNow(1)
			return now != nil && now != lagging
		})
		const increments = 3000
		for range increments {
			f.add(1, "a")
		}
		f.links.Heal()
		f.eventually("the lagging machine holds the state", func() bool {
			return lagging.state(1).get("a") == increments+1
		})
		f.crash(lagging)
		f.start(lagging)
		f.eventually("the restarted machine holds the state", func() bool {
			return lagging.state(1).get("a") == increments+1
		})
	})
}

// TestDrainTransfersLeadership checks that Drain transfers all leaderships and that the new leaders serve
// promptly.
func TestDrainTransfersLeadership(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		for group := range uint32(3) {
			f.add(group, "a")
		}
		leaving := f.leader(0)
		began := time.Now()
		if err := leaving.host.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		for group := range uint32(3) {
			if _, leading := leaving.group(group).Leading(); leading {
				t.Fatalf("group %d is still led by the machine that leaves", group)
			}
			if got := f.add(group, "a"); got != 2 {
				t.Fatalf("group %d counted %d", group, got)
			}
		}
		if took := time.Since(began); took > 10*tick {
			t.Fatalf("the leadership transfer took %v", took)
		}
	})
}

// TestLeadershipTransferIsPreparedWhileTheGroupTakesCommands checks that BeforeLeadershipTransfer can still
// propose commands, and that the next leader has them.
func TestLeadershipTransferIsPreparedWhileTheGroupTakesCommands(t *testing.T) {
	var leaving *machine
	var refused error
	prepared := 0
	adjust := func(options *replica.Options) {
		options.BeforeLeadershipTransfer = func(ctx context.Context, group uint32) {
			if group != 1 {
				return
			}
			prepared++
			_, refused = leaving.group(group).Propose(ctx, encode(command{Key: "last", Value: 1}))
		}
	}
	runCluster(t, 3, adjust, func(f *testCluster) {
		f.add(1, "a")
		leaving = f.leader(1)
		if err := leaving.host.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		if prepared == 0 || refused != nil {
			t.Fatalf("BeforeLeadershipTransfer ran %d times, its last command failed with %v", prepared, refused)
		}
		if got := f.read(1, "last"); got != prepared {
			t.Fatalf("the next leader holds %d of %d commands", got, prepared)
		}
	})
}

// TestLeadershipTransferWaitsNoLongerThanItsLimit checks that a transfer starts although
// BeforeLeadershipTransfer blocks.
func TestLeadershipTransferWaitsNoLongerThanItsLimit(t *testing.T) {
	var release chan struct{}
	adjust := func(options *replica.Options) {
		options.BeforeLeadershipTransfer = func(context.Context, uint32) { <-release }
	}
	runCluster(t, 3, adjust, func(f *testCluster) {
		release = make(chan struct{})
		f.add(1, "a")
		leaving := f.leader(1)
		began := time.Now()
		err := leaving.host.Drain(context.Background())
		took := time.Since(began)
		close(release)
		if err != nil {
			t.Fatal(err)
		}
		if took < 250*time.Millisecond || took > 250*time.Millisecond+10*tick {
			t.Fatalf("the leadership transfer took %v", took)
		}
	})
}
