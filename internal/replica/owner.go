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
	"rockwind.example/rockwind/internal/replica/leaderregion"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

const (
	// requestBuffer is the capacity of the request queue, and the maximum number
	// of requests in a batch.
	requestBuffer = 1024
	// inboxBuffer is the capacity of the message queue. Further messages are
	// dropped, which the protocol tolerates.
	inboxBuffer = 4096
	// maxPending limits the proposals that wait for their commit. Callers block
	// when it is reached.
	maxPending     = 8192
	maxInflight    = 64
	maxAppendBytes = 1 << 20
)

// owner runs one group on a goroutine that owns the Raft node, the state machine
// and the pending requests. It implements Group.
//
// Each group has its own owner, so that applying commands or taking a snapshot in
// one group does not delay another, and groups run in parallel. All owners share
// one writer, so that one sync serves several groups.
type owner struct {
	host *Host
	id   uint32
	// region is the one to which the replicas are restricted, empty if they are not.
	region string
	// witness is set if this replica is a witness.
	witness bool
	node    *raft.Node
	machine StateMachine
	stored  *wal.Group
	lease   leaseClock
	polls   pollClock

	requests chan any
	inbox    chan *rockwindpb.Message
	ticks    chan struct{}
	// synced receives a value when the outstanding Ready is durable.
	synced chan struct{}
	// snapshotSaved receives the index of the newest snapshot when a local one has
	// become durable or could not be saved.
	snapshotSaved chan uint64
	// unreachable receives members to which messages may have been lost.
	unreachable chan uint64
	stopped     chan struct{}
	// snapshotRequested requests a snapshot so that old log segments can be removed.
	snapshotRequested atomic.Bool

	// Used only by the owner goroutine.
	ctx               context.Context
	applied           uint64
	appliedTerm       uint64
	lastTick          time.Time
	outstanding       *raft.Ready
	unsyncedHardState *rockwindpb.HardState
	pending           map[uint64]*proposal
	confirmedReads    []confirmedRead
	lastReadContext   uint64
	unconfirmedReads  map[uint64][]*read
	syncWaits         []*syncWait
	snapshotting      bool
	// snapshotIndex is the index of the newest snapshot.
	snapshotIndex uint64
	draining      bool
	// slowDiskTransfer is set once a leadership transfer due to a slow disk has
	// been recorded.
	slowDiskTransfer bool
	// preparingTransfer is set while Options.BeforeLeadershipTransfer runs.
	preparingTransfer bool
	// received is a snapshot that waits for the Ready that installs it; installing
	// is one that waits to become durable.
	received   receivedSnapshot
	installing receivedSnapshot
	// shortEntries encodes entries for members by reference to earlier entries.
	shortEntries shortEntryEncoder
	leadingTerm  uint64
	// loggedInSync is the in-sync set that was logged last, as machine names.
	loggedInSync []string
	// confirmationRecorded is set once a confirmed state has been recorded.
	confirmationRecorded bool
	// inactiveSince holds when each inactive member became inactive, as observed by
	// this leader in inactivityTerm, and learners what it has observed of the learners.
	inactiveSince map[uint64]time.Time
	learners      map[uint64]learnerProgress
	// lastInactive holds when the member on a machine was last inactive.
	lastInactive map[string]time.Time
	// nextAdmission is the time before which this leader does not look for a machine that has asked to join.
	nextAdmission  time.Time
	inactivityTerm uint64
	// joins holds the join calls of each disk beside a voter with content on the same machine, as observed by
	// this leader in joinsTerm.
	joins     map[uint64]repeatedJoin
	joinsTerm uint64
	// removableSince is since when a member has been removable without a replacement, as observed
	// by this leader in removableTerm.
	removableSince time.Time
	removableTerm  uint64
	shortages      shortageTracker
	// leaderRegion decides about transfers to the region that holds a majority of the voters.
	leaderRegion leaderregion.Tracker

	// Guarded by mutex; read by other goroutines.
	mutex            sync.Mutex
	status           raft.Status
	publishedApplied uint64
	// publishedAppliedTerm is the term of the entry at publishedApplied.
	publishedAppliedTerm uint64

	appliedChanged      chan struct{}
	publishedLeadership atomic.Pointer[leadership]
	// publishedShortage is set on the leader.
	publishedShortage atomic.Pointer[Shortage]
	// publishedConfirmation is the time as of which the applied state is confirmed, or nil.
	publishedConfirmation atomic.Pointer[clockReading]
}

// leadership is a term and the end of its lease, as published to other goroutines.
type leadership struct {
	term uint64
	end  leaseEnd
}

// confirmedRead holds reads that run once the state machine has applied index.
type confirmedRead struct {
	index uint64
	reads []*read
}

// newOwner restores a group from the log.
func newOwner(ctx context.Context, host *Host, founding *rockwindpb.FoundingGroup) (*owner, error) {
	id := founding.GetGroup()
	o := &owner{
		ctx:              ctx,
		host:             host,
		id:               id,
		region:           founding.GetRegion(),
		witness:          isWitnessMachine(founding.GetMembership(), host.options.Machine),
		machine:          host.newStateMachine(founding),
		stored:           host.log.Group(id),
		lease:            leaseClock{duration: time.Duration(host.options.leaseTicks()) * host.options.Tick},
		requests:         make(chan any, requestBuffer),
		inbox:            make(chan *rockwindpb.Message, inboxBuffer),
		ticks:            make(chan struct{}, 1),
		synced:           make(chan struct{}, 1),
		snapshotSaved:    make(chan uint64, 1),
		unreachable:      make(chan uint64, inboxBuffer),
		stopped:          make(chan struct{}),
		pending:          map[uint64]*proposal{},
		unconfirmedReads: map[uint64][]*read{},
		learners:         map[uint64]learnerProgress{},
		inactiveSince:    map[uint64]time.Time{},
		lastInactive:     map[string]time.Time{},
		joins:            map[uint64]repeatedJoin{},
		appliedChanged:   make(chan struct{}),
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
		FirstPoll:      rand.Uint64() >> 1,
		Random:         rand.New(rand.NewPCG(host.options.RandomSeed, host.log.DiskID()^uint64(id))),
		Storage:        &storage{group: o.stored, founding: foundingMembership(founding.GetMembership(), host.log.DiskID())},
		Applied:        o.applied,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "restore group %d", id)
	}
	o.node = node
	o.publish(o.now())
	return o, nil
}

// restore loads the newest snapshot into the state machine.
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
	o.publishedApplied, o.publishedAppliedTerm, o.snapshotIndex = o.applied, o.appliedTerm, o.applied
	return nil
}

// run processes events until the context ends. Messages take precedence over
// ticks, so that a delayed goroutine sees messages from the leader before it
// starts an election.
func (o *owner) run() error {
	defer o.stop()
	for {
		if err := o.processReady(); err != nil {
			return errors.Wrapf(err, "group %d", o.id)
		}
		select {
		case <-o.ctx.Done():
			return nil
		case message := <-o.inbox:
			o.stepQueued(message)
			continue
		case <-o.synced:
			if err := o.advance(); err != nil {
				return err
			}
			continue
		default:
		}
		if err := o.handleNext(); err != nil {
			return err
		}
	}
}

// handleNext waits for one event and handles it.
func (o *owner) handleNext() error {
	select {
	case <-o.ctx.Done():
	case message := <-o.inbox:
		o.stepQueued(message)
	case <-o.synced:
		return o.advance()
	case o.snapshotIndex = <-o.snapshotSaved:
		o.snapshotting = false
	case id := <-o.unreachable:
		o.node.ReportUnreachable(id)
	case <-o.ticks:
		return o.tick()
	case next := <-o.acceptedRequests():
		o.handleRequests(next)
	}
	return nil
}

// acceptedRequests returns the request channel, or nil if too many proposals are
// pending.
func (o *owner) acceptedRequests() chan any {
	if len(o.pending) >= maxPending {
		return nil
	}
	return o.requests
}

// stop fails the pending requests.
func (o *owner) stop() {
	o.failPending("this control process stops")
	o.failReads()
	o.failSyncWaits()
	o.publishedLeadership.Store(nil)
	o.publishedConfirmation.Store(nil)
	o.publishedShortage.Store(nil)
	close(o.stopped)
}

func (o *owner) stepQueued(message *rockwindpb.Message) {
	o.stepMessage(message)
	for range inboxBuffer {
		select {
		case next := <-o.inbox:
			o.stepMessage(next)
		default:
			return
		}
	}
}

func (o *owner) stepMessage(message *rockwindpb.Message) {
	o.shortEntries.noteReply(message)
	switch message.GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_SHORT_APPEND:
		message = o.expandAppend(message)
	case rockwindpb.MessageKind_MESSAGE_KIND_WANT_WHOLE:
		o.handleFullEntriesRequest(message)
		return
	}
	if err := o.node.Step(message); err != nil && !errors.Is(err, raft.ErrBadMessage) {
		log.WithError(err).WithField("group", o.id).Error("message rejected")
	}
}

// tick advances the clock of the Raft node. It skips ticks that follow each other
// too closely after the process was delayed: see leaseMarginTicks.
func (o *owner) tick() error {
	now := time.Now()
	if now.Sub(o.lastTick) < o.host.options.Tick*3/4 {
		return nil
	}
	o.lastTick = now
	o.node.Tick()
	status := o.node.Status()
	o.trackMembers(status, now)
	o.reportRetired(status)
	o.advanceReplacement(status, now)
	o.trackShortage(now)
	o.continueDrain()
	o.returnToRegion(now)
	return o.maybeSnapshot()
}

func (o *owner) now() clockReading {
	return clockReading{monotonic: time.Now(), suspended: o.host.options.Suspended()}
}

// processReady handles Readys until the Raft node has none.
func (o *owner) processReady() error {
	for {
		if err := o.node.Err(); err != nil {
			return err
		}
		now := o.now()
		o.handleRoleChange()
		if !o.node.HasReady() {
			o.publish(now)
			o.finishSyncWaits()
			o.dropUnusedSnapshot()
			return nil
		}
		ready := o.node.Ready()
		o.lease.recordRound(ready.HeartbeatRound, now)
		o.polls.record(ready.Poll, now)
		// Publish a revoked lease before sending the message that revokes it.
		o.publish(now)
		if err := o.handleReady(&ready); err != nil {
			return err
		}
	}
}

// recordRoundWithoutMessages records the heartbeat rounds of a leader that is the only voter. They send no
// message, so no Ready has them, and the lease by the clock would end while the group is idle.
func (o *owner) recordRoundWithoutMessages(status raft.Status, now clockReading) {
	if status.Role == raft.Leader && !hasOtherVoters(status.Membership, status.ID) {
		o.lease.recordRound(o.node.LeaseRound(), now)
	}
}

// dropUnusedSnapshot releases the data of a snapshot that the Raft node did not
// install.
func (o *owner) dropUnusedSnapshot() {
	if o.outstanding == nil {
		o.received = receivedSnapshot{}
	}
}
