package raft

import (
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// leading is the state of a leader, for its term.
type leading struct {
	progress map[uint64]*progress
	// heartbeatElapsed counts ticks since the last heartbeats.
	heartbeatElapsed int
	// transferTarget is the member that leadership is being handed to.
	transferTarget  uint64
	transferElapsed int
	// leaseRevoked is set once a member was told to take over: from then on
	// the members vote regardless of leases.
	leaseRevoked bool
	// sentRounds holds the rounds that no quorum has answered, and the newest
	// that one has, ascending.
	sentRounds []sentRound
	// confirmedRound is the newest round that a quorum answered.
	confirmedRound uint64
	leaseStart     uint64
	reads          []pendingRead
	// sync is the write of the own log that is under way, and slowSyncs how many in a row were
	// much slower than those of a quorum.
	sync      ownSync
	slowSyncs int
	// slowDisk tells that the last transfer was for that.
	slowDisk bool
}

// sentRound is the tick at which a heartbeat round was made.
type sentRound struct {
	round uint64
	tick  uint64
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.granted = nil
	n.restarted, n.polled, n.unanimous = false, nil, false
	n.electionElapsed = 0
	n.leading = &leading{progress: make(map[uint64]*progress)}
	n.trackMembers()
	n.leading.progress[n.id].match = n.log.persisted()
	first, err := n.appendOwn(rockwindpb.EntryKind_ENTRY_KIND_EMPTY, nil)
	if err != nil {
		return
	}
	n.leaderCommit = first
	n.broadcastHeartbeat()
}

// trackMembers starts and stops tracking members after the membership changed.
func (n *Node) trackMembers() {
	membership := n.members.current()
	for _, member := range membership.GetMembers() {
		if n.leading.progress[member.GetId()] == nil {
			n.leading.progress[member.GetId()] = &progress{next: n.log.lastIndex() + 1, heard: n.ticks}
		}
	}
	for id := range n.leading.progress {
		if id != n.id && findMember(membership, id) == nil {
			delete(n.leading.progress, id)
		}
	}
	if n.leading.progress[n.id] == nil {
		n.leading.progress[n.id] = &progress{}
	}
}

// appendOwn appends an entry of the leader's own term.
func (n *Node) appendOwn(kind rockwindpb.EntryKind, data []byte) (uint64, error) {
	entry := &rockwindpb.Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	if err := n.members.add([]*rockwindpb.Entry{entry}); err != nil {
		return 0, n.halt(err)
	}
	if kind == rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		n.trackMembers()
	}
	if n.faults.countSelfBeforeSync {
		n.countSelf(entry.Index)
	}
	return entry.Index, nil
}

// countSelf counts the leader's own log up to an index that is synced.
func (n *Node) countSelf(index uint64) {
	p := n.leading.progress[n.id]
	p.match = max(p.match, index)
	n.maybeCommit()
}

// maybeCommit moves the commit index to what a quorum has synced. Only entries
// of the own term are committed by counting; older ones go with them.
func (n *Node) maybeCommit() {
	index := quorumValue(n.members.current(), n.matchOf)
	if index <= n.log.committed {
		return
	}
	if !n.log.hasTerm(index, n.term) && !n.faults.commitOlderTerm {
		return
	}
	n.log.committed = index
	n.noteQuorum()
	n.answerReads()
	if n.members.currentIndex() <= index && !isVoter(n.members.current(), n.id) {
		n.leaveLeadership()
	}
}

func (n *Node) matchOf(id uint64) uint64 {
	return n.leading.progress[id].match
}

// leaveLeadership steps down after the own removal is committed, and asks the
// most advanced voter to take over.
func (n *Node) leaveLeadership() {
	if target := n.bestVoter(); target != 0 {
		n.sendAppends(target)
		n.sendEarly(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: target})
	}
	n.becomeFollower(n.term, 0)
}

// bestVoter returns the active voter, other than this replica, that holds most.
func (n *Node) bestVoter() uint64 {
	best := uint64(0)
	for _, id := range voters(n.members.current()) {
		if id == n.id || !n.active(n.leading.progress[id]) {
			continue
		}
		if best == 0 || n.matchOf(id) > n.matchOf(best) {
			best = id
		}
	}
	return best
}

// active tells whether a member was heard within the election timeout.
func (n *Node) active(p *progress) bool {
	return n.ticks-p.heard < uint64(n.config.ElectionTicks)
}

func (n *Node) tickLeader() {
	if !n.hasQuorumContact() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leading.transferTarget != 0 && !n.tickTransfer() {
		return
	}
	n.leading.heartbeatElapsed++
	if n.leading.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// hasQuorumContact tells whether a quorum was heard within the election timeout.
func (n *Node) hasQuorumContact() bool {
	heard := quorumValue(n.members.current(), func(id uint64) uint64 {
		if id == n.id || n.active(n.leading.progress[id]) {
			return 1
		}
		return 0
	})
	return heard == 1
}

// TransferLeadership hands leadership to a voter, or to the most advanced voter
// when to is 0. Proposals fail until the new leader is elected or the transfer
// is given up after ElectionTicks.
func (n *Node) TransferLeadership(to uint64) error {
	if n.halted != nil {
		return n.halted
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == 0 {
		to = n.bestVoter()
	}
	if to == n.id {
		return nil
	}
	if !isVoter(n.members.current(), to) {
		return errors.Wrapf(ErrMembershipInvalid, "replica %x is no voter that could lead", to)
	}
	if n.leading.transferTarget != 0 {
		return ErrTransferring
	}
	n.beginTransfer(to)
	n.continueTransfer()
	return nil
}

func (n *Node) beginTransfer(to uint64) {
	n.leading.transferTarget, n.leading.transferElapsed, n.leading.slowDisk = to, 0, false
}

// continueTransfer tells the target to take over once it holds the whole log.
func (n *Node) continueTransfer() {
	target := n.leading.transferTarget
	if target == 0 || n.leading.progress[target] == nil || n.matchOf(target) != n.log.lastIndex() {
		return
	}
	n.orderTakeover(target)
}

// tickTransfer gives up a transfer after the election timeout. If the target
// was told to take over, its vote requests may still arrive, so the lease stays
// revoked in this term; the leader then starts a new term to get a lease again.
// It returns false when this replica leads no more.
func (n *Node) tickTransfer() bool {
	n.leading.transferElapsed++
	if n.leading.transferElapsed < n.config.ElectionTicks {
		if n.leading.transferElapsed%n.config.HeartbeatTicks == 0 {
			n.continueTransfer()
		}
		return true
	}
	n.leading.transferTarget = 0
	if !n.leading.leaseRevoked {
		return true
	}
	if !n.mayCampaign() {
		n.becomeFollower(n.term, 0)
		return false
	}
	n.campaign(byTransfer)
	return false
}

// ReportUnreachable tells the leader that messages to a member may be lost.
func (n *Node) ReportUnreachable(id uint64) {
	if n.role != Leader || n.leading.progress[id] == nil || id == n.id {
		return
	}
	if p := n.leading.progress[id]; p.state == replicating {
		p.becomeProbing()
		p.waiting = true
	}
}

// ReportSnapshot tells the leader that the transfer of a snapshot to a member
// ended. The caller must report each snapshot message that it took from Ready.
func (n *Node) ReportSnapshot(id uint64, installed bool) {
	if n.role != Leader || n.leading.progress[id] == nil {
		return
	}
	p := n.leading.progress[id]
	if p.state != installing {
		return
	}
	if !installed {
		p.snapshotIndex = 0
	}
	p.becomeProbing()
	p.waiting = true
}
