package routing

// MaxHolders bounds the servers remembered for one block.
const MaxHolders = 8

// maximumBlocksPerServer bounds what is remembered of one server; the blocks
// that were seen least recently are forgotten first.
const maximumBlocksPerServer = 4096

// noEpoch is the epoch of a server whose events were never read.
const noEpoch = 0

// PrefixIndex is what one gateway believes about which servers cache which
// blocks of prompts. It learns from the requests that the gateway sends and
// from the servers' cache events, which are late and have gaps, so that every
// answer is a hint. It is pure and belongs to one goroutine at a time.
type PrefixIndex struct {
	blocks  map[uint64]holders
	servers map[int32]*cachedServer
	stamp   uint32
}

// holders lists the servers that probably cache a block, with the stamp of the
// newest evidence for each.
type holders struct {
	count   int32
	servers [MaxHolders]int32
	stamps  [MaxHolders]uint32
}

// cachedServer is what is known of one server.
type cachedServer struct {
	epoch uint64
	// cursor is the sequence number of the next event to read.
	cursor uint64
	// recent lists evidence in order, the oldest first; evidence that newer
	// evidence replaced is skipped when its turn comes.
	recent []evidence
}

// evidence is one reason to believe that a server caches a block.
type evidence struct {
	block uint64
	stamp uint32
}

// CacheEvent is a change of a server's cache.
type CacheEvent struct {
	// Block is the chain hash of the block.
	Block uint64
	// Evicted tells that the block left the cache; else it came into it.
	Evicted bool
}

// CachePage is a server's answer to the question for its events from a cursor.
type CachePage struct {
	// Epoch changes when the cache was emptied.
	Epoch uint64
	// First is the oldest sequence number that the server still knows.
	First uint64
	// Next is the sequence number to ask for next.
	Next uint64
	// Events are the changes, the oldest first.
	Events []CacheEvent
}

// NewPrefixIndex returns an index that knows nothing.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{blocks: make(map[uint64]holders), servers: make(map[int32]*cachedServer)}
}

func (x *PrefixIndex) server(server int32) *cachedServer {
	known := x.servers[server]
	if known == nil {
		known = &cachedServer{}
		x.servers[server] = known
	}
	return known
}

// Add notes that a server probably caches a block from now on, because a
// prompt with it was sent there or an event says so.
func (x *PrefixIndex) Add(block uint64, server int32) {
	known := x.server(server)
	x.stamp++
	held := x.blocks[block]
	held.put(server, x.stamp)
	x.blocks[block] = held
	known.recent = append(known.recent, evidence{block: block, stamp: x.stamp})
	x.trim(server, known)
}

// put adds a server or renews it. A full list loses its oldest server.
func (h *holders) put(server int32, stamp uint32) {
	oldest := 0
	for index := range int(h.count) {
		if h.servers[index] == server {
			h.stamps[index] = stamp
			return
		}
		if h.stamps[index] < h.stamps[oldest] {
			oldest = index
		}
	}
	if h.count < MaxHolders {
		oldest = int(h.count)
		h.count++
	}
	h.servers[oldest] = server
	h.stamps[oldest] = stamp
}

// drop takes a server out and tells whether it was there; a stamp other than
// zero must be that of the newest evidence.
func (h *holders) drop(server int32, stamp uint32) bool {
	for index := range int(h.count) {
		if h.servers[index] != server || (stamp != 0 && h.stamps[index] != stamp) {
			continue
		}
		last := int(h.count) - 1
		h.servers[index], h.stamps[index] = h.servers[last], h.stamps[last]
		h.count--
		return true
	}
	return false
}

// forget drops a block of a server. A stamp other than zero names the evidence
// that must still be the newest.
func (x *PrefixIndex) forget(block uint64, server int32, stamp uint32) {
	held, known := x.blocks[block]
	if !known || !held.drop(server, stamp) {
		return
	}
	if held.count == 0 {
		delete(x.blocks, block)
		return
	}
	x.blocks[block] = held
}

// trim bounds what is remembered of a server.
func (x *PrefixIndex) trim(server int32, known *cachedServer) {
	excess := len(known.recent) - maximumBlocksPerServer
	if excess < maximumBlocksPerServer {
		return
	}
	for _, old := range known.recent[:excess] {
		x.forget(old.block, server, old.stamp)
	}
	kept := copy(known.recent, known.recent[excess:])
	known.recent = known.recent[:kept]
}

// Cursor returns the sequence number from which the server's events are to be
// read.
func (x *PrefixIndex) Cursor(server int32) uint64 {
	return max(x.server(server).cursor, 1)
}

// Epoch returns the epoch of the server's cache that is known, zero before any
// was read.
func (x *PrefixIndex) Epoch(server int32) uint64 {
	return x.server(server).epoch
}

// Apply takes a page of events and tells whether the reader must fetch a
// snapshot, because events are missing or the cache was emptied. What is known
// of the server stays in use as a hint until then, except after an emptied
// cache.
func (x *PrefixIndex) Apply(server int32, page CachePage) (resynchronise bool) {
	known := x.server(server)
	switch {
	case known.epoch == noEpoch:
		known.epoch = page.Epoch
		resynchronise = page.First > 1
	case known.epoch != page.Epoch:
		x.RemoveServer(server)
		known = x.server(server)
		known.epoch = page.Epoch
		resynchronise = true
	default:
		resynchronise = page.First > known.cursor
	}
	for _, event := range page.Events {
		if event.Evicted {
			x.forget(event.Block, server, 0)
		} else {
			x.Add(event.Block, server)
		}
	}
	known.cursor = page.Next
	return resynchronise
}

// Replace puts a snapshot of a server's cache in place of all that was known of
// it.
func (x *PrefixIndex) Replace(server int32, epoch, next uint64, blocks []uint64) {
	x.RemoveServer(server)
	known := x.server(server)
	known.epoch = epoch
	known.cursor = next
	for _, block := range blocks {
		x.Add(block, server)
	}
}

// RemoveServer drops all that is known of a server.
func (x *PrefixIndex) RemoveServer(server int32) {
	known := x.servers[server]
	if known == nil {
		return
	}
	for _, old := range known.recent {
		x.forget(old.block, server, old.stamp)
	}
	delete(x.servers, server)
}

// Hints appends the servers that probably cache one of the prefixes, which are
// given longest first, and returns them, best first and each once. It allocates
// only when the list must grow.
func (x *PrefixIndex) Hints(prefixes []Prefix, hints []Hint) []Hint {
	for _, prefix := range prefixes {
		held, known := x.blocks[prefix.Block]
		if !known {
			continue
		}
		for index := range int(held.count) {
			hints = appendHint(hints, Hint{Server: held.servers[index], CachedTokens: prefix.Tokens})
		}
	}
	return hints
}

// appendHint appends a hint unless a better one names its server.
func appendHint(hints []Hint, hint Hint) []Hint {
	for index := range hints {
		if hints[index].Server == hint.Server {
			return hints
		}
	}
	return append(hints, hint)
}
