package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

var southWitnesses = []string{"south-0", "south-1"}

// withRegions lets machines know the regions of all others, as on a site with several regions.
func withRegions(options *replica.Options) {
	options.RegionOf = func(machine string) string {
		region, _, _ := strings.Cut(machine, "-")
		return region
	}
}

func runWithWitnesses(t *testing.T, run func(f *regionalCluster)) {
	runRegionalClusterWithWitnesses(t, threeEach, southWitnesses, withRegions, run)
}

// addNoted increments a register of the north with a text in the command.
func (f *regionalCluster) addNoted(key, note string) {
	f.t.Helper()
	f.eventually("a command is committed", func() bool {
		ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
		defer cancel()
		group := f.leader(north).group(north)
		if _, err := group.Propose(ctx, encode(command{Key: key, Value: 1, Note: note})); err != nil {
			return false
		}
		return group.AwaitSynced(ctx) == nil
	})
}

// checkNoContent fails the test if a file of a machine of the south contains a text.
func (f *regionalCluster) checkNoContent(text string) {
	f.t.Helper()
	for _, m := range f.machines {
		if !inRegion(m.name, "south") {
			continue
		}
		if f.holds(m, text) {
			f.t.Errorf("the disk of %s holds %q", m.name, text)
		}
	}
}

func (f *regionalCluster) holds(m *machine, text string) bool {
	found := false
	for _, folder := range []string{"data", "data/log", "data/snapshots"} {
		names, err := m.disk.List(folder)
		if err != nil {
			continue
		}
		for _, name := range names {
			content, err := m.disk.ReadFile(folder + "/" + name)
			found = found || err == nil && bytes.Contains(content, []byte(text))
		}
	}
	return found
}

// witnesses returns the machines and the disks of the witnesses of the north, as its leader has them.
func (f *regionalCluster) witnesses() (machines []string, disks []uint64) {
	for _, member := range f.leader(north).group(north).Status().GetMembership().GetMembers() {
		if member.GetWitness() {
			machines, disks = append(machines, member.GetMachine()), append(disks, member.GetId())
		}
	}
	return machines, disks
}

// repairedNorth reports whether the group of the north consists of active voters, and of five of them.
func (f *regionalCluster) repairedNorth() bool {
	return len(f.repairedVoters(north)) == 5
}

// TestRegionalGroupWithWitnessesSurvivesTwoLostDisks guards against a group that serves nothing after the loss of two
// of the three disks of its region, the leader's among them, and against content at the witnesses.
func TestRegionalGroupWithWitnessesSurvivesTwoLostDisks(t *testing.T) {
	for remaining := range 3 {
		t.Run(fmt.Sprint(remaining), func(t *testing.T) {
			runWithWitnesses(t, func(f *regionalCluster) {
				for number := range 20 {
					f.addNoted("a", fmt.Sprintf("secret-%d", number))
				}
				for position, name := range threeEach[:3] {
					if position != remaining {
						f.loseDisk(f.named(name))
					}
				}
				for position, name := range threeEach[:3] {
					if position != remaining {
						f.start(f.named(name))
					}
				}
				if got := f.read(north, "a"); got != 20 {
					t.Errorf("20 increments were acknowledged, %d are left", got)
				}
				f.addNoted("a", "secret-after")
				f.eventually("the group is repaired", f.repairedNorth)
				for position, name := range threeEach[:3] {
					if position == remaining {
						f.loseDisk(f.named(name))
					}
				}
				if got := f.read(north, "a"); got != 21 {
					t.Errorf("21 increments were acknowledged, %d are left after the loss of the third disk", got)
				}
				f.checkNoContent("secret")
				f.checkRegions()
			})
		})
	}
}

// TestContentCheckFindsContent guards against a check of the disks that finds nothing.
func TestContentCheckFindsContent(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		f.addNoted("a", "secret")
		for _, name := range threeEach[:3] {
			f.eventually(name+" holds the command", func() bool { return f.holds(f.named(name), "secret") })
		}
	})
}

// TestAbsentMembersStopCommitsDespiteWitnesses guards against entries that only the remaining member and the
// witnesses have, although the others are only away: if its disk was lost, no leader could be elected again.
func TestAbsentMembersStopCommitsDespiteWitnesses(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		f.addNoted("a", "")
		leader := f.leader(north)
		var others []*machine
		for _, name := range threeEach[:3] {
			if m := f.named(name); m != leader {
				others = append(others, m)
				f.kill(m)
			}
		}
		time.Sleep(30 * time.Second)
		ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
		if _, err := leader.group(north).Propose(ctx, encode(command{Key: "a", Value: 1})); err == nil {
			t.Error("a command is committed although two members are only away")
		}
		cancel()
		f.loseDisk(leader)
		for _, m := range others {
			f.start(m)
		}
		if got := f.read(north, "a"); got != 1 {
			t.Errorf("1 increment was acknowledged, %d are left", got)
		}
		f.start(leader)
		f.eventually("the group is repaired", f.repairedNorth)
	})
}

// TestSingleJoinCallIsNoEvidence guards against a stale join call that makes an absent member count as lost.
func TestSingleJoinCallIsNoEvidence(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		f.addNoted("a", "")
		leader := f.leader(north)
		for _, name := range threeEach[:3] {
			if m := f.named(name); m != leader {
				f.kill(m)
			}
		}
		time.Sleep(30 * time.Second)
		for disk, name := range threeEach[:3] {
			if name != leader.name {
				f.callJoin(leader, &rockwindpb.JoinRequest{Machine: name, Address: name, DiskId: uint64(disk) + 7, FeatureLevel: 1000})
			}
		}
		ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
		defer cancel()
		if _, err := leader.group(north).Propose(ctx, encode(command{Key: "a", Value: 1})); err == nil {
			t.Error("a command is committed after one join call for each absent member")
		}
	})
}

func (f *regionalCluster) callJoin(at *machine, request *rockwindpb.JoinRequest) error {
	client := rockwindpb.NewReplicaServiceProtobufClient("http://"+at.name, &http.Client{Transport: f.network})
	_, err := client.Join(f.t.Context(), request)
	return err
}

// TestOlderMachineDoesNotJoinAGroupWithWitnesses guards against a leader that does not know witnesses and sends
// content to them.
func TestOlderMachineDoesNotJoinAGroupWithWitnesses(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		f.addNoted("a", "")
		request := &rockwindpb.JoinRequest{Machine: "north-9", Address: "north-9", DiskId: 99}
		if err := f.callJoin(f.leader(north), request); err == nil || includes(f.members(north), "north-9") {
			t.Errorf("a machine without a level was admitted, error %v", err)
		}
	})
}

// Guards against a machine of an earlier version that joins a group whose state it does not understand.
func TestOlderMachineDoesNotJoinAGroupWhoseStateNeedsMore(t *testing.T) {
	needed := atomic.Uint32{}
	change := func(options *replica.Options) {
		options.MinimumLevel = func(group uint32) uint32 {
			if group != north {
				return 0
			}
			return needed.Load()
		}
	}
	runRegionalClusterWithWitnesses(t, threeEach, nil, change, func(f *regionalCluster) {
		f.addNoted("a", "")
		needed.Store(5)
		request := &rockwindpb.JoinRequest{Machine: "north-9", Address: "north-9", DiskId: 99, FeatureLevel: 4}
		if err := f.callJoin(f.leader(north), request); err == nil || includes(f.members(north), "north-9") {
			t.Errorf("a machine below the level was admitted, error %v", err)
		}
		request.FeatureLevel = 5
		if err := f.callJoin(f.leader(north), request); fault.Is(err, fault.Conflict) {
			t.Errorf("a machine of the level is refused: %v", err)
		}
	})
}

// TestWitnessIsReplaced guards against a group that loses its witnesses one by one: one that lost its disk rejoins
// under its name, and one that is lost for good or leaves is replaced by another machine of its region.
func TestWitnessIsReplaced(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		f.addNoted("a", "secret")
		f.loseDisk(f.named("south-0"))
		f.start(f.named("south-0"))
		disk := f.named("south-0").running().DiskID()
		f.eventually("the witness is back", func() bool {
			_, disks := f.witnesses()
			return slices.Contains(disks, disk) && f.repairedNorth()
		})
		f.retire("south-1")
		f.eventually("another machine is the witness", func() bool {
			machines, _ := f.witnesses()
			slices.Sort(machines)
			return fmt.Sprint(machines) == "[south-0 south-2]" && f.repairedNorth()
		})
		f.addNoted("a", "secret")
		f.checkNoContent("secret")
		f.checkRegions()
	})
}

// TestWitnessReceivesSnapshotsWithoutState guards against states at witnesses, and against a witness that is behind
// the log of the leader for good.
func TestWitnessReceivesSnapshotsWithoutState(t *testing.T) {
	shortLog := func(options *replica.Options) {
		withRegions(options)
		options.SnapshotEntries, options.TrailingBytes = 10, 1
	}
	runRegionalClusterWithWitnesses(t, threeEach, southWitnesses, shortLog, func(f *regionalCluster) {
		f.kill(f.named("south-0"))
		for range 60 {
			f.addNoted("secret", "secret")
		}
		f.start(f.named("south-0"))
		f.eventually("the witness is back", f.repairedNorth)
		f.kill(f.named("south-1"))
		f.kill(f.named("north-0"))
		f.addNoted("secret", "secret")
		f.checkNoContent("secret")
	})
}

// TestPowerLossWithWitnesses guards against the loss of acknowledged writes if all machines lose power.
func TestPowerLossWithWitnesses(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		for range 5 {
			f.addNoted("a", "")
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
	})
}

// TestRetiredAbsentMembersCountAsLost guards against a group that stays stopped although an operator has given up its
// absent members and the region has a new machine.
func TestRetiredAbsentMembersCountAsLost(t *testing.T) {
	runWithWitnesses(t, func(f *regionalCluster) {
		f.addNoted("a", "")
		leader := f.leader(north)
		var lost []string
		for _, name := range threeEach[:3] {
			if name != leader.name {
				lost = append(lost, name)
				f.loseDisk(f.named(name))
			}
		}
		time.Sleep(5 * time.Second)
		f.retire(lost[0])
		f.retire(lost[1])
		f.addNoted("a", "")
		f.join("north-3")
		f.eventually("the new machine replaces a lost member", func() bool { return includes(f.members(north), "north-3", lost[0]) })
		if got := f.read(north, "a"); got != 2 {
			t.Errorf("2 increments were acknowledged, %d are left", got)
		}
		f.checkRegions()
	})
}
