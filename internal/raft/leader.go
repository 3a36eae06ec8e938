package raft

import (
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// leaderState is the state of a leader in its term.
type leaderState struct {
	progress map[uint64]*progress
	// heartbeatElapsed counts the ticks since the last heartbeat round.
	heartbeatElapsed int
	// transferTarget is the target of the leadership transfer in progress, or 0.
	transferTarget  uint64
	transferElapsed int
	// leaseRevoked is set once a member was ordered to start an election: from then on the
	// members vote regardless of leases.
	leaseRevoked bool
	// sentRounds holds, in ascending order, the heartbeat rounds without a quorum of
	// replies and the newest round that has one.
	sentRounds []sentRound
	// confirmedRound is the newest round that a quorum replied to.
	confirmedRound uint64
	leaseStart     uint64
	reads          []pendingRead
	// sync is the current sync of the leader's own log, and slowSyncs counts the
	// consecutive syncs that were much slower than those of a quorum.
	sync      leaderSync
	slowSyncs int
	// slowDiskTransfer reports whether the last transfer was because of a slow disk.
	slowDiskTransfer bool
	// hasWitnesses reports whether the membership contains a witness, and witnessLimit is the last index
	// that witnesses may receive.
	hasWitnesses bool
	witnessLimit uint64
}

// sentRound is a heartbeat round and the tick at which it was sent.
type sentRound struct {
	round uint64
	tick  uint64
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.noLeaderSinceStart, n.unanimousGrants, n.unanimous = false, nil, false
	n.electionElapsed = 0
	n.leaderState = &leaderState{progress: make(map[uint64]*progress)}
	n.trackMembers()
	n.leaderState.progress[n.id].match = n.log.persisted()
	first, err := n.appendLeaderEntry(rockwindpb.EntryKind_ENTRY_KIND_EMPTY, nil)
	if err != nil {
		return
	}
	n.leaderCommit = first
	n.broadcastHeartbeat()
}

// trackMembers updates the set of tracked members after a membership change.
func (n *Node) trackMembers() {
	membership := n.members.current()
	for _, member := range membership.GetMembers() {
		if n.leaderState.progress[member.GetId()] == nil {
			n.leaderState.progress[member.GetId()] = &progress{next: n.log.lastIndex() + 1, lastHeard: n.ticks}
		}
	}
	for id := range n.leaderState.progress {
		if id != n.id && findMember(membership, id) == nil {
			delete(n.leaderState.progress, id)
		}
	}
	if n.leaderState.progress[n.id] == nil {
		n.leaderState.progress[n.id] = &progress{}
	}
	n.trackWitnesses()
}

// appendLeaderEntry appends an entry of the current term to the leader's log.
func (n *Node) appendLeaderEntry(kind rockwindpb.EntryKind, data []byte) (uint64, error) {
	entry := &rockwindpb.Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	if err := n.members.add([]*rockwindpb.Entry{entry}); err != nil {
		return 0, n.halt(err)
	}
	if kind == rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		n.trackMembers()
	}
	if n.faults.countSelfBeforeSync {
		n.advanceOwnMatch(entry.Index)
	}
	return entry.Index, nil
}

// advanceOwnMatch records that the leader has synced its own log up to index.
func (n *Node) advanceOwnMatch(index uint64) {
	p := n.leaderState.progress[n.id]
	p.match = max(p.match, index)
	n.advanceWitnessLimit()
	n.maybeCommit()
}

// maybeCommit advances the commit index to the last index that a quorum has synced. Only
// entries of the current term are committed by counting replicas; earlier ones are
// committed together with them.
func (n *Node) maybeCommit() {
	index := quorumValue(n.members.current(), n.matchOf)
	if index <= n.log.committed {
		return
	}
	if !n.log.hasTerm(index, n.term) && !n.faults.commitOlderTerm {
		return
	}
	n.log.committed = index
	n.recordQuorumSync()
	n.completeReads()
	if n.members.currentIndex() <= index && !isVoter(n.members.current(), n.id) {
		n.stepDownAfterRemoval()
	}
}

func (n *Node) matchOf(id uint64) uint64 {
	return n.leaderState.progress[id].match
}

// stepDownAfterRemoval steps down when the removal of this replica is committed, and
// tells the most advanced voter to start an election.
func (n *Node) stepDownAfterRemoval() {
	if target := n.mostAdvancedVoter(); target != 0 {
		n.sendAppends(target)
		n.sendBeforeSync(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: target})
	}
	n.becomeFollower(n.term, 0)
}

// mostAdvancedVoter returns the active voter, other than this replica and witnesses, with the
// highest match index, or 0 if there is none.
func (n *Node) mostAdvancedVoter() uint64 {
	best := uint64(0)
	for _, id := range voters(n.members.current()) {
		if p := n.leaderState.progress[id]; id == n.id || p.witness || !n.active(p) {
			continue
		}
		if best == 0 || n.matchOf(id) > n.matchOf(best) {
			best = id
		}
	}
	return best
}

// contactTimeouts is the number of election timeouts without contact to a quorum after which a leader steps down. It is
// the longest time after which a follower starts an election. If processes are stalled for a little longer than an
// election timeout, stepping down earlier would add an election after each stall, and a leader whose first
// heartbeats take that long to be answered would not remain. The lease has ended long before.
const contactTimeouts = 2

// active reports whether a member was heard from within the election timeout.
func (n *Node) active(p *progress) bool {
	return n.ticks-p.lastHeard < uint64(n.config.ElectionTicks)
}

func (n *Node) tickLeader() {
	if !n.hasQuorumContact() {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickInSync()
	if n.leaderState.transferTarget != 0 && !n.tickTransfer() {
		return
	}
	n.leaderState.heartbeatElapsed++
	if n.leaderState.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// hasQuorumContact reports whether a quorum has replied within contactTimeouts.
func (n *Node) hasQuorumContact() bool {
	limit := uint64(contactTimeouts * n.config.ElectionTicks)
	heard := quorumValue(n.members.current(), func(id uint64) uint64 {
		if id == n.id || n.ticks-n.leaderState.progress[id].lastHeard < limit {
			return 1
		}
		return 0
	})
	return heard == 1
}

// TransferLeadership transfers leadership to a voter, or to the most advanced voter if to
// is 0. Proposals fail until the new leader is elected or the transfer is aborted after
// ElectionTicks.
func (n *Node) TransferLeadership(to uint64) error {
	if n.halted != nil {
		return n.halted
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == 0 {
		to = n.mostAdvancedVoter()
	}
	if to == n.id {
		return nil
	}
	if !isVoter(n.members.current(), to) {
		return errors.Wrapf(ErrMembershipInvalid, "replica %x is not a voter", to)
	}
	if isWitness(n.members.current(), to) {
		return errors.Wrapf(ErrMembershipInvalid, "replica %x is a witness", to)
	}
	if n.leaderState.transferTarget != 0 {
		return ErrTransferring
	}
	n.beginTransfer(to)
	n.continueTransfer()
	return nil
}

func (n *Node) beginTransfer(to uint64) {
	n.leaderState.transferTarget, n.leaderState.transferElapsed, n.leaderState.slowDiskTransfer = to, 0, false
}

// continueTransfer tells the target to start an election once it holds the whole log.
func (n *Node) continueTransfer() {
	target := n.leaderState.transferTarget
	if target == 0 || n.leaderState.progress[target] == nil || n.matchOf(target) != n.log.lastIndex() {
		return
	}
	n.sendTimeoutNow(target)
}

// tickTransfer aborts a transfer after the election timeout. If the target was ordered to
// start an election, its vote requests may still arrive, so the lease stays revoked in
// this term, and the leader starts an election itself to regain a lease. It returns false
// if this replica no longer leads.
func (n *Node) tickTransfer() bool {
	n.leaderState.transferElapsed++
	if n.leaderState.transferElapsed < n.config.ElectionTicks {
		if n.leaderState.transferElapsed%n.config.HeartbeatTicks == 0 {
			n.continueTransfer()
		}
		return true
	}
	n.leaderState.transferTarget = 0
	if !n.leaderState.leaseRevoked {
		return true
	}
	if !n.mayCampaign() {
		n.becomeFollower(n.term, 0)
		return false
	}
	n.campaign(transferElection)
	return false
}

// ReportUnreachable tells the leader that messages to a member may have been lost.
func (n *Node) ReportUnreachable(id uint64) {
	if n.role != Leader || n.leaderState.progress[id] == nil || id == n.id {
		return
	}
	if p := n.leaderState.progress[id]; p.state == replicating {
		p.becomeProbing()
		p.waiting = true
	}
}

// ReportSnapshot tells the leader that a snapshot transfer to a member ended. The caller
// must report the result of each snapshot message from Ready.
func (n *Node) ReportSnapshot(id uint64, installed bool) {
	if n.role != Leader || n.leaderState.progress[id] == nil {
		return
	}
	p := n.leaderState.progress[id]
	if p.state != installing {
		return
	}
	if !installed {
		p.snapshotIndex = 0
	}
	p.becomeProbing()
	p.waiting = true
}
