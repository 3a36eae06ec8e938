package serverview

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// Bounds of reading cache events. Events are hints: where they would cost more
// than these bounds, reads are left out and the gap is mended by a snapshot.
const (
	// cacheBytesPerSecond bounds the bytes of cache events that a gateway reads
	// on average, and cacheBytesBurst at once.
	cacheBytesPerSecond = 1 << 10
	cacheBytesBurst     = 64 << 10
	// CacheInterval is the least time between two reads of one cache's events: a
	// read costs as much as a poll for load even where there is no event.
	CacheInterval = 4 * time.Second
	// snapshotInterval is the least time between two snapshots of one cache.
	snapshotInterval = 5 * time.Second
)

// cacheEventEvicted marks a block that left a cache.
const cacheEventEvicted = "evicted"

// blockBase and blockBits describe a block's hash on the wire.
const (
	blockBase = 16
	blockBits = 64
)

// cacheEvents is the answer to GET /cache_events of an engine.
type cacheEvents struct {
	Epoch  uint64 `json:"epoch"`
	First  uint64 `json:"first"`
	Next   uint64 `json:"next"`
	Events []struct {
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

// cacheSnapshot is the answer to GET /cache_snapshot of an engine.
type cacheSnapshot struct {
	Epoch  uint64   `json:"epoch"`
	Next   uint64   `json:"next"`
	Blocks []string `json:"blocks"`
}

// cacheQuestion is what is to be read of an engine's cache with a poll.
type cacheQuestion struct {
	// read tells that events are to be read from since on.
	read  bool
	since uint64
	// maySnapshot allows a snapshot where events are missing.
	maySnapshot bool
	epoch       uint64
}

// cacheAnswer is what was read.
type cacheAnswer struct {
	page     *routing.CachePage
	snapshot *cacheSnapshot
	bytes    int
}

// byteBudget bounds bytes on average. The zero value is full.
type byteBudget struct {
	spent   float64
	updated time.Duration
}

// left tells whether anything may be read now.
func (b *byteBudget) left(now time.Duration) bool {
	b.spent = max(0, b.spent-cacheBytesPerSecond*(now-b.updated).Seconds())
	b.updated = now
	return b.spent < cacheBytesBurst
}

// questionFor decides what is read of a server's cache now. The caller holds
// the lock.
func (v *View) questionFor(e *entry, now time.Duration) cacheQuestion {
	if !e.own || e.kind == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE || !v.cacheBudget.left(now) {
		return cacheQuestion{}
	}
	slot := int32(e.slot)
	return cacheQuestion{
		read: true, since: v.prefixes.Cursor(slot), epoch: v.prefixes.Epoch(slot),
		maySnapshot: e.snapshotAt == 0 || now-e.snapshotAt >= snapshotInterval,
	}
}

// readCache asks an engine for its cache events, and for a snapshot where some
// are missing. An engine without them answers otherwise, which is no fault.
func (v *View) readCache(ctx context.Context, target upstream.Target, question cacheQuestion) cacheAnswer {
	var answer cacheAnswer
	body, status, err := v.get(ctx, target, "/cache_events?since="+strconv.FormatUint(question.since, 10))
	answer.bytes = len(body)
	var events cacheEvents
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &events) != nil {
		return answer
	}
	page := events.page()
	answer.page = &page
	missing := events.First > question.since || (question.epoch != 0 && question.epoch != events.Epoch)
	if !missing || !question.maySnapshot {
		return answer
	}
	body, status, err = v.get(ctx, target, "/cache_snapshot")
	answer.bytes += len(body)
	snapshot := &cacheSnapshot{}
	if err == nil && status == http.StatusOK && json.Unmarshal(body, snapshot) == nil {
		answer.snapshot = snapshot
	}
	return answer
}

func (c *cacheEvents) page() routing.CachePage {
	page := routing.CachePage{Epoch: c.Epoch, First: c.First, Next: c.Next}
	for _, event := range c.Events {
		if block, err := strconv.ParseUint(event.Block, blockBase, blockBits); err == nil {
			page.Events = append(page.Events, routing.CacheEvent{Block: block, Evicted: event.Kind == cacheEventEvicted})
		}
	}
	return page
}

// learnCache merges what was read of a server's cache. The caller holds the
// lock.
func (v *View) learnCache(e *entry, answer cacheAnswer) {
	v.cacheBudget.spent += float64(answer.bytes)
	slot := int32(e.slot)
	if answer.snapshot != nil {
		e.snapshotAt = v.now()
		v.prefixes.Replace(slot, answer.snapshot.Epoch, answer.snapshot.Next, answer.snapshot.blocks())
		return
	}
	if answer.page != nil {
		v.prefixes.Apply(slot, *answer.page)
	}
}

func (s *cacheSnapshot) blocks() []uint64 {
	var blocks []uint64
	for _, text := range s.Blocks {
		if block, err := strconv.ParseUint(text, blockBase, blockBits); err == nil {
			blocks = append(blocks, block)
		}
	}
	return blocks
}

// hintsFor lists the servers that probably cache a prefix of the prompt. The
// list is used until the next call.
func (v *View) hintsFor(wanted Requirements) []routing.Hint {
	v.hints = v.prefixes.Hints(wanted.Prefixes, v.hints[:0])
	kept := v.hints[:0]
	for _, hint := range v.hints {
		if e := v.bySlot[int(hint.Server)]; e != nil {
			hint.Server = int32(e.index)
			kept = append(kept, hint)
		}
	}
	v.hints = kept
	return kept
}
