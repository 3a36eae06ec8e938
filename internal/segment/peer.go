package segment

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// peerPause is how long a peer is avoided after a failed call.
	peerPause = 5 * time.Second
	// peerTimeout bounds a list or read call to a peer, so that an unreachable or
	// hung machine does not block its caller.
	peerTimeout = 3 * time.Second
)

// peer is a Peer with the outcome of its latest calls.
type peer struct {
	Peer

	mutex sync.Mutex
	// pausedUntil is set when a call fails, and reset when the peer answers an append
	// or a repair round.
	pausedUntil time.Time
	// lastListing holds the peer's segments at its last answer to a repair round;
	// only the repair goroutine uses it.
	lastListing []*rockwindpb.SegmentSummary
	lastAnswer  time.Time
}

// read reads bytes of a segment from the peer; the result is shorter if the peer's
// copy is. A failure pauses the peer.
func (p *peer) read(ctx context.Context, now func() time.Time, segment uint64, offset, length int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := p.Service.Read(ctx, &rockwindpb.ReadSegmentRequest{
		Segment: segment, Offset: uint64(offset), Length: uint32(length),
	})
	if err != nil {
		p.markFailed(now())
		return nil, err
	}
	return answer.GetData(), nil
}

// listAll returns the id of the peer's disk and all segments on it.
func (p *peer) listAll(ctx context.Context) (disk string, all []*rockwindpb.SegmentSummary, err error) {
	after := uint64(0)
	for {
		page, err := p.listPage(ctx, after)
		if err != nil {
			return "", nil, err
		}
		all = append(all, page.GetSegments()...)
		if len(page.GetSegments()) < listPageSize {
			return page.GetDiskId(), all, nil
		}
		after = all[len(all)-1].GetSegment()
	}
}

func (p *peer) listPage(ctx context.Context, after uint64) (*rockwindpb.ListSegmentsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return p.Service.List(ctx, &rockwindpb.ListSegmentsRequest{After: after})
}

func (p *peer) markFailed(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pausedUntil = now.Add(peerPause)
}

func (p *peer) markAnswered(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pausedUntil = time.Time{}
	p.lastAnswer = now
}

func (p *peer) paused(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Before(p.pausedUntil)
}

func (p *peer) sinceLastAnswer(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Sub(p.lastAnswer)
}

// randomID generates a segment id. 63 random bits make ids unique without coordination: the
// chance that two of ten million segments are equal is below one in 100,000.
func randomID() uint64 {
	var drawn [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(drawn[:])
	return binary.BigEndian.Uint64(drawn[:]) >> 1
}

// readPriority orders peers for reads: known holders first, paused peers last.
func readPriority(candidate *peer, holders []*peer, now time.Time) int {
	switch {
	case candidate.paused(now):
		return 2
	case slices.Contains(holders, candidate):
		return 0
	default:
		return 1
	}
}
