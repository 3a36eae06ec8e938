package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// witnessEvents let full voters fall behind, go away and lose their disks, up to two at once.
var witnessEvents = []event{
	loseTwoDisks, loseTwoDisks, loseTwoDisks, loseDisk, stopTwo, crash, restart, restart, cutLink, isolate, heal, heal, heal, suspend,
	loseMessages, delayMessages, transfer, compactLog, replaceMachine, slowSync, returnAll, returnOthers, loseLeaders,
}

func (c *cluster) withWitnesses() bool { return c.full < len(c.machines) }

// isWitness reports whether a machine, possibly a replaced one, holds a witness.
func (c *cluster) isWitness(m *machine) bool {
	return c.withWitnesses() && m.number%len(c.machines) >= c.full
}

// recordBesideWitness compares an entry that a witness has applied with one that another replica has applied:
// only the index, the term and memberships must agree.
func (c *cluster) recordBesideWitness(m *machine, entry *rockwindpb.Entry) {
	known := c.committed[m.applied-1]
	isMembership := entry.GetKind() == rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP
	if known.GetTerm() != entry.GetTerm() || isMembership && !proto.Equal(known, entry) {
		c.failf("replica %d applies %v at index %d, but %v was committed", m.disk.id, entry, m.applied, known)
	}
	if !c.isWitness(m) {
		c.committed[m.applied-1] = entry
		delete(c.appliedByWitness, m.applied)
	}
}

// checkNoContent checks that a witness has stored no content.
func (c *cluster) checkNoContent(m *machine) {
	if !c.isWitness(m) {
		return
	}
	for _, entry := range m.disk.entries {
		if entry.GetKind() != rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP && len(entry.GetData()) > 0 {
			c.failf("witness %d stores the content of index %d", m.disk.id, entry.GetIndex())
		}
	}
}

// reportLostDisks reports the full voters in whose place a machine with an empty disk asks a leader to join.
func (c *cluster) reportLostDisks(leader *machine) {
	membership := leader.node.Status().Membership
	for _, other := range c.machines {
		if other.node == nil || isVoter(membership, other.disk.id) || c.isCut(other, leader) || other.suspendedUntil > c.now {
			continue
		}
		for _, id := range fullVoters(membership) {
			if findMember(membership, id).GetMachine() == fmt.Sprint(other.number) {
				leader.node.ReportDiskLost(id)
			}
		}
	}
}

// loseTwoDisks loses the disks of two full voters at once, or of one of two, unless the group is still
// recovering, or no remaining one belongs to the in-sync set: entries may then be on the lost disks only.
func (c *cluster) loseTwoDisks(choose chooser) {
	remaining := c.machines[choose("remaining", c.full)]
	if !c.repaired() || !c.isInSync(remaining) {
		return
	}
	c.doubleLosses++
	for offset := 1; offset <= min(2, c.full-1); offset++ {
		m := c.machines[(remaining.number+offset)%c.full]
		c.crash(m)
		m.disk = &disk{id: c.nextID}
		c.nextID++
		c.start(m)
	}
}

// isInSync reports whether a machine belongs to the in-sync set of the newest leader, and has synced the first
// entry of its term, hence all of earlier terms.
func (c *cluster) isInSync(m *machine) bool {
	var newest *machine
	term := uint64(0)
	for _, other := range c.allMachines() {
		if other.node == nil {
			continue
		}
		status := other.node.Status()
		term = max(term, status.Term)
		if status.Role == Leader && (newest == nil || status.Term > newest.node.Status().Term) {
			newest = other
		}
	}
	if newest == nil || newest.node.Status().Term < term || newest.node.leaderState.witnessLimit < newest.node.leaderCommit {
		return false
	}
	p := newest.node.leaderState.progress[m.disk.id]
	return p != nil && p.fullVoter && p.sync == inSync
}

// stopTwo stops two full voters for longer than an election timeout while the third serves requests.
func (c *cluster) stopTwo(remaining *machine) {
	for _, m := range c.machines[:c.full] {
		if m != remaining {
			c.crash(m)
		}
	}
	for range 4 * electionTicks {
		c.tick()
		c.submitRequests()
	}
}

// witnessCluster returns a cluster of three full voters and two witnesses, or two and one.
func witnessCluster(choose chooser, random *rand.Rand, faults clusterFaults) *cluster {
	if choose("size", 4) == 0 {
		return newClusterWithWitnesses(2, 1, random, faults)
	}
	return newClusterWithWitnesses(3, 2, random, faults)
}

// TestClusterInvariantsWithWitnesses checks that no committed entry is lost and a leader is elected if up to two
// of three full voters lose their disks at once or go away, under the other failures of the simulation,
// and that witnesses store no content.
func TestClusterInvariantsWithWitnesses(t *testing.T) {
	losses, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		choose := func(label string, count int) int { return rapid.IntRange(0, count-1).Draw(t, label) }
		eventSets := [][]event{witnessEvents, witnessEvents, witnessEvents, allEvents, leaseEvents, memberEvents, restartEvents, powerEvents}
		c := witnessCluster(choose, random, clusterFaults{})
		if err := c.run(choose, eventSets[choose("menu", len(eventSets))]); err != nil {
			t.Fatal(err)
		}
		losses += c.doubleLosses
	})
	t.Logf("two disks were lost at once %d times in %d runs", losses, runs)
	// There are fewer runs in short mode.
	if losses < runs/6 {
		t.Errorf("two disks were lost at once only %d times in %d runs", losses, runs)
	}
}

// TestWitnessSimulationFindsFaults checks that the simulation detects each rule of witnesses that is dropped.
func TestWitnessSimulationFindsFaults(t *testing.T) {
	const seeds = 2000
	run := func(seed uint64, faults clusterFaults) error {
		random := rand.New(rand.NewPCG(seed, 1))
		choose := func(_ string, count int) int { return random.IntN(count) }
		return newClusterWithWitnesses(3, 2, random, faults).run(choose, witnessEvents)
	}
	for name, faults := range map[string]faultInjection{
		"witnesses get all entries":  {witnessesGetAll: true},
		"content sent to witnesses":  {contentToWitnesses: true},
		"shrinking without evidence": {shrinkWithoutEvidence: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				found := run(seed, clusterFaults{core: faults})
				if found == nil {
					continue
				}
				t.Logf("seed %d: %v", seed, found)
				if falsePositive := run(seed, clusterFaults{}); falsePositive != nil {
					t.Fatalf("simulation fails without the fault: %v", falsePositive)
				}
				return
			}
			t.Fatalf("%d simulations did not detect the fault", seeds)
		})
	}
}

// await ticks until a condition holds.
func (c *cluster) await(what string, condition func() bool) {
	for range 100 * electionTicks {
		if condition() {
			return
		}
		c.tick()
	}
	c.failf("%s: not within %d election timeouts", what, 100)
}

// TestTwoFullVotersReturnAfterTheThirdLostItsDisk checks that two full voters that were only stopped elect a
// leader although the third served requests alone in the meantime and then lost its disk. If it had
// committed these with the witnesses, no leader could be elected again.
func TestTwoFullVotersReturnAfterTheThirdLostItsDisk(t *testing.T) {
	play := func(seed uint64, faults clusterFaults) error {
		c := newClusterWithWitnesses(3, 2, rand.New(rand.NewPCG(seed, 1)), faults)
		return c.guarded(func() {
			c.await("leader", func() bool { return c.leader() != nil })
			alone := c.leader()
			for range electionTicks {
				c.submitRequests()
				c.tick()
			}
			c.stopTwo(alone)
			before := len(c.committed)
			c.loseDisk(alone)
			for _, m := range c.machines[:3] {
				if m != alone {
					c.start(m)
				}
			}
			c.await("leader after the loss", func() bool { return c.leader() != nil })
			c.await("all that was committed", func() bool { return c.leader() != nil && int(c.leader().applied) > before })
			c.settle()
		})
	}
	for seed := range uint64(50) {
		if err := play(seed, clusterFaults{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if play(seed, clusterFaults{core: faultInjection{shrinkWithoutEvidence: true}}) == nil {
			t.Fatalf("seed %d passes although the in-sync set shrinks without evidence", seed)
		}
	}
}

// TestOneLostDiskBesideOneAbsentVoterStopsCommits checks that evidence for one full voter lets the leader not
// commit alone while another one is only away, and that commits resume when that one returns.
func TestOneLostDiskBesideOneAbsentVoterStopsCommits(t *testing.T) {
	c := newClusterWithWitnesses(3, 2, rand.New(rand.NewPCG(1, 1)), clusterFaults{})
	err := c.guarded(func() {
		c.await("leader", func() bool { return c.leader() != nil })
		alone := c.leader()
		others := slices.DeleteFunc(slices.Clone(c.machines[:3]), func(m *machine) bool { return m == alone })
		c.loseDisk(others[0])
		c.crash(others[1])
		c.start(others[0])
		for range 2 {
			c.tick()
		}
		committed := alone.node.log.committed
		for range 10 * electionTicks {
			c.submitRequests()
			c.tick()
		}
		if alone.node.Status().Role != Leader || alone.node.log.committed > committed+2 {
			c.failf("replica %d is %s and committed %d, was %d", alone.disk.id, alone.node.Status().Role, alone.node.log.committed, committed)
		}
		c.settle()
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestEvidenceOfALostDiskEndsWithAMessage checks that a full voter whose messages arrive again counts as present,
// as after a stale join call.
func TestEvidenceOfALostDiskEndsWithAMessage(t *testing.T) {
	c := newClusterWithWitnesses(3, 2, rand.New(rand.NewPCG(1, 1)), clusterFaults{})
	err := c.guarded(func() {
		c.await("leader", func() bool { return c.leader() != nil })
		leader := c.leader()
		leaderState := leader.node.leaderState
		for _, m := range c.machines[:3] {
			if m != leader {
				leader.node.ReportDiskLost(m.disk.id)
				if leader.node.diskLost(m.disk.id) {
					c.failf("evidence against the active replica %d counts", m.disk.id)
				}
				c.crash(m)
			}
		}
		for range 2 * electionTicks {
			c.tick()
		}
		for _, m := range c.machines[:3] {
			if m != leader {
				leader.node.ReportDiskLost(m.disk.id)
			}
		}
		if count := inSyncCount(leaderState); count != 1 {
			c.failf("%d in-sync voters after the evidence, want 1", count)
		}
		for _, m := range c.machines[:3] {
			c.start(m)
		}
		c.await("all in sync", func() bool { return inSyncCount(leaderState) == 3 })
		for _, m := range c.machines[:3] {
			if m != leader && leaderState.progress[m.disk.id].diskLost {
				c.failf("the evidence against replica %d remains", m.disk.id)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

func inSyncCount(state *leaderState) int {
	count := 0
	for _, p := range state.progress {
		if p.fullVoter && p.sync == inSync {
			count++
		}
	}
	return count
}

// TestWitnessFlagOfAMemberIsFixed checks that a witness can't become a full voter under its identity, with a log
// without content, and that a group keeps a full voter.
func TestWitnessFlagOfAMemberIsFixed(t *testing.T) {
	witness := &rockwindpb.Member{Id: 2, Witness: true}
	from := &rockwindpb.Membership{Members: []*rockwindpb.Member{{Id: 1}, witness}}
	for name, to := range map[string]*rockwindpb.Membership{
		"witness becomes full voter": {Members: []*rockwindpb.Member{{Id: 1}, {Id: 2}}},
		"full voter becomes witness": {Members: []*rockwindpb.Member{{Id: 1, Witness: true}, {Id: 3}}},
		"no full voter":              {Members: []*rockwindpb.Member{witness}},
	} {
		if checkWitnesses(from, to) == nil {
			t.Errorf("%s: allowed", name)
		}
	}
	if err := checkWitnesses(from, from); err != nil {
		t.Error(err)
	}
}
