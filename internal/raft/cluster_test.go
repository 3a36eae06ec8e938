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

// violation is the panic value for a violated invariant.
type violation struct{ text string }

// clusterFaults are faults that a simulated cluster has on purpose.
type clusterFaults struct {
	core faultInjection
	// reuseIdentity gives the empty disk that replaces a lost one the same identity.
	reuseIdentity bool
}

// cluster simulates machines with one replica of a group each, an unreliable network and
// failing disks. Time is counted in tick intervals.
type cluster struct {
	random   *rand.Rand
	faults   clusterFaults
	now      uint64
	nextID   uint64
	machines []*machine
	// replacedMachines holds machines that were replaced while they were partitioned. They
	// keep running and may be reconnected.
	replacedMachines []*machine
	inFlight         []*rockwindpb.Message
	// cut holds the broken links between machines, as from and to.
	cut map[[2]int]bool
	// loss and repeat are the probabilities that a message is lost or duplicated. delay is
	// the probability that a message stays in flight for another tick, by from and to.
	loss, repeat float64
	delay        map[[2]int]float64

	// The expected state: the committed entries, the membership that they result in, the
	// leader of each term, and the number of committed entries when a read was requested.
	committed []*rockwindpb.Entry
	members   *rockwindpb.Membership
	leaders   map[uint64]uint64
	reads     map[uint64]uint64
	// disks holds all disks by identity, including lost ones.
	disks map[uint64]*disk
	// slowDiskTransfers counts the processed Readys after which a leader was transferring
	// leadership because of a slow disk.
	slowDiskTransfers int
	// checkedCommit is the highest commit index of any leader, up to which checkCopies has checked
	// the entries.
	checkedCommit uint64
	// confirmed holds the last entries of confirmed states. starts counts the starts of
	// replicas, and confirmations those that confirmed a state.
	confirmed             []*rockwindpb.Entry
	starts, confirmations uint64
	// full is the number of machines that are no witnesses; the others follow them. It is the number of all
	// machines in a cluster without witnesses.
	full int
	// appliedByWitness holds the indexes that only witnesses have applied so far, whose content is unknown.
	appliedByWitness map[uint64]bool
	// doubleLosses counts the simultaneous losses of two disks.
	doubleLosses int
}

// machine runs a replica on a disk. node is nil while the process is down.
type machine struct {
	number  int
	disk    *disk
	node    *Node
	pending *Ready
	// syncedAt is when the sync of the pending Ready ends, and suspendedUntil is when a
	// suspended process resumes.
	syncedAt, suspendedUntil uint64
	// syncTicks is the duration of each sync of the disk.
	syncTicks uint64
	applied   uint64
	// roundStart holds the time at which each heartbeat round was first seen in a Ready.
	roundStart map[uint64]uint64
	// polls holds, in ascending order, the newest poll of each Ready and the highest index that a
	// leader had committed by then. hadLeader reports whether the replica has led or followed a leader
	// since its start, and confirmed whether it has confirmed a state.
	polls                []sentPoll
	hadLeader, confirmed bool
}

// sentPoll is a poll with the highest index that a leader had committed when it was sent.
type sentPoll struct{ poll, committed uint64 }

func newCluster(random *rand.Rand, faults clusterFaults) *cluster {
	return newClusterOf(machineCount, random, faults)
}

func newClusterOf(size int, random *rand.Rand, faults clusterFaults) *cluster {
	return newClusterWithWitnesses(size, 0, random, faults)
}

// newClusterWithWitnesses returns a cluster of full voters followed by witnesses.
func newClusterWithWitnesses(full, witnesses int, random *rand.Rand, faults clusterFaults) *cluster {
	size := full + witnesses
	c := &cluster{
		random: random, faults: faults, nextID: uint64(size) + 1, members: &rockwindpb.Membership{},
		full: full, appliedByWitness: map[uint64]bool{},
		cut: map[[2]int]bool{}, leaders: map[uint64]uint64{}, reads: map[uint64]uint64{}, disks: map[uint64]*disk{}, delay: map[[2]int]float64{},
	}
	for number := range size {
		c.members.Members = append(c.members.Members, &rockwindpb.Member{Id: uint64(number + 1), Machine: fmt.Sprint(number), Witness: number >= full})
	}
	for number := range size {
		m := &machine{number: number, disk: &disk{id: uint64(number + 1), initialMembership: c.members}}
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
	c.starts++
	node, err := NewNode(Config{
		ID: m.disk.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, LeaseTicks: leaseTicks,
		MaxInflight: 4, MaxAppendBytes: 64, Random: c.random, Storage: m.disk, Applied: m.applied,
		FirstPoll: c.starts << 32,
	})
	if err != nil {
		c.failf("replica %d fails to start: %v", m.disk.id, err)
	}
	node.faults = c.faults.core
	m.node, m.roundStart, m.polls = node, map[uint64]uint64{}, nil
	m.hadLeader, m.confirmed = false, false
}

// crash stops a process and writes its unsynced data in part.
func (c *cluster) crash(m *machine) {
	if m.pending != nil {
		m.disk.storePartially(m.pending, c.random)
	}
	m.node, m.pending = nil, nil
}

// loseDisk stops a process and gives the machine an empty disk, unless the group is still
// recovering from an earlier loss.
func (c *cluster) loseDisk(m *machine) {
	if !c.repaired() {
		return
	}
	c.crash(m)
	if c.faults.reuseIdentity {
		m.disk = &disk{id: m.disk.id, initialMembership: c.members}
		return
	}
	m.disk = &disk{id: c.nextID}
	c.nextID++
}

// replaceMachine replaces a machine by one with an empty disk, unless the group is still
// recovering from an earlier loss. The old machine is partitioned but keeps running.
func (c *cluster) replaceMachine(m *machine) {
	if !c.repaired() {
		return
	}
	fresh := &machine{number: m.number, disk: &disk{id: c.nextID}}
	c.nextID++
	c.machines[m.number] = fresh
	c.replacedMachines = append(c.replacedMachines, m)
	m.number += len(c.machines)
	for other := range c.machines {
		c.cutLink(m.number, other, true)
	}
	c.start(fresh)
}

func (c *cluster) allMachines() []*machine {
	return slices.Concat(c.machines, c.replacedMachines)
}

// repaired reports whether the committed membership consists of one voter per machine.
func (c *cluster) repaired() bool {
	for _, m := range c.machines {
		if !isVoter(c.members, m.disk.id) {
			return false
		}
	}
	return len(c.members.GetMembers()) == len(c.machines)
}

// tick simulates one tick interval.
func (c *cluster) tick() {
	c.now++
	for _, m := range c.allMachines() {
		if m.node == nil || m.suspendedUntil > c.now {
			continue
		}
		c.checkLease(m)
		m.node.Tick()
		c.repair(m)
		c.processReady(m)
	}
	c.deliver()
	for _, m := range c.allMachines() {
		c.checkSingleLeader(m)
		c.checkConfirmation(m)
		c.checkLeaderHoldsConfirmed(m)
	}
	c.checkStaleLeases()
}

// deliver delivers the messages in flight in random order.
func (c *cluster) deliver() {
	waiting := c.inFlight
	c.inFlight = nil
	c.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, message := range waiting {
		from, to := c.machineOf(message.GetFrom()), c.machineOf(message.GetTo())
		switch {
		case to == nil || to.node == nil || c.random.Float64() < c.loss || c.isCut(from, to):
			reportSnapshot(from, message, false)
			continue
		case to.suspendedUntil > c.now || from != nil && c.random.Float64() < c.delay[[2]int{from.number, to.number}]:
			c.inFlight = append(c.inFlight, message)
			continue
		case c.random.Float64() < c.repeat:
			c.inFlight = append(c.inFlight, message)
		}
		if err := to.node.Step(message); err != nil && !errors.Is(err, ErrBadMessage) {
			c.failf("replica %d halts: %v", to.disk.id, err)
		}
		reportSnapshot(from, message, true)
		c.checkCopies(to)
		c.checkConfirmation(to)
		c.processReady(to)
	}
}

func (c *cluster) isCut(from, to *machine) bool {
	return from != nil && c.cut[[2]int{from.number, to.number}]
}

// reportSnapshot tells a leader the result of a snapshot transfer.
func reportSnapshot(from *machine, message *rockwindpb.Message, installed bool) {
	if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT && from != nil && from.node != nil {
		from.node.ReportSnapshot(message.GetTo(), installed)
	}
}

func (c *cluster) machineOf(id uint64) *machine {
	for _, m := range c.allMachines() {
		if m.disk.id == id {
			return m
		}
	}
	return nil
}

// processReady takes the next Ready and completes the pending one if its sync is over.
func (c *cluster) processReady(m *machine) {
	if m.pending == nil && m.node.HasReady() {
		ready := m.node.Ready()
		if _, known := m.roundStart[ready.HeartbeatRound]; !known {
			m.roundStart[ready.HeartbeatRound] = c.now
		}
		if count := len(m.polls); count == 0 || m.polls[count-1].poll < ready.Poll {
			m.polls = append(m.polls, sentPoll{ready.Poll, c.checkedCommit})
		}
		c.inFlight = append(c.inFlight, ready.MessagesBeforeSync...)
		m.pending = &ready
		m.syncedAt = max(m.syncedAt, c.now)
		if ready.MustSync {
			m.syncedAt = max(m.syncedAt, c.now+m.syncTicks)
		}
	}
	if m.pending == nil || m.syncedAt > c.now {
		return
	}
	ready := m.pending
	m.pending = nil
	m.disk.store(ready, len(ready.Entries)+2)
	c.inFlight = append(c.inFlight, ready.Messages...)
	c.apply(m, ready)
	m.node.Advance(*ready)
	if m.node.SlowDiskTransferTarget() != 0 {
		c.slowDiskTransfers++
	}
	c.checkCopies(m)
}

// checkCopies checks that a majority has synced the entry at a leader's commit index.
func (c *cluster) checkCopies(m *machine) {
	status := m.node.Status()
	if status.Role != Leader || status.Commit <= c.checkedCommit || !m.node.log.hasTerm(status.Commit, status.Term) {
		return
	}
	c.checkedCommit = status.Commit
	copies := 0
	for _, id := range voters(status.Membership) {
		if held := c.disks[id]; held != nil && held.holds(status.Commit, status.Term) {
			copies++
		}
	}
	if copies < quorumOf(len(voters(status.Membership))) {
		c.failf("replica %d commits index %d, which only %d disks hold", m.disk.id, status.Commit, copies)
	}
}

// checkConfirmation checks that a confirmed state holds everything that was committed when its
// poll was sent, and is not reported by a replica that has led or followed a leader. Whether it holds
// nothing else is checked when its entries are applied, and at the end.
func (c *cluster) checkConfirmation(m *machine) {
	if m.node == nil || m.node.halted != nil {
		return
	}
	status := m.node.Status()
	m.hadLeader = m.hadLeader || status.Leader != 0
	if status.ConfirmedPoll == 0 {
		return
	}
	if m.hadLeader {
		c.failf("replica %d reports a confirmed state after it led or followed a leader", m.disk.id)
	}
	sent := slices.IndexFunc(m.polls, func(sent sentPoll) bool { return sent.poll >= status.ConfirmedPoll })
	if sent < 0 || status.ConfirmedPoll <= m.node.config.FirstPoll {
		c.failf("replica %d confirms its state by a poll from before its restart", m.disk.id)
	}
	if held := m.polls[sent].committed; status.Commit < held {
		c.failf("replica %d confirms its state at index %d, but %d entries were committed before", m.disk.id, status.Commit, held)
	}
	if m.confirmed {
		return
	}
	m.confirmed = true
	c.confirmations++
	last, err := m.node.log.lastTerm()
	if err != nil {
		c.failf("replica %d cannot read its last term: %v", m.disk.id, err)
	}
	c.confirmed = append(c.confirmed, &rockwindpb.Entry{Index: status.LastIndex, Term: last})
}

// checkLeaderHoldsConfirmed checks that each leader of a later term holds the last entry of each
// confirmed state.
func (c *cluster) checkLeaderHoldsConfirmed(m *machine) {
	if m.node == nil || m.node.role != Leader {
		return
	}
	for _, entry := range c.confirmed {
		compacted := entry.GetIndex() < m.node.log.firstIndex()
		if entry.GetTerm() < m.node.term && !compacted && !m.node.log.hasTerm(entry.GetIndex(), entry.GetTerm()) {
			c.failf("replica %d leads term %d without entry %d of term %d, which was confirmed", m.disk.id, m.node.term, entry.GetIndex(), entry.GetTerm())
		}
	}
}

// checkConfirmedEntries checks, once all machines have caught up, that the last entry of each
// confirmed state was committed.
func (c *cluster) checkConfirmedEntries() {
	for _, entry := range c.confirmed {
		if index := entry.GetIndex(); index > uint64(len(c.committed)) || c.committed[index-1].GetTerm() != entry.GetTerm() {
			c.failf("entry %d of term %d was confirmed, but is not committed", entry.GetIndex(), entry.GetTerm())
		}
	}
}

// apply checks the entries and reads of a Ready against the expected state.
func (c *cluster) apply(m *machine, ready *Ready) {
	if ready.Snapshot != nil {
		m.applied = ready.Snapshot.GetIndex()
		if m.applied > uint64(len(c.committed)) || c.committed[m.applied-1].GetTerm() != ready.Snapshot.GetTerm() {
			c.failf("replica %d installs a snapshot at index %d that was not committed", m.disk.id, m.applied)
		}
	}
	for _, entry := range ready.CommittedEntries {
		m.applied++
		if entry.GetIndex() != m.applied {
			c.failf("replica %d applies index %d after %d", m.disk.id, entry.GetIndex(), m.applied-1)
		}
		c.recordCommitted(m, entry)
	}
	c.checkNoContent(m)
	for _, read := range ready.ReadStates {
		if floor, asked := c.reads[read.Context]; !asked || read.Index < floor {
			c.failf("replica %d reads at index %d, but %d entries were committed before", m.disk.id, read.Index, floor)
		}
	}
}

func (c *cluster) recordCommitted(m *machine, entry *rockwindpb.Entry) {
	if m.applied <= uint64(len(c.committed)) {
		if c.withWitnesses() && (c.isWitness(m) || c.appliedByWitness[m.applied]) {
			c.recordBesideWitness(m, entry)
			return
		}
		if first := c.committed[m.applied-1]; !proto.Equal(first, entry) {
			c.failf("replica %d applies %v at index %d, but %v was committed", m.disk.id, entry, m.applied, first)
		}
		return
	}
	c.committed = append(c.committed, entry)
	if c.isWitness(m) {
		c.appliedByWitness[m.applied] = true
	}
	if entry.GetKind() == rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.members = &rockwindpb.Membership{}
		if err := proto.Unmarshal(entry.GetData(), c.members); err != nil {
			c.failf("decode membership: %v", err)
		}
	}
}

// checkSingleLeader checks that each term has at most one leader.
func (c *cluster) checkSingleLeader(m *machine) {
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

// checkLease checks that a leader with a valid lease has committed everything that any leader committed. A
// confirmed state may hold entries that a running leader has not committed yet because all members
// that acknowledged them restarted; no writer has received an acknowledgement of these.
func (c *cluster) checkLease(m *machine) {
	if !c.holdsLease(m) {
		return
	}
	status := m.node.Status()
	if status.Commit < c.checkedCommit {
		c.failf("replica %d holds a lease at index %d, but %d entries are committed", m.disk.id, status.Commit, c.checkedCommit)
	}
}

// holdsLease reports whether a machine may serve reads as leader.
func (c *cluster) holdsLease(m *machine) bool {
	started, known := m.roundStart[m.node.LeaseRound()]
	// Ticks stop while a process is suspended, so the clock is checked as well.
	wasSuspended := m.suspendedUntil > 0
	return m.node.Status().LeaseValid && (!wasSuspended || known && c.now-started < leaseTicks)
}

// checkStaleLeases checks that no replica holds a lease while a leader of a newer term
// exists.
func (c *cluster) checkStaleLeases() {
	newest := uint64(0)
	for _, m := range c.allMachines() {
		if m.node != nil && m.node.Status().Role == Leader {
			newest = max(newest, m.node.Status().Term)
		}
	}
	for _, m := range c.allMachines() {
		if m.node != nil && m.node.Status().Term < newest && c.holdsLease(m) {
			c.failf("replica %d holds a lease of term %d while term %d has a leader", m.disk.id, m.node.Status().Term, newest)
		}
	}
}

// repair lets a leader replace lost disks: it adds the new disk as a learner, promotes it
// to a voter and removes the old disk.
func (c *cluster) repair(m *machine) {
	status := m.node.Status()
	if status.Role != Leader || c.random.IntN(4) > 0 {
		return
	}
	if c.withWitnesses() {
		c.reportLostDisks(m)
	}
	changed := proto.CloneOf(status.Membership)
	for _, other := range c.machines {
		joined := findMember(changed, other.disk.id)
		name := fmt.Sprint(other.number)
		switch {
		case joined == nil && hearsMachine(status, name):
		case joined == nil:
			changed.Members = slices.DeleteFunc(changed.Members, func(member *rockwindpb.Member) bool {
				return member.GetMachine() == name && member.GetLearner()
			})
			changed.Members = append(changed.Members, &rockwindpb.Member{Id: other.disk.id, Machine: name, Learner: true, Witness: other.number >= c.full})
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

// hearsMachine reports whether a leader has recently heard from a member on a machine.
func hearsMachine(status Status, name string) bool {
	return slices.ContainsFunc(status.Progress, func(progress ProgressStatus) bool {
		return progress.Active && findMember(status.Membership, progress.ID).GetMachine() == name
	})
}

// proposeSoleMember lets a leader propose a membership of itself alone, which must be
// rejected.
func (c *cluster) proposeSoleMember(m *machine) {
	if m.node == nil || m.node.Status().Role != Leader {
		return
	}
	alone := &rockwindpb.Membership{Members: []*rockwindpb.Member{proto.CloneOf(findMember(m.node.Status().Membership, m.disk.id))}}
	if len(voters(m.node.Status().Membership)) > 2 && m.node.ProposeMembership(alone) == nil && !c.faults.core.anyMembershipChange {
		c.failf("replica %d may remove two voters at once", m.disk.id)
	}
}
