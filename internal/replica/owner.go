package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

const (
	// requestBuffer is how many requests may wait to be gathered in a batch.
	requestBuffer = 1024
	// inboxBuffer is how many messages may wait; more are dropped, which the
	// protocol stands.
	inboxBuffer = 4096
	// maximumPending bounds the proposals that wait for their commit; more wait
	// in their callers.
	maximumPending = 8192
	maxInflight    = 64
	maxAppendBytes = 1 << 20
)

// owner is the goroutine that owns one group: its consensus core, its state
// machine and the requests that wait for them. It implements Group.
//
// Each group has an owner of its own, so that applying and snapshots of one
// group hold up no other, and the groups of a machine use several cores. All
// owners share one writer, which is where sharing pays.
type owner struct {
	host    *Host
	id      uint32
	node    *raft.Node
	machine StateMachine
	stored  *wal.Group
	lease   leaseClock

	requests chan any
	inbox    chan *rockwindpb.Message
	ticks    chan struct{}
	// synced receives a value when the outstanding Ready is durable.
	synced chan struct{}
	// saved receives the newest snapshot's index when one that was taken here is
	// durable, or could not be saved.
	saved chan uint64
	// unreachable receives members to which messages may be lost.
	unreachable chan uint64
	stopped     chan struct{}
	// pinned asks for a snapshot that lets old segments of the log go.
	pinned atomic.Bool

	// Fields of the owner goroutine.
	ctx          context.Context
	applied      uint64
	appliedTerm  uint64
	lastTick     time.Time
	outstanding  *raft.Ready
	unsyncedHard *rockwindpb.HardState
	pending      map[uint64]*proposal
	waiting      []waitingRead
	nextRead     uint64
	asked        map[uint64][]*read
	snapshotting bool
	// snapshotIndex is the index of the newest snapshot.
	snapshotIndex uint64
	draining      bool
	// slowDisk tells that a hand-over for the slow disk is written in the log.
	slowDisk bool
	// preparing tells that Options.HandingOver is under way.
	preparing bool
	// received waits for the Ready that installs it, installing for its sync.
	received   receivedSnapshot
	installing receivedSnapshot
	// short tells entries to members by reference.
	short shortener
	// targets holds the index that each learner must reach to be promoted.
	targets    map[uint64]uint64
	wasLeading uint64
	// silentSince holds since when members are silent, as this leader hears it in
	// silenceTerm.
	silentSince map[uint64]time.Time
	silenceTerm uint64

	// What other goroutines read.
	mutex        sync.Mutex
	status       raft.Status
	appliedShown uint64
	// appliedTermShown is the term of the entry at appliedShown.
	appliedTermShown uint64

	moved        chan struct{}
	leadingUntil atomic.Pointer[leadership]
}

// leadership is a lease as other goroutines see it.
type leadership struct {
	term uint64
	end  leaseEnd
}

// waitingRead runs once the state holds everything up to index.
type waitingRead struct {
	index uint64
	reads []*read
}

// newOwner restores a group from the log.
func newOwner(ctx context.Context, host *Host, id uint32, founding *rockwindpb.Membership) (*owner, error) {
	o := &owner{
		ctx:         ctx,
		host:        host,
		id:          id,
		machine:     host.options.StateMachines(id),
		stored:      host.log.Group(id),
		lease:       leaseClock{duration: time.Duration(host.options.leaseTicks()) * host.options.Tick},
		requests:    make(chan any, requestBuffer),
		inbox:       make(chan *rockwindpb.Message, inboxBuffer),
		ticks:       make(chan struct{}, 1),
		synced:      make(chan struct{}, 1),
		saved:       make(chan uint64, 1),
		unreachable: make(chan uint64, inboxBuffer),
		stopped:     make(chan struct{}),
		pending:     map[uint64]*proposal{},
		asked:       map[uint64][]*read{},
		targets:     map[uint64]uint64{},
		silentSince: map[uint64]time.Time{},
		moved:       make(chan struct{}),
	}
	if err := o.restore(); err != nil {
		return nil, err
	}
	node, err := raft.NewNode(raft.Config{
		ID:             host.log.DiskID(),
		ElectionTicks:  host.options.ElectionTicks,
		HeartbeatTicks: host.options.HeartbeatTicks,
		LeaseTicks:     host.options.leaseTicks(),
		MaxInflight:    maxInflight,
		MaxAppendBytes: maxAppendBytes,
		Random:         rand.New(rand.NewPCG(host.options.RandomSeed, host.log.DiskID()^uint64(id))),
		Storage:        &storage{group: o.stored, founding: founding},
		Applied:        o.applied,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "restore group %d", id)
	}
	o.node = node
	o.publish()
	return o, nil
}

// restore brings the state machine to the newest snapshot.
func (o *owner) restore() error {
	metadata := o.stored.Snapshot()
	if metadata.GetIndex() == 0 {
		return nil
	}
	content, err := o.host.log.LoadSnapshot(o.id, metadata)
	if err != nil {
		return err
	}
	if err := o.machine.Restore(content); err != nil {
		return errors.Wrapf(err, "restore the state of group %d at %d", o.id, metadata.GetIndex())
	}
	o.applied, o.appliedTerm = metadata.GetIndex(), metadata.GetTerm()
	o.appliedShown, o.appliedTermShown, o.snapshotIndex = o.applied, o.appliedTerm, o.applied
	return nil
}

// run owns the group until the context ends. Messages go before ticks, so that
// a goroutine that was held up hears the leader before it doubts it.
func (o *owner) run() error {
	defer o.stop()
	for {
		if err := o.work(); err != nil {
			return errors.Wrapf(err, "group %d", o.id)
		}
		select {
		case <-o.ctx.Done():
			return nil
		case message := <-o.inbox:
			o.step(message)
			continue
		case <-o.synced:
			if err := o.advance(); err != nil {
				return err
			}
			continue
		default:
		}
		if err := o.next(); err != nil {
			return err
		}
	}
}

// next waits for one input and handles it.
func (o *owner) next() error {
	select {
	case <-o.ctx.Done():
	case message := <-o.inbox:
		o.step(message)
	case <-o.synced:
		return o.advance()
	case o.snapshotIndex = <-o.saved:
		o.snapshotting = false
	case id := <-o.unreachable:
		o.node.ReportUnreachable(id)
	case <-o.ticks:
		return o.tick()
	case next := <-o.acceptable():
		o.gather(next)
	}
	return nil
}

// acceptable is the channel of requests, unless too many wait already.
func (o *owner) acceptable() chan any {
	if len(o.pending) >= maximumPending {
		return nil
	}
	return o.requests
}

// stop ends the requests that wait.
func (o *owner) stop() {
	o.failPending("this control process stops")
	o.failReads()
	o.leadingUntil.Store(nil)
	close(o.stopped)
}

func (o *owner) step(message *rockwindpb.Message) {
	o.stepOne(message)
	for range inboxBuffer {
		select {
		case next := <-o.inbox:
			o.stepOne(next)
		default:
			return
		}
	}
}

func (o *owner) stepOne(message *rockwindpb.Message) {
	o.short.heard(message)
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_SHORT_APPEND:
		message = o.whole(message)
	case rockwindpb.MessageKind_MESSAGE_KIND_WANT_WHOLE:
		o.sendWhole(message)
		return
	}
	if err := o.node.Step(message); err != nil && !errors.Is(err, raft.ErrBadMessage) {
		log.WithError(err).WithField("group", o.id).Error("message refused")
	}
}

// tick moves the core's time on. Ticks that come too close together, after the
// process was held up, are left out: see leaseMarginTicks.
func (o *owner) tick() error {
	now := time.Now()
	if now.Sub(o.lastTick) < o.host.options.Tick*3/4 {
		return nil
	}
	o.lastTick = now
	o.node.Tick()
	o.noteSilence(now)
	o.replaceMembers()
	o.continueDrain()
	return o.maybeSnapshot()
}

// now is the present moment.
func (o *owner) now() moment {
	return moment{at: time.Now(), suspended: o.host.options.Suspended()}
}

// work does what the core asks for until it asks for nothing.
func (o *owner) work() error {
	for {
		if err := o.node.Err(); err != nil {
			return err
		}
		now := o.now()
		o.followRole()
		if !o.node.HasReady() {
			o.publish()
			o.dropUnused()
			return nil
		}
		ready := o.node.Ready()
		o.lease.note(ready.HeartbeatRound, now)
		// A lease that was revoked must be so before the message that revokes it.
		o.publish()
		if err := o.handle(&ready); err != nil {
			return err
		}
	}
}

// dropUnused lets go of a snapshot's data that the core did not need.
func (o *owner) dropUnused() {
	if o.outstanding == nil {
		o.received = receivedSnapshot{}
	}
}
