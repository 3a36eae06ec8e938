package segment

import (
	"context"
	"io"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Scrub verifies all segments of this disk, at the repair rate, and mends what is
// damaged from peers.
func (n *Node) Scrub(ctx context.Context) {
	for _, held := range n.store.all() {
		if ctx.Err() != nil {
			return
		}
		n.scrubOne(ctx, held)
	}
}

func (n *Node) scrubOne(ctx context.Context, held *localSegment) {
	end := held.extent().durable
	source := limitedReader{ctx: ctx, source: held.file, limiter: n.limiter}
	spans, err := scan(source, 0, end)
	if err != nil {
		log.WithError(err).WithField("segment", segmentKey(held.header.segment)).Warn("cannot verify a segment")
		return
	}
	damaged := damagedSpans(spans)
	if len(damaged) == 0 {
		return
	}
	for _, found := range damaged {
		n.count(func(counted *statistics) { counted.damaged += uint64(found.end - found.start) })
	}
	log.WithField("segment", segmentKey(held.header.segment)).Warn("a segment is damaged; it is copied again from a peer")
	held.setDamaged(damaged, 0)
	n.mend(ctx, held)
}

// limitedReader reads at a bounded rate.
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

// mend copies the damaged spans of a segment again; spans that no peer holds
// intact are kept for the next round.
func (n *Node) mend(ctx context.Context, held *localSegment) {
	damaged := held.extent().damaged
	if len(damaged) == 0 {
		return
	}
	var left []span
	irreparable := int64(0)
	for _, wanted := range damaged {
		outcome := n.mendSpan(ctx, held, wanted)
		if outcome != spanMended {
			left = append(left, wanted)
		}
		if outcome == spanIrreparable && (irreparable == 0 || wanted.start < irreparable) {
			irreparable = wanted.start
		}
	}
	held.setDamaged(left, irreparable)
}

// mendOutcome is what became of a damaged span.
type mendOutcome int

const (
	// spanMended spans are intact again.
	spanMended mendOutcome = iota
	// spanLeft spans are tried again: a peer did not answer.
	spanLeft
	// spanIrreparable spans are intact at no machine.
	spanIrreparable
)

func (n *Node) mendSpan(ctx context.Context, held *localSegment, wanted span) mendOutcome {
	outcome := spanIrreparable
	for _, candidate := range n.likelyHolders(held.header.segment) {
		length := wanted.end - wanted.start
		data, err := candidate.read(ctx, n.options.Now, held.header.segment, wanted.start, length)
		if err != nil {
			outcome = spanLeft
			continue
		}
		if int64(len(data)) != length || verifyWhole(data, wanted.start) != nil {
			continue
		}
		if err := held.patch(wanted.start, data); err != nil {
			log.WithError(err).Warn("cannot mend a segment")
			return spanLeft
		}
		n.count(func(counted *statistics) { counted.repaired += uint64(length) })
		return spanMended
	}
	return outcome
}

// patch replaces damaged bytes and syncs.
func (l *localSegment) patch(offset int64, data []byte) error {
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
