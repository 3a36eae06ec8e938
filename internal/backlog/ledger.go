package backlog

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaximumTenantEntries is the maximum number of tenants whose running items a process reports in
// load digests. It reports those with the most; of the others, each leader knows only the items on
// its own store. It keeps digests small: with 300 stores, those of two of three zones report at
// most 882 entries in 8 KB, including unmet demand (see TestSharesOfItemsFitInADatagram in package
// router).
const MaximumTenantEntries = 4

// UsageHash returns the key in load digests of a tenant's running items, which are reported as
// requests in flight.
func UsageHash(tenant string) uint32 { return uint32(xxhash.Sum64String("items of " + tenant)) }

// UnmetDemandHashes returns the keys in load digests of the unmet demand for a service, by level.
// Waiting items are reported as requests in flight.
func UnmetDemandHashes(service string) *[UnmetDemandLevels]uint32 {
	hashes := new([UnmetDemandLevels]uint32)
	for level := range hashes {
		hashes[level] = uint32(xxhash.Sum64String(fmt.Sprintf("need at %d for %s", level, service)))
	}
	return hashes
}

// Entry is an entry of a load digest.
type Entry struct {
	Hash uint32
	// Running is the number of running items.
	Running int
}

// ShardLoad holds the running and waiting items of one shard.
type ShardLoad struct {
	running     map[string]float64
	unmetDemand map[string]*UnmetDemand
	heldBack    map[string]int
}

// NewShardLoad returns the load of a shard with the given running items and no waiting ones.
func NewShardLoad(running []Item) ShardLoad {
	return ShardLoad{running: NewUsage(running, nil).running, unmetDemand: make(map[string]*UnmetDemand), heldBack: make(map[string]int)}
}

// AddWaiting counts an item that waits for a service and may not be on time. running is the number
// of its tenant's running items per weight, and heldBack is whether the item was held back in
// favour of other tenants.
func (l ShardLoad) AddWaiting(service string, running float64, heldBack bool) {
	if l.unmetDemand[service] == nil {
		l.unmetDemand[service] = new(UnmetDemand)
	}
	l.unmetDemand[service].Add(running)
	if heldBack {
		l.heldBack[service]++
	}
}

// Ledger holds the loads of the shards that one process leads. It is not safe for concurrent use.
type Ledger struct{ shards map[uint32]ShardLoad }

func NewLedger() *Ledger { return &Ledger{shards: make(map[uint32]ShardLoad)} }

func (l *Ledger) Set(shard uint32, load ShardLoad) { l.shards[shard] = load }

// Drop removes a shard that another process leads now.
func (l *Ledger) Drop(shard uint32) { delete(l.shards, shard) }

// Running returns the number of a tenant's running items in all shards except one.
func (l *Ledger) Running(tenant string, except uint32) float64 {
	sum := 0.0
	for shard, load := range l.shards {
		if shard != except {
			sum += load.running[tenant]
		}
	}
	return sum
}

// UnmetDemand returns the unmet demand for a service in all shards except one.
func (l *Ledger) UnmetDemand(service string, except uint32) UnmetDemand {
	var sum UnmetDemand
	for shard, load := range l.shards {
		if demand := load.unmetDemand[service]; shard != except && demand != nil {
			sum.Plus(*demand)
		}
	}
	return sum
}

// HeldBack returns the number of items that wait for a service and were held back in favour of
// other tenants.
func (l *Ledger) HeldBack(service string) int {
	sum := 0
	for _, load := range l.shards {
		sum += load.heldBack[service]
	}
	return sum
}

// Tenants returns the digest entries of the tenants with the most running items, at most
// MaximumTenantEntries. There are none on a site without tenants.
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
