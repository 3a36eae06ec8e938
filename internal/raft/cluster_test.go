package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	machineCount   = 3
	electionTicks  = 10
	heartbeatTicks = 2
	leaseTicks     = 7
)

// violation is what a simulation panics with when a property does not hold.
type violation struct{ text string }

// brokenBy is how a simulated cluster is broken on purpose.
type brokenBy struct {
	core faultInjection
	// reuseIdentity lets an empty disk come back under the identity of the lost one.
	reuseIdentity bool
}

// cluster is machines that run one group each, over a network and disks that
// fail. Its time counts in intervals of a tick.
type cluster struct {
	random   *rand.Rand
	faults   brokenBy
	now      uint64
	nextID   uint64
	machines []*machine
	// former holds machines that were replaced while they were cut off. They run
	// on, and may be heard again.
	former  []*machine
	flights []*rockwindpb.Message
	// cut holds pairs of machines, from and to, that do not hear each other.
	cut map[[2]int]bool
	// loss and repeat are the probabilities of a message to be lost and to come
	// again, delay that it stays under way for one more tick, from and to.
	loss, repeat float64
	delay        map[[2]int]float64

	// The oracle: what was committed first at each index, who led each term, and
	// what had been committed when a read was asked for.
	committed []*rockwindpb.Entry
	members   *rockwindpb.Membership
	leaders   map[uint64]uint64
	reads     map[uint64]uint64
	// disks holds all disks by identity, the lost ones with what they held.
	disks map[uint64]*disk
	// handingOver counts the times at which a leader was handing over for its slow disk.
	handingOver int
	// copied is the newest commit index whose copies were counted.
	copied uint64
}

// machine runs a replica on its disk. The node is nil while it is down.
type machine struct {
	number  int
	disk    *disk
	node    *Node
	pending *Ready
	// synced is when the pending Ready is synced, thawed when it runs again.
	synced, thawed uint64
	// syncTicks is how long each sync of its disk takes.
	syncTicks uint64
	applied   uint64
	noted     map[uint64]uint64
}

func newCluster(random *rand.Rand, faults brokenBy) *cluster {
	c := &cluster{
		random: random, faults: faults, nextID: machineCount + 1, members: &rockwindpb.Membership{},
		cut: map[[2]int]bool{}, leaders: map[uint64]uint64{}, reads: map[uint64]uint64{}, disks: map[uint64]*disk{}, delay: map[[2]int]float64{},
	}
	for number := range machineCount {
		c.members.Members = append(c.members.Members, &rockwindpb.Member{Id: uint64(number + 1), Machine: fmt.Sprint(number)})
	}
	for number := range machineCount {
		m := &machine{number: number, disk: &disk{id: uint64(number + 1), founding: c.members}}
		c.machines = append(c.machines, m)
		c.start(m)
	}
	return c
}

func (c *cluster) failf(format string, arguments ...any) {
	panic(violation{fmt.Sprintf("at %d: ", c.now) + fmt.Sprintf(format, arguments...)})
}

func (c *cluster) start(m *machine) {
	if m.node != nil {
		return
	}
	m.applied = m.disk.snapshot.GetIndex()
	c.disks[m.disk.id] = m.disk
	node, err := NewNode(Config{
		ID: m.disk.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, LeaseTicks: leaseTicks,
		MaxInflight: 4, MaxAppendBytes: 64, Random: c.random, Storage: m.disk, Applied: m.applied,
	})
	if err != nil {
		c.failf("replica %d does not start: %v", m.disk.id, err)
	}
	node.faults = c.faults.core
	m.node, m.noted = node, map[uint64]uint64{}
}

// crash ends a process; what it had not synced is written in part.
func (c *cluster) crash(m *machine) {
	if m.pending != nil {
		m.disk.tear(m.pending, c.random)
	}
	m.node, m.pending = nil, nil
}

// loseDisk ends a process and gives the machine a new disk, provided that the
// copies of an earlier lost disk were made again.
func (c *cluster) loseDisk(m *machine) {
	if !c.repaired() {
		return
	}
	c.crash(m)
	if c.faults.reuseIdentity {
		m.disk = &disk{id: m.disk.id, founding: c.members}
		return
	}
	m.disk = &disk{id: c.nextID}
	c.nextID++
}

// replaceMachine puts another machine with a new disk in the place of one that is
// cut off and still runs, under the same condition.
func (c *cluster) replaceMachine(m *machine) {
	if !c.repaired() {
		return
	}
	fresh := &machine{number: m.number, disk: &disk{id: c.nextID}}
	c.nextID++
	c.machines[m.number] = fresh
	c.former = append(c.former, m)
	m.number += machineCount
	for other := range machineCount {
		c.cutLink(m.number, other, true)
	}
	c.start(fresh)
}

func (c *cluster) everyMachine() []*machine {
	return slices.Concat(c.machines, c.former)
}

// repaired tells whether each machine's disk is a voter, by a committed change.
func (c *cluster) repaired() bool {
	for _, m := range c.machines {
		if !isVoter(c.members, m.disk.id) {
			return false
		}
	}
	return len(c.members.GetMembers()) == machineCount
}

// pass lets a tick interval go by.
func (c *cluster) pass() {
	c.now++
	for _, m := range c.everyMachine() {
		if m.node == nil || m.thawed > c.now {
			continue
		}
		c.checkLease(m)
		m.node.Tick()
		c.repair(m)
		c.work(m)
	}
	c.deliver()
	for _, m := range c.everyMachine() {
		c.observe(m)
	}
	c.checkLeaders()
}

// deliver brings messages to their machines in any order.
func (c *cluster) deliver() {
	waiting := c.flights
	c.flights = nil
	c.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, message := range waiting {
		from, to := c.machineOf(message.GetFrom()), c.machineOf(message.GetTo())
		switch {
		case to == nil || to.node == nil || c.random.Float64() < c.loss || c.isCut(from, to):
			reportSnapshot(from, message, false)
			continue
		case to.thawed > c.now || from != nil && c.random.Float64() < c.delay[[2]int{from.number, to.number}]:
			c.flights = append(c.flights, message)
			continue
		case c.random.Float64() < c.repeat:
			c.flights = append(c.flights, message)
		}
		if err := to.node.Step(message); err != nil && !errors.Is(err, ErrBadMessage) {
			c.failf("replica %d halts: %v", to.disk.id, err)
		}
		reportSnapshot(from, message, true)
		c.checkCopies(to)
		c.work(to)
	}
}

func (c *cluster) isCut(from, to *machine) bool {
	return from != nil && c.cut[[2]int{from.number, to.number}]
}

// reportSnapshot tells a leader how the transfer of a snapshot ended.
func reportSnapshot(from *machine, message *rockwindpb.Message, installed bool) {
	if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT && from != nil && from.node != nil {
		from.node.ReportSnapshot(message.GetTo(), installed)
	}
}

func (c *cluster) machineOf(id uint64) *machine {
	for _, m := range c.everyMachine() {
		if m.disk.id == id {
			return m
		}
	}
	return nil
}

// work takes the next Ready, and ends the one whose sync is over.
func (c *cluster) work(m *machine) {
	if m.pending == nil && m.node.HasReady() {
		ready := m.node.Ready()
		if _, known := m.noted[ready.HeartbeatRound]; !known {
			m.noted[ready.HeartbeatRound] = c.now
		}
		c.flights = append(c.flights, ready.MessagesBeforeSync...)
		m.pending = &ready
		m.synced = max(m.synced, c.now)
		if ready.MustSync {
			m.synced = max(m.synced, c.now+m.syncTicks)
		}
	}
	if m.pending == nil || m.synced > c.now {
		return
	}
	ready := m.pending
	m.pending = nil
	m.disk.store(ready, len(ready.Entries)+2)
	c.flights = append(c.flights, ready.Messages...)
	c.apply(m, ready)
	m.node.Advance(*ready)
	if m.node.SlowDiskTransferTarget() != 0 {
		c.handingOver++
	}
	c.checkCopies(m)
}

// checkCopies checks that a majority has synced what a leader commits.
func (c *cluster) checkCopies(m *machine) {
	status := m.node.Status()
	if status.Role != Leader || status.Commit <= c.copied || !m.node.log.hasTerm(status.Commit, status.Term) {
		return
	}
	c.copied = status.Commit
	copies := 0
	for _, id := range voters(status.Membership) {
		if held := c.disks[id]; held != nil && held.holds(status.Commit, status.Term) {
			copies++
		}
	}
	if copies < quorumOf(len(voters(status.Membership))) {
		c.failf("replica %d commits %d, which %d disks hold", m.disk.id, status.Commit, copies)
	}
}

// apply checks what a replica applies against what was committed first.
func (c *cluster) apply(m *machine, ready *Ready) {
	if ready.Snapshot != nil {
		m.applied = ready.Snapshot.GetIndex()
		if m.applied > uint64(len(c.committed)) || c.committed[m.applied-1].GetTerm() != ready.Snapshot.GetTerm() {
			c.failf("replica %d installs a snapshot of %d that was not committed", m.disk.id, m.applied)
		}
	}
	for _, entry := range ready.CommittedEntries {
		m.applied++
		if entry.GetIndex() != m.applied {
			c.failf("replica %d applies %d after %d", m.disk.id, entry.GetIndex(), m.applied-1)
		}
		c.commit(m, entry)
	}
	for _, read := range ready.ReadStates {
		if floor, asked := c.reads[read.Context]; !asked || read.Index < floor {
			c.failf("replica %d reads at %d, but %d were committed before", m.disk.id, read.Index, floor)
		}
	}
}

func (c *cluster) commit(m *machine, entry *rockwindpb.Entry) {
	if m.applied <= uint64(len(c.committed)) {
		if first := c.committed[m.applied-1]; !proto.Equal(first, entry) {
			c.failf("replica %d applies %v at %d, but %v was committed", m.disk.id, entry, m.applied, first)
		}
		return
	}
	c.committed = append(c.committed, entry)
	if entry.GetKind() == rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.members = &rockwindpb.Membership{}
		if err := proto.Unmarshal(entry.GetData(), c.members); err != nil {
			c.failf("membership: %v", err)
		}
	}
}

// observe checks that a term has one leader.
func (c *cluster) observe(m *machine) {
	if m.node == nil {
		return
	}
	if status := m.node.Status(); status.Role == Leader {
		if first, known := c.leaders[status.Term]; known && first != m.disk.id {
			c.failf("replicas %d and %d lead term %d", first, m.disk.id, status.Term)
		}
		c.leaders[status.Term] = m.disk.id
	}
}

// checkLease checks that a leader that may serve reads knows of everything that
// was committed anywhere.
func (c *cluster) checkLease(m *machine) {
	if !c.holdsLease(m) {
		return
	}
	status := m.node.Status()
	if status.Commit < uint64(len(c.committed)) {
		c.failf("replica %d holds a lease at %d, but %d are committed", m.disk.id, status.Commit, len(c.committed))
	}
}

// holdsLease tells whether a machine may serve reads as the leader.
func (c *cluster) holdsLease(m *machine) bool {
	noted, known := m.noted[m.node.LeaseRound()]
	// Ticks stand still while a process is frozen; then the clock decides.
	wasFrozen := m.thawed > 0
	return m.node.Status().LeaseValid && (!wasFrozen || known && c.now-noted < leaseTicks)
}

// checkLeaders checks that nobody holds a lease beside the leader of a newer term.
func (c *cluster) checkLeaders() {
	newest := uint64(0)
	for _, m := range c.everyMachine() {
		if m.node != nil && m.node.Status().Role == Leader {
			newest = max(newest, m.node.Status().Term)
		}
	}
	for _, m := range c.everyMachine() {
		if m.node != nil && m.node.Status().Term < newest && c.holdsLease(m) {
			c.failf("replica %d holds a lease of term %d beside the leader of term %d", m.disk.id, m.node.Status().Term, newest)
		}
	}
}

// repair lets a leader replace lost disks: a learner, then a voter, and then the
// old disk goes.
func (c *cluster) repair(m *machine) {
	status := m.node.Status()
	if status.Role != Leader || c.random.IntN(4) > 0 {
		return
	}
	changed := proto.CloneOf(status.Membership)
	for _, other := range c.machines {
		joined := findMember(changed, other.disk.id)
		name := fmt.Sprint(other.number)
		switch {
		case joined == nil && hears(status, name):
		case joined == nil:
			changed.Members = slices.DeleteFunc(changed.Members, func(member *rockwindpb.Member) bool {
				return member.GetMachine() == name && member.GetLearner()
			})
			changed.Members = append(changed.Members, &rockwindpb.Member{Id: other.disk.id, Machine: name, Learner: true})
		case joined.GetLearner():
			joined.Learner = false
		default:
			changed.Members = slices.DeleteFunc(changed.Members, func(member *rockwindpb.Member) bool {
				return member.GetMachine() == joined.GetMachine() && member.GetId() != joined.GetId()
			})
		}
		if !proto.Equal(changed, status.Membership) {
			_ = m.node.ProposeMembership(changed)
			return
		}
	}
}

// hears tells whether a leader hears a member of a machine's name.
func hears(status Status, name string) bool {
	return slices.ContainsFunc(status.Progress, func(progress ProgressStatus) bool {
		return progress.Active && findMember(status.Membership, progress.ID).GetMachine() == name
	})
}

// shrink has a leader ask for a membership of itself alone, which is refused.
func (c *cluster) shrink(m *machine) {
	if m.node == nil || m.node.Status().Role != Leader {
		return
	}
	alone := &rockwindpb.Membership{Members: []*rockwindpb.Member{proto.CloneOf(findMember(m.node.Status().Membership, m.disk.id))}}
	if len(voters(m.node.Status().Membership)) > 2 && m.node.ProposeMembership(alone) == nil && !c.faults.core.anyMembershipChange {
		c.failf("replica %d may remove two voters at once", m.disk.id)
	}
}
