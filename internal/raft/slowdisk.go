package raft

import "rockwind.example/rockwind/internal/rockwindpb"

// A leader writes its own log one Ready after the other: what is proposed during a sync waits
// for its end, and the leader hands out entries only once it holds them itself. So a write
// takes up to two syncs of the leader's disk, however fast the others are. A disk that hangs
// for an election timeout costs the leadership anyway, since heartbeats wait for it, too. A
// disk that is slow for long without that is what this file answers: the leader hands over to
// a voter whose disk is faster.
const (
	// slowSyncsToHandOver is how many syncs in a row have to be slow. One that is shorter than an
	// election timeout may be chance; four of them take less than 1.2 s at sites, while
	// operators and submitters wait for some seconds.
	slowSyncsToHandOver = 4
	// slowerThanQuorum is how many times as long as a quorum the own disk has to take. Where all
	// disks are slow another leader would do no better, and a hand-over costs what an election
	// costs there, a second: up to this factor leadership stays. Where each sync of five disks takes
	// up to 250 ms by chance, some sync in eleven is four times as long as those of a quorum, and so
	// four in a row hardly ever.
	slowerThanQuorum = 4
	// handOverElections is the least time between two hand-overs of one replica, in election
	// timeouts. It bounds what leadership costs that goes round between disks that are slow in
	// turn: at 0.3 s each, a replica gives it up at most once in 9 s.
	handOverElections = 30
)

// ownSync is the sync of entries that the leader has under way.
type ownSync struct {
	// last is the last entry of the sync, zero while none is under way.
	last uint64
	// began is the tick at which it began.
	began uint64
	// quorumAt is the tick at which a quorum held all of it without this replica, zero before.
	quorumAt uint64
}

// slowSyncTicks is the shortest sync that may be slow, in ticks. Heartbeats wait for syncs,
// and a lease needs a new one within LeaseTicks: half of that is still no danger to it, but
// a write takes twice as long.
func (n *Node) slowSyncTicks() uint64 { return uint64(max(2, n.config.LeaseTicks/2)) }

// beginSync notes that the leader's own log is written up to an index.
func (n *Node) beginSync(entries []*rockwindpb.Entry) {
	if n.role != Leader || len(entries) == 0 {
		return
	}
	n.leading.sync = ownSync{last: entries[len(entries)-1].GetIndex(), began: n.ticks}
}

// noteQuorum notes when a quorum holds what the leader's own disk is still at.
func (n *Node) noteQuorum() {
	sync := &n.leading.sync
	if sync.last != 0 && sync.quorumAt == 0 && n.log.committed >= sync.last {
		sync.quorumAt = n.ticks
	}
}

// endSync judges a sync of the leader's own log that is over, and hands over once too many
// in a row were slow.
func (n *Node) endSync() {
	if n.role != Leader {
		return
	}
	sync := n.leading.sync
	n.leading.sync = ownSync{}
	if sync.last == 0 {
		return
	}
	if !n.slowSync(sync) {
		n.leading.slowSyncs = 0
		return
	}
	n.leading.slowSyncs++
	if n.leading.slowSyncs >= slowSyncsToHandOver {
		n.handOverSlowDisk()
	}
}

// slowSync tells whether a sync that ends now took much longer than a quorum of others.
func (n *Node) slowSync(sync ownSync) bool {
	if sync.quorumAt == 0 {
		return false
	}
	took, others := n.ticks-sync.began, sync.quorumAt-sync.began
	return took >= n.slowSyncTicks() && took >= slowerThanQuorum*others
}

// handOverSlowDisk asks the voter that holds most to take over. What it lacks goes with the
// request, as that would wait for one more sync of this disk otherwise.
func (n *Node) handOverSlowDisk() {
	target := n.bestVoter()
	pause := uint64(handOverElections * n.config.ElectionTicks)
	tooSoon := n.handedOver != 0 && n.ticks-n.handedOver < pause
	if target == 0 || tooSoon || n.leading.transferTarget != 0 {
		return
	}
	n.handedOver = n.ticks
	n.leading.slowSyncs = 0
	n.beginTransfer(target)
	n.leading.slowDisk = true
	n.sendAppends(target)
	if n.halted == nil && n.leading.progress[target].next > n.log.lastIndex() {
		n.orderTakeover(target)
	}
}

// SlowDiskTransferTarget is the member that leadership is being handed to since the disk here is slow,
// zero for none. It costs no copy, so that it can be asked after each Ready.
func (n *Node) SlowDiskTransferTarget() uint64 {
	if n.role != Leader || !n.leading.slowDisk {
		return 0
	}
	return n.leading.transferTarget
}

// orderTakeover tells a voter to take over. The lease ends before it may be elected.
func (n *Node) orderTakeover(target uint64) {
	n.leading.leaseRevoked = true
	n.sendEarly(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: target})
}
