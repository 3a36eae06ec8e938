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

// Limits on reading cache events. Cache events are only hints: reads beyond
// these limits are skipped, and a later snapshot replaces the missed events.
const (
	// cacheBytesPerSecond and cacheBytesBurst are the rate and burst limits of
	// the cache event bytes that a gateway reads.
	cacheBytesPerSecond = 1 << 10
	cacheBytesBurst     = 64 << 10
	// CacheInterval is the minimum interval between two reads of one server's
	// cache events. Even an empty read costs as much as a load poll.
	CacheInterval = 4 * time.Second
	// snapshotInterval is the minimum interval between two snapshots of one
	// cache.
	snapshotInterval = 5 * time.Second
)

// cacheEventEvicted is the event kind for a block evicted from a cache.
const cacheEventEvicted = "evicted"

// Format of block hashes in cache events and snapshots.
const (
	blockBase = 16
	blockBits = 64
)

// cacheEvents is an engine's response to GET /cache_events.
type cacheEvents struct {
	Epoch  uint64 `json:"epoch"`
	First  uint64 `json:"first"`
	Next   uint64 `json:"next"`
	Events []struct {
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

// cacheSnapshot is an engine's response to GET /cache_snapshot.
type cacheSnapshot struct {
	Epoch  uint64   `json:"epoch"`
	Next   uint64   `json:"next"`
	Blocks []string `json:"blocks"`
}

// cacheQuery is the part of a poll that concerns an engine's cache.
type cacheQuery struct {
	// read requests the events from sequence number since.
	read  bool
	since uint64
	// maySnapshot allows reading a snapshot if events were missed.
	maySnapshot bool
	epoch       uint64
}

// cacheResult is the response to a cacheQuery.
type cacheResult struct {
	page     *routing.CachePage
	snapshot *cacheSnapshot
	bytes    int
}

// byteBudget is a token bucket for bytes. The zero value is full.
type byteBudget struct {
	spent   float64
	updated time.Duration
}

// available reports whether anything may be read now.
func (b *byteBudget) available(now time.Duration) bool {
	b.spent = max(0, b.spent-cacheBytesPerSecond*(now-b.updated).Seconds())
	b.updated = now
	return b.spent < cacheBytesBurst
}

// cacheQueryFor decides what to read of a server's cache now. The caller holds
// the lock.
func (v *View) cacheQueryFor(e *entry, now time.Duration) cacheQuery {
	if !e.owned || e.kind == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE || !v.cacheBudget.available(now) {
		return cacheQuery{}
	}
	slot := int32(e.slot)
	return cacheQuery{
		read: true, since: v.prefixes.Cursor(slot), epoch: v.prefixes.Epoch(slot),
		maySnapshot: e.snapshotAt == 0 || now-e.snapshotAt >= snapshotInterval,
	}
}

// readCache reads an engine's cache events, and a snapshot if events were
// missed. An engine without cache events responds with another status, which is
// not an error.
func (v *View) readCache(ctx context.Context, target upstream.Target, query cacheQuery) cacheResult {
	var result cacheResult
	body, status, err := v.get(ctx, target, "/cache_events?since="+strconv.FormatUint(query.since, 10))
	result.bytes = len(body)
	var events cacheEvents
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &events) != nil {
		return result
	}
	page := events.page()
	result.page = &page
	missing := events.First > query.since || (query.epoch != 0 && query.epoch != events.Epoch)
	if !missing || !query.maySnapshot {
		return result
	}
	body, status, err = v.get(ctx, target, "/cache_snapshot")
	result.bytes += len(body)
	snapshot := &cacheSnapshot{}
	if err == nil && status == http.StatusOK && json.Unmarshal(body, snapshot) == nil {
		result.snapshot = snapshot
	}
	return result
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

// mergeCache merges the result of a cache read. The caller holds the lock.
func (v *View) mergeCache(e *entry, result cacheResult) {
	v.cacheBudget.spent += float64(result.bytes)
	slot := int32(e.slot)
	if result.snapshot != nil {
		e.snapshotAt = v.now()
		v.prefixes.Replace(slot, result.snapshot.Epoch, result.snapshot.Next, result.snapshot.blocks())
		return
	}
	if result.page != nil {
		v.prefixes.Apply(slot, *result.page)
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
// list is valid until the next call.
func (v *View) hintsFor(requirements Requirements) []routing.Hint {
	v.hints = v.prefixes.Hints(requirements.Prefixes, v.hints[:0])
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
