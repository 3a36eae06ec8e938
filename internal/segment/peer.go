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
	// peerPause is how long a peer that failed is not chosen for a new segment.
	peerPause = 5 * time.Second
	// peerTimeout bounds a call that lists or reads at a peer. A machine that is
	// cut off in silence, or stands still, would hold up its caller for good.
	peerTimeout = 3 * time.Second
)

// peer is another machine as this node knows it.
type peer struct {
	Peer

	mutex sync.Mutex
	// pausedUntil is set when a call failed.
	pausedUntil time.Time
	// listed is what the peer held when it last answered a round of repair; only
	// the repairer uses it.
	listed []*rockwindpb.SegmentSummary
	// heard is when the peer last answered.
	heard time.Time
}

// read reads bytes of a segment at the peer, fewer where it holds fewer. A
// failure pauses the peer.
func (p *peer) read(ctx context.Context, now func() time.Time, segment uint64, offset, length int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := p.Service.Read(ctx, &rockwindpb.ReadSegmentRequest{
		Segment: segment, Offset: uint64(offset), Length: uint32(length),
	})
	if err != nil {
		p.failed(now())
		return nil, err
	}
	return answer.GetData(), nil
}

// listAll lists the segments that the peer holds, and tells its disk.
func (p *peer) listAll(ctx context.Context) (disk string, all []*rockwindpb.SegmentSummary, err error) {
	after := uint64(0)
	for {
		page, err := p.listPage(ctx, after)
		if err != nil {
			return "", nil, err
		}
		all = append(all, page.GetSegments()...)
		if len(page.GetSegments()) < listPage {
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

func (p *peer) failed(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pausedUntil = now.Add(peerPause)
}

func (p *peer) answered(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pausedUntil = time.Time{}
	p.heard = now
}

func (p *peer) paused(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Before(p.pausedUntil)
}

func (p *peer) silentFor(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Sub(p.heard)
}

// randomID draws a segment id. 63 random bits make ids unique without agreement:
// among ten million segments two are equal with a chance below one in 100,000.
func randomID() uint64 {
	var drawn [8]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(drawn[:])
	return binary.BigEndian.Uint64(drawn[:]) >> 1
}

// rank orders peers for a read: known holders first, paused peers last.
func rank(candidate *peer, holders []*peer, now time.Time) int {
	switch {
	case candidate.paused(now):
		return 2
	case slices.Contains(holders, candidate):
		return 0
	default:
		return 1
	}
}
