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
	// copyBytes is how much of a segment one call carries.
	copyBytes = 4 << 20
	// laneBackOff is the pause after a failed append.
	laneBackOff = 200 * time.Millisecond
	// laneFailures is after how many failed appends in a row a lane of a finished
	// segment leaves the rest to the repairer.
	laneFailures = 10
)

// openSegment is a segment that this node writes, with a lane to each follower.
type openSegment struct {
	node  *Node
	local *localSegment

	mutex sync.Mutex
	lanes []*lane
	// target is the length that the lanes bring the followers to.
	target   int64
	finished bool
	// changed is closed and replaced when any of the above or a lane changes.
	changed chan struct{}
}

// lane copies an open segment to one follower, from wherever that one is.
type lane struct {
	peer    *peer
	durable int64
	failing bool
	ended   bool
}

func newOpenSegment(ctx context.Context, node *Node, local *localSegment, followers []*peer) *openSegment {
	open := &openSegment{node: node, local: local, target: local.extent().length, changed: make(chan struct{})}
	for _, follower := range followers {
		open.lanes = append(open.lanes, &lane{peer: follower})
	}
	for _, started := range open.lanes {
		go open.run(ctx, started)
	}
	return open
}

// usable tells whether the segment may take another batch.
func (o *openSegment) usable() bool {
	o.mutex.Lock()
	laneEnded := slices.ContainsFunc(o.lanes, func(candidate *lane) bool { return candidate.ended })
	o.mutex.Unlock()
	extent := o.local.extent()
	age := o.node.options.Now().UnixMilli() - o.local.header.createdUnixMs
	return !laneEnded && !extent.failed && !extent.sealed && extent.length < o.node.options.SegmentBytes &&
		age < o.node.options.OpenAge.Milliseconds()
}

// update changes the state and wakes whoever waits for it.
func (o *openSegment) update(change func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	change()
	close(o.changed)
	o.changed = make(chan struct{})
}

// announce tells the lanes that there is more to copy.
func (o *openSegment) announce(target int64) {
	o.update(func() { o.target = target })
}

// finish ends the appends and seals the segment, here and at the followers.
func (o *openSegment) finish() {
	if !o.local.extent().broken {
		// A segment that cannot be sealed now is sealed when it is opened again.
		_ = o.local.seal()
	}
	durable := o.local.extent().durable
	o.update(func() {
		o.finished = true
		o.target = durable
	})
}

// awaitCopies waits until enough copies, this one included, are synced up to an
// end. It fails early where too many followers fail.
func (o *openSegment) awaitCopies(ctx context.Context, end int64) error {
	timer := time.NewTimer(o.node.options.CommitTimeout)
	defer timer.Stop()
	for {
		synced, possible, changed := o.copies(end)
		needed := o.node.syncedCopies()
		if synced >= needed {
			return nil
		}
		if possible < needed {
			return tooFewCopies(synced, needed)
		}
		select {
		case <-changed:
		case <-timer.C:
			o.blameSlow(end)
			return tooFewCopies(synced, needed)
		case <-ctx.Done():
			return tooFewCopies(synced, needed)
		}
	}
}

func tooFewCopies(synced, needed int) error {
	return fault.Newf(fault.Unavailable, "store the bodies again; other machines are chosen",
		"only %d of %d copies were synced in time", synced, needed)
}

func (o *openSegment) copies(end int64) (synced, possible int, changed <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	synced, possible = 1, 1
	for _, candidate := range o.lanes {
		if candidate.durable >= end {
			synced++
		}
		if candidate.durable >= end || !candidate.failing {
			possible++
		}
	}
	return synced, possible, o.changed
}

// blameSlow keeps followers that did not answer in time out of the next segment.
func (o *openSegment) blameSlow(end int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, candidate := range o.lanes {
		if candidate.durable < end {
			candidate.peer.failed(o.node.options.Now())
		}
	}
}

// run copies to one follower until it holds the whole finished segment.
func (o *openSegment) run(ctx context.Context, l *lane) {
	defer o.update(func() { l.ended = true })
	failures := 0
	for {
		target, finished, changed := o.laneWork()
		if finished && failures >= laneFailures {
			return
		}
		if l.durable >= target && !finished {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		done, err := o.copyTo(ctx, l, target, finished)
		switch {
		case err == nil && done:
			return
		case err == nil:
			failures = 0
		case ctx.Err() != nil || fault.Is(err, fault.Conflict):
			o.update(func() { l.failing = true })
			return
		default:
			failures++
			l.peer.failed(o.node.options.Now())
			o.update(func() { l.failing = true })
			if !retry.Pause(ctx, laneBackOff) {
				return
			}
		}
	}
}

func (o *openSegment) laneWork() (target int64, finished bool, changed <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.target, o.finished, o.changed
}

// copyTo sends the next part. It is done once the follower has sealed the whole.
func (o *openSegment) copyTo(ctx context.Context, l *lane, target int64, finished bool) (done bool, err error) {
	data, err := o.local.wholeRecords(l.durable, target)
	if err != nil {
		return false, err
	}
	last := finished && l.durable+int64(len(data)) >= target
	ctx, cancel := context.WithTimeout(ctx, o.node.options.CommitTimeout)
	defer cancel()
	answer, err := l.peer.Service.Append(ctx, &rockwindpb.AppendSegmentRequest{
		Segment: o.local.header.segment,
		Offset:  uint64(l.durable),
		Data:    data,
		Writer:  o.node.options.DiskID,
		Sealed:  last,
	})
	if err != nil {
		return false, err
	}
	l.peer.answered(o.node.options.Now())
	o.update(func() {
		l.durable = int64(answer.GetDurableLength())
		l.failing = false
	})
	return last && l.durable >= target, nil
}

// wholeRecords reads about copyBytes from an offset, cut after a whole record.
func (l *localSegment) wholeRecords(offset, target int64) ([]byte, error) {
	length := min(target-offset, copyBytes)
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

// cutAtRecord returns the length of the whole records at the start of data, and
// the length of the first one where even that is not whole.
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

// segmentKey is the key of a segment in rendezvous hashing.
func segmentKey(id uint64) string {
	return strconv.FormatUint(id, 16)
}
