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
	// snapshotChunkBytes is how much of a snapshot goes in one call.
	snapshotChunkBytes = 512 << 10
	// snapshotAttempts is how many calls in a row may fail before a transfer is
	// given up; the leader then starts it anew.
	snapshotAttempts = 8
	snapshotTimeout  = 5 * time.Second
	// largestSnapshot bounds the memory that a transfer may ask for, in bytes.
	largestSnapshot = 2 << 30
)

// receivedSnapshot is one whose data is here and that the core has accepted.
type receivedSnapshot struct {
	metadata *rockwindpb.SnapshotMetadata
	content  []byte
}

// maybeSnapshot takes a snapshot when the log behind the last one is long. The
// state is encoded on the owner goroutine, the file is written beside it.
func (o *owner) maybeSnapshot() error {
	if o.snapshotting || !o.snapshotDue() {
		return nil
	}
	content, err := o.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encode the state")
	}
	metadata := &rockwindpb.SnapshotMetadata{
		Index:      o.applied,
		Term:       o.appliedTerm,
		Membership: o.node.MembershipAt(o.applied),
	}
	o.snapshotting = true
	o.pinned.Store(false)
	older := o.snapshotIndex
	o.host.spawn(func() error { return o.saveOwn(metadata, content, older) })
	return nil
}

func (o *owner) snapshotDue() bool {
	if o.applied <= o.snapshotIndex {
		return false
	}
	options := &o.host.options
	return o.applied-o.snapshotIndex >= options.SnapshotEntries ||
		o.stored.BytesSinceSnapshot() >= options.SnapshotBytes || o.pinned.Load()
}

// saveOwn makes a snapshot durable. On a full disk it is left out.
func (o *owner) saveOwn(metadata *rockwindpb.SnapshotMetadata, content []byte, older uint64) error {
	saved, err := o.host.log.SaveSnapshot(o.id, metadata, content)
	if wal.IsDiskFull(err) {
		log.WithError(err).WithField("group", o.id).Error("snapshot left out")
		o.saved <- older
		return nil
	}
	if err != nil {
		return err
	}
	update := wal.Update{Group: o.id, Snapshot: saved}
	o.host.writer.submit(o.ctx, update, func() { o.saved <- saved.GetIndex() })
	return nil
}

// saveUntilRoom writes the file of a snapshot from the leader. While the disk
// is full it waits; it returns nil when the context ends.
func (h *Host) saveUntilRoom(ctx context.Context, group uint32, metadata *rockwindpb.SnapshotMetadata, content []byte) (*rockwindpb.SnapshotMetadata, error) {
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

// install replaces the state by a snapshot that is durable.
func (o *owner) install(metadata *rockwindpb.SnapshotMetadata) error {
	if err := o.machine.Restore(o.installing.content); err != nil {
		return errors.Wrapf(err, "restore the state at %d", metadata.GetIndex())
	}
	o.installing = receivedSnapshot{}
	o.applied, o.appliedTerm = metadata.GetIndex(), metadata.GetTerm()
	o.snapshotIndex = metadata.GetIndex()
	o.showApplied()
	return nil
}

// accept steps a snapshot message whose data is here. The core takes it when
// the commit index moves to the snapshot's; the data then waits for the Ready
// that installs it.
func (o *owner) accept(message *rockwindpb.Message, content []byte) error {
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
	to := o.route(message.GetTo())
	o.host.spawn(func() error {
		installed := o.transferSnapshot(to, message)
		_ = o.do(o.ctx, func() error {
			o.node.ReportSnapshot(message.GetTo(), installed)
			return nil
		})
		return nil
	})
}

// transferSnapshot sends a snapshot in chunks. The receiver says where to go
// on, so that a transfer that broke off is resumed.
func (o *owner) transferSnapshot(to route, message *rockwindpb.Message) bool {
	content, metadata, err := o.loadNewest(message.GetSnapshot())
	if err != nil || to.address == "" {
		log.WithField("group", o.id).WithField("to", to.machine).Warn("snapshot cannot be sent")
		return false
	}
	client := o.host.clientOf(to.address)
	failures := 0
	for offset := uint64(0); ; {
		chunk := o.chunk(message, metadata, content, offset)
		response, err := o.host.callSnapshot(client, to, chunk)
		switch {
		case err == nil && chunk.GetLast() && response.GetNextOffset() == metadata.GetSize():
			return true
		case err == nil && response.GetNextOffset() <= metadata.GetSize():
			offset, failures = response.GetNextOffset(), 0
			continue
		}
		failures++
		if failures == snapshotAttempts || !o.host.pause(o.host.options.Tick) {
			return false
		}
	}
}

// loadNewest reads a snapshot, or the one that has replaced it meanwhile.
func (o *owner) loadNewest(metadata *rockwindpb.SnapshotMetadata) ([]byte, *rockwindpb.SnapshotMetadata, error) {
	content, err := o.host.log.LoadSnapshot(o.id, metadata)
	if err == nil {
		return content, metadata, nil
	}
	newest := o.stored.Snapshot()
	content, err = o.host.log.LoadSnapshot(o.id, newest)
	return content, newest, err
}

func (o *owner) chunk(message *rockwindpb.Message, metadata *rockwindpb.SnapshotMetadata, content []byte, offset uint64) *rockwindpb.SnapshotChunk {
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

func (h *Host) callSnapshot(client rockwindpb.ReplicaService, to route, chunk *rockwindpb.SnapshotChunk) (*rockwindpb.SnapshotChunkResponse, error) {
	if !h.allowedBoth(to.machine) {
		return nil, fault.New(fault.Unavailable, "the link is cut", "heal the link")
	}
	ctx, cancel := context.WithTimeout(h.ctx, snapshotTimeout)
	defer cancel()
	return client.SendSnapshot(ctx, chunk)
}
