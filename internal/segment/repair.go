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

// copyOf is a peer's copy of a segment.
type copyOf struct {
	holder  *peer
	summary *rockwindpb.SegmentSummary
}

// survey is what one round of repair knows of all machines.
type survey struct {
	copies map[uint64][]copyOf
	// live names the machines that answered, this one included.
	live []string
}

// Repair performs one round: it asks the peers what they hold, seals segments
// whose writer is gone, copies what is missing here and mends what is damaged.
// Each machine only copies to itself, so rounds need no agreement. It tells whether
// a copy was missing here.
func (n *Node) Repair(ctx context.Context) (missing bool) {
	known := n.survey(ctx)
	n.rememberHolders(known)
	n.restoreBroken()
	n.sealOrphans()
	n.removeUnused()
	lagging := make(map[uint64]int64)
	for _, id := range slices.Sorted(maps.Keys(known.copies)) {
		if ctx.Err() != nil {
			return missing
		}
		missing = n.repairOne(ctx, id, known, lagging) || missing
	}
	n.mutex.Lock()
	n.lagging = lagging
	n.mutex.Unlock()
	for _, held := range n.store.all() {
		n.mend(ctx, held)
	}
	return missing
}

// survey lists the segments of all peers. A peer that does not answer keeps
// counting as a holder for the grace period.
func (n *Node) survey(ctx context.Context) survey {
	result := survey{copies: make(map[uint64][]copyOf), live: []string{n.options.Machine}}
	answers, _ := n.holdings(ctx)
	now := n.options.Now()
	for _, candidate := range n.peers {
		position := slices.IndexFunc(answers, func(answer holding) bool { return answer.machine == candidate.Machine })
		switch {
		case position >= 0:
			candidate.answered(now)
			candidate.listed = answers[position].segments
			result.live = append(result.live, candidate.Machine)
		case candidate.silentFor(now) > max(n.options.DownGrace, 0):
			candidate.listed = nil
		}
		for _, summary := range candidate.listed {
			id := summary.GetSegment()
			result.copies[id] = append(result.copies[id], copyOf{holder: candidate, summary: summary})
		}
	}
	return result
}

func (n *Node) rememberHolders(known survey) {
	holders := make(map[uint64][]*peer, len(known.copies))
	for id, copies := range known.copies {
		for _, held := range copies {
			holders[id] = append(holders[id], held.holder)
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.holders = holders
}

// restoreBroken opens copies for writing again that a full or failing disk broke.
func (n *Node) restoreBroken() {
	for _, held := range n.store.all() {
		if err := held.restore(); err != nil {
			log.WithError(err).WithField("segment", segmentKey(held.header.segment)).Warn("cannot restore a segment")
		}
	}
}

// sealOrphans seals segments that nobody appends to any more.
func (n *Node) sealOrphans() {
	for _, held := range n.store.all() {
		extent := held.extent()
		if extent.sealed || n.options.Now().Sub(extent.touched) < orphanSeal {
			continue
		}
		if err := held.seal(); err != nil {
			log.WithError(err).WithField("segment", segmentKey(held.header.segment)).Warn("cannot seal a segment")
		}
	}
}

// repairOne copies a segment here where this machine has to hold it. It tells
// whether the copy was missing, or may be, here.
func (n *Node) repairOne(ctx context.Context, id uint64, known survey, lagging map[uint64]int64) bool {
	copies := known.copies[id]
	longest := int64(0)
	sealed := false
	created := int64(0)
	for _, other := range copies {
		longest = max(longest, reparable(other.summary, other.summary.GetLength()))
		sealed = sealed || other.summary.GetSealed()
		created = max(created, other.summary.GetCreatedUnixMs())
	}
	if n.removable(id, created) {
		return false
	}
	have := int64(0)
	held := n.store.find(id)
	if held != nil {
		have = held.extent().durable
	}
	if have >= longest || (held == nil && !n.shouldHold(id, known)) {
		return false
	}
	if !sealed && !n.laggedBefore(id, have) {
		lagging[id] = have
		return held == nil
	}
	n.copyHere(ctx, id, copies, longest, sealed)
	return true
}

// reparable is the part of a copy that other machines can have, of a length.
func reparable(summary *rockwindpb.SegmentSummary, length uint64) int64 {
	if from := summary.GetIrreparableFrom(); from > 0 {
		return int64(min(length, from))
	}
	return int64(length)
}

// shouldHold tells whether this machine is among those that make up for missing
// copies: the live ones without a copy, in the order of rendezvous.
func (n *Node) shouldHold(id uint64, known survey) bool {
	missing := n.fullCopies() - len(known.copies[id])
	if missing <= 0 {
		return false
	}
	free := slices.DeleteFunc(slices.Clone(known.live), func(machine string) bool {
		return slices.ContainsFunc(known.copies[id], func(held copyOf) bool { return held.holder.Machine == machine })
	})
	position := slices.Index(ownership.Order(free, segmentKey(id)), n.options.Machine)
	return position >= 0 && position < missing
}

// laggedBefore tells whether a segment was as short in the round before, so that
// no lane is at work on it.
func (n *Node) laggedBefore(id uint64, have int64) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	length, noted := n.lagging[id]
	return noted && length == have
}

// copyHere brings this machine's copy to the longest length, from the longest
// copies first.
func (n *Node) copyHere(ctx context.Context, id uint64, copies []copyOf, longest int64, sealed bool) {
	slices.SortStableFunc(copies, func(left, right copyOf) int {
		return cmp.Compare(right.summary.GetLength(), left.summary.GetLength())
	})
	for _, source := range copies {
		err := n.copyFrom(ctx, id, source)
		if err != nil {
			log.WithError(err).WithField("peer", source.holder.Machine).Warn("cannot copy a segment")
			continue
		}
		held := n.store.find(id)
		if held != nil && held.extent().durable >= longest {
			if sealed {
				_ = held.seal()
			}
			return
		}
	}
}

// copyFrom copies what a peer holds beyond this machine's copy.
func (n *Node) copyFrom(ctx context.Context, id uint64, source copyOf) error {
	chunk := copyBytes
	for {
		offset := int64(0)
		held := n.store.find(id)
		if held != nil {
			offset = held.extent().length
		}
		if offset >= reparable(source.summary, source.summary.GetLength()) {
			return nil
		}
		if err := n.limiter.WaitN(ctx, min(chunk, n.limiter.Burst())); err != nil {
			return err
		}
		data, err := source.holder.read(ctx, n.options.Now, id, offset, int64(chunk))
		if err != nil {
			return err
		}
		taken, err := n.takeCopy(id, offset, data)
		if err != nil {
			return err
		}
		if taken > 0 {
			n.count(func(counted *statistics) { counted.repaired += uint64(taken) })
			chunk = copyBytes
			continue
		}
		if chunk >= MaximumBodyBytes || len(data) < chunk {
			return fault.Newf(fault.Corrupt, "the scrubber of that machine mends it from another copy",
				"the copy of segment %016x is damaged at %d", id, offset)
		}
		chunk = MaximumBodyBytes + recordHeaderBytes
	}
}

// takeCopy writes the whole records at the start of data, and returns their
// length.
func (n *Node) takeCopy(id uint64, offset int64, data []byte) (int, error) {
	spans, err := scan(bytesAt{base: offset, data: data}, offset, offset+int64(len(data)))
	if err != nil {
		return 0, err
	}
	whole := data[:intactPrefix(spans, offset)-offset]
	if len(whole) == 0 {
		return 0, nil
	}
	held, err := n.heldOrCreated(&rockwindpb.AppendSegmentRequest{Segment: id, Offset: uint64(offset), Data: whole})
	if err != nil {
		return 0, err
	}
	if held == nil {
		return 0, fault.New(fault.Conflict, "the segment was removed meanwhile", "nothing needs to be done")
	}
	if err := held.write(offset, whole, n.options.Now()); err != nil {
		return 0, err
	}
	return len(whole), held.sync()
}
