package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// cacheOracle is the true cache of one server and the log of its events.
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

func (o *cacheOracle) cut(kept int) {
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

// read brings the index up to date as a gateway does.
func (o *cacheOracle) read(index *PrefixIndex, server int32) {
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

func TestPrefixIndexFollowsCachesOverGapsAndRestarts(t *testing.T) {
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
				cache.cut(rapid.IntRange(0, 3).Draw(t, "kept"))
			case 3:
				cache.restart()
			case 4:
				cache.read(index, int32(server))
				checkIndex(t, index, cache, int32(server))
			}
		}
	})
}

// checkIndex compares what the index says of a server that was just read with
// the server's true cache.
func checkIndex(t *rapid.T, index *PrefixIndex, cache *cacheOracle, server int32) {
	for block := range uint64(40) {
		said := false
		for _, hint := range index.Hints([]Prefix{{Block: block, Tokens: 64}}, nil) {
			said = said || hint.Server == server
		}
		if said != cache.held[block] {
			t.Fatalf("server %d, block %d: index says %v, cache %v", server, block, said, cache.held[block])
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
		t.Fatalf("hints %v", hints)
	}
	for _, hint := range hints[1:] {
		if hint.Server < 12 {
			t.Fatalf("server %d is not among the last %d that got the block", hint.Server, MaxHolders)
		}
	}
	for block := range uint64(10 * maximumBlocksPerServer) {
		index.Add(100+block, 3)
	}
	if len(index.blocks) > 3*maximumBlocksPerServer {
		t.Fatalf("%d blocks of one server are remembered", len(index.blocks))
	}
}
