package replica_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// fullyRepaired reports whether every group has exactly one voter per machine, with the machine's
// current disk, and all voters have applied what is committed.
func (f *testCluster) fullyRepaired() bool {
	for group := range uint32(3) {
		leader := f.leaderNow(group)
		if leader == nil {
			return false
		}
		status := leader.group(group).Status()
		members := status.GetMembership().GetMembers()
		if len(members) != len(f.machines) || !status.GetRepaired() {
			return false
		}
		for _, m := range f.machines {
			host, replicated := m.running(), m.group(group)
			if host == nil || replicated == nil || !isVoter(members, host.DiskID()) {
				return false
			}
			if replicated.Status().GetApplied() < status.GetCommit() {
				return false
			}
		}
	}
	return true
}

func isVoter(members []*rockwindpb.Member, id uint64) bool {
	for _, member := range members {
		if member.GetId() == id {
			return !member.GetLearner()
		}
	}
	return false
}

// TestEveryDiskIsLostInTurn replaces the disk of each machine in turn, and checks that no
// acknowledged write is lost although none of the original disks is left.
func TestEveryDiskIsLostInTurn(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d machines", size), func(t *testing.T) {
			adjust := func(o *replica.Options) { o.SnapshotEntries = 20 }
			runCluster(t, size, adjust, func(f *testCluster) {
				for range 50 {
					f.add(1, "a")
				}
				f.add(0, "b")
				for _, m := range f.machines {
					before := m.host.DiskID()
					f.loseDisk(m)
					f.start(m)
					if m.host.DiskID() == before {
						t.Fatal("a new disk has the identity of the old one")
					}
					if len(m.host.Groups()) != 0 {
						t.Fatal("a machine with a new disk runs groups before it has joined")
					}
					f.eventually("the lost disk is replaced", f.fullyRepaired)
				}
				if a, b := f.read(1, "a"), f.read(0, "b"); a != 50 || b != 1 {
					t.Fatalf("50 and 1 increments were acknowledged, %d and %d are left", a, b)
				}
			})
		})
	}
}

// TestMinorityOfNewDisksDecidesNothing erases two of three disks at once. No majority has the
// acknowledged write any more, so the group must serve nothing, least of all an empty state.
func TestMinorityOfNewDisksDecidesNothing(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(1, "a")
		survivor := f.machines[2]
		f.eventually("the survivor holds the write", func() bool { return survivor.state(1).get("a") == 1 })
		for _, m := range f.machines[:2] {
			f.loseDisk(m)
			f.start(m)
		}
		time.Sleep(time.Minute)
		if m := f.leaderNow(1); m != nil {
			t.Fatalf("%s leads without a majority", m.name)
		}
		f.found(2)
		time.Sleep(time.Minute)
		if m := f.leaderNow(1); m != nil {
			t.Fatalf("%s leads after a second founding", m.name)
		}
	})
}

// TestSecondProcessOfOneNameIsRefused checks that a process with a new disk cannot join under the
// name of an active machine. That machine must not lead: only leaders admit machines, and a
// process does not ask its own name.
func TestSecondProcessOfOneNameIsRefused(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(1, "a")
		original := f.machines[0]
		if original == f.leader(1) {
			original = f.machines[1]
		}
		duplicate := &machine{name: original.name, disk: faultfs.New()}
		f.start(duplicate)
		f.network.mount(original.name, replica.NewServer(original.host))
		time.Sleep(time.Minute)
		members := f.leader(1).group(1).Status().GetMembership().GetMembers()
		if len(members) != 3 || !isVoter(members, original.host.DiskID()) {
			t.Fatalf("the members are %v", members)
		}
		duplicate.cancel()
		<-duplicate.ended
	})
}

// TestFoundingIsRepeatable checks that a founding can be repeated, but not with another number of
// shards or with a machine outside the cluster.
func TestFoundingIsRepeatable(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(1, "a")
		f.found(2)
		addresses := []string{"control-0", "control-1", "control-2"}
		if err := replica.Found(context.Background(), f.client, addresses, 7); !fault.Is(err, fault.Conflict) {
			t.Fatalf("founding with another number of shards ended with %v", err)
		}
		outsider := &machine{name: "stranger", disk: faultfs.New()}
		f.start(outsider)
		defer func() { f.kill(outsider) }()
		if err := replica.Found(context.Background(), f.client, append(addresses, "stranger"), 2); !fault.Is(err, fault.Conflict) {
			t.Fatalf("founding with an additional machine ended with %v", err)
		}
		if err := replica.Found(context.Background(), f.client, []string{"stranger"}, 1); err != nil {
			t.Fatal(err)
		}
		if err := replica.Found(context.Background(), f.client, append(addresses, "stranger"), 2); !fault.Is(err, fault.Conflict) {
			t.Fatalf("founding over two clusters ended with %v", err)
		}
		if got := f.add(1, "a"); got != 2 {
			t.Fatalf("the second increment gave %d", got)
		}
	})
}

// TestFullDiskRefusesAndLosesNothing fills the disks of a majority and then frees space again.
func TestFullDiskRefusesAndLosesNothing(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(1, "a")
		for _, m := range f.machines {
			m.disk.SetCapacity(m.disk.Used() + 300)
		}
		refused := false
		f.eventually("a proposal is refused for the full disk", func() bool {
			for _, m := range f.machines {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_, err := m.group(1).Propose(ctx, encode(command{Key: "b", Value: 1}))
				cancel()
				refused = refused || fault.Is(err, fault.Overloaded)
			}
			return refused
		})
		for _, m := range f.machines {
			m.disk.SetCapacity(1 << 40)
		}
		if got := f.add(1, "a"); got != 2 {
			t.Fatalf("the second increment gave %d", got)
		}
	})
}

// TestFailedSyncEndsTheReplica checks that a replica stops after a failed sync and that the others
// lose nothing.
func TestFailedSyncEndsTheReplica(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		f.add(1, "a")
		broken := f.leader(1)
		broken.disk.FailSync(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if _, err := broken.group(1).Propose(ctx, encode(command{Key: "a", Value: 0})); !fault.Is(err, fault.OutcomeUnknown) {
			t.Fatalf("a proposal on a failing disk ended with %v", err)
		}
		err := <-broken.ended
		broken.ended <- err
		if fault.From(err).Remedy == "" || !fault.Is(err, fault.Unavailable) {
			t.Fatalf("the host ended with %v", err)
		}
		f.network.mount(broken.name, nil)
		if got := f.add(1, "a"); got != 2 {
			t.Fatalf("the second increment gave %d", got)
		}
		broken.disk.FailSync(false)
		f.crash(broken)
		f.start(broken)
		f.eventually("the machine is back", func() bool { return broken.state(1).get("a") == 2 })
	})
}

// TestMachineOutsideAllGroupsBelongsToTheCluster checks that a machine without a replica belongs to
// the cluster, also after its disk was lost, and that it becomes a member of no group.
func TestMachineOutsideAllGroupsBelongsToTheCluster(t *testing.T) {
	runCluster(t, 16, nil, func(f *testCluster) {
		spare := f.machines[9] // the last one by name
		founded := func() bool {
			select {
			case <-spare.host.InCluster():
				return true
			default:
				return false
			}
		}
		f.eventually("the spare machine belongs to the cluster", founded)
		f.loseDisk(spare)
		f.start(spare)
		f.eventually("it belongs to the cluster with a new disk", founded)
		if groups := spare.host.Groups(); len(groups) > 0 {
			t.Fatalf("the spare machine runs groups %v", groups)
		}
		f.add(1, "a")
	})
}
