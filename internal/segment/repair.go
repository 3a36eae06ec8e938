package segment

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ownership"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// peerCopy is a peer's copy of a segment.
type peerCopy struct {
	holder  *peer
	summary *rockwindpb.SegmentSummary
}

// clusterState holds the copies and live machines that one repair round works with.
type clusterState struct {
	copies map[uint64][]peerCopy
	// live lists the machines that answered, this one included.
	live []string
}

// Repair runs one repair round: it lists the peers' segments, seals orphaned
// segments, removes unused ones, copies missing data to this machine and repairs
// damaged spans. Each machine writes only to its own disk, so rounds need no
// coordination. It reports whether a copy was missing here.
func (n *Node) Repair(ctx context.Context) (missing bool) {
	known := n.listCluster(ctx)
	n.setHolders(known)
	n.restoreBroken()
	n.sealOrphans()
	n.removeUnused()
	lagging := make(map[uint64]int64)
	for _, id := range slices.Sorted(maps.Keys(known.copies)) {
		if ctx.Err() != nil {
			return missing
		}
		missing = n.repairSegment(ctx, id, known, lagging) || missing
	}
	n.mutex.Lock()
	n.lagging = lagging
	n.mutex.Unlock()
	for _, local := range n.store.all() {
		n.repairDamage(ctx, local)
	}
	return missing
}

// listCluster lists the segments of all peers. For DownGrace, the last listing of a
// peer that does not answer still counts.
func (n *Node) listCluster(ctx context.Context) clusterState {
	result := clusterState{copies: make(map[uint64][]peerCopy), live: []string{n.options.Machine}}
	answers, _ := n.listMachines(ctx)
	now := n.options.Now()
	for _, candidate := range n.peers {
		position := slices.IndexFunc(answers, func(answer listing) bool { return answer.machine == candidate.Machine })
		switch {
		case position >= 0:
			candidate.markAnswered(now)
			candidate.lastListing = answers[position].segments
			result.live = append(result.live, candidate.Machine)
		case candidate.sinceLastAnswer(now) > max(n.options.DownGrace, 0):
			candidate.lastListing = nil
		}
		for _, summary := range candidate.lastListing {
			id := summary.GetSegment()
			result.copies[id] = append(result.copies[id], peerCopy{holder: candidate, summary: summary})
		}
	}
	return result
}

func (n *Node) setHolders(known clusterState) {
	holders := make(map[uint64][]*peer, len(known.copies))
	for id, copies := range known.copies {
		for _, other := range copies {
			holders[id] = append(holders[id], other.holder)
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.holders = holders
}

// restoreBroken makes copies writable again after failed writes or syncs.
func (n *Node) restoreBroken() {
	for _, local := range n.store.all() {
		if err := local.restore(); err != nil {
			log.WithError(err).WithField("segment", segmentKey(local.header.segment)).Warn("cannot make segment writable again")
		}
	}
}

// sealOrphans seals segments whose last append is orphanSealDelay ago.
func (n *Node) sealOrphans() {
	for _, local := range n.store.all() {
		state := local.state()
		if state.sealed || n.options.Now().Sub(state.lastWrite) < orphanSealDelay {
			continue
		}
		if err := local.seal(); err != nil {
			log.WithError(err).WithField("segment", segmentKey(local.header.segment)).Warn("cannot seal segment")
		}
	}
}

// repairSegment copies the missing part of a segment if this machine should hold
// it. It reports whether a copy was or may be missing here.
func (n *Node) repairSegment(ctx context.Context, id uint64, known clusterState, lagging map[uint64]int64) bool {
	copies := known.copies[id]
	longest := int64(0)
	sealed := false
	created := int64(0)
	for _, other := range copies {
		longest = max(longest, repairableLength(other.summary, other.summary.GetLength()))
		sealed = sealed || other.summary.GetSealed()
		created = max(created, other.summary.GetCreatedUnixMs())
	}
	if n.removable(id, created) {
		return false
	}
	have := int64(0)
	local := n.store.find(id)
	if local != nil {
		have = local.state().durable
	}
	if have >= longest || (local == nil && !n.shouldHold(id, known)) {
		return false
	}
	if !sealed && !n.laggedLastRound(id, have) {
		lagging[id] = have
		return local == nil
	}
	n.copyFromPeers(ctx, id, copies, longest, sealed)
	return true
}

// repairableLength cuts a length off at the start of irreparable damage, beyond
// which other machines cannot copy.
func repairableLength(summary *rockwindpb.SegmentSummary, length uint64) int64 {
	if from := summary.GetIrreparableFrom(); from > 0 {
		return int64(min(length, from))
	}
	return int64(length)
}

// shouldHold reports whether this machine is among those that get the missing
// copies: the first live machines without a copy, in rendezvous order.
func (n *Node) shouldHold(id uint64, known clusterState) bool {
	missing := n.targetCopies() - len(known.copies[id])
	if missing <= 0 {
		return false
	}
	free := slices.DeleteFunc(slices.Clone(known.live), func(machine string) bool {
		return slices.ContainsFunc(known.copies[id], func(other peerCopy) bool { return other.holder.Machine == machine })
	})
	position := slices.Index(ownership.Order(free, segmentKey(id)), n.options.Machine)
	return position >= 0 && position < missing
}

// laggedLastRound reports whether the segment had the same length in the previous
// round, so that no replicator is copying it.
func (n *Node) laggedLastRound(id uint64, have int64) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	length, noted := n.lagging[id]
	return noted && length == have
}

// copyFromPeers extends this machine's copy to the longest length, trying the
// longest copies first.
func (n *Node) copyFromPeers(ctx context.Context, id uint64, copies []peerCopy, longest int64, sealed bool) {
	slices.SortStableFunc(copies, func(left, right peerCopy) int {
		return cmp.Compare(right.summary.GetLength(), left.summary.GetLength())
	})
	for _, source := range copies {
		err := n.copyFromPeer(ctx, id, source)
		if err != nil {
			log.WithError(err).WithField("peer", source.holder.Machine).Warn("cannot copy segment from peer")
			continue
		}
		local := n.store.find(id)
		if local != nil && local.state().durable >= longest {
			if sealed {
				_ = local.seal()
			}
			return
		}
	}
}

// copyFromPeer copies the part of a peer's copy that is missing here.
func (n *Node) copyFromPeer(ctx context.Context, id uint64, source peerCopy) error {
	chunk := chunkBytes
	for {
		offset := int64(0)
		local := n.store.find(id)
		if local != nil {
			offset = local.state().length
		}
		if offset >= repairableLength(source.summary, source.summary.GetLength()) {
			return nil
		}
		if err := n.limiter.WaitN(ctx, min(chunk, n.limiter.Burst())); err != nil {
			return err
		}
		data, err := source.holder.read(ctx, n.options.Now, id, offset, int64(chunk))
		if err != nil {
			return err
		}
		taken, err := n.writeRecords(id, offset, data)
		if err != nil {
			return err
		}
		if taken > 0 {
			n.updateStatistics(func(counted *statistics) { counted.repaired += uint64(taken) })
			chunk = chunkBytes
			continue
		}
		if chunk >= MaximumBodyBytes || len(data) < chunk {
			return fault.Newf(fault.Corrupt, "the scrubber of that machine repairs it from another copy",
				"the copy of segment %016x is damaged at offset %d", id, offset)
		}
		chunk = MaximumBodyBytes + recordHeaderBytes
	}
}

// writeRecords writes and syncs the complete records at the start of data, and returns
// their length.
func (n *Node) writeRecords(id uint64, offset int64, data []byte) (int, error) {
	spans, err := scan(offsetReader{base: offset, data: data}, offset, offset+int64(len(data)))
	if err != nil {
		return 0, err
	}
	whole := data[:intactPrefix(spans, offset)-offset]
	if len(whole) == 0 {
		return 0, nil
	}
	local, err := n.findOrCreate(&rockwindpb.AppendSegmentRequest{Segment: id, Offset: uint64(offset), Data: whole})
	if err != nil {
		return 0, err
	}
	if local == nil {
		return 0, fault.New(fault.Conflict, "the segment was removed during the copy", "no action is needed")
	}
	if err := local.write(offset, whole, n.options.Now()); err != nil {
		return 0, err
	}
	return len(whole), local.sync()
}
