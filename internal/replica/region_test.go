package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// The groups of a regionalCluster: one whose replicas are not restricted, and one for each region.
const (
	anywhere = uint32(iota)
	north
	south
)

// regionalCluster is a cluster of machines whose names begin with their region.
type regionalCluster struct {
	*testCluster
	// change is applied to the options of each machine; it may be nil.
	change  func(*replica.Options)
	mutex   sync.Mutex
	leaving map[string]bool
}

// callTimeout bounds the calls of a test: a router gives a store 0.7 s for one attempt, and several ones until
// its client gives up after 5 s.
const callTimeout = 5 * time.Second

// within returns a context that ends after a timeout.
func (f *regionalCluster) within(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(f.t.Context(), timeout)
	f.t.Cleanup(cancel)
	return ctx
}

// runRegionalCluster runs a test on a new cluster with virtual time. It has the given machines, of
// which those of a region hold the group of the region, and all hold the other group.
func runRegionalCluster(t *testing.T, names []string, run func(f *regionalCluster)) {
	runRegionalClusterWithWitnesses(t, names, nil, nil, run)
}

// runRegionalClusterWithWitnesses is runRegionalCluster with witnesses of the group north on the given machines.
func runRegionalClusterWithWitnesses(t *testing.T, names, witnesses []string, change func(*replica.Options), run func(f *regionalCluster)) {
	synctest.Test(t, func(t *testing.T) {
		f := &regionalCluster{change: change, leaving: make(map[string]bool)}
		f.testCluster = &testCluster{t: t, links: &replica.Links{}, random: rand.New(rand.NewPCG(1, 2)), adjust: f.adjust}
		f.network = &network{handlers: map[string]http.Handler{}}
		f.client = &http.Client{Transport: f.network}
		for _, name := range names {
			f.machines = append(f.machines, &machine{name: name, disk: faultfs.New()})
			f.peers = append(f.peers, &rockwindpb.ControlMachine{Machine: name, Address: name})
		}
		for _, m := range f.machines {
			f.start(m)
		}
		defer func() {
			for _, m := range f.machines {
				f.kill(m)
			}
		}()
		inNorth := f.membership("north")
		for _, name := range witnesses {
			inNorth.Members = append(inNorth.Members, &rockwindpb.Member{Id: f.named(name).running().DiskID(), Machine: name, Address: name, Witness: true})
		}
		founding := &rockwindpb.FoundRequest{ClusterId: "regional", Groups: []*rockwindpb.FoundingGroup{
			{Group: anywhere, Membership: f.membership("")},
			{Group: north, Membership: inNorth, Region: "north"},
			{Group: south, Membership: f.membership("south"), Region: "south"},
		}}
		for _, m := range f.machines {
			if err := m.running().AcceptFounding(f.within(callTimeout), founding); err != nil {
				t.Fatal(err)
			}
		}
		run(f)
	})
}

func inRegion(machine, region string) bool { return strings.HasPrefix(machine, region+"-") }

func (f *regionalCluster) membership(region string) *rockwindpb.Membership {
	membership := &rockwindpb.Membership{}
	for _, m := range f.machines {
		if region == "" || inRegion(m.name, region) {
			membership.Members = append(membership.Members, &rockwindpb.Member{Id: m.running().DiskID(), Machine: m.name, Address: m.name})
		}
	}
	return membership
}

func (f *regionalCluster) adjust(options *replica.Options) {
	if f.change != nil {
		f.change(options)
	}
	options.AdmitNew, options.TargetVoters, options.InRegion = true, 5, inRegion
	options.MustLeave = func(machine string) bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.leaving[machine]
	}
	options.Discover = func() []*rockwindpb.ControlMachine {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.peers
	}
}

// join starts a machine with an empty disk that all others know.
func (f *regionalCluster) join(name string) {
	f.t.Helper()
	added := &machine{name: name, disk: faultfs.New()}
	f.machines = append(f.machines, added)
	f.mutex.Lock()
	f.peers = append(f.peers[:len(f.peers):len(f.peers)], &rockwindpb.ControlMachine{Machine: name, Address: name})
	f.mutex.Unlock()
	f.start(added)
}

// votes reports whether a disk is a voter of a group.
func (f *regionalCluster) votes(group uint32, disk uint64) bool {
	for _, member := range f.leader(group).group(group).Status().GetMembership().GetMembers() {
		if member.GetId() == disk {
			return !member.GetLearner()
		}
	}
	return false
}

func (f *regionalCluster) retire(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving[name] = true
}

func (f *regionalCluster) named(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	f.t.Fatalf("no machine is named %s", name)
	return nil
}

// members returns the names of the members of a group, as its leader has them.
func (f *regionalCluster) members(group uint32) []string {
	var names []string
	for _, member := range f.leader(group).group(group).Status().GetMembership().GetMembers() {
		names = append(names, member.GetMachine())
	}
	return names
}

// checkRegions fails the test if a machine runs the group of another region.
func (f *regionalCluster) checkRegions() {
	f.t.Helper()
	for _, m := range f.machines {
		for group, region := range map[uint32]string{north: "north", south: "south"} {
			if m.state(group) != nil && !inRegion(m.name, region) {
				f.t.Errorf("%s holds a replica of the group of %s", m.name, region)
			}
		}
	}
}

var threeEach = []string{"north-0", "north-1", "north-2", "south-0", "south-1", "south-2"}

// Guards against bodies that leave their region because a machine of another region replaces a lost
// member, and against a group that stays incomplete although a machine of its region joins.
func TestLostMemberIsReplacedInItsRegionOnly(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		f.add(north, "a")
		f.loseDisk(f.named("north-1"))
		f.join("south-3")
		f.eventually("the machine of the south joins the group of its region", func() bool {
			return includes(f.repairedVoters(south), "south-3")
		})
		time.Sleep(time.Minute)
		if members := f.members(north); fmt.Sprint(members) != "[north-0 north-1 north-2]" {
			t.Errorf("the members are %v", members)
		}
		if got := f.add(north, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
		f.join("north-3")
		f.eventually("a machine of the north replaces it", func() bool { return includes(f.repairedVoters(north), "north-3", "north-1") })
		f.loseDisk(f.named("north-0"))
		// A machine that joins before the loss is noticed makes the group larger instead.
		time.Sleep(5 * time.Second)
		f.join("north-4")
		f.eventually("the next lost member is replaced", func() bool { return includes(f.repairedVoters(north), "north-4", "north-0") })
		f.join("north-5")
		f.eventually("the group grows with its region", func() bool { return len(f.repairedVoters(north)) == 4 })
		if got := f.read(north, "a"); got != 2 {
			t.Errorf("2 increments were acknowledged, %d are left", got)
		}
		f.checkRegions()
	})
}

// Guards against the loss of acknowledged writes if a machine loses its disk and rejoins empty under
// its name.
func TestMachineOfARegionRejoinsEmpty(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		for range 20 {
			f.add(north, "a")
		}
		for _, name := range []string{"north-0", "north-1", "north-2"} {
			f.loseDisk(f.named(name))
			f.start(f.named(name))
			disk := f.named(name).running().DiskID()
			f.eventually(name+" is back", func() bool { return len(f.repairedVoters(north)) == 3 && f.votes(north, disk) })
		}
		if got := f.read(north, "a"); got != 20 {
			t.Errorf("20 increments were acknowledged, %d are left", got)
		}
		f.checkRegions()
	})
}

// Guards against a retirement that never ends because the region has no other machine, and against
// one that takes a group down to a single copy.
func TestLeavingMemberIsRemovedWhileTwoOthersRemain(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		f.add(north, "a")
		first := f.leader(north).name
		f.retire(first)
		f.eventually("the leaving leader is removed", func() bool {
			return len(f.repairedVoters(north)) == 2 && !includes(f.members(north), first)
		})
		if got := f.add(north, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
		second := f.leader(north).name
		f.retire(second)
		time.Sleep(time.Minute)
		if members := f.repairedVoters(north); len(members) != 2 {
			t.Errorf("the members are %v", members)
		}
		f.join("north-3")
		f.eventually("a new machine takes over", func() bool {
			return includes(f.repairedVoters(north), "north-3", first)
		})
		f.join("north-4")
		f.eventually("the second leaving member is removed", func() bool {
			return includes(f.repairedVoters(north), "north-4", second)
		})
		if got := f.read(north, "a"); got != 2 {
			t.Errorf("2 increments were acknowledged, %d are left", got)
		}
		f.checkRegions()
	})
}

// Guards against fewer copies than necessary: while a machine of the region may take over, a leaving
// member stays until it has.
func TestLeavingMemberWaitsForItsReplacement(t *testing.T) {
	names := append([]string{"north-3", "north-4", "north-5"}, threeEach...)
	runRegionalCluster(t, names, func(f *regionalCluster) {
		f.eventually("the group is complete", func() bool { return len(f.repairedVoters(north)) >= 5 })
		members := f.members(north)
		spare := ""
		for _, name := range names {
			if inRegion(name, "north") && !includes(members, name) {
				spare = name
			}
		}
		if spare == "" {
			// All six founded the group: none is a spare.
			f.join("north-6")
			spare = "north-6"
		}
		f.add(north, "a")
		leaving, before := members[0], len(members)
		f.retire(leaving)
		f.eventually("the spare takes over", func() bool {
			now := f.members(north)
			if len(now) < before {
				f.t.Fatalf("the members are %v", now)
			}
			return includes(f.repairedVoters(north), spare, leaving)
		})
	})
}

// TestLeavingMemberDoesNotWaitForAMachineThatIsGone guards against a retirement that never ends: the directory lists a machine
// of the region that has no replica and does not run.
func TestLeavingMemberDoesNotWaitForAMachineThatIsGone(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		f.add(north, "a")
		f.mutex.Lock()
		f.peers = append(f.peers[:len(f.peers):len(f.peers)], &rockwindpb.ControlMachine{Machine: "north-gone", Address: "north-gone"})
		f.mutex.Unlock()
		f.retire("north-0")
		f.eventually("the member has left", func() bool { return !includes(f.members(north), "north-0") && len(f.repairedVoters(north)) == 2 })
	})
}

// Guards against the removal of a member that is only inactive: it may return with its disk.
func TestInactiveMemberKeepsItsPlace(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		f.add(north, "a")
		f.kill(f.named("north-2"))
		f.retire("north-1")
		time.Sleep(time.Minute)
		if members := f.members(north); len(members) != 3 {
			t.Errorf("the members are %v", members)
		}
		f.start(f.named("north-2"))
		f.eventually("the leaving member is removed", func() bool {
			return includes(f.repairedVoters(north), "north-2", "north-1")
		})
	})
}

// Guards against the loss of acknowledged writes if all machines lose power.
func TestRegionalGroupSurvivesALossOfPower(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		for range 5 {
			f.add(north, "a")
		}
		for _, m := range f.machines {
			f.crash(m)
		}
		for _, m := range f.machines {
			f.start(m)
		}
		if got := f.read(north, "a"); got != 5 {
			t.Errorf("5 increments were acknowledged, %d are left", got)
		}
		f.checkRegions()
	})
}

// Guards against the join calls of machines that wait for groups of other regions.
func TestMachineDoesNotAskToJoinGroupsOfOtherRegions(t *testing.T) {
	runRegionalCluster(t, threeEach[:5], func(f *regionalCluster) {
		for _, group := range []uint32{anywhere, north, south} {
			f.add(group, "a")
		}
		time.Sleep(time.Minute)
		f.network.resetJoins()
		time.Sleep(time.Minute)
		if calls, _ := f.network.resetJoins(); calls != 0 {
			t.Errorf("%d join calls in a minute", calls)
		}
	})
}

// Guards against the loss of the lease of an idle group with a single replica, as a region with one
// store has: its items would be cancelled and started again.
func TestSingleReplicaLeadsWithoutInterruption(t *testing.T) {
	runRegionalCluster(t, []string{"north-0", "south-0", "south-1"}, func(f *regionalCluster) {
		group := f.leader(north).group(north)
		for range 600 {
			time.Sleep(tick)
			if _, leading := group.Leading(); !leading {
				f.t.Fatal("the only replica does not lead")
			}
		}
	})
}

// Guards against an acknowledgement that rests on a majority of two although the third member is in
// contact, and against a wait for a member that is not.
func TestAwaitSyncedWaitsForActiveVoters(t *testing.T) {
	runRegionalCluster(t, threeEach, func(f *regionalCluster) {
		f.add(north, "a")
		leader := f.leader(north)
		slow := "north-0"
		if leader.name == slow {
			slow = "north-1"
		}
		withhold := func(_, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
			var kept []*rockwindpb.GroupMessage
			for _, message := range messages {
				kind := message.GetMessage().GetKind()
				appends := kind == rockwindpb.MessageKind_MESSAGE_KIND_APPEND || kind == rockwindpb.MessageKind_MESSAGE_KIND_SHORT_APPEND
				if to != slow || !appends {
					kept = append(kept, message)
				}
			}
			return kept
		}
		f.network.setRewrite(withhold)
		if _, err := leader.group(north).Propose(f.within(callTimeout), encode(command{Key: "a", Value: 1})); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(f.t.Context(), 300*time.Millisecond)
		if err := leader.group(north).AwaitSynced(ctx); err == nil {
			t.Error("the wait ended although an active member lacks the write")
		}
		cancel()
		waited := make(chan error, 1)
		go func() { waited <- leader.group(north).AwaitSynced(f.within(callTimeout)) }()
		f.network.setRewrite(nil)
		if err := <-waited; err != nil {
			t.Errorf("the wait failed: %v", err)
		}
		f.kill(f.named(slow))
		f.add(north, "a")
		began := time.Now()
		if err := f.leader(north).group(north).AwaitSynced(f.within(callTimeout)); err != nil {
			t.Errorf("the wait for the remaining members failed: %v", err)
		}
		// A member counts as active for an election timeout.
		if took := time.Since(began); took > 15*tick {
			t.Errorf("the wait took %v", took)
		}
		follower := f.named(threeEach[0])
		if follower.running() == nil || follower == f.leader(north) {
			follower = f.named("north-2")
		}
		if follower != f.leader(north) && follower.group(north).AwaitSynced(f.within(callTimeout)) == nil {
			t.Error("a replica that does not lead reports that the write is synced")
		}
	})
}
