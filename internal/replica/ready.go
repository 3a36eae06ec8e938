package replica

import (
	"strconv"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// handleReady sends messages, persists state and applies entries as one Ready
// requires.
func (o *owner) handleReady(ready *raft.Ready) error {
	o.send(ready.MessagesBeforeSync)
	if ready.HardState != nil {
		o.unsyncedHardState = ready.HardState
	}
	o.outstanding = ready
	if ready.MustSync {
		if err := o.persistReady(ready); err != nil {
			return err
		}
	}
	if err := o.apply(ready.CommittedEntries); err != nil {
		return err
	}
	for _, state := range ready.ReadStates {
		o.confirmedReads = append(o.confirmedReads, confirmedRead{index: state.Index, reads: o.unconfirmedReads[state.Context]})
		delete(o.unconfirmedReads, state.Context)
	}
	o.serveReads()
	if !ready.MustSync {
		// A new commit index alone needs no sync: it is written with the next
		// update, and after a restart the leader sends it again.
		if err := o.advance(); err != nil {
			return err
		}
	}
	return o.maybeSnapshot()
}

// persistReady submits a Ready to the log writer, which signals the owner when it
// is durable.
func (o *owner) persistReady(ready *raft.Ready) error {
	update := wal.Update{Group: o.id, HardState: o.unsyncedHardState, Entries: ready.Entries}
	o.unsyncedHardState = nil
	if ready.Snapshot == nil {
		o.host.writer.submit(o.ctx, update, o.signalSynced)
		return nil
	}
	o.installing, o.received = o.received, receivedSnapshot{}
	snapshot := o.installing
	if !proto.Equal(snapshot.metadata, ready.Snapshot) {
		return errors.Newf("the data of snapshot %d is missing", ready.Snapshot.GetIndex())
	}
	o.host.spawn(func() error {
		saved, err := o.host.saveReceivedSnapshot(o.ctx, o.id, snapshot.metadata, snapshot.content)
		if err != nil || saved == nil {
			return err
		}
		update.Snapshot = saved
		o.host.writer.submit(o.ctx, update, o.signalSynced)
		return nil
	})
	return nil
}

func (o *owner) signalSynced() {
	o.synced <- struct{}{}
}

// advance completes the outstanding Ready after it has become durable.
func (o *owner) advance() error {
	ready := o.outstanding
	o.outstanding = nil
	if ready.Snapshot != nil {
		if err := o.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	o.send(ready.Messages)
	o.node.Advance(*ready)
	o.recordSlowDiskTransfer()
	return nil
}

// recordSlowDiskTransfer records a leadership transfer that a slow disk caused.
func (o *owner) recordSlowDiskTransfer() {
	target := o.node.SlowDiskTransferTarget()
	if (target != 0) == o.slowDiskTransfer {
		return
	}
	o.slowDiskTransfer = target != 0
	if o.slowDiskTransfer {
		decision.Default.Record(decision.LeadershipTransferred, strconv.FormatUint(uint64(o.id), 10), log.Fields{
			"reason": "the disk is slow", "term": o.node.Status().Term, "to": strconv.FormatUint(target, 16),
		})
	}
}

// send passes messages to the transport. Snapshot messages are sent separately,
// with their data.
func (o *owner) send(messages []*rockwindpb.Message) {
	for _, message := range messages {
		if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
			o.sendSnapshot(message)
			continue
		}
		if !o.isAppendToWitness(message) {
			message = o.shortEntries.encodeOutgoing(message)
		}
		o.host.transport.send(o.routeOf(message), o.id, message)
	}
}

// routeOf returns the route of a message.
func (o *owner) routeOf(message *rockwindpb.Message) route {
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_APPEND_REPLY, rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY,
		rockwindpb.MessageKind_MESSAGE_KIND_VOTE_REPLY, rockwindpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return o.replyRoute(message.GetTo())
	}
	return o.memberRoute(message.GetTo())
}

// replyRoute returns the route from which a member sends. The membership is no source for it: a replica that is
// catching up holds earlier ones, in which the member may have another address.
func (o *owner) replyRoute(id uint64) route {
	if learned := o.host.transport.learnedRoute(id); learned.address != "" {
		return o.host.preferredRoute(learned)
	}
	return o.memberRoute(id)
}

// memberRoute returns the route to a member.
func (o *owner) memberRoute(id uint64) route {
	for _, member := range o.node.Status().Membership.GetMembers() {
		if member.GetId() == id {
			return o.host.routeTo(member)
		}
	}
	return o.host.transport.learnedRoute(id)
}
