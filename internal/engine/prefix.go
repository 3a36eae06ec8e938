package engine

import (
	"container/list"
	"time"
)

// CacheEventKind is the type of a cache event.
type CacheEventKind string

const (
	// CacheStored: a block was added to the cache.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted: a block was removed from the cache.
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change to the prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Block    uint64
	// At is the time of the change; it is published CacheEventLag later.
	At time.Duration
}

// CachePage is one page of the cache event log.
type CachePage struct {
	// Epoch changes whenever the cache is cleared.
	Epoch uint64
	// First is the oldest sequence number in the log. If it is higher than the
	// requested number, the reader has missed events.
	First uint64
	// Next is the sequence number to request next.
	Next   uint64
	Events []CacheEvent
}

// CacheSnapshot is the full content of the prefix cache.
type CacheSnapshot struct {
	Epoch uint64
	// Next is the sequence number of the first event after the snapshot.
	Next   uint64
	Blocks []uint64
}

// cachedBlock is one block of the cache.
type cachedBlock struct {
	hash   uint64
	parent uint64
	// element is the block's entry in the LRU list.
	element *list.Element
}

// prefixCache is an LRU cache of prompt blocks with a log of its changes.
type prefixCache struct {
	limit  int
	blocks map[uint64]*cachedBlock
	// lru has the most recently used block at the front.
	lru *list.List

	epoch       uint64
	log         []CacheEvent
	logLimit    int
	first       uint64
	next        uint64
	loss        float64
	randomFloat func() float64
}

func newPrefixCache(config Config, draw func() float64) *prefixCache {
	return &prefixCache{
		limit:       config.PrefixBlocks,
		blocks:      map[uint64]*cachedBlock{},
		lru:         list.New(),
		epoch:       1,
		first:       1,
		next:        1,
		logLimit:    config.CacheEventLog,
		loss:        config.CacheEventLoss,
		randomFloat: draw,
	}
}

// match returns the number of leading blocks of a chain that are cached and marks
// them as used, the root last, so that children are evicted before their parents.
func (c *prefixCache) match(chain []uint64) int {
	count := 0
	for count < len(chain) && c.blocks[chain[count]] != nil {
		count++
	}
	for index := count - 1; index >= 0; index-- {
		c.lru.MoveToFront(c.blocks[chain[index]].element)
	}
	return count
}

// insert stores a block. The caller ensures that there is space.
func (c *prefixCache) insert(now time.Duration, hash, parent uint64) {
	block := &cachedBlock{hash: hash, parent: parent}
	block.element = c.lru.PushFront(block)
	c.blocks[hash] = block
	c.record(CacheEvent{Kind: CacheStored, Block: hash, At: now})
}

// evict removes the least recently used block and reports whether there was one.
func (c *prefixCache) evict(now time.Duration) bool {
	last := c.lru.Back()
	if last == nil {
		return false
	}
	block := c.lru.Remove(last).(*cachedBlock)
	delete(c.blocks, block.hash)
	c.record(CacheEvent{Kind: CacheEvicted, Block: block.hash, At: now})
	return true
}

// clear empties the cache and starts a new epoch.
func (c *prefixCache) clear() {
	clear(c.blocks)
	c.lru.Init()
	c.log = c.log[:0]
	c.epoch++
	c.first = 1
	c.next = 1
}

func (c *prefixCache) record(event CacheEvent) {
	event.Sequence = c.next
	c.next++
	if c.loss > 0 && c.randomFloat() < c.loss {
		c.log = c.log[:0]
		c.first = c.next
		return
	}
	c.log = append(c.log, event)
	if len(c.log) >= 2*c.logLimit {
		kept := copy(c.log, c.log[len(c.log)-c.logLimit:])
		c.log = c.log[:kept]
		c.first = c.log[0].Sequence
	}
}

// page returns the events from sequence number since that occurred no later than until.
func (c *prefixCache) page(since uint64, until time.Duration) CachePage {
	page := CachePage{Epoch: c.epoch, First: c.first, Next: max(since, c.first)}
	for _, event := range c.log {
		if event.At > until {
			break
		}
		if event.Sequence < since {
			continue
		}
		page.Events = append(page.Events, event)
		page.Next = event.Sequence + 1
	}
	return page
}

func (c *prefixCache) snapshot() CacheSnapshot {
	snapshot := CacheSnapshot{Epoch: c.epoch, Next: c.next, Blocks: make([]uint64, 0, len(c.blocks))}
	for element := c.lru.Front(); element != nil; element = element.Next() {
		snapshot.Blocks = append(snapshot.Blocks, element.Value.(*cachedBlock).hash)
	}
	return snapshot
}

// chain returns the blocks from the root to the given one, or nil if any of them
// is not cached.
func (c *prefixCache) chain(hash uint64) []uint64 {
	var reversed []uint64
	for hash != 0 {
		block := c.blocks[hash]
		if block == nil {
			return nil
		}
		reversed = append(reversed, hash)
		hash = block.parent
	}
	for left, right := 0, len(reversed)-1; left < right; left, right = left+1, right-1 {
		reversed[left], reversed[right] = reversed[right], reversed[left]
	}
	return reversed
}
