package store

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/sitemetrics"
)

// memoryTimeout bounds the time that a scrape waits for the state of a shard.
const memoryTimeout = 100 * time.Millisecond

// memory returns the large holders of this store's memory. Shards that do not answer in time are left out.
func (s *Store) memory() sitemetrics.StoreMemory {
	ctx, cancel := context.WithTimeout(context.Background(), memoryTimeout)
	defer cancel()
	memory := sitemetrics.StoreMemory{MemoryUse: s.host.MemoryUse(), Shards: make(map[uint32]sitemetrics.ShardMemory)}
	for _, shard := range s.host.Groups() {
		group, runs := s.host.Group(shard)
		machine := s.machine(shard)
		if !runs || machine == nil {
			continue
		}
		sizes := make(chan sitemetrics.ShardMemory, 1)
		if err := group.ReadLocal(ctx, func() { sizes <- sitemetrics.ShardMemory(machine.Sizes()) }); err != nil {
			continue
		}
		memory.Shards[shard] = <-sizes
	}
	return memory
}
