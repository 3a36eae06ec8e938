package segment

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// chunkBytes is how much of a segment one call transfers.
	chunkBytes = 4 << 20
	// replicationBackOff is the pause after a failed append.
	replicationBackOff = 200 * time.Millisecond
	// maximumReplicationFailures bounds the consecutive failed appends for a
	// finished segment; after them, repair copies the rest.
	maximumReplicationFailures = 10
)

// openSegment is a segment that this node appends to, with a replicator for each
// follower.
type openSegment struct {
	node  *Node
	local *localSegment

	mutex       sync.Mutex
	replicators []*replicator
	// target is the length up to which the replicators copy.
	target   int64
	finished bool
	// changed is closed and replaced when target, finished or a replicator changes.
	changed chan struct{}
}

// replicator copies an open segment to one follower, from the follower's synced
// length on.
type replicator struct {
	peer    *peer
	durable int64
	failing bool
	ended   bool
}

func newOpenSegment(ctx context.Context, node *Node, local *localSegment, followers []*peer) *openSegment {
	open := &openSegment{node: node, local: local, target: local.state().length, changed: make(chan struct{})}
	for _, follower := range followers {
		open.replicators = append(open.replicators, &replicator{peer: follower})
	}
	for _, started := range open.replicators {
		go open.replicate(ctx, started)
	}
	return open
}

// usable reports whether another batch may be appended to the segment.
func (o *openSegment) usable() bool {
	o.mutex.Lock()
	replicatorEnded := slices.ContainsFunc(o.replicators, func(candidate *replicator) bool { return candidate.ended })
	o.mutex.Unlock()
	state := o.local.state()
	age := o.node.options.Now().UnixMilli() - o.local.header.createdUnixMs
	return !replicatorEnded && !state.failed && !state.sealed && state.length < o.node.options.SegmentBytes &&
		age < o.node.options.OpenAge.Milliseconds()
}

// update changes the state and wakes the goroutines that wait for a change.
func (o *openSegment) update(change func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	change()
	close(o.changed)
	o.changed = make(chan struct{})
}

// setTarget sets the length up to which the replicators copy.
func (o *openSegment) setTarget(target int64) {
	o.update(func() { o.target = target })
}

// finish seals the local copy; the replicators then seal the followers' copies.
func (o *openSegment) finish() {
	if !o.local.state().broken {
		// After a failure, sealOrphans seals the segment later.
		_ = o.local.seal()
	}
	durable := o.local.state().durable
	o.update(func() {
		o.finished = true
		o.target = durable
	})
}

// awaitCopies waits until a quorum of copies, this one included, is synced up to
// end. It returns early if too many followers are failing.
func (o *openSegment) awaitCopies(ctx context.Context, end int64) error {
	timer := time.NewTimer(o.node.options.CommitTimeout)
	defer timer.Stop()
	for {
		synced, possible, changed := o.countSynced(end)
		needed := o.node.commitQuorum()
		if synced >= needed {
			return nil
		}
		if possible < needed {
			return tooFewCopies(synced, needed)
		}
		select {
		case <-changed:
		case <-timer.C:
			o.pauseSlowPeers(end)
			return tooFewCopies(synced, needed)
		case <-ctx.Done():
			return tooFewCopies(synced, needed)
		}
	}
}

func tooFewCopies(synced, needed int) error {
	return fault.Newf(fault.Unavailable, "store the bodies again; other machines may be chosen",
		"only %d of %d copies were synced in time", synced, needed)
}

func (o *openSegment) countSynced(end int64) (synced, possible int, changed <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	synced, possible = 1, 1
	for _, candidate := range o.replicators {
		if candidate.durable >= end {
			synced++
		}
		if candidate.durable >= end || !candidate.failing {
			possible++
		}
	}
	return synced, possible, o.changed
}

// pauseSlowPeers excludes followers that are not synced up to end from the next
// segment.
func (o *openSegment) pauseSlowPeers(end int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, candidate := range o.replicators {
		if candidate.durable < end {
			candidate.peer.markFailed(o.node.options.Now())
		}
	}
}

// replicate copies to one follower until the follower has sealed the finished
// segment.
func (o *openSegment) replicate(ctx context.Context, r *replicator) {
	defer o.update(func() { r.ended = true })
	failures := 0
	for {
		target, finished, changed := o.progress()
		if finished && failures >= maximumReplicationFailures {
			return
		}
		if r.durable >= target && !finished {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		done, err := o.sendNext(ctx, r, target, finished)
		switch {
		case err == nil && done:
			return
		case err == nil:
			failures = 0
		case ctx.Err() != nil || fault.Is(err, fault.Conflict):
			o.update(func() { r.failing = true })
			return
		default:
			failures++
			r.peer.markFailed(o.node.options.Now())
			o.update(func() { r.failing = true })
			if !retry.Pause(ctx, replicationBackOff) {
				return
			}
		}
	}
}

func (o *openSegment) progress() (target int64, finished bool, changed <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.target, o.finished, o.changed
}

// sendNext sends the next chunk. It is done once the follower has sealed the whole
// segment.
func (o *openSegment) sendNext(ctx context.Context, r *replicator, target int64, finished bool) (done bool, err error) {
	data, err := o.local.readRecords(r.durable, target)
	if err != nil {
		return false, err
	}
	last := finished && r.durable+int64(len(data)) >= target
	ctx, cancel := context.WithTimeout(ctx, o.node.options.CommitTimeout)
	defer cancel()
	answer, err := r.peer.Service.Append(ctx, &rockwindpb.AppendSegmentRequest{
		Segment: o.local.header.segment,
		Offset:  uint64(r.durable),
		Data:    data,
		Writer:  o.node.options.DiskID,
		Sealed:  last,
	})
	if err != nil {
		return false, err
	}
	r.peer.markAnswered(o.node.options.Now())
	o.update(func() {
		r.durable = int64(answer.GetDurableLength())
		r.failing = false
	})
	return last && r.durable >= target, nil
}

// readRecords reads complete records from offset on: up to chunkBytes, or one record
// if that is longer.
func (l *localSegment) readRecords(offset, target int64) ([]byte, error) {
	length := min(target-offset, chunkBytes)
	if length <= 0 {
		return nil, nil
	}
	data, err := l.read(offset, int(length))
	if err != nil || offset+int64(len(data)) >= target {
		return data, err
	}
	cut, needed := cutAtRecord(data, offset)
	if cut > 0 {
		return data[:cut], nil
	}
	return l.read(offset, needed)
}

// cutAtRecord returns the length of the complete records at the start of data, and
// the length needed to include the record after them.
func cutAtRecord(data []byte, offset int64) (cut, needed int) {
	position := 0
	if offset == 0 {
		position = fileHeaderBytes
	}
	for {
		header, intact := recordHeader{}, false
		if position <= len(data) {
			header, intact = decodeRecordHeader(data[position:])
		}
		next := position + recordHeaderBytes + int(header.length)
		if !intact || next > len(data) {
			return position, next
		}
		position = next
	}
}

// segmentKey is the key of a segment in rendezvous hashing and in logs.
func segmentKey(id uint64) string {
	return strconv.FormatUint(id, 16)
}
