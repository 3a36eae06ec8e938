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

// handle does what one Ready asks for.
func (o *owner) handle(ready *raft.Ready) error {
	o.send(ready.MessagesBeforeSync)
	if ready.HardState != nil {
		o.unsyncedHard = ready.HardState
	}
	o.outstanding = ready
	if ready.MustSync {
		if err := o.persist(ready); err != nil {
			return err
		}
	}
	if err := o.apply(ready.CommittedEntries); err != nil {
		return err
	}
	for _, state := range ready.ReadStates {
		o.waiting = append(o.waiting, waitingRead{index: state.Index, reads: o.asked[state.Context]})
		delete(o.asked, state.Context)
	}
	o.serveReads()
	if !ready.MustSync {
		// The commit index alone is not worth a sync: it goes with the next one,
		// and a restart learns it again from the leader.
		if err := o.advance(); err != nil {
			return err
		}
	}
	return o.maybeSnapshot()
}

// persist makes a Ready durable and then wakes the owner up.
func (o *owner) persist(ready *raft.Ready) error {
	update := wal.Update{Group: o.id, HardState: o.unsyncedHard, Entries: ready.Entries}
	o.unsyncedHard = nil
	if ready.Snapshot == nil {
		o.host.writer.submit(o.ctx, update, o.wake)
		return nil
	}
	o.installing, o.received = o.received, receivedSnapshot{}
	snapshot := o.installing
	if !proto.Equal(snapshot.metadata, ready.Snapshot) {
		return errors.Newf("the data of snapshot %d is missing", ready.Snapshot.GetIndex())
	}
	o.host.spawn(func() error {
		saved, err := o.host.saveUntilRoom(o.ctx, o.id, snapshot.metadata, snapshot.content)
		if err != nil || saved == nil {
			return err
		}
		update.Snapshot = saved
		o.host.writer.submit(o.ctx, update, o.wake)
		return nil
	})
	return nil
}

func (o *owner) wake() {
	o.synced <- struct{}{}
}

// advance goes on after the outstanding Ready is durable.
func (o *owner) advance() error {
	ready := o.outstanding
	o.outstanding = nil
	if ready.Snapshot != nil {
		if err := o.install(ready.Snapshot); err != nil {
			return err
		}
	}
	o.send(ready.Messages)
	o.node.Advance(*ready)
	o.recordSlowDisk()
	return nil
}

// recordSlowDisk writes that leadership is handed over since the disk is slow.
func (o *owner) recordSlowDisk() {
	target := o.node.SlowDiskTransferTarget()
	if (target != 0) == o.slowDisk {
		return
	}
	o.slowDisk = target != 0
	if o.slowDisk {
		decision.Default.Record(decision.LeadershipHandedOver, strconv.FormatUint(uint64(o.id), 10), log.Fields{
			"reason": "the disk is slow", "term": o.node.Status().Term, "to": strconv.FormatUint(target, 16),
		})
	}
}

// send hands messages to the transport. Snapshot messages go beside it, with
// their data.
func (o *owner) send(messages []*rockwindpb.Message) {
	for _, message := range messages {
		if message.GetKind() == rockwindpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
			o.sendSnapshot(message)
			continue
		}
		o.host.transport.send(o.route(message.GetTo()), o.id, o.short.outgoing(message))
	}
}

// route finds where a member can be reached.
func (o *owner) route(id uint64) route {
	for _, member := range o.node.Status().Membership.GetMembers() {
		if member.GetId() == id {
			return o.host.routeTo(member)
		}
	}
	return o.host.transport.heardFrom(id)
}
