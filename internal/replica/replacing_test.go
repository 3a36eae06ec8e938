package replica_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// newcomer adds a machine with a name that no membership holds and an empty disk.
// Its settings, and those of later ones, list the machines that were there before.
func (f *fleet) newcomer(name string) *machine {
	f.t.Helper()
	added := &machine{name: name, disk: faultfs.New()}
	f.machines = append(f.machines, added)
	f.start(added)
	f.peers = append(slices.Clone(f.peers), &rockwindpb.ControlMachine{Machine: name, Address: name})
	return added
}

// membersOf names the voters of a group whose leader says that it is repaired: its
// membership is committed and all members are heard. It is nil otherwise. Only then
// may another machine be lost.
func (f *fleet) membersOf(group uint32) []string {
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

func holds(names []string, wanted string, unwanted ...string) bool {
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

// TestNewMachineTakesThePlaceOfOneThatIsGone replaces every machine in turn by
// one with another name and address. In the end no machine is left that was
// there when the writes were acknowledged.
func TestNewMachineTakesThePlaceOfOneThatIsGone(t *testing.T) {
	inBubble(t, 3, admitNew, func(f *fleet) {
		for range 20 {
			f.add(1, "a")
		}
		names := []string{"next-0", "next-1", "next-2"}
		for position, name := range names {
			gone := f.machines[position]
			f.lose(gone)
			f.newcomer(name)
			for group := range uint32(3) {
				f.eventually("the new machine takes the place", func() bool {
					members := f.membersOf(group)
					return len(members) == 3 && holds(members, name, gone.name)
				})
			}
		}
		if a := f.read(1, "a"); a != 20 {
			t.Fatalf("20 increments were acknowledged, %d are left", a)
		}
	})
}

// TestGroupGrowsToItsPlaces: a group founded by three machines bears two losses at
// once as soon as two more have joined. A sixth one waits as a spare.
func TestGroupGrowsToItsPlaces(t *testing.T) {
	inBubble(t, 3, func(options *replica.Options) { options.AdmitNew, options.TargetVoters = true, 5 }, func(f *fleet) {
		f.add(0, "key")
		for _, name := range []string{"new-1", "new-2"} {
			f.newcomer(name)
			f.eventually(name+" joins", func() bool { return holds(f.membersOf(0), name) })
		}
		f.newcomer("new-3")
		time.Sleep(time.Minute)
		if members := f.membersOf(0); len(members) != 5 || holds(members, "new-3") {
			t.Fatalf("the members are %v", members)
		}
		f.add(0, "key")
		f.lose(f.machines[0])
		f.lose(f.machines[3])
		if got := f.add(0, "key"); got != 3 {
			t.Fatalf("after two losses the third write counts %d", got)
		}
	})
}

// TestNewMachineWaitsWhileAllMembersAreHeard adds a machine to a healthy group:
// the group does not grow.
func TestNewMachineWaitsWhileAllMembersAreHeard(t *testing.T) {
	inBubble(t, 3, admitNew, func(f *fleet) {
		f.add(1, "a")
		f.newcomer("spare")
		time.Sleep(time.Minute)
		synctest.Wait()
		if members := f.membersOf(1); len(members) != 3 || holds(members, "spare") {
			t.Fatalf("the members are %v", members)
		}
	})
}

// TestMachineThatWasReplacedComesBackAsASpare cuts a machine off until another
// one has its place. When it is back it disturbs nothing, and it takes the place
// of the next machine that is lost.
func TestMachineThatWasReplacedComesBackAsASpare(t *testing.T) {
	inBubble(t, 3, admitNew, func(f *fleet) {
		f.add(1, "a")
		cut, lost := f.machines[0], f.machines[1]
		f.kill(cut)
		f.newcomer("next")
		f.eventually("the new machine takes the place", func() bool { return holds(f.membersOf(1), "next", cut.name) })
		f.start(cut)
		f.add(1, "a")
		time.Sleep(10 * time.Second)
		f.lose(lost)
		f.eventually("the old machine takes the place of the lost one", func() bool {
			return holds(f.membersOf(1), cut.name, lost.name)
		})
		if a := f.read(1, "a"); a != 2 {
			t.Fatalf("2 increments were acknowledged, %d are left", a)
		}
	})
}

// vacating is a set of machines that have to leave.
type vacating struct {
	mutex sync.Mutex
	names map[string]bool
}

func (v *vacating) has(name string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.names[name]
}

func (v *vacating) add(name string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.names[name] = true
}

// TestMachineThatHasToLeaveIsReplacedWhileItRuns empties each founding machine,
// leaders too, as long as there is a spare.
func TestMachineThatHasToLeaveIsReplacedWhileItRuns(t *testing.T) {
	leaving := &vacating{names: make(map[string]bool)}
	adjust := func(options *replica.Options) {
		options.AdmitNew = true
		options.MustLeave = leaving.has
	}
	inBubble(t, 3, adjust, func(f *fleet) {
		f.add(1, "a")
		for _, name := range []string{"next-0", "next-1", "next-2"} {
			f.newcomer(name)
		}
		for _, m := range f.machines[:3] {
			leaving.add(m.name)
			for group := range uint32(3) {
				f.eventually("the machine has left", func() bool {
					members := f.membersOf(group)
					return len(members) == 3 && !holds(members, m.name)
				})
			}
			f.kill(m)
		}
		if a := f.read(1, "a"); a != 1 {
			t.Fatalf("1 increment was acknowledged, %d are left", a)
		}
	})
}

// TestLeaseHoldsBetweenRareHeartbeats: with a heartbeat every second tick the lease
// of a leader that all hear never runs out.
func TestLeaseHoldsBetweenRareHeartbeats(t *testing.T) {
	adjust := func(options *replica.Options) { options.HeartbeatTicks = 2 }
	inBubble(t, 3, adjust, func(f *fleet) {
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
