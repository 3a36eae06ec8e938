package segment

import (
	"cmp"
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maximumGapBytes is the largest gap between two bodies fetched by one read.
	maximumGapBytes = 64 << 10
	// parallelReads bounds the concurrent reads from peers for one Read call.
	parallelReads = 4
)

// Read returns the bodies of the references, in the same order. Each body is
// verified; one that is missing or damaged on this disk is read from a peer.
func (n *Node) Read(ctx context.Context, references []*rockwindpb.BodyReference) ([][]byte, error) {
	bodies := make([][]byte, len(references))
	var missing []int
	for index, reference := range references {
		if reference.GetLength() > MaximumBodyBytes {
			return nil, fault.New(fault.InvalidArgument, "the body length of a reference exceeds the maximum", "check the reference")
		}
		body, found := n.readLocal(reference)
		if !found {
			missing = append(missing, index)
			continue
		}
		bodies[index] = body
	}
	if len(missing) == 0 {
		return bodies, nil
	}
	return bodies, n.readFromPeers(ctx, references, missing, bodies)
}

// readLocal reads a body from this disk.
func (n *Node) readLocal(reference *rockwindpb.BodyReference) ([]byte, bool) {
	local := n.store.find(reference.GetSegment())
	if local == nil {
		return nil, false
	}
	offset := int64(reference.GetOffset())
	data, err := local.read(offset, recordHeaderBytes+int(reference.GetLength()))
	if err != nil || len(data) < recordHeaderBytes+int(reference.GetLength()) {
		return nil, false
	}
	body, intact := extractBody(data, reference)
	if !intact {
		end := offset + int64(len(data))
		n.updateStatistics(func(counted *statistics) { counted.damaged += uint64(len(data)) })
		local.addDamage(span{start: offset, end: end})
	}
	return body, intact
}

// extractBody verifies the record at the start of data against a reference.
func extractBody(data []byte, reference *rockwindpb.BodyReference) ([]byte, bool) {
	header, intact := decodeRecordHeader(data)
	length := int(reference.GetLength())
	if !intact || header.length != reference.GetLength() || header.checksum != reference.GetChecksum() {
		return nil, false
	}
	if len(data) < recordHeaderBytes+length {
		return nil, false
	}
	body := data[recordHeaderBytes : recordHeaderBytes+length : recordHeaderBytes+length]
	return body, checksum(body) == reference.GetChecksum()
}

// readRange is one read that covers one or more bodies of a segment.
type readRange struct {
	segment uint64
	start   uint64
	end     uint64
	indexes []int
}

// joinRanges combines references that are close together into one read.
func joinRanges(references []*rockwindpb.BodyReference, wanted []int) []*readRange {
	slices.SortFunc(wanted, func(left, right int) int {
		return cmp.Or(
			cmp.Compare(references[left].GetSegment(), references[right].GetSegment()),
			cmp.Compare(references[left].GetOffset(), references[right].GetOffset()),
		)
	})
	var result []*readRange
	for _, index := range wanted {
		reference := references[index]
		end := reference.GetOffset() + recordHeaderBytes + uint64(reference.GetLength())
		if len(result) > 0 {
			last := result[len(result)-1]
			near := reference.GetOffset() <= last.end+maximumGapBytes && end-last.start <= chunkBytes
			if last.segment == reference.GetSegment() && near {
				last.end = max(last.end, end)
				last.indexes = append(last.indexes, index)
				continue
			}
		}
		result = append(result, &readRange{
			segment: reference.GetSegment(), start: reference.GetOffset(), end: end, indexes: []int{index},
		})
	}
	return result
}

func (n *Node) readFromPeers(ctx context.Context, references []*rockwindpb.BodyReference, missing []int, bodies [][]byte) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for _, wanted := range joinRanges(references, missing) {
		group.Go(func() error { return n.readRange(ctx, references, wanted, bodies) })
	}
	return group.Wait()
}

// readRange reads from one peer after the other until all bodies of the range are
// verified.
func (n *Node) readRange(ctx context.Context, references []*rockwindpb.BodyReference, wanted *readRange, bodies [][]byte) error {
	unreachable := false
	remaining := wanted.indexes
	for _, candidate := range n.peersByPriority(wanted.segment) {
		data, err := candidate.read(ctx, n.options.Now, wanted.segment, int64(wanted.start), int64(wanted.end-wanted.start))
		if err != nil {
			unreachable = true
			continue
		}
		remaining = slices.DeleteFunc(remaining, func(index int) bool {
			relative := references[index].GetOffset() - wanted.start
			if relative > uint64(len(data)) {
				return false
			}
			body, intact := extractBody(data[relative:], references[index])
			if intact {
				bodies[index] = body
			}
			return intact
		})
		if len(remaining) == 0 {
			return nil
		}
	}
	return missingFault(wanted.segment, unreachable)
}

func missingFault(segment uint64, unreachable bool) error {
	if unreachable {
		return fault.Newf(fault.Unavailable, "try again; a machine that may have the body does not answer",
			"no reachable machine has an intact copy of the body in segment %016x", segment)
	}
	return fault.Newf(fault.NotFound, "check the reference; results are removed after their retention",
		"no machine has an intact copy of the body in segment %016x", segment)
}

// peersByPriority returns all peers in the order of readPriority.
func (n *Node) peersByPriority(segment uint64) []*peer {
	n.mutex.Lock()
	known := slices.Clone(n.holders[segment])
	n.mutex.Unlock()
	now := n.options.Now()
	ordered := slices.Clone(n.peers)
	slices.SortStableFunc(ordered, func(left, right *peer) int {
		return readPriority(left, known, now) - readPriority(right, known, now)
	})
	return ordered
}

// addDamage records a damaged span for repair.
func (l *localSegment) addDamage(found span) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, known := range l.damaged {
		if known.start <= found.start && known.end >= found.end {
			return
		}
	}
	l.damaged = append(slices.Clone(l.damaged), found)
}
