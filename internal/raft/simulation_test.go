package raft

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestMain sets a fixed seed to make the tests reproducible. Flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// minTransferFraction is the required share of slow disk simulations with a leadership
// transfer, as one in this many.
const minTransferFraction = 5

// eventCount is the number of events in a simulation.
const eventCount = 60

// event is a kind of event in a simulated cluster.
type event int

const (
	crash event = iota
	restart
	loseDisk
	fillDisk
	slowSync
	suspend
	cutLink
	isolate
	heal
	loseMessages
	delayMessages
	shrinkMembership
	transfer
	compactLog
	replaceMachine
	restartOthers
	restartAll
	slowDisk
	slowLeader
	returnAll
	returnOthers
	loseLeaders
	loseTwoDisks
	stopTwo
)

// Sets of events to draw from. Repeated events are more likely.
var (
	allEvents = []event{
		crash, restart, restart, loseDisk, fillDisk, slowSync, suspend, cutLink, isolate, heal, heal,
		loseMessages, delayMessages, shrinkMembership, transfer, compactLog, replaceMachine,
	}
	// leaseEvents isolate leaders, which may still hold a lease.
	leaseEvents = []event{cutLink, isolate, heal, heal, delayMessages}
	// replyEvents also delay replies.
	replyEvents = []event{isolate, heal, crash, restart, delayMessages}
	// termEvents bring back leaders of earlier terms.
	termEvents = []event{cutLink, heal, suspend, delayMessages}
	// memberEvents replace machines repeatedly.
	memberEvents = []event{replaceMachine, loseDisk, restart, cutLink, isolate, heal, delayMessages}
	// diskEvents slow down disks for a long time, so that leaders transfer leadership.
	diskEvents = []event{slowDisk, slowDisk, slowDisk, slowLeader, slowLeader, cutLink, isolate, heal, heal, heal, delayMessages, loseMessages, crash, restart}
	// restartEvents restart many processes at once while others may be partitioned.
	restartEvents = []event{
		restartOthers, restartOthers, restartAll, isolate, cutLink, heal, heal, loseMessages, delayMessages, crash, restart, transfer, replaceMachine,
	}
)

// powerEvents let all or most machines lose power in the middle of replication, elections and
// membership changes, and restart one after the other.
var powerEvents = []event{
	returnAll, returnAll, returnAll, returnOthers, returnOthers, loseLeaders, loseLeaders, isolate, cutLink, heal, heal, loseMessages,
	delayMessages, crash, restart, transfer, compactLog, replaceMachine, slowSync, suspend,
}

// chooser draws a number in [0, count).
type chooser func(label string, count int) int

// simulate runs a new cluster; see cluster.run.
func simulate(random *rand.Rand, choose chooser, eventSet []event, faults clusterFaults) error {
	return newCluster(random, faults).run(choose, eventSet)
}

// run injects events drawn by choose, ends all failures and returns a violated invariant as
// an error.
func (c *cluster) run(choose chooser, eventSet []event) error {
	return c.guarded(func() { c.runEvents(choose, eventSet) })
}

// guarded calls a function and returns a violated invariant as an error.
func (c *cluster) guarded(simulate func()) (err error) {
	defer func() {
		switch found := recover().(type) {
		case nil:
		case violation:
			err = errors.New(found.text)
		default:
			panic(found)
		}
	}()
	simulate()
	return nil
}

func (c *cluster) runEvents(choose chooser, eventSet []event) {
	for range eventCount {
		m := c.machines[choose("machine", len(c.machines))]
		c.inject(m, eventSet[choose("event", len(eventSet))], choose)
		busy := float64(choose("busy", 3)) / 8
		for range choose("time", 2*electionTicks) {
			c.tick()
			if c.random.Float64() < busy {
				c.submitRequests()
			}
		}
	}
	c.settle()
}

// inject applies an event to a machine, or to the cluster.
func (c *cluster) inject(m *machine, kind event, choose chooser) {
	switch kind {
	case crash:
		c.crash(m)
	case restart:
		for _, down := range c.machines {
			c.start(down)
		}
	case loseDisk:
		c.loseDisk(m)
	case fillDisk: // No part of the Ready can be written, and the process stops.
		m.node, m.pending = nil, nil
	case slowSync:
		m.syncedAt = c.now + uint64(choose("slow", 3*electionTicks))
	case slowDisk:
		m.syncTicks = uint64(choose("sync", electionTicks))
	case slowLeader:
		c.slowLeader(electionTicks/2 + uint64(choose("sync", electionTicks/2)))
	case suspend:
		m.suspendedUntil = c.now + uint64(choose("frozen", 3*electionTicks))
	case cutLink:
		c.cutLink(m.number, (m.number+1)%len(c.machines), choose("both", 2) == 1)
	case isolate:
		both := choose("both", 2) == 1
		for other := range c.machines {
			c.cutLink(m.number, other, both)
		}
	case heal:
		clear(c.cut)
	case loseMessages:
		c.loss = float64(choose("loss", 4)) / 8
		c.repeat = float64(choose("repeat", 4)) / 8
	case delayMessages:
		for other := range c.machines {
			c.delay[[2]int{m.number, other}] = float64(choose("delay", 8)) / 8
			c.delay[[2]int{other, m.number}] = float64(choose("delay", 8)) / 8
		}
	case shrinkMembership:
		c.proposeSoleMember(m)
	case transfer:
		c.transfer()
	case replaceMachine:
		c.replaceMachine(m)
	case restartOthers:
		c.restartAllExcept(m)
	case restartAll:
		c.restartAllExcept(nil)
	case returnAll:
		c.powerReturns(nil, choose)
	case returnOthers:
		c.powerReturns(m, choose)
	case loseLeaders:
		for _, other := range c.machines {
			if other.node != nil && other.node.role == Leader {
				c.crash(other)
			}
		}
	case loseTwoDisks:
		c.loseTwoDisks(choose)
	case stopTwo:
		c.stopTwo(m)
	case compactLog:
		if m.node != nil && m.pending == nil && m.applied > 0 {
			m.disk.compact(m.applied, m.node.MembershipAt(m.applied))
		}
	}
}

// slowLeader makes each sync of the current leader take the given number of ticks, and those
// of the others none, and submits requests for long enough to cause a transfer.
func (c *cluster) slowLeader(ticks uint64) {
	for _, m := range c.machines {
		m.syncTicks = 0
		if m.node != nil && m.node.role == Leader {
			m.syncTicks = ticks
		}
	}
	for range (slowSyncsBeforeTransfer + 1) * electionTicks {
		c.tick()
		if c.random.Float64() < 0.25 {
			c.submitRequests()
		}
	}
}

// restartAllExcept restarts all processes except one; nil restarts all.
func (c *cluster) restartAllExcept(excepted *machine) {
	for _, m := range c.machines {
		if m != excepted {
			c.crash(m)
			c.start(m)
		}
	}
}

// powerReturns crashes all machines except one, nil for none, after some requests, and starts them
// one after the other. Some stay down until a later restart.
func (c *cluster) powerReturns(excepted *machine, choose chooser) {
	for range choose("work", electionTicks) {
		c.submitRequests()
		c.tick()
	}
	for _, m := range c.machines {
		if m != excepted {
			c.crash(m)
		}
	}
	for _, position := range c.random.Perm(len(c.machines)) {
		if choose("absent", 6) > 0 {
			c.start(c.machines[position])
		}
		for range choose("stagger", electionTicks/2) {
			c.tick()
		}
	}
}

func (c *cluster) cutLink(from, to int, both bool) {
	c.cut[[2]int{from, to}] = true
	if both {
		c.cut[[2]int{to, from}] = true
	}
}

// transfer makes the current leader transfer leadership.
func (c *cluster) transfer() {
	for _, leader := range c.machines {
		if leader.node != nil {
			_ = leader.node.TransferLeadership(0)
		}
	}
}

// submitRequests submits a proposal and a read to each leader.
func (c *cluster) submitRequests() {
	for _, m := range c.machines {
		if m.node == nil {
			continue
		}
		if _, _, err := m.node.Propose(fmt.Append(nil, c.now, m.disk.id)); err != nil {
			continue
		}
		context := uint64(len(c.reads) + 1)
		if m.node.ReadIndex(context) == nil {
			c.reads[context] = c.checkedCommit
		}
	}
}

// settle ends all failures. Every machine must then catch up, and the group must commit a
// new entry.
func (c *cluster) settle() {
	const maxTicks = 400 * electionTicks
	clear(c.cut)
	clear(c.delay)
	c.replacedMachines = nil
	c.loss, c.repeat = 0, 0
	for _, m := range c.machines {
		m.syncedAt, m.syncTicks, m.suspendedUntil = 0, 0, min(m.suspendedUntil, c.now)
		c.start(m)
	}
	before := uint64(len(c.committed))
	for range maxTicks {
		c.tick()
		if c.now%electionTicks == 0 {
			c.submitRequests()
		}
		if c.holdsAfter(before) {
			c.checkConfirmedEntries()
			return
		}
	}
	c.failf("the group commits nothing, or a machine does not catch up, although all machines run")
}

// holdsAfter reports whether the group is repaired and every machine has applied more than
// the given index.
func (c *cluster) holdsAfter(before uint64) bool {
	for _, m := range c.machines {
		if m.applied <= before {
			return false
		}
	}
	return c.repaired()
}

// TestClusterInvariants runs clusters with crashes, suspended processes, lost, full and slow
// disks, and torn writes, over a network that partitions, loses, duplicates, delays and
// reorders messages.
func TestClusterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		choose := func(label string, count int) int { return rapid.IntRange(0, count-1).Draw(t, label) }
		eventSets := [][]event{allEvents, allEvents, leaseEvents, replyEvents, termEvents, memberEvents, restartEvents}
		eventSet := eventSets[choose("menu", len(eventSets))]
		if err := simulate(random, choose, eventSet, clusterFaults{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestClusterInvariantsWithSlowDisks runs clusters with disks that are slow for a long time,
// so that leaders transfer leadership.
func TestClusterInvariantsWithSlowDisks(t *testing.T) {
	runs, withTransfer := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), clusterFaults{})
		choose := func(label string, count int) int { return rapid.IntRange(0, count-1).Draw(t, label) }
		if err := c.run(choose, diskEvents); err != nil {
			t.Fatal(err)
		}
		runs++
		if c.slowDiskTransfers > 0 {
			withTransfer++
		}
	})
	t.Logf("leaders transfer leadership in %d of %d simulations", withTransfer, runs)
	if withTransfer < runs/minTransferFraction {
		t.Errorf("leaders transfer leadership because of slow disks in only %d of %d simulations", withTransfer, runs)
	}
}

// TestSimulationFindsFaults checks that the simulation detects each injected fault, and that
// the same simulation passes without it.
func TestSimulationFindsFaults(t *testing.T) {
	const seeds = 4000
	for name, broken := range map[string]struct {
		faults   clusterFaults
		eventSet []event
	}{
		"count self before sync":  {clusterFaults{core: faultInjection{countSelfBeforeSync: true}}, allEvents},
		"accept stale term":       {clusterFaults{core: faultInjection{acceptStaleTerm: true}}, termEvents},
		"reply before sync":       {clusterFaults{core: faultInjection{replyBeforeSync: true}}, allEvents},
		"ignore leader lease":     {clusterFaults{core: faultInjection{ignoreLeaderLease: true}}, leaseEvents},
		"lease from reply":        {clusterFaults{core: faultInjection{leaseFromReply: true}}, replyEvents},
		"any membership change":   {clusterFaults{core: faultInjection{anyMembershipChange: true}}, allEvents},
		"lease during transfer":   {clusterFaults{core: faultInjection{leaseDuringTransfer: true}}, append(leaseEvents, transfer, transfer)},
		"lease for a slow disk":   {clusterFaults{core: faultInjection{leaseDuringTransfer: true}}, append(diskEvents, slowLeader, slowLeader, delayMessages, delayMessages)},
		"count a slow sync early": {clusterFaults{core: faultInjection{countSelfBeforeSync: true}}, diskEvents},
		"vote after disk loss":    {clusterFaults{reuseIdentity: true}, allEvents},
		"unanimous by majority":   {clusterFaults{core: faultInjection{unanimousByMajority: true}}, restartEvents},
		"read without own commit": {clusterFaults{core: faultInjection{readWithoutOwnCommit: true}}, allEvents},
	} {
		t.Run(name, func(t *testing.T) {
			seed, found := firstFailure(seeds, broken.eventSet, broken.faults)
			if found == nil {
				t.Fatalf("%d simulations did not detect the fault", seeds)
			}
			t.Logf("seed %d: %v", seed, found)
			if falsePositive := simulateSeed(seed, broken.eventSet, clusterFaults{}); falsePositive != nil {
				t.Fatalf("simulation fails without the fault: %v", falsePositive)
			}
		})
	}
}

// firstFailure returns the first seed whose simulation fails, and the error.
func firstFailure(seeds uint64, eventSet []event, faults clusterFaults) (uint64, error) {
	for seed := range seeds {
		if err := simulateSeed(seed, eventSet, faults); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

func simulateSeed(seed uint64, eventSet []event, faults clusterFaults) error {
	random := rand.New(rand.NewPCG(seed, 1))
	choose := func(_ string, count int) int { return random.IntN(count) }
	return simulate(random, choose, eventSet, faults)
}

// TestOlderTermsAreNotCommittedByCounting checks that an entry of an earlier term on a
// majority is committed only together with an entry of the leader's own term, because another
// candidate could still replace it. Random simulations rarely reach this case.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	for _, faults := range []faultInjection{{}, {commitOlderTerm: true}} {
		c := newCluster(rand.New(rand.NewPCG(1, 1)), clusterFaults{})
		stored := &disk{
			id: 1, initialMembership: c.members, hardState: &rockwindpb.HardState{Term: 2},
			entries: []*rockwindpb.Entry{{Term: 1, Index: 1, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND}},
		}
		m := &machine{disk: stored}
		c.start(m)
		m.node.faults = faults
		stepReply := func(kind rockwindpb.MessageKind, index uint64) {
			c.processReady(m)
			reply := &rockwindpb.Message{Kind: kind, From: 2, To: 1, Term: 3, Index: index}
			if err := m.node.Step(reply); err != nil {
				t.Fatal(err)
			}
		}
		for m.node.Status().Role != PreCandidate {
			m.node.Tick()
		}
		stepReply(rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, 0)
		stepReply(rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, 0)
		stepReply(rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 1)
		if broken := m.node.Status().Commit != 0; broken != faults.commitOlderTerm {
			t.Fatalf("faults %+v: committed %d by counting", faults, m.node.Status().Commit)
		}
		stepReply(rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2)
		if m.node.Status().Commit != 2 {
			t.Fatalf("committed index %d, although a majority holds 2 entries", m.node.Status().Commit)
		}
	}
}

// TestVotesCompareLogs checks that a replica votes only for candidates whose log is up to
// date, even without a preceding pre-vote.
func TestVotesCompareLogs(t *testing.T) {
	c := newCluster(rand.New(rand.NewPCG(1, 1)), clusterFaults{})
	m := &machine{disk: &disk{
		id: 1, initialMembership: c.members, hardState: &rockwindpb.HardState{Term: 2},
		entries: []*rockwindpb.Entry{{Term: 1, Index: 1}, {Term: 2, Index: 2}},
	}}
	c.start(m)
	for range electionTicks {
		m.node.Tick()
	}
	term := m.node.Status().Term
	for _, candidate := range []struct {
		logTerm, index uint64
		granted        bool
	}{{1, 9, false}, {2, 1, false}, {2, 2, true}, {3, 1, true}} {
		term++
		vote := &rockwindpb.Message{
			Kind: rockwindpb.MessageKind_MESSAGE_KIND_VOTE, From: 2, To: 1,
			Term: term, LogTerm: candidate.logTerm, Index: candidate.index,
		}
		if err := m.node.Step(vote); err != nil {
			t.Fatal(err)
		}
		replies := m.node.Ready().Messages
		reply := replies[len(replies)-1]
		if reply.GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY || reply.GetReject() == candidate.granted {
			t.Errorf("candidate %+v got reply %v", candidate, reply)
		}
		m.node.Advance(Ready{})
	}
}
