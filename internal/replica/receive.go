package replica

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// maxReservedBytes limits what is reserved for a snapshot at its first chunk. Without a reservation, the copies
// of a growing slice add twice the size of the snapshot in garbage.
const maxReservedBytes = 32 << 20

// receiver assembles snapshots from chunks, one at a time for each group.
type receiver struct {
	mutex    sync.Mutex
	partials map[uint32]*partialSnapshot
}

// partialSnapshot is a snapshot of which only the beginning has arrived.
type partialSnapshot struct {
	from     uint64
	metadata *rockwindpb.SnapshotMetadata
	content  []byte
}

func newReceiver() *receiver {
	return &receiver{partials: map[uint32]*partialSnapshot{}}
}

// addChunk adds a chunk and returns the offset of the next one. After the last
// chunk it returns the content.
func (r *receiver) addChunk(chunk *rockwindpb.SnapshotChunk) (next uint64, content []byte, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if chunk.GetMetadata().GetSize() > maxSnapshotBytes {
		return 0, nil, fault.New(fault.InvalidArgument, "the snapshot is too large", "report this")
	}
	partial := r.partials[chunk.GetGroup()]
	if partial == nil || partial.from != chunk.GetFrom() || !proto.Equal(partial.metadata, chunk.GetMetadata()) {
		partial = &partialSnapshot{
			from: chunk.GetFrom(), metadata: chunk.GetMetadata(),
			content: make([]byte, 0, min(chunk.GetMetadata().GetSize(), maxReservedBytes)),
		}
		r.partials[chunk.GetGroup()] = partial
	}
	have := uint64(len(partial.content))
	if chunk.GetOffset() != have || have+uint64(len(chunk.GetData())) > partial.metadata.GetSize() {
		return have, nil, nil
	}
	partial.content = append(partial.content, chunk.GetData()...)
	have = uint64(len(partial.content))
	if have < partial.metadata.GetSize() {
		return have, nil, nil
	}
	delete(r.partials, chunk.GetGroup())
	if wal.Checksum(partial.content) != partial.metadata.GetChecksum() {
		return 0, nil, fault.New(fault.Corrupt, "a received snapshot fails its checksum",
			"the snapshot was not installed; if this happens again, replace the sending machine")
	}
	return have, partial.content, nil
}

// SendSnapshot implements rockwindpb.ReplicaService.
func (s *service) SendSnapshot(ctx context.Context, chunk *rockwindpb.SnapshotChunk) (*rockwindpb.SnapshotChunkResponse, error) {
	o, err := s.host.targetOwner(chunk.GetClusterId(), chunk.GetMachine(), chunk.GetGroup())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if chunk.GetTo() != s.host.log.DiskID() {
		return nil, fault.ToTwirp(unavailable("the snapshot is for another disk"))
	}
	next, content, err := s.host.receiver.addChunk(chunk)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if !chunk.GetLast() || next != chunk.GetMetadata().GetSize() {
		return &rockwindpb.SnapshotChunkResponse{NextOffset: next}, nil
	}
	message := &rockwindpb.Message{
		Kind:     rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT,
		From:     chunk.GetFrom(),
		To:       chunk.GetTo(),
		Term:     chunk.GetTerm(),
		Snapshot: chunk.GetMetadata(),
	}
	if err := o.do(ctx, func() error { return o.acceptSnapshot(message, content) }); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.SnapshotChunkResponse{NextOffset: next}, nil
}
