package replica_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// The regions of the machines of a leaderCluster, by position. All groups have all five machines as members.
var (
	northMajority = []string{"north", "north", "north", "south", "west"}
	noMajority    = []string{"north", "north", "south", "south", "west"}
	oneRegion     = []string{"north", "north", "north", "north", "north"}
	// northLast has the voters of the other regions first, to which a transfer without a target goes.
	northLast = []string{"south", "west", "north", "north", "north"}
)

// leaderCluster is a cluster whose machines are in regions.
type leaderCluster struct {
	*testCluster
	regions []string
	// hidden makes the regions unknown, so that leadership stays where a test puts it.
	hidden atomic.Bool

	mutex sync.Mutex
	// prepared counts the calls of BeforeLeadershipTransfer by group, and proposed those whose last
	// command was acknowledged.
	prepared, proposed map[uint32]int
	// leaving is the machine that must leave its groups.
	leaving string
}

// leaderGroup is the group that most tests look at.
const leaderGroup = uint32(1)

// runLeaderCluster runs a test on a cluster of five machines in the given regions; without regions the
// option is not set.
func runLeaderCluster(t *testing.T, regions []string, run func(f *leaderCluster)) {
	runMixedLeaderCluster(t, regions, nil, run)
}

// runMixedLeaderCluster is runLeaderCluster with machines that do not have the option, as those of the
// previous version.
func runMixedLeaderCluster(t *testing.T, regions, without []string, run func(f *leaderCluster)) {
	f := &leaderCluster{regions: regions, prepared: make(map[uint32]int), proposed: make(map[uint32]int)}
	adjust := func(options *replica.Options) {
		if regions != nil && !slices.Contains(without, options.Machine) {
			options.RegionOf = f.regionOf
		}
		options.MustLeave = f.mustLeave
		machine := options.Machine
		options.BeforeLeadershipTransfer = func(ctx context.Context, group uint32) { f.prepare(ctx, machine, group) }
	}
	runCluster(t, len(northMajority), adjust, func(cluster *testCluster) {
		f.testCluster = cluster
		run(f)
	})
}

func (f *leaderCluster) regionOf(machine string) string {
	if f.hidden.Load() {
		return ""
	}
	return f.region(machine)
}

func (f *leaderCluster) region(machine string) string {
	for position, region := range f.regions {
		if machine == fmt.Sprintf("control-%d", position) {
			return region
		}
	}
	return ""
}

// prepare proposes a last command, as a store records the progress of its items.
func (f *leaderCluster) prepare(ctx context.Context, name string, group uint32) {
	f.mutex.Lock()
	f.prepared[group]++
	f.mutex.Unlock()
	for _, m := range f.machines {
		if m.name != name {
			continue
		}
		if _, err := m.group(group).Propose(ctx, encode(command{Key: "progress", Value: 1})); err == nil {
			f.mutex.Lock()
			f.proposed[group]++
			f.mutex.Unlock()
		}
	}
}

func (f *leaderCluster) preparations(group uint32) (prepared, proposed int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.prepared[group], f.proposed[group]
}

// moveTo lets the present leader of a group fail while the regions are unknown, and lets the named machine
// be elected. It then makes the regions known again and returns the term.
func (f *leaderCluster) moveTo(group uint32, name string) uint64 {
	f.t.Helper()
	f.hidden.Store(true)
	defer f.hidden.Store(false)
	f.network.setRewrite(func(from, _ string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
		return slices.DeleteFunc(messages, func(message *rockwindpb.GroupMessage) bool {
			return message.GetGroup() == group && from != name && isVoteRequest(message.GetMessage().GetKind())
		})
	})
	// A machine that lacks an entry could not be elected.
	time.Sleep(10 * tick)
	if old := f.leader(group); old.name != name {
		f.isolate(old.name)
		f.eventually("the machine leads", func() bool { now := f.leaderNow(group); return now != nil && now.name == name })
		f.links.Heal()
	}
	f.network.setRewrite(nil)
	// All members are active again, and remain so for as long as a target must have been.
	time.Sleep(3 * time.Second)
	if leader := f.leader(group); leader.name != name {
		f.t.Fatalf("%s leads instead of %s", leader.name, name)
	}
	return f.term(group)
}

func isVoteRequest(kind rockwindpb.MessageKind) bool {
	switch kind {
	case rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE, rockwindpb.MessageKind_MESSAGE_KIND_VOTE:
		return true
	}
	return false
}

// isolate cuts a machine off from all others.
func (f *leaderCluster) isolate(name string) {
	for _, m := range f.machines {
		if m.name != name {
			f.links.CutBoth(name, m.name)
		}
	}
}

// leaderIn reports whether the leader of a group is in a region.
func (f *leaderCluster) leaderIn(group uint32, region string) bool {
	leader := f.leaderNow(group)
	return leader != nil && f.region(leader.name) == region
}

// term waits for a leader of the group and returns its term.
func (f *leaderCluster) term(group uint32) uint64 {
	f.t.Helper()
	for {
		if term, leading := f.leader(group).group(group).Leading(); leading {
			return term
		}
	}
}

// expectStable checks that leadership does not change for some time.
func (f *leaderCluster) expectStable(duration time.Duration) {
	f.t.Helper()
	before := f.term(leaderGroup)
	time.Sleep(duration)
	if after := f.term(leaderGroup); after != before {
		f.t.Errorf("the term went from %d to %d", before, after)
	}
}

// Guards against leaders that stay outside the region of the majority, against a transfer in the first
// second of a leadership, and against a transfer that loses the progress of items.
func TestLeadershipReturnsToTheRegionOfTheMajority(t *testing.T) {
	runLeaderCluster(t, northMajority, func(f *leaderCluster) {
		for group := range uint32(3) {
			f.add(group, "a")
			term := f.moveTo(group, []string{"control-3", "control-4"}[group%2])
			prepared, _ := f.preparations(group)
			f.eventually("the leader is in the north", func() bool { return f.leaderIn(group, "north") })
			if now := f.term(group); now != term+1 {
				t.Errorf("group %d: %d elections for one transfer", group, now-term)
			}
			after, proposed := f.preparations(group)
			if after != prepared+1 {
				t.Errorf("group %d: %d preparations of one transfer", group, after-prepared)
			}
			if got := f.read(group, "progress"); got != proposed || got == 0 {
				t.Errorf("group %d: the leader holds %d of %d records of progress", group, got, proposed)
			}
			if got := f.add(group, "a"); got != 2 {
				t.Errorf("group %d: the second increment gave %d", group, got)
			}
		}
		f.expectStable(time.Minute)
	})
}

// Guards against a transfer that delays the first second after an election, in which callers repeat what a
// failure interrupted. Each round has a cluster of its own: a voter that loses the leadership again soon after a
// transfer is no target for five minutes, so repeated failures would leave none.
func TestNoTransferInTheFirstSecondOfALeadership(t *testing.T) {
	for range 10 {
		runLeaderCluster(t, northMajority, func(f *leaderCluster) {
			f.add(leaderGroup, "a")
			old := f.leader(leaderGroup)
			f.kill(old)
			f.eventually("another machine leads", func() bool { return f.leaderNow(leaderGroup) != nil })
			elected, began := f.term(leaderGroup), time.Now()
			for time.Since(began) < time.Second-2*tick {
				if leader := f.leaderNow(leaderGroup); leader == nil || f.term(leaderGroup) != elected {
					t.Fatalf("leadership changed %v after an election", time.Since(began))
				}
				time.Sleep(tick / 2)
			}
			f.start(old)
			f.eventually("the leader is in the north", func() bool { return f.leaderIn(leaderGroup, "north") })
		})
	}
}

// Guards against leaders that stay outside after their region was down, by a crash or by a partition that
// leaves it without a majority, and against acknowledged writes lost by the transfers.
func TestLeadershipReturnsWhenTheRegionIsBack(t *testing.T) {
	for name, fail := range map[string]func(f *leaderCluster){
		"crash": func(f *leaderCluster) {
			for _, m := range f.machines[:3] {
				f.crash(m)
			}
		},
		// One machine of the north stays with the others, so that they elect a leader.
		"partition": func(f *leaderCluster) {
			for _, m := range f.machines[:2] {
				f.isolate(m.name)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaderCluster(t, northMajority, func(f *leaderCluster) {
				for round := range 5 {
					if got := f.add(leaderGroup, "a"); got != round+1 {
						t.Fatalf("increment %d gave %d", round+1, got)
					}
					fail(f)
					time.Sleep(10 * time.Second)
					f.links.Heal()
					for _, m := range f.machines {
						if m.running() == nil {
							f.start(m)
						}
					}
					f.eventually("the leader is in the north", func() bool { return f.leaderIn(leaderGroup, "north") })
					f.expectStable(10 * time.Second)
				}
			})
		})
	}
}

// failedTarget is the target of a transfer that failed, and when it failed.
type failedTarget struct {
	name string
	at   time.Time
}

// Guards against a group without a leader, lost writes or an endless repetition when the target of a
// transfer fails after the request to start an election.
func TestTargetDiesDuringTheTransfer(t *testing.T) {
	runLeaderCluster(t, northMajority, func(f *leaderCluster) {
		f.add(leaderGroup, "a")
		f.moveTo(leaderGroup, "control-3")
		// The rewrite runs in the goroutines of all senders.
		var target atomic.Pointer[failedTarget]
		f.network.setRewrite(func(_, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
			for _, message := range messages {
				if message.GetMessage().GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW {
					continue
				}
				if target.CompareAndSwap(nil, &failedTarget{to, time.Now()}) {
					f.isolate(to)
				}
			}
			if dead := target.Load(); dead != nil && to == dead.name {
				return nil
			}
			return messages
		})
		f.eventually("a transfer begins", func() bool { return target.Load() != nil })
		dead := target.Load()
		f.eventually("another voter in the north leads", func() bool {
			leader := f.leaderNow(leaderGroup)
			return leader != nil && f.region(leader.name) == "north" && leader.name != dead.name
		})
		// A failed transfer ends after an election timeout, and the next one begins after two seconds.
		if took := time.Since(dead.at); took > 5*time.Second {
			t.Errorf("leadership was in the north after %v", took)
		}
		if got := f.add(leaderGroup, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
		f.network.setRewrite(nil)
		f.links.Heal()
		f.expectStable(time.Minute)
	})
}

// Guards against retries that stop the group again and again while no target takes leadership.
func TestFailedTransfersBackOff(t *testing.T) {
	runLeaderCluster(t, northMajority, func(f *leaderCluster) {
		f.add(leaderGroup, "a")
		f.moveTo(leaderGroup, "control-3")
		f.network.setRewrite(func(_, _ string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
			return slices.DeleteFunc(messages, func(message *rockwindpb.GroupMessage) bool {
				return message.GetMessage().GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW
			})
		})
		before, _ := f.preparations(leaderGroup)
		// The pauses are 2, 4, 8, 16, 32 and 64 s.
		time.Sleep(2 * time.Minute)
		after, _ := f.preparations(leaderGroup)
		if attempts := after - before; attempts < 4 || attempts > 7 {
			t.Errorf("%d attempts in two minutes", attempts)
		}
		if f.leaderIn(leaderGroup, "north") {
			t.Error("a transfer succeeded without the message that starts the election")
		}
		f.network.setRewrite(nil)
		f.eventually("the leader is in the north", func() bool { return f.leaderIn(leaderGroup, "north") })
		if got := f.add(leaderGroup, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
	})
}

// Guards against transfers that need something of the target which the previous version lacks, and against
// a leader of the previous version that is disturbed.
func TestTransferToAMachineOfThePreviousVersion(t *testing.T) {
	previous := []string{"control-0", "control-1", "control-2", "control-4"}
	runMixedLeaderCluster(t, northMajority, previous, func(f *leaderCluster) {
		f.add(leaderGroup, "a")
		f.moveTo(leaderGroup, "control-4")
		f.expectStable(time.Minute)
		f.moveTo(leaderGroup, "control-3")
		f.eventually("the leader is in the north", func() bool { return f.leaderIn(leaderGroup, "north") })
		f.expectStable(time.Minute)
		if got := f.add(leaderGroup, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
	})
}

// Guards against transfers that gain nothing: without a region that holds a majority of the voters, on a
// site with one region, and in a host without the option, as that of the root group is.
func TestNoTransferWithoutAPreferredRegion(t *testing.T) {
	for name, regions := range map[string][]string{"no majority": noMajority, "one region": oneRegion, "no option": nil} {
		t.Run(name, func(t *testing.T) {
			runLeaderCluster(t, regions, func(f *leaderCluster) {
				f.add(leaderGroup, "a")
				for _, name := range []string{"control-4", "control-0"} {
					f.moveTo(leaderGroup, name)
					before, _ := f.preparations(leaderGroup)
					f.expectStable(2 * time.Minute)
					if after, _ := f.preparations(leaderGroup); after != before {
						t.Errorf("%d transfers were prepared", after-before)
					}
				}
			})
		})
	}
}

// Guards against alternation with the rule by which a leader with a slow disk gives up leadership: while
// the group writes, a voter with a slow disk must not get leadership back.
func TestSlowDiskDoesNotGetLeadershipBack(t *testing.T) {
	runLeaderCluster(t, northMajority, func(f *leaderCluster) {
		f.moveTo(leaderGroup, "control-0")
		f.slowDisks(0)
		f.writeFor(time.Minute)
		if leader := f.leader(leaderGroup); leader == f.machines[0] || !f.leaderIn(leaderGroup, "north") {
			t.Errorf("the leader is %s", leader.name)
		}
		settled := f.term(leaderGroup)
		f.writeFor(2 * time.Minute)
		if now := f.term(leaderGroup); now != settled {
			t.Errorf("leadership changed %d times in two minutes", now-settled)
		}
	})
}

// Guards against alternation if all that could lead in the region have slow disks, which show only under
// writes: between bursts of writes they look like any other.
func TestSlowDisksGetLeadershipBackEverMoreRarely(t *testing.T) {
	runLeaderCluster(t, northMajority, func(f *leaderCluster) {
		f.setLeaving("control-2")
		f.moveTo(leaderGroup, "control-3")
		f.slowDisks(0, 1)
		before := f.term(leaderGroup)
		const bursts = 30
		for range bursts {
			f.writeFor(8 * time.Second)
			time.Sleep(12 * time.Second)
		}
		// In each burst a leader with a slow disk would give up leadership, and get it back after it.
		if changes := f.term(leaderGroup) - before; changes > bursts/3 {
			t.Errorf("leadership changed %d times in %d bursts", changes, bursts)
		}
	})
}

// slowDisks makes the syncs of some machines slow.
func (f *leaderCluster) slowDisks(positions ...int) {
	for _, position := range positions {
		f.machines[position].disk.DelaySync(func() { time.Sleep(5 * tick) })
	}
}

func (f *leaderCluster) setLeaving(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving = name
}

func (f *leaderCluster) mustLeave(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return name == f.leaving
}

// writeFor writes to a group for some time.
func (f *leaderCluster) writeFor(duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration; time.Sleep(tick) {
		f.add(leaderGroup, "a")
	}
}

// Guards against leadership that goes back and forth between a machine of the region that drains before a
// planned stop and a leader in another region, while no other machine of the region is up.
func TestDrainingMachineDoesNotGetLeadershipBack(t *testing.T) {
	runLeaderCluster(t, northMajority, func(f *leaderCluster) {
		f.add(leaderGroup, "a")
		f.moveTo(leaderGroup, "control-0")
		f.isolate("control-1")
		f.isolate("control-2")
		time.Sleep(5 * time.Second)
		before := f.term(leaderGroup)
		if err := f.machines[0].running().Drain(f.t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if now := f.term(leaderGroup); now != before+1 {
			t.Errorf("%d elections for one transfer", now-before)
		}
		f.links.Heal()
		f.eventually("another machine of the north leads", func() bool {
			return f.leaderIn(leaderGroup, "north") && f.leaderNow(leaderGroup) != f.machines[0]
		})
		f.expectStable(5 * time.Minute)
	})
}

// drainFirstInNorth lets control-2 lead some groups of a cluster whose regions are northLast and drains it. It
// returns the numbers of elections until leadership has settled, and of transfers that were prepared.
func drainFirstInNorth(f *leaderCluster, groups uint32) (elections, prepared int) {
	terms := make(map[uint32]uint64)
	for group := range groups {
		f.add(group, "a")
		terms[group] = f.moveTo(group, "control-2")
	}
	for group := range groups {
		if leader := f.leader(group); leader != f.machines[2] {
			f.t.Fatalf("%s leads group %d", leader.name, group)
		}
		terms[group] = f.term(group)
		before, _ := f.preparations(group)
		prepared -= before
	}
	if err := f.machines[2].running().Drain(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(time.Minute)
	for group := range groups {
		if leader := f.leader(group); leader == f.machines[2] || !f.leaderIn(group, "north") {
			f.t.Errorf("%s leads group %d", leader.name, group)
		}
		after, _ := f.preparations(group)
		elections, prepared = elections+int(f.term(group)-terms[group]), prepared+after
		if got := f.add(group, "a"); got != 2 {
			f.t.Errorf("group %d: the second increment gave %d", group, got)
		}
	}
	return elections, prepared
}

// Guards against a drain that transfers leadership out of the region of the majority, from where a second
// transfer brings it back.
func TestDrainTransfersStraightIntoTheRegion(t *testing.T) {
	runLeaderCluster(t, northLast, func(f *leaderCluster) {
		const groups = 3
		elections, prepared := drainFirstInNorth(f, groups)
		t.Logf("%d elections, %d transfers of %d groups", elections, prepared, groups)
		if elections != groups || prepared != groups {
			t.Errorf("%d elections and %d transfers for a drain of %d groups", elections, prepared, groups)
		}
	})
}

// Guards against a drain that waits for a voter of the region that does not take leadership: another voter
// leads as soon as the first transfer has failed.
func TestDrainGoesOnWhenTheTargetInTheRegionDies(t *testing.T) {
	runLeaderCluster(t, northLast, func(f *leaderCluster) {
		f.add(leaderGroup, "a")
		f.moveTo(leaderGroup, "control-2")
		var targets []string
		var mutex sync.Mutex
		f.network.setRewrite(func(_, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
			mutex.Lock()
			defer mutex.Unlock()
			for _, message := range messages {
				asked := message.GetGroup() == leaderGroup && message.GetMessage().GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW
				if !asked || slices.Contains(targets, to) {
					continue
				}
				if targets = append(targets, to); len(targets) == 1 {
					f.isolate(to)
				}
			}
			if len(targets) > 0 && to == targets[0] {
				return nil
			}
			return messages
		})
		began := time.Now()
		if err := f.machines[2].running().Drain(f.t.Context()); err != nil {
			t.Fatal(err)
		}
		f.eventually("a transfer begins", func() bool { mutex.Lock(); defer mutex.Unlock(); return len(targets) > 0 })
		mutex.Lock()
		first := targets[0]
		mutex.Unlock()
		if f.region(first) != "north" {
			t.Errorf("the first transfer was to %s", first)
		}
		f.eventually("another voter leads", func() bool {
			leader := f.leaderNow(leaderGroup)
			return leader != nil && leader.name != first && leader != f.machines[2]
		})
		// A failed transfer ends after an election timeout of a second, and the drained machine may be elected again.
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("leadership was at another voter after %v", took)
		}
		if got := f.add(leaderGroup, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
	})
}

// Guards against a drain that is delayed until a voter of the region meets the conditions of a target: in the
// first second of a leadership none does.
func TestDrainDoesNotWaitForATargetInTheRegion(t *testing.T) {
	runLeaderCluster(t, northLast, func(f *leaderCluster) {
		f.add(leaderGroup, "a")
		old := f.leader(leaderGroup)
		f.kill(old)
		f.eventually("another machine leads", func() bool { return f.leaderNow(leaderGroup) != nil })
		began := time.Now()
		if err := f.leader(leaderGroup).running().Drain(f.t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > time.Second/2 {
			t.Errorf("the drain took %v", took)
		}
		f.start(old)
		if got := f.add(leaderGroup, "a"); got != 2 {
			t.Errorf("the second increment gave %d", got)
		}
	})
}

// TestLossIsRepairedBeforeLeadershipReturnsToItsRegion guards against a group that lacks a member for longer than 3 s although a
// machine asks to join: each new leader waits for the lost member anew.
func TestLossIsRepairedBeforeLeadershipReturnsToItsRegion(t *testing.T) {
	f := &leaderCluster{regions: northMajority, prepared: make(map[uint32]int), proposed: make(map[uint32]int)}
	adjust := func(options *replica.Options) {
		options.AdmitNew, options.RegionOf = true, func(machine string) string {
			if machine == "spare" {
				machine = "control-0"
			}
			return f.regionOf(machine)
		}
		options.Tick, options.HeartbeatTicks, options.ElectionTicks = 30*time.Millisecond, 2, 10
	}
	runCluster(t, len(northMajority), adjust, func(cluster *testCluster) {
		f.testCluster = cluster
		f.add(leaderGroup, "a")
		f.addMachine("spare")
		f.moveTo(leaderGroup, "control-0")
		time.Sleep(5 * time.Second)
		f.hidden.Store(true)
		f.network.setRewrite(func(from, _ string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
			return slices.DeleteFunc(messages, func(message *rockwindpb.GroupMessage) bool {
				return message.GetGroup() == leaderGroup && from != "control-3" && isVoteRequest(message.GetMessage().GetKind())
			})
		})
		lost := time.Now()
		f.kill(f.machines[0])
		f.eventually("the machine in the south leads", func() bool { return f.leaderIn(leaderGroup, "south") })
		f.network.setRewrite(nil)
		f.hidden.Store(false)
		f.eventually("the group is whole", func() bool {
			if leader := f.leaderNow(leaderGroup); leader != nil && leader.name != "control-3" && f.isMember(leaderGroup, "control-0") {
				t.Fatal("another machine leads before the lost member is replaced")
			}
			return includes(f.repairedVoters(leaderGroup), "spare", "control-0")
		})
		if took := time.Since(lost); took > wholeTimeout {
			t.Errorf("the group was short of a member for %v", took)
		}
		f.eventually("the leader is in the north", func() bool { leader := f.leaderNow(leaderGroup); return leader != nil && leader.name != "control-3" })
	})
}

// isMember reports whether a machine is a member of a group that has a leader.
func (f *leaderCluster) isMember(group uint32, machine string) bool {
	leader := f.leaderNow(group)
	return leader != nil && slices.ContainsFunc(leader.group(group).Status().GetMembership().GetMembers(), func(member *rockwindpb.Member) bool {
		return member.GetMachine() == machine
	})
}
