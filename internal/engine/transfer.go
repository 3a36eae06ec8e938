package engine

import (
	"encoding/binary"
	"time"
)

// hashBytes is the encoded size of a block hash.
const hashBytes = 8

// CacheEvents returns the published cache events from sequence number since.
func (e *Engine) CacheEvents(now time.Duration, since uint64) CachePage {
	return e.cache.page(since, now-e.config.CacheEventLag)
}

// Snapshot returns the full content of the prefix cache.
func (e *Engine) Snapshot() CacheSnapshot {
	return e.cache.snapshot()
}

// CachedBlocks returns the number of leading blocks of a chain that are cached,
// without marking them as used.
func (e *Engine) CachedBlocks(chain []uint64) int {
	count := 0
	for count < len(chain) && e.cache.blocks[chain[count]] != nil {
		count++
	}
	return count
}

// ExportKV returns the KV of the prefix chain that ends with the given block: a
// header with the chain, followed by bytesPerToken bytes per token. It returns
// false if any block of the chain is not cached.
func (e *Engine) ExportKV(block uint64, bytesPerToken int) ([]byte, bool) {
	chain := e.cache.chain(block)
	if len(chain) == 0 {
		return nil, false
	}
	header := hashBytes * (1 + len(chain))
	data := make([]byte, header+len(chain)*TokensPerBlock*bytesPerToken)
	binary.BigEndian.PutUint64(data, uint64(len(chain)))
	for index, hash := range chain {
		binary.BigEndian.PutUint64(data[hashBytes*(index+1):], hash)
	}
	return data, true
}

// ImportKV stores the KV of a prefix chain exported by another engine and returns
// the number of leading blocks that are cached afterwards. It returns false if the
// header is malformed or its chain does not end with the given block.
func (e *Engine) ImportKV(now time.Duration, block uint64, data []byte) (int, bool) {
	if len(data) < 2*hashBytes {
		return 0, false
	}
	count := binary.BigEndian.Uint64(data)
	if count == 0 || count > uint64(len(data)/hashBytes-1) {
		return 0, false
	}
	chain := make([]uint64, count)
	for index := range chain {
		chain[index] = binary.BigEndian.Uint64(data[hashBytes*(index+1):])
	}
	if chain[count-1] != block {
		return 0, false
	}
	stored := e.storePrefix(now, chain)
	e.recordReport(now)
	return stored, true
}
