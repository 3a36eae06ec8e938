package backlog

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaximumTenantEntries is of how many tenants a process tells how many items they have running: the few that
// have the most. Of the others each leader knows what runs at its own store. With the needs, the
// stores of two of three zones tell 882 entries at most where there are 300, 8 KB (router's
// TestSharesOfItemsFitInADatagram).
const MaximumTenantEntries = 4

// UsageHash is the short name in load digests of what a tenant has running: the requests in flight
// there are items that run.
func UsageHash(tenant string) uint32 { return uint32(xxhash.Sum64String("items of " + tenant)) }

// UnmetDemandHashes are the short names in load digests of the needs of a service, by level: the requests
// in flight there are items that wait.
func UnmetDemandHashes(service string) *[UnmetDemandLevels]uint32 {
	hashes := new([UnmetDemandLevels]uint32)
	for level := range hashes {
		hashes[level] = uint32(xxhash.Sum64String(fmt.Sprintf("need at %d for %s", level, service)))
	}
	return hashes
}

// Entry is what a process tells of a name in digests.
type Entry struct {
	Hash uint32
	// Running is how many items run.
	Running int
}

// ShardLoad is what waits and runs in one shard.
type ShardLoad struct {
	running map[string]float64
	needs   map[string]*UnmetDemand
	held    map[string]int
}

// NewShardLoad returns the load of a shard with the given items running and none waiting.
func NewShardLoad(running []Item) ShardLoad {
	return ShardLoad{running: NewUsage(running, nil).running, needs: make(map[string]*UnmetDemand), held: make(map[string]int)}
}

// AddWaiting counts an item that waits for a service and may not be on time, of a tenant that has so
// many running, and whether it was held back for the items of others.
func (l ShardLoad) AddWaiting(service string, running float64, held bool) {
	if l.needs[service] == nil {
		l.needs[service] = new(UnmetDemand)
	}
	l.needs[service].Add(running)
	if held {
		l.held[service]++
	}
}

// Ledger holds the loads of the shards that one process leads. It belongs to one goroutine at a
// time.
type Ledger struct{ shards map[uint32]ShardLoad }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{shards: make(map[uint32]ShardLoad)} }

// Set replaces the load of a shard.
func (l *Ledger) Set(shard uint32, load ShardLoad) { l.shards[shard] = load }

// Drop forgets a shard that another process leads now.
func (l *Ledger) Drop(shard uint32) { delete(l.shards, shard) }

// Running is how many items of a tenant run in all shards but one.
func (l *Ledger) Running(tenant string, but uint32) float64 {
	sum := 0.0
	for shard, load := range l.shards {
		if shard != but {
			sum += load.running[tenant]
		}
	}
	return sum
}

// UnmetDemand is what waits for a service in all shards but one.
func (l *Ledger) UnmetDemand(service string, but uint32) UnmetDemand {
	var sum UnmetDemand
	for shard, load := range l.shards {
		if need := load.needs[service]; shard != but && need != nil {
			sum.Plus(*need)
		}
	}
	return sum
}

// HeldBack is how many items that wait for a service were held back for those of others.
func (l *Ledger) HeldBack(service string) int {
	sum := 0
	for _, load := range l.shards {
		sum += load.held[service]
	}
	return sum
}

// Tenants lists what to tell of tenants: of those that have items running, the MostTold that have
// the most. Where there are no tenants there is nothing to tell.
func (l *Ledger) Tenants() []Entry {
	sums := make(map[string]float64)
	for _, load := range l.shards {
		for tenant, running := range load.running {
			sums[tenant] += running
		}
	}
	var entries []Entry
	for tenant, running := range sums {
		if tenant != "" && running > 0 {
			entries = append(entries, Entry{Hash: UsageHash(tenant), Running: int(running)})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Hash, b.Hash)) })
	return entries[:min(len(entries), MaximumTenantEntries)]
}
