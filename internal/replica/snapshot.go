package replica

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

const (
	// snapshotChunkBytes is the maximum size of a snapshot chunk, which is sent in one
	// call.
	snapshotChunkBytes = 512 << 10
	// snapshotAttempts is how many calls in a row may fail before a transfer is
	// aborted; the leader then restarts it.
	snapshotAttempts = 8
	snapshotTimeout  = 5 * time.Second
	// maxSnapshotBytes limits the memory that a transfer can make a receiver use.
	maxSnapshotBytes = 2 << 30
)

// receivedSnapshot is a complete snapshot that the Raft node has accepted.
type receivedSnapshot struct {
	metadata *rockwindpb.SnapshotMetadata
	content  []byte
}

// maybeSnapshot takes a snapshot if one is due. It encodes the state on the owner
// goroutine; another goroutine writes the file.
func (o *owner) maybeSnapshot() error {
	if o.snapshotting || !o.snapshotDue() {
		return nil
	}
	if !o.host.encodingSnapshot.CompareAndSwap(false, true) {
		// The next Ready or the next call of requestSnapshots tries again.
		return nil
	}
	content, err := o.machine.Snapshot()
	if err != nil {
		o.host.encodingSnapshot.Store(false)
		return errors.Wrap(err, "encode the state")
	}
	metadata := &rockwindpb.SnapshotMetadata{
		Index:      o.applied,
		Term:       o.appliedTerm,
		Membership: o.node.MembershipAt(o.applied),
	}
	o.snapshotting = true
	o.snapshotRequested.Store(false)
	previousIndex := o.snapshotIndex
	o.host.encodedBytes.Store(int64(len(content)))
	o.host.spawn(func() error {
		defer o.host.encodingSnapshot.Store(false)
		defer o.host.encodedBytes.Store(0)
		return o.saveLocalSnapshot(metadata, content, previousIndex)
	})
	return nil
}

func (o *owner) snapshotDue() bool {
	if o.applied <= o.snapshotIndex {
		return false
	}
	options := &o.host.options
	return o.applied-o.snapshotIndex >= options.SnapshotEntries ||
		o.stored.BytesSinceSnapshot() >= o.snapshotBytes() || o.snapshotRequested.Load()
}

// snapshotBytes returns how many bytes of commands after the newest snapshot make the next one due. A limit
// relative to the state bounds the work: encoding the state costs at most about three bytes for each
// byte of the log.
func (o *owner) snapshotBytes() int64 {
	options := &o.host.options
	if options.MinSnapshotBytes == 0 {
		return options.SnapshotBytes
	}
	return min(options.SnapshotBytes, max(options.MinSnapshotBytes, o.stored.SnapshotBytes()/2))
}

// saveLocalSnapshot makes a snapshot durable. It skips the snapshot if the disk is
// full.
func (o *owner) saveLocalSnapshot(metadata *rockwindpb.SnapshotMetadata, content []byte, previousIndex uint64) error {
	saved, err := o.host.log.SaveSnapshot(o.id, metadata, content)
	if wal.IsDiskFull(err) {
		log.WithError(err).WithField("group", o.id).Error("snapshot skipped because the disk is full")
		o.snapshotSaved <- previousIndex
		return nil
	}
	if err != nil {
		return err
	}
	update := wal.Update{Group: o.id, Snapshot: saved}
	o.host.writer.submit(o.ctx, update, func() { o.snapshotSaved <- saved.GetIndex() })
	return nil
}

// saveReceivedSnapshot writes the file of a snapshot from the leader. It retries
// while the disk is full and returns nil when the context ends.
func (h *Host) saveReceivedSnapshot(ctx context.Context, group uint32, metadata *rockwindpb.SnapshotMetadata, content []byte) (*rockwindpb.SnapshotMetadata, error) {
	for {
		saved, err := h.log.SaveSnapshot(group, metadata, content)
		if !wal.IsDiskFull(err) {
			return saved, err
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(fullDiskRetry):
		}
	}
}

// installSnapshot replaces the state with a snapshot that is durable.
func (o *owner) installSnapshot(metadata *rockwindpb.SnapshotMetadata) error {
	if err := o.machine.Restore(o.installing.content); err != nil {
		return errors.Wrapf(err, "restore the state at %d", metadata.GetIndex())
	}
	o.installing = receivedSnapshot{}
	o.applied, o.appliedTerm = metadata.GetIndex(), metadata.GetTerm()
	o.snapshotIndex = metadata.GetIndex()
	o.publishApplied()
	return nil
}

// acceptSnapshot passes a snapshot message to the Raft node after its data has
// arrived. The Raft node accepts it if the commit index moves to the snapshot's; the
// data is then kept for the Ready that installs it.
func (o *owner) acceptSnapshot(message *rockwindpb.Message, content []byte) error {
	before := o.node.Status().Commit
	err := o.node.Step(message)
	if errors.Is(err, raft.ErrBadMessage) {
		return nil
	}
	if err != nil {
		return err
	}
	index := message.GetSnapshot().GetIndex()
	if before < index && o.node.Status().Commit == index {
		o.received = receivedSnapshot{metadata: message.GetSnapshot(), content: content}
	}
	return nil
}

// sendSnapshot starts the transfer that a snapshot message asks for.
func (o *owner) sendSnapshot(message *rockwindpb.Message) {
	to := o.memberRoute(message.GetTo())
	toWitness := memberByID(o.node.Status().Membership, message.GetTo()).GetWitness()
	o.host.spawn(func() error {
		installed := o.transferSnapshot(to, message, toWitness)
		_ = o.do(o.ctx, func() error {
			o.node.ReportSnapshot(message.GetTo(), installed)
			return nil
		})
		return nil
	})
}

// transferSnapshot sends a snapshot in chunks. The receiver returns the next offset,
// so that an interrupted transfer can be resumed. A snapshot for a witness has no content, and is exactly the
// one of the message: a newer one might be beyond what witnesses may receive.
func (o *owner) transferSnapshot(to route, message *rockwindpb.Message, toWitness bool) bool {
	content, metadata, err := []byte(nil), message.GetSnapshot(), error(nil)
	if !toWitness {
		content, metadata, err = o.loadSnapshot(metadata)
	}
	if err != nil || to.address == "" {
		log.WithField("group", o.id).WithField("to", to.machine).Warn("cannot send snapshot")
		return false
	}
	o.host.sentBytes.Add(int64(len(content)))
	defer o.host.sentBytes.Add(-int64(len(content)))
	client := o.host.clientFor(to.address)
	failures := 0
	for offset := uint64(0); ; {
		chunk := o.snapshotChunk(message, metadata, content, offset)
		response, err := o.host.sendSnapshotChunk(client, to, chunk)
		switch {
		case err == nil && chunk.GetLast() && response.GetNextOffset() == metadata.GetSize():
			return true
		case err == nil && response.GetNextOffset() <= metadata.GetSize():
			offset, failures = response.GetNextOffset(), 0
			continue
		}
		failures++
		if failures == snapshotAttempts || !o.host.sleep(o.host.options.Tick) {
			return false
		}
	}
}

// loadSnapshot reads a snapshot, or the newest one if it has been replaced.
func (o *owner) loadSnapshot(metadata *rockwindpb.SnapshotMetadata) ([]byte, *rockwindpb.SnapshotMetadata, error) {
	content, err := o.host.log.LoadSnapshot(o.id, metadata)
	if err == nil {
		return content, metadata, nil
	}
	newest := o.stored.Snapshot()
	content, err = o.host.log.LoadSnapshot(o.id, newest)
	return content, newest, err
}

func (o *owner) snapshotChunk(message *rockwindpb.Message, metadata *rockwindpb.SnapshotMetadata, content []byte, offset uint64) *rockwindpb.SnapshotChunk {
	end := min(offset+snapshotChunkBytes, uint64(len(content)))
	return &rockwindpb.SnapshotChunk{
		ClusterId: o.host.clusterID(),
		Group:     o.id,
		From:      message.GetFrom(),
		To:        message.GetTo(),
		Term:      message.GetTerm(),
		Metadata:  metadata,
		Offset:    offset,
		Data:      content[offset:end],
		Last:      end == uint64(len(content)),
		Machine:   o.host.options.Machine,
	}
}

func (h *Host) sendSnapshotChunk(client rockwindpb.ReplicaService, to route, chunk *rockwindpb.SnapshotChunk) (*rockwindpb.SnapshotChunkResponse, error) {
	if !h.allowedBothWays(to.machine) {
		return nil, fault.New(fault.Unavailable, "the link is cut", "heal the link")
	}
	ctx, cancel := context.WithTimeout(h.ctx, snapshotTimeout)
	defer cancel()
	return client.SendSnapshot(ctx, chunk)
}
