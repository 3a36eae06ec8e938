package segment

import (
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// peerPause is how long a peer that failed is not chosen for a new segment.
const peerPause = 5 * time.Second

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
