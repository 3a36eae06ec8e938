package replica_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// addMachine starts a machine with a new name and an empty disk. Its settings list only the machines
// that existed before.
func (f *testCluster) addMachine(name string) *machine {
	f.t.Helper()
	added := &machine{name: name, disk: faultfs.New()}
	f.machines = append(f.machines, added)
	f.start(added)
	f.peers = append(slices.Clone(f.peers), &rockwindpb.ControlMachine{Machine: name, Address: name})
	return added
}

// repairedVoters returns the names of a group's voters if the group is repaired: its membership is
// committed and all members are active. Otherwise it returns nil. Another machine may be lost only
// while the group is repaired.
func (f *testCluster) repairedVoters(group uint32) []string {
	leader := f.leaderNow(group)
	if leader == nil || !leader.group(group).Status().GetRepaired() {
		return nil
	}
	var names []string
	for _, member := range leader.group(group).Status().GetMembership().GetMembers() {
		if !member.GetLearner() {
			names = append(names, member.GetMachine())
		}
	}
	return names
}

func includes(names []string, wanted string, unwanted ...string) bool {
	found := false
	for _, name := range names {
		found = found || name == wanted
		for _, other := range unwanted {
			if name == other {
				return false
			}
		}
	}
	return found
}

func admitNew(options *replica.Options) { options.AdmitNew = true }

// TestNewMachineTakesThePlaceOfOneThatIsGone replaces every machine in turn with one of another name
// and address, and checks that no acknowledged write is lost.
func TestNewMachineTakesThePlaceOfOneThatIsGone(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		for range 20 {
			f.add(1, "a")
		}
		names := []string{"next-0", "next-1", "next-2"}
		for position, name := range names {
			gone := f.machines[position]
			f.loseDisk(gone)
			f.addMachine(name)
			for group := range uint32(3) {
				f.eventually("the new machine replaces the lost one", func() bool {
					members := f.repairedVoters(group)
					return len(members) == 3 && includes(members, name, gone.name)
				})
			}
		}
		if a := f.read(1, "a"); a != 20 {
			t.Fatalf("20 increments were acknowledged, %d are left", a)
		}
	})
}

// TestGroupGrowsToItsPlaces checks that a group of three grows to TargetVoters and no further, and
// then tolerates two simultaneous losses.
func TestGroupGrowsToItsPlaces(t *testing.T) {
	runCluster(t, 3, func(options *replica.Options) { options.AdmitNew, options.TargetVoters = true, 5 }, func(f *testCluster) {
		f.add(0, "key")
		for _, name := range []string{"new-1", "new-2"} {
			f.addMachine(name)
			f.eventually(name+" joins", func() bool { return includes(f.repairedVoters(0), name) })
		}
		f.addMachine("new-3")
		time.Sleep(time.Minute)
		if members := f.repairedVoters(0); len(members) != 5 || includes(members, "new-3") {
			t.Fatalf("the members are %v", members)
		}
		f.add(0, "key")
		f.loseDisk(f.machines[0])
		f.loseDisk(f.machines[3])
		if got := f.add(0, "key"); got != 3 {
			t.Fatalf("after two losses the third write gave %d", got)
		}
	})
}

// TestNewMachineWaitsWhileAllMembersAreHeard checks that a healthy group admits no further machine.
func TestNewMachineWaitsWhileAllMembersAreHeard(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		f.add(1, "a")
		f.addMachine("spare")
		time.Sleep(time.Minute)
		synctest.Wait()
		if members := f.repairedVoters(1); len(members) != 3 || includes(members, "spare") {
			t.Fatalf("the members are %v", members)
		}
	})
}

// TestMachineThatWasReplacedComesBackAsASpare checks that a replaced machine disturbs nothing when it
// returns, and that it replaces the next machine that is lost.
func TestMachineThatWasReplacedComesBackAsASpare(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		f.add(1, "a")
		cut, lost := f.machines[0], f.machines[1]
		f.kill(cut)
		f.addMachine("next")
		f.eventually("the new machine replaces the stopped one", func() bool { return includes(f.repairedVoters(1), "next", cut.name) })
		f.start(cut)
		f.add(1, "a")
		time.Sleep(10 * time.Second)
		f.loseDisk(lost)
		f.eventually("the old machine replaces the lost one", func() bool {
			return includes(f.repairedVoters(1), cut.name, lost.name)
		})
		if a := f.read(1, "a"); a != 2 {
			t.Fatalf("2 increments were acknowledged, %d are left", a)
		}
	})
}

// leavingMachines is a set of machines that must leave.
type leavingMachines struct {
	mutex sync.Mutex
	names map[string]bool
}

func (v *leavingMachines) has(name string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.names[name]
}

func (v *leavingMachines) add(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.names[name] = true
}

// TestMachineThatHasToLeaveIsReplacedWhileItRuns replaces each founding machine, leaders included, by
// a spare.
func TestMachineThatHasToLeaveIsReplacedWhileItRuns(t *testing.T) {
	leaving := &leavingMachines{names: make(map[string]bool)}
	adjust := func(options *replica.Options) {
		options.AdmitNew = true
		options.MustLeave = leaving.has
	}
	runCluster(t, 3, adjust, func(f *testCluster) {
		f.add(1, "a")
		for _, name := range []string{"next-0", "next-1", "next-2"} {
			f.addMachine(name)
		}
		for _, m := range f.machines[:3] {
			leaving.add(m.name)
			for group := range uint32(3) {
				f.eventually("the machine has left", func() bool {
					members := f.repairedVoters(group)
					return len(members) == 3 && !includes(members, m.name)
				})
			}
			f.kill(m)
		}
		if a := f.read(1, "a"); a != 1 {
			t.Fatalf("1 increment was acknowledged, %d are left", a)
		}
	})
}

// TestLeaseHoldsBetweenRareHeartbeats checks that the lease of a connected leader does not expire with
// a heartbeat every second tick.
func TestLeaseHoldsBetweenRareHeartbeats(t *testing.T) {
	adjust := func(options *replica.Options) { options.HeartbeatTicks = 2 }
	runCluster(t, 3, adjust, func(f *testCluster) {
		f.add(1, "a")
		leader := f.leaderNow(1)
		if leader == nil {
			t.Fatal("no leader after a write")
		}
		for range 1000 {
			time.Sleep(tick / 4)
			if _, leading := leader.group(1).Leading(); !leading {
				t.Fatal("the lease ran out")
			}
		}
	})
}

// TestMachineThatWasReplacedOnceIsReplacedAgain guards against a group that never replaces a member whose disk was
// replaced and admitted again before: the next loss takes the majority.
func TestMachineThatWasReplacedOnceIsReplacedAgain(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		first, second, third := f.machines[0], f.machines[1], f.machines[2]
		for group := range uint32(3) {
			f.add(group, "a")
		}
		f.addMachine("added")
		f.replaceAndReturn(first, "added")
		f.replaceAndReturn(second, first.name)
		f.loseDisk(first)
		f.awaitReplacement(second.name, first.name)
		f.loseDisk(third)
		f.addMachine("last")
		f.awaitReplacement("last", third.name)
		for group := range uint32(3) {
			if got := f.add(group, "a"); got != 2 {
				t.Errorf("the second increment of group %d gave %d", group, got)
			}
		}
	})
}

// TestMarksOfEndedReplacementsInStoredMembershipsHaveNoEffect guards against groups that refuse a replacement by the
// membership in a snapshot or at the founding, in which a voter still names a member that it once replaced.
func TestMarksOfEndedReplacementsInStoredMembershipsHaveNoEffect(t *testing.T) {
	for name, writes := range map[string]int{"founding": 1, "snapshot": 50} {
		t.Run(name, func(t *testing.T) {
			adjust := func(options *replica.Options) { options.AdmitNew, options.SnapshotEntries = true, 20 }
			runUnfoundedCluster(t, 3, adjust, func(f *testCluster) {
				f.foundWithMarks()
				for range writes {
					f.add(1, "a")
				}
				for _, m := range f.machines {
					f.kill(m)
				}
				for _, m := range f.machines {
					f.start(m)
				}
				f.add(1, "a")
				lost := f.machines[2]
				f.loseDisk(lost)
				f.addMachine("spare")
				f.awaitReplacement("spare", lost.name)
				for _, member := range f.leader(1).group(1).Status().GetMembership().GetMembers() {
					if member.GetReplaces() != 0 {
						t.Errorf("%s still names a replaced member", member.GetMachine())
					}
				}
				if got := f.read(1, "a"); got != writes+1 {
					t.Errorf("%d increments were acknowledged, %d are left", writes+1, got)
				}
			})
		})
	}
}

// replaceAndReturn stops a machine until a spare one has taken its place in all groups, and starts it again as a
// spare with its disk.
func (f *testCluster) replaceAndReturn(m *machine, spare string) {
	f.t.Helper()
	f.kill(m)
	f.awaitReplacement(spare, m.name)
	f.start(m)
	f.awaitReplacement(spare, m.name)
}

// awaitReplacement waits until a machine has taken the place of another one in all groups.
func (f *testCluster) awaitReplacement(incoming, outgoing string) {
	f.t.Helper()
	for group := range uint32(3) {
		f.eventually(fmt.Sprintf("%s takes the place of %s in group %d", incoming, outgoing, group), func() bool {
			voters := f.repairedVoters(group)
			return len(voters) == 3 && includes(voters, incoming, outgoing)
		})
	}
}

// foundWithMarks founds the groups of a cluster of three with memberships in which the first member names the third,
// which it replaced before the third was admitted again.
func (f *testCluster) foundWithMarks() {
	f.t.Helper()
	request := &rockwindpb.FoundRequest{ClusterId: "marked"}
	for group := range uint32(3) {
		membership := &rockwindpb.Membership{}
		for _, m := range f.machines {
			membership.Members = append(membership.Members, &rockwindpb.Member{Id: m.running().DiskID(), Machine: m.name, Address: m.name})
		}
		membership.Members[0].Replaces = membership.Members[2].GetId()
		request.Groups = append(request.Groups, &rockwindpb.FoundingGroup{Group: group, Membership: membership})
	}
	for _, m := range f.machines {
		if err := m.running().AcceptFounding(f.t.Context(), request); err != nil {
			f.t.Fatal(err)
		}
	}
}

// TestLostLearnerOfAGrowingGroupIsReplaced guards against a group that never reaches its target since the machine that
// was joining is lost: its learner took the free place for good.
func TestLostLearnerOfAGrowingGroupIsReplaced(t *testing.T) {
	runCluster(t, 3, func(options *replica.Options) { options.AdmitNew, options.TargetVoters = true, 4 }, func(f *testCluster) {
		f.add(1, "a")
		f.network.setRewrite(dropEntries("lost"))
		lost := f.addMachine("lost")
		f.eventually("the machine is a learner", func() bool { return f.hasLearner(1, lost.name) })
		f.loseDisk(lost)
		f.addMachine("next")
		f.eventually("another machine takes the free place", func() bool { return len(f.repairedVoters(1)) == 4 })
	})
}

// TestSecondLossIsReplacedBesideALearnerThatStalls guards against a learner that never catches up, and so keeps its own
// place, and those of members that are lost after it, from other machines.
func TestSecondLossIsReplacedBesideALearnerThatStalls(t *testing.T) {
	runCluster(t, 5, admitNew, func(f *testCluster) {
		f.add(1, "a")
		f.network.setRewrite(dropEntries("stalls"))
		f.addMachine("stalls")
		f.loseDisk(f.machines[0])
		f.eventually("the machine is a learner", func() bool { return f.hasLearner(1, "stalls") })
		f.loseDisk(f.machines[1])
		for _, name := range []string{"next-1", "next-2"} {
			f.addMachine(name)
		}
		f.eventually("both lost members are replaced", func() bool {
			voters := f.repairedVoters(1)
			return len(voters) == 5 && includes(voters, "next-1", "control-0", "control-1", "stalls") && includes(voters, "next-2")
		})
	})
}

// TestReplacedMachineThatReturnsEmptyDoesNotEnlargeItsGroup guards against groups with a voter more than their target, whose
// quorum is larger: the machine came back with an empty disk while another one took its place.
func TestReplacedMachineThatReturnsEmptyDoesNotEnlargeItsGroup(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		f.add(1, "a")
		f.network.setRewrite(dropEntries("next"))
		f.addMachine("next")
		lost := f.machines[0]
		f.loseDisk(lost)
		f.eventually("another machine is a learner", func() bool { return f.hasLearner(1, "next") })
		f.start(lost)
		time.Sleep(2 * time.Second)
		f.network.setRewrite(nil)
		f.eventually("the group is whole", func() bool { return len(f.repairedVoters(1)) == 3 })
		time.Sleep(time.Minute)
		if voters := f.repairedVoters(1); len(voters) != 3 {
			t.Errorf("the voters are %v", voters)
		}
	})
}

// TestMemberIsReachedAtItsNewAddress guards against a member that comes back at another address and takes part in nothing:
// the membership holds the earlier one. No spare asks.
func TestMemberIsReachedAtItsNewAddress(t *testing.T) {
	adjust := func(options *replica.Options) { options.AdmitNew, options.Peers = true, nil }
	runCluster(t, 3, adjust, func(f *testCluster) {
		for _, m := range f.machines {
			f.kill(m)
			m.address = m.name + "-moved"
			f.start(m)
			for group := range uint32(3) {
				f.eventually(m.name+" is a member again", func() bool { return f.isMemberAt(group, m) })
				f.add(group, "a")
			}
		}
		f.kill(f.machines[0])
		if got := f.add(1, "a"); got != 4 {
			t.Errorf("the fourth increment gave %d", got)
		}
	})
}

// TestLearnerAnswersALeaderAtANewAddress guards against a learner that never catches up: the memberships in the log that it
// receives hold an earlier address of the leader.
func TestLearnerAnswersALeaderAtANewAddress(t *testing.T) {
	adjust := func(options *replica.Options) { options.AdmitNew, options.Peers = true, nil }
	runCluster(t, 3, adjust, func(f *testCluster) {
		f.add(1, "a")
		for _, m := range f.machines {
			f.kill(m)
			m.address = m.name + "-moved"
			f.start(m)
			f.eventually(m.name+" is a member again", func() bool { return f.isMemberAt(1, m) })
		}
		leader := f.leader(1)
		f.peers = []*rockwindpb.ControlMachine{{Address: leader.at()}}
		f.adjust = func(options *replica.Options) { options.AdmitNew = true }
		lost := f.machines[0]
		if lost == leader {
			lost = f.machines[1]
		}
		f.loseDisk(lost)
		f.addMachine("next")
		f.eventually("a new machine takes the place", func() bool { return includes(f.repairedVoters(1), "next", lost.name) })
	})
}

// isMemberAt reports whether a group is whole and has a machine as a member at its present address.
func (f *testCluster) isMemberAt(group uint32, m *machine) bool {
	leader := f.leaderNow(group)
	return leader != nil && len(f.repairedVoters(group)) == 3 &&
		slices.ContainsFunc(leader.group(group).Status().GetMembership().GetMembers(), func(member *rockwindpb.Member) bool {
			return member.GetMachine() == m.name && member.GetAddress() == m.at()
		})
}

// dropEntries drops all entries and snapshots for a machine, whose heartbeats arrive.
func dropEntries(machine string) rewriteFunc {
	return func(_, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
		if to != machine {
			return messages
		}
		return slices.DeleteFunc(slices.Clone(messages), func(message *rockwindpb.GroupMessage) bool {
			return len(message.GetMessage().GetEntries()) > 0 || len(message.GetMessage().GetShortEntries()) > 0
		})
	}
}

// hasLearner reports whether a machine is a learner of a group.
func (f *testCluster) hasLearner(group uint32, machine string) bool {
	leader := f.leaderNow(group)
	return leader != nil && slices.ContainsFunc(leader.group(group).Status().GetMembership().GetMembers(), func(member *rockwindpb.Member) bool {
		return member.GetLearner() && member.GetMachine() == machine
	})
}

// TestGroupDoesNotGrowBesideALostMember guards against a machine that joins right after a loss, and takes a free place
// instead of that of the lost member: with a larger quorum the next loss stops the group.
func TestGroupDoesNotGrowBesideALostMember(t *testing.T) {
	runCluster(t, 3, func(options *replica.Options) { options.AdmitNew, options.TargetVoters = true, 5 }, func(f *testCluster) {
		f.add(1, "a")
		lost := f.machines[0]
		f.loseDisk(lost)
		f.addMachine("next")
		f.eventually("the new machine replaces the lost one", func() bool { return includes(f.repairedVoters(1), "next", lost.name) })
		f.loseDisk(f.machines[1])
		if got := f.add(1, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
	})
}

// TestGroupWithAnEvenNumberOfVotersShrinks guards against a group that stops at its second loss although its four members
// were lost one after the other: no machine asked to replace the first.
func TestGroupWithAnEvenNumberOfVotersShrinks(t *testing.T) {
	runCluster(t, 3, func(options *replica.Options) { options.AdmitNew, options.TargetVoters = true, 5 }, func(f *testCluster) {
		f.add(1, "a")
		f.addMachine("fourth")
		f.eventually("the machine joins", func() bool { return len(f.repairedVoters(1)) == 4 })
		first, second := f.machines[0], f.machines[1]
		f.kill(first)
		f.eventually("the group shrinks", func() bool { return len(f.repairedVoters(1)) == 3 })
		f.kill(second)
		if got := f.add(1, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
		f.start(second)
		f.start(first)
		f.eventually("the machine joins again", func() bool { return len(f.repairedVoters(1)) == 4 })
	})
}

// TestReplacedMemberThatIsActiveAgainLeaves guards against groups with a voter too many: the replaced machine was back
// before it was removed, and a group whose members are all active was taken for whole.
func TestReplacedMemberThatIsActiveAgainLeaves(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		f.add(1, "a")
		f.network.setRewrite(dropEntries("next"))
		f.addMachine("next")
		lost := f.machines[0]
		f.kill(lost)
		f.eventually("another machine is a learner", func() bool { return f.hasLearner(1, "next") })
		f.start(lost)
		time.Sleep(2 * time.Second)
		f.network.setRewrite(nil)
		f.eventually("the replaced member has left", func() bool {
			voters := f.repairedVoters(1)
			return len(voters) == 3 && includes(voters, "next", lost.name)
		})
	})
}

// TestMachineThatIsLostIsNotAdmittedByAnEarlierCall guards against a group that takes a lost machine, which asked before, for
// a spare: each time it adds a learner that never answers.
func TestMachineThatIsLostIsNotAdmittedByAnEarlierCall(t *testing.T) {
	runCluster(t, 3, func(options *replica.Options) { options.AdmitNew, options.TargetVoters = true, 4 }, func(f *testCluster) {
		f.add(1, "a")
		f.network.setRewrite(dropEntries("lost"))
		f.addMachine("lost")
		f.eventually("the machine is a learner", func() bool { return f.hasLearner(1, "lost") })
		time.Sleep(time.Second)
		f.loseDisk(f.machines[3])
		f.eventually("the learner is removed", func() bool { return !f.hasLearner(1, "lost") })
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if f.hasLearner(1, "lost") {
				t.Fatal("the lost machine is a learner again")
			}
		}
	})
}
