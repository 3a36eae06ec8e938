package routing

// MaxHolders is the number of servers recorded per block.
const MaxHolders = 8

// maxBlocksPerServer is the number of observations kept per server; trim
// removes the oldest ones.
const maxBlocksPerServer = 4096

// noEpoch is the epoch of a server whose cache events were never read.
const noEpoch = 0

// PrefixIndex records which servers probably cache which prompt blocks. It is
// built from the requests that one gateway sends and from the servers' cache
// events. Both are delayed or incomplete, so its answers are hints. It does no
// I/O and is not safe for concurrent use.
type PrefixIndex struct {
	blocks  map[uint64]blockHolders
	servers map[int32]*serverCacheState
	// stamp is a logical timestamp, incremented with each observation.
	stamp uint32
}

// blockHolders lists the servers that probably cache a block, with the stamp of
// the newest observation of each.
type blockHolders struct {
	count   int32
	servers [MaxHolders]int32
	stamps  [MaxHolders]uint32
}

// serverCacheState is the state of the index for one server.
type serverCacheState struct {
	epoch uint64
	// cursor is the sequence number of the next event to read.
	cursor uint64
	// observations is ordered from oldest to newest and may contain entries
	// that a newer observation superseded.
	observations []observation
}

// observation records when a block was last seen on a server.
type observation struct {
	block uint64
	stamp uint32
}

// CacheEvent is a change in a server's cache.
type CacheEvent struct {
	// Block is the chained hash of the block.
	Block uint64
	// Evicted is true if the block was removed, false if it was added.
	Evicted bool
}

// CachePage is a server's response to a read of its events from a cursor.
type CachePage struct {
	// Epoch changes when the cache is emptied.
	Epoch uint64
	// First is the oldest sequence number that the server retains.
	First uint64
	// Next is the cursor for the next read.
	Next uint64
	// Events lists the changes, oldest first.
	Events []CacheEvent
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{blocks: make(map[uint64]blockHolders), servers: make(map[int32]*serverCacheState)}
}

func (x *PrefixIndex) state(server int32) *serverCacheState {
	state := x.servers[server]
	if state == nil {
		state = &serverCacheState{}
		x.servers[server] = state
	}
	return state
}

// Add records that a server probably caches a block, because a prompt with it
// was sent there or an event reported it.
func (x *PrefixIndex) Add(block uint64, server int32) {
	state := x.state(server)
	x.stamp++
	held := x.blocks[block]
	held.add(server, x.stamp)
	x.blocks[block] = held
	state.observations = append(state.observations, observation{block: block, stamp: x.stamp})
	x.trim(server, state)
}

// add records a server with a new stamp, replacing the server with the oldest
// stamp if the list is full.
func (h *blockHolders) add(server int32, stamp uint32) {
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

// remove deletes a server and reports whether it was present. If stamp is not
// zero, an entry with a different stamp is kept.
func (h *blockHolders) remove(server int32, stamp uint32) bool {
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

// removeBlock removes a block of a server. If stamp is not zero, a block with a
// newer observation is kept.
func (x *PrefixIndex) removeBlock(block uint64, server int32, stamp uint32) {
	held, known := x.blocks[block]
	if !known || !held.remove(server, stamp) {
		return
	}
	if held.count == 0 {
		delete(x.blocks, block)
		return
	}
	x.blocks[block] = held
}

// trim removes the oldest observations of a server once there are twice as many
// as maxBlocksPerServer.
func (x *PrefixIndex) trim(server int32, state *serverCacheState) {
	excess := len(state.observations) - maxBlocksPerServer
	if excess < maxBlocksPerServer {
		return
	}
	for _, old := range state.observations[:excess] {
		x.removeBlock(old.block, server, old.stamp)
	}
	kept := copy(state.observations, state.observations[excess:])
	state.observations = state.observations[:kept]
}

// Cursor returns the sequence number from which to read the server's events.
func (x *PrefixIndex) Cursor(server int32) uint64 {
	return max(x.state(server).cursor, 1)
}

// Epoch returns the last known epoch of the server's cache, or zero if none was
// read.
func (x *PrefixIndex) Epoch(server int32) uint64 {
	return x.state(server).epoch
}

// Apply applies a page of events and reports whether the caller must fetch a
// snapshot, because events were missed or the cache was emptied. Until then the
// recorded blocks remain in use as hints, unless the cache was emptied.
func (x *PrefixIndex) Apply(server int32, page CachePage) (resynchronise bool) {
	state := x.state(server)
	switch {
	case state.epoch == noEpoch:
		state.epoch = page.Epoch
		resynchronise = page.First > 1
	case state.epoch != page.Epoch:
		x.RemoveServer(server)
		state = x.state(server)
		state.epoch = page.Epoch
		resynchronise = true
	default:
		resynchronise = page.First > state.cursor
	}
	for _, event := range page.Events {
		if event.Evicted {
			x.removeBlock(event.Block, server, 0)
		} else {
			x.Add(event.Block, server)
		}
	}
	state.cursor = page.Next
	return resynchronise
}

// Replace replaces all recorded blocks of a server with a snapshot of its
// cache.
func (x *PrefixIndex) Replace(server int32, epoch, next uint64, blocks []uint64) {
	x.RemoveServer(server)
	state := x.state(server)
	state.epoch = epoch
	state.cursor = next
	for _, block := range blocks {
		x.Add(block, server)
	}
}

// RemoveServer removes all state of a server.
func (x *PrefixIndex) RemoveServer(server int32) {
	state := x.servers[server]
	if state == nil {
		return
	}
	for _, old := range state.observations {
		x.removeBlock(old.block, server, old.stamp)
	}
	delete(x.servers, server)
}

// Hints appends the servers that probably cache one of the prefixes, best first
// and each once. The prefixes must be ordered longest first. It allocates only
// if the slice must grow.
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

// appendHint appends a hint unless the list already has one for its server.
func appendHint(hints []Hint, hint Hint) []Hint {
	for index := range hints {
		if hints[index].Server == hint.Server {
			return hints
		}
	}
	return append(hints, hint)
}
