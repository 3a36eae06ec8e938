package segment

import (
	"context"
	"io"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Scrub verifies all segments of this disk, limited to the repair rate, and repairs
// damaged spans from peers.
func (n *Node) Scrub(ctx context.Context) {
	for _, local := range n.store.all() {
		if ctx.Err() != nil {
			return
		}
		n.scrubSegment(ctx, local)
	}
}

func (n *Node) scrubSegment(ctx context.Context, local *localSegment) {
	end := local.state().durable
	source := limitedReader{ctx: ctx, source: local.file, limiter: n.limiter}
	spans, err := scan(source, 0, end)
	if err != nil {
		log.WithError(err).WithField("segment", segmentKey(local.header.segment)).Warn("cannot verify segment")
		return
	}
	damaged := damagedSpans(spans)
	if len(damaged) == 0 {
		return
	}
	for _, found := range damaged {
		n.updateStatistics(func(counted *statistics) { counted.damaged += uint64(found.end - found.start) })
	}
	log.WithField("segment", segmentKey(local.header.segment)).Warn("segment is damaged; repairing it from a peer")
	local.setDamaged(damaged, 0)
	n.repairDamage(ctx, local)
}

// limitedReader is an io.ReaderAt with a rate limit.
type limitedReader struct {
	ctx     context.Context
	source  io.ReaderAt
	limiter *rate.Limiter
}

// ReadAt implements io.ReaderAt.
func (l limitedReader) ReadAt(into []byte, position int64) (int, error) {
	if err := l.limiter.WaitN(l.ctx, len(into)); err != nil {
		return 0, err
	}
	return l.source.ReadAt(into, position)
}

// repairDamage replaces the damaged spans of a segment by a peer's bytes; spans that
// cannot be repaired are kept for the next round.
func (n *Node) repairDamage(ctx context.Context, local *localSegment) {
	damaged := local.state().damaged
	if len(damaged) == 0 {
		return
	}
	var left []span
	irreparable := int64(0)
	for _, wanted := range damaged {
		outcome := n.repairSpan(ctx, local, wanted)
		if outcome != spanRepaired {
			left = append(left, wanted)
		}
		if outcome == spanIrreparable && (irreparable == 0 || wanted.start < irreparable) {
			irreparable = wanted.start
		}
	}
	local.setDamaged(left, irreparable)
}

// repairOutcome is the result of the repair of a damaged span.
type repairOutcome int

const (
	// spanRepaired means that the span is intact again.
	spanRepaired repairOutcome = iota
	// spanPending means that the repair is retried: a peer did not answer, or the
	// local write failed.
	spanPending
	// spanIrreparable means that no machine has an intact copy of the span.
	spanIrreparable
)

func (n *Node) repairSpan(ctx context.Context, local *localSegment, wanted span) repairOutcome {
	outcome := spanIrreparable
	for _, candidate := range n.peersByPriority(local.header.segment) {
		length := wanted.end - wanted.start
		data, err := candidate.read(ctx, n.options.Now, local.header.segment, wanted.start, length)
		if err != nil {
			outcome = spanPending
			continue
		}
		if int64(len(data)) != length || verifyRecords(data, wanted.start) != nil {
			continue
		}
		if err := local.overwrite(wanted.start, data); err != nil {
			log.WithError(err).Warn("cannot write repaired data to segment")
			return spanPending
		}
		n.updateStatistics(func(counted *statistics) { counted.repaired += uint64(length) })
		return spanRepaired
	}
	return outcome
}

// overwrite replaces damaged bytes and syncs the file.
func (l *localSegment) overwrite(offset int64, data []byte) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.broken || offset+int64(len(data)) > l.length {
		return diskFault(io.ErrShortWrite)
	}
	if _, err := l.file.WriteAt(data, offset); err != nil {
		return diskFault(err)
	}
	if err := l.file.Sync(); err != nil {
		return diskFault(err)
	}
	return nil
}
