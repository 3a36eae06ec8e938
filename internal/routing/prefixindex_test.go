package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// cacheOracle models the cache of one server and its event log.
type cacheOracle struct {
	epoch  uint64
	held   map[uint64]bool
	events []CacheEvent
	// first is the sequence number of events[0].
	first uint64
}

func (o *cacheOracle) change(block uint64) {
	o.events = append(o.events, CacheEvent{Block: block, Evicted: o.held[block]})
	if o.held[block] {
		delete(o.held, block)
		return
	}
	o.held[block] = true
}

func (o *cacheOracle) truncate(kept int) {
	lost := len(o.events) - min(kept, len(o.events))
	o.events = o.events[lost:]
	o.first += uint64(lost)
}

func (o *cacheOracle) page(since uint64) CachePage {
	next := o.first + uint64(len(o.events))
	page := CachePage{Epoch: o.epoch, First: o.first, Next: next}
	if from := max(since, o.first); from < next {
		page.Events = o.events[from-o.first:]
	}
	return page
}

// update brings the index up to date the way a gateway does.
func (o *cacheOracle) update(index *PrefixIndex, server int32) {
	if !index.Apply(server, o.page(index.Cursor(server))) {
		return
	}
	var blocks []uint64
	for block := range uint64(40) {
		if o.held[block] {
			blocks = append(blocks, block)
		}
	}
	index.Replace(server, o.epoch, o.first+uint64(len(o.events)), blocks)
}

func (o *cacheOracle) restart() {
	*o = cacheOracle{epoch: o.epoch + 1, held: map[uint64]bool{}, first: 1}
}

func TestPrefixIndexTracksCachesAcrossGapsAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewPrefixIndex()
		caches := []*cacheOracle{{}, {}, {}}
		for _, cache := range caches {
			cache.restart()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			server := rapid.IntRange(0, len(caches)-1).Draw(t, "server")
			cache := caches[server]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				cache.change(rapid.Uint64Range(0, 39).Draw(t, "block"))
			case 2:
				cache.truncate(rapid.IntRange(0, 3).Draw(t, "kept"))
			case 3:
				cache.restart()
			case 4:
				cache.update(index, int32(server))
				checkIndex(t, index, cache, int32(server))
			}
		}
	})
}

// checkIndex compares the index with the model of a server that was just read.
func checkIndex(t *rapid.T, index *PrefixIndex, cache *cacheOracle, server int32) {
	for block := range uint64(40) {
		hinted := false
		for _, hint := range index.Hints([]Prefix{{Block: block, Tokens: 64}}, nil) {
			hinted = hinted || hint.Server == server
		}
		if hinted != cache.held[block] {
			t.Fatalf("server %d, block %d: index reports cached %v, cache has %v", server, block, hinted, cache.held[block])
		}
	}
}

func TestPrefixIndexPrefersLongPrefixesAndStaysBounded(t *testing.T) {
	index := NewPrefixIndex()
	for server := range int32(20) {
		index.Add(1, server)
	}
	index.Add(2, 7)
	hints := index.Hints([]Prefix{{Block: 2, Tokens: 128}, {Block: 1, Tokens: 64}}, nil)
	if len(hints) != MaxHolders+1 || hints[0] != (Hint{Server: 7, CachedTokens: 128}) {
		t.Fatalf("unexpected hints: %v", hints)
	}
	for _, hint := range hints[1:] {
		if hint.Server < 12 {
			t.Fatalf("server %d is not among the last %d added for the block", hint.Server, MaxHolders)
		}
	}
	for block := range uint64(10 * maxBlocksPerServer) {
		index.Add(100+block, 3)
	}
	if len(index.blocks) > 3*maxBlocksPerServer {
		t.Fatalf("index holds %d blocks of one server", len(index.blocks))
	}
}
