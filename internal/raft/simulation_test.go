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

// TestMain fixes the seed, so that each run gives the same verdict; flags
// change it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// leastHandOvers bounds how rarely leaders hand over in the simulations of slow disks: in one
// of so many.
const leastHandOvers = 5

// events is how many events a simulation has.
const events = 60

// event is a kind of thing that happens to a cluster.
type event int

const (
	crash event = iota
	restart
	loseDisk
	fillDisk
	slowSync
	freeze
	cutLink
	cutOff
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
)

// Menus of events; what stands twice happens more often.
var (
	allEvents = []event{
		crash, restart, restart, loseDisk, fillDisk, slowSync, freeze, cutLink, cutOff, heal, heal,
		loseMessages, delayMessages, shrinkMembership, transfer, compactLog, replaceMachine,
	}
	// leaseEvents leave leaders that others do not hear any more.
	leaseEvents = []event{cutLink, cutOff, heal, heal, delayMessages}
	// answerEvents delay answers, too.
	answerEvents = []event{cutOff, heal, crash, restart, delayMessages}
	// termEvents bring leaders of older terms back.
	termEvents = []event{cutLink, heal, freeze, delayMessages}
	// memberEvents replace machines again and again.
	memberEvents = []event{replaceMachine, loseDisk, restart, cutLink, cutOff, heal, delayMessages}
	// diskEvents make disks slow for long, so that their leaders hand over.
	diskEvents = []event{slowDisk, slowDisk, slowDisk, slowLeader, slowLeader, cutLink, cutOff, heal, heal, heal, delayMessages, loseMessages, crash, restart}
	// restartEvents end many processes at once, while some may be cut off.
	restartEvents = []event{
		restartOthers, restartOthers, restartAll, cutOff, cutLink, heal, heal, loseMessages, delayMessages, crash, restart, transfer, replaceMachine,
	}
)

// chooser draws a number below count.
type chooser func(label string, count int) int

// simulate runs a new cluster through events that choose draws, lets it heal, and
// returns what did not hold.
func simulate(random *rand.Rand, choose chooser, menu []event, faults brokenBy) error {
	return newCluster(random, faults).play(choose, menu)
}

// play runs the cluster through events that choose draws, lets it heal, and returns what did
// not hold.
func (c *cluster) play(choose chooser, menu []event) (err error) {
	defer func() {
		switch found := recover().(type) {
		case nil:
		case violation:
			err = errors.New(found.text)
		default:
			panic(found)
		}
	}()
	for range events {
		m := c.machines[choose("machine", machineCount)]
		c.happen(m, menu[choose("event", len(menu))], choose)
		busy := float64(choose("busy", 3)) / 8
		for range choose("time", 2*electionTicks) {
			c.pass()
			if c.random.Float64() < busy {
				c.ask()
			}
		}
	}
	c.settle()
	return nil
}

// happen lets an event happen to a machine, or to all.
func (c *cluster) happen(m *machine, kind event, choose chooser) {
	switch kind {
	case crash:
		c.crash(m)
	case restart:
		for _, down := range c.machines {
			c.start(down)
		}
	case loseDisk:
		c.loseDisk(m)
	case fillDisk: // Nothing of the Ready can be written, and the replica ends.
		m.node, m.pending = nil, nil
	case slowSync:
		m.synced = c.now + uint64(choose("slow", 3*electionTicks))
	case slowDisk:
		m.syncTicks = uint64(choose("sync", electionTicks))
	case slowLeader:
		c.slowLeader(electionTicks/2 + uint64(choose("sync", electionTicks/2)))
	case freeze:
		m.thawed = c.now + uint64(choose("frozen", 3*electionTicks))
	case cutLink:
		c.cutLink(m.number, (m.number+1)%machineCount, choose("both", 2) == 1)
	case cutOff:
		both := choose("both", 2) == 1
		for other := range machineCount {
			c.cutLink(m.number, other, both)
		}
	case heal:
		clear(c.cut)
	case loseMessages:
		c.loss = float64(choose("loss", 4)) / 8
		c.repeat = float64(choose("repeat", 4)) / 8
	case delayMessages:
		for other := range machineCount {
			c.delay[[2]int{m.number, other}] = float64(choose("delay", 8)) / 8
			c.delay[[2]int{other, m.number}] = float64(choose("delay", 8)) / 8
		}
	case shrinkMembership:
		c.shrink(m)
	case transfer:
		c.transfer()
	case replaceMachine:
		c.replaceMachine(m)
	case restartOthers:
		c.restartBut(m)
	case restartAll:
		c.restartBut(nil)
	case compactLog:
		if m.node != nil && m.pending == nil && m.applied > 0 {
			m.disk.compact(m.applied, m.node.MembershipAt(m.applied))
		}
	}
}

// slowLeader gives whoever leads syncs of the given ticks, and the others none, while writes
// last long enough for a row of slow syncs.
func (c *cluster) slowLeader(ticks uint64) {
	for _, m := range c.machines {
		m.syncTicks = 0
		if m.node != nil && m.node.role == Leader {
			m.syncTicks = ticks
		}
	}
	for range (slowSyncsToHandOver + 1) * electionTicks {
		c.pass()
		if c.random.Float64() < 0.25 {
			c.ask()
		}
	}
}

// restartBut ends all processes but that of one machine, and starts them again.
func (c *cluster) restartBut(spared *machine) {
	for _, m := range c.machines {
		if m != spared {
			c.crash(m)
			c.start(m)
		}
	}
}

func (c *cluster) cutLink(from, to int, both bool) {
	c.cut[[2]int{from, to}] = true
	if both {
		c.cut[[2]int{to, from}] = true
	}
}

// transfer has whoever leads hand over.
func (c *cluster) transfer() {
	for _, leader := range c.machines {
		if leader.node != nil {
			_ = leader.node.TransferLeadership(0)
		}
	}
}

// ask sends a write and a read to each machine that leads.
func (c *cluster) ask() {
	for _, m := range c.machines {
		if m.node == nil {
			continue
		}
		if _, _, err := m.node.Propose(fmt.Append(nil, c.now, m.disk.id)); err != nil {
			continue
		}
		context := uint64(len(c.reads) + 1)
		if m.node.ReadIndex(context) == nil {
			c.reads[context] = uint64(len(c.committed))
		}
	}
}

// settle ends all failures; then every machine must hold everything, and the
// group must commit something new.
func (c *cluster) settle() {
	const patience = 400 * electionTicks
	clear(c.cut)
	clear(c.delay)
	c.former = nil
	c.loss, c.repeat = 0, 0
	for _, m := range c.machines {
		m.synced, m.syncTicks, m.thawed = 0, 0, min(m.thawed, c.now)
		c.start(m)
	}
	before := uint64(len(c.committed))
	for range patience {
		c.pass()
		if c.now%electionTicks == 0 {
			c.ask()
		}
		if c.holdsAfter(before) {
			return
		}
	}
	c.failf("the group commits nothing, or a machine does not hold all, although every machine runs")
}

// holdsAfter tells whether each machine's disk counts and holds more than was
// committed before.
func (c *cluster) holdsAfter(before uint64) bool {
	for _, m := range c.machines {
		if m.applied <= before {
			return false
		}
	}
	return c.repaired()
}

// TestGroupKeepsItsPromises runs clusters whose machines crash, freeze, lose
// disks, write slowly or in part and fill their disks, over a network that cuts,
// loses, repeats, delays and reorders.
func TestGroupKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		choose := func(label string, count int) int { return rapid.IntRange(0, count-1).Draw(t, label) }
		menus := [][]event{allEvents, allEvents, leaseEvents, answerEvents, termEvents, memberEvents, restartEvents}
		menu := menus[choose("menu", len(menus))]
		if err := simulate(random, choose, menu, brokenBy{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestGroupKeepsItsPromisesWithSlowDisks is the same for disks that are slow for long, whose
// leaders hand over.
func TestGroupKeepsItsPromisesWithSlowDisks(t *testing.T) {
	played, handedOver := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), brokenBy{})
		choose := func(label string, count int) int { return rapid.IntRange(0, count-1).Draw(t, label) }
		if err := c.play(choose, diskEvents); err != nil {
			t.Fatal(err)
		}
		played++
		if c.handingOver > 0 {
			handedOver++
		}
	})
	t.Logf("leaders hand over in %d of %d simulations", handedOver, played)
	if handedOver < played/leastHandOvers {
		t.Errorf("leaders hand over for slow disks in %d of %d simulations", handedOver, played)
	}
}

// TestSimulationFindsFaults shows that the simulation notices each way in which
// the core can be broken, and nothing where the core is whole.
func TestSimulationFindsFaults(t *testing.T) {
	const seeds = 4000
	for name, broken := range map[string]struct {
		faults brokenBy
		menu   []event
	}{
		"count self before sync":  {brokenBy{core: faultInjection{countSelfBeforeSync: true}}, allEvents},
		"accept stale term":       {brokenBy{core: faultInjection{acceptStaleTerm: true}}, termEvents},
		"answer before sync":      {brokenBy{core: faultInjection{answerBeforeSync: true}}, allEvents},
		"forget leader promise":   {brokenBy{core: faultInjection{forgetLeaderPromise: true}}, leaseEvents},
		"lease from answer":       {brokenBy{core: faultInjection{leaseFromAnswer: true}}, answerEvents},
		"any membership change":   {brokenBy{core: faultInjection{anyMembershipChange: true}}, allEvents},
		"lease during transfer":   {brokenBy{core: faultInjection{leaseDuringTransfer: true}}, append(leaseEvents, transfer, transfer)},
		"lease for a slow disk":   {brokenBy{core: faultInjection{leaseDuringTransfer: true}}, append(diskEvents, slowLeader, slowLeader, delayMessages, delayMessages)},
		"count a slow sync early": {brokenBy{core: faultInjection{countSelfBeforeSync: true}}, diskEvents},
		"vote after disk loss":    {brokenBy{reuseIdentity: true}, allEvents},
		"unanimous by majority":   {brokenBy{core: faultInjection{unanimousByMajority: true}}, restartEvents},
		"read without own commit": {brokenBy{core: faultInjection{readWithoutOwnCommit: true}}, allEvents},
	} {
		t.Run(name, func(t *testing.T) {
			seed, found := firstFailure(seeds, broken.menu, broken.faults)
			if found == nil {
				t.Fatalf("%d simulations did not notice the fault", seeds)
			}
			t.Logf("seed %d: %v", seed, found)
			if alarm := simulateSeed(seed, broken.menu, brokenBy{}); alarm != nil {
				t.Fatalf("without the fault: %v", alarm)
			}
		})
	}
}

// firstFailure runs simulations until one fails.
func firstFailure(seeds uint64, menu []event, faults brokenBy) (uint64, error) {
	for seed := range seeds {
		if err := simulateSeed(seed, menu, faults); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

func simulateSeed(seed uint64, menu []event, faults brokenBy) error {
	random := rand.New(rand.NewPCG(seed, 1))
	choose := func(_ string, count int) int { return random.IntN(count) }
	return simulate(random, choose, menu, faults)
}

// TestOlderTermsAreNotCommittedByCounting lets a new leader learn that a majority
// holds an entry of an older term. Another candidate could still replace that
// entry, so it is committed only with an entry of the leader's own term. This
// needs three leaders in a row, which simulations rarely bring about.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	for _, faults := range []faultInjection{{}, {commitOlderTerm: true}} {
		c := newCluster(rand.New(rand.NewPCG(1, 1)), brokenBy{})
		stored := &disk{
			id: 1, founding: c.members, hard: &rockwindpb.HardState{Term: 2},
			entries: []*rockwindpb.Entry{{Term: 1, Index: 1, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND}},
		}
		m := &machine{disk: stored}
		c.start(m)
		m.node.faults = faults
		answer := func(kind rockwindpb.MessageKind, index uint64) {
			c.work(m)
			reply := &rockwindpb.Message{Kind: kind, From: 2, To: 1, Term: 3, Index: index}
			if err := m.node.Step(reply); err != nil {
				t.Fatal(err)
			}
		}
		for m.node.Status().Role != PreCandidate {
			m.node.Tick()
		}
		answer(rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, 0)
		answer(rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, 0)
		answer(rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 1)
		if broken := m.node.Status().Commit != 0; broken != faults.commitOlderTerm {
			t.Fatalf("faults %+v: committed %d by counting", faults, m.node.Status().Commit)
		}
		answer(rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, 2)
		if m.node.Status().Commit != 2 {
			t.Fatalf("committed %d, although a majority holds 2 entries", m.node.Status().Commit)
		}
	}
}

// TestVotesCompareLogs asks a replica for votes that no pre-vote went before: it
// votes only for candidates whose log holds at least what its own holds.
func TestVotesCompareLogs(t *testing.T) {
	c := newCluster(rand.New(rand.NewPCG(1, 1)), brokenBy{})
	m := &machine{disk: &disk{
		id: 1, founding: c.members, hard: &rockwindpb.HardState{Term: 2},
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
		answers := m.node.Ready().Messages
		answer := answers[len(answers)-1]
		if answer.GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY || answer.GetReject() == candidate.granted {
			t.Errorf("candidate %+v got %v", candidate, answer)
		}
		m.node.Advance(Ready{})
	}
}
