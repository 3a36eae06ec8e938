package raft

import "rockwind.example/rockwind/internal/rockwindpb"

// A leader writes its log one Ready at a time: proposals that arrive during a sync wait for
// its end, and the leader applies entries only after it has synced them itself. A write
// therefore takes up to two syncs of the leader's disk, however fast the other disks are. A
// disk that hangs for an election timeout already costs leadership, because heartbeats wait
// for it. For a disk that is slow without hanging, the leader transfers leadership to a
// voter with a faster disk.
const (
	// slowSyncsBeforeTransfer is the number of consecutive slow syncs that cause a transfer.
	// A single one may be an outlier. Four that are shorter than an election timeout of 300 ms take less
	// than 1.2 s, and callers wait for some seconds.
	slowSyncsBeforeTransfer = 4
	// slowSyncFactor is how many times slower than a quorum a sync must be to count as slow.
	// If all disks are slow, another leader would not be faster, and a transfer costs about
	// as much as an election. If each sync of five disks takes a random time up to 250 ms, one in eleven
	// is four times as long as those of a quorum, so that four in a row are rare.
	slowSyncFactor = 4
	// minTimeoutsBetweenTransfers is the minimum time between two transfers by one replica,
	// in election timeouts. It limits how often leadership moves between disks that are slow
	// in turn: to once in 9 s with timeouts of 300 ms.
	minTimeoutsBetweenTransfers = 30
)

// leaderSync is a sync of the leader's own log.
type leaderSync struct {
	// last is the last index of the sync, or 0 if none is in progress.
	last uint64
	// startTick is the tick at which the sync started.
	startTick uint64
	// quorumTick is the tick at which a quorum without this replica held all entries of the
	// sync, or 0 before.
	quorumTick uint64
}

// slowSyncTicks is the minimum duration of a slow sync in ticks. Heartbeats wait for syncs,
// and a lease needs a new heartbeat within LeaseTicks. Half of that does not endanger the
// lease, but slows down writes.
func (n *Node) slowSyncTicks() uint64 { return uint64(max(2, n.config.LeaseTicks/2)) }

// beginSync records the start of a sync of the leader's own log.
func (n *Node) beginSync(entries []*rockwindpb.Entry) {
	if n.role != Leader || len(entries) == 0 {
		return
	}
	n.leaderState.sync = leaderSync{last: entries[len(entries)-1].GetIndex(), startTick: n.ticks}
}

// recordQuorumSync records when a quorum held all entries of the leader's current sync.
func (n *Node) recordQuorumSync() {
	sync := &n.leaderState.sync
	if sync.last != 0 && sync.quorumTick == 0 && n.log.committed >= sync.last {
		sync.quorumTick = n.ticks
	}
}

// endSync records the end of a sync of the leader's own log, and transfers leadership after
// too many consecutive slow syncs.
func (n *Node) endSync() {
	if n.role != Leader {
		return
	}
	sync := n.leaderState.sync
	n.leaderState.sync = leaderSync{}
	if sync.last == 0 {
		return
	}
	if !n.isSlowSync(sync) {
		n.leaderState.slowSyncs = 0
		return
	}
	n.leaderState.slowSyncs++
	if n.leaderState.slowSyncs >= slowSyncsBeforeTransfer {
		n.transferFromSlowDisk()
	}
}

// isSlowSync reports whether a sync that ends now took much longer than that of a quorum.
func (n *Node) isSlowSync(sync leaderSync) bool {
	if sync.quorumTick == 0 {
		return false
	}
	took, quorumTook := n.ticks-sync.startTick, sync.quorumTick-sync.startTick
	return took >= n.slowSyncTicks() && took >= slowSyncFactor*quorumTook
}

// transferFromSlowDisk transfers leadership to the most advanced voter. The entries that it
// lacks are sent together with the request, which would otherwise wait for another sync of
// the slow disk.
func (n *Node) transferFromSlowDisk() {
	target := n.mostAdvancedVoter()
	minInterval := uint64(minTimeoutsBetweenTransfers * n.config.ElectionTicks)
	tooSoon := n.lastSlowDiskTransfer != 0 && n.ticks-n.lastSlowDiskTransfer < minInterval
	if target == 0 || tooSoon || n.leaderState.transferTarget != 0 {
		return
	}
	n.lastSlowDiskTransfer = n.ticks
	n.leaderState.slowSyncs = 0
	n.beginTransfer(target)
	n.leaderState.slowDiskTransfer = true
	n.sendAppends(target)
	if n.halted == nil && n.leaderState.progress[target].next > n.log.lastIndex() {
		n.sendTimeoutNow(target)
	}
}

// SlowDiskTransferTarget returns the target of a leadership transfer because of a slow disk,
// or 0 if there is none. Unlike Status it copies nothing, so it is cheap enough to be called
// after each Ready.
func (n *Node) SlowDiskTransferTarget() uint64 {
	if n.role != Leader || !n.leaderState.slowDiskTransfer {
		return 0
	}
	return n.leaderState.transferTarget
}

// sendTimeoutNow tells a voter to start an election, and revokes the lease before the voter
// can be elected.
func (n *Node) sendTimeoutNow(target uint64) {
	n.leaderState.leaseRevoked = true
	n.sendBeforeSync(&rockwindpb.Message{Kind: rockwindpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: target})
}
