package router_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
)

// itemsOf returns items of a tenant.
func itemsOf(tenant string, count int) []backlog.Item {
	var items []backlog.Item
	for range count {
		items = append(items, backlog.NewItem(time.Time{}, time.Time{}, time.Second).WithTenant(tenant, 0))
	}
	return items
}

// shardLoadOf returns the load of a shard with running items and a number of waiting items of a
// tenant with the given usage in all shards.
func shardLoadOf(running []backlog.Item, waiting int, use float64) backlog.ShardLoad {
	load := backlog.NewShardLoad(running)
	for range waiting {
		load.AddWaiting("app", use, false)
	}
	return load
}

// digestOf returns the load digest of a store.
func digestOf(store *router.Dispatcher, name string, sequence uint64) *rockwindpb.LoadDigest {
	digest := store.LoadSource().Own()
	digest.Sender, digest.StartedUnixMs, digest.Sequence = name, 1, sequence
	return digest
}

func tenantSet(names ...string) map[string]struct{} {
	set := make(map[string]struct{})
	for _, name := range names {
		set[name] = struct{}{}
	}
	return set
}

// TestBatchUseCountsAllShards checks that usage counts other shards of the same store and other
// stores, and that an item of a tenant with high usage leaves capacity to one with none.
func TestBatchUseCountsAllShards(t *testing.T) {
	here, there := newDispatcher(8, featuregate.Set{}), newDispatcher(8, featuregate.Set{})
	here.SetBatchLoad(1, shardLoadOf(itemsOf("everywhere", 30), 50, 42))
	there.SetBatchLoad(2, shardLoadOf(itemsOf("everywhere", 10), 6, 0))
	here.LoadSource().Take(digestOf(there, "there", 1))
	there.LoadSource().Take(digestOf(here, "here", 1))
	everywhere, one := itemsOf("everywhere", 1)[0], itemsOf("one", 1)[0]
	use := here.BatchUse(3, itemsOf("everywhere", 2), tenantSet("everywhere", "one"))
	if got := use.RunsPerWeight(everywhere); got != 42 {
		t.Errorf("%v items run", got)
	}
	if got := use.Reserved("app", everywhere); got != 6 {
		t.Errorf("room for %d items is left", got)
	}
	use = there.BatchUse(2, itemsOf("everywhere", 10), tenantSet("everywhere", "one"))
	if use.Reserved("app", one) != 0 || !use.GoesFirst("app", one) {
		t.Error("the item of the tenant that has nothing does not go first")
	}
	there.SetBatchLoad(2, backlog.NewShardLoad(nil))
	here.LoadSource().Take(digestOf(there, "there", 2))
	if got := here.BatchUse(3, nil, tenantSet("everywhere")).Reserved("app", everywhere); got != 0 {
		t.Errorf("room for %d items is left though none waits", got)
	}
}

// TestTenantsAreNotSharedWithoutWaitingItems checks that running items alone add nothing to the
// digest.
func TestTenantsAreNotSharedWithoutWaitingItems(t *testing.T) {
	store := newDispatcher(8, featuregate.Set{})
	before := len(digestOf(store, "store", 1).GetServers())
	store.SetBatchLoad(1, backlog.NewShardLoad(itemsOf("tenant", 40)))
	if after := len(digestOf(store, "store", 2).GetServers()); after != before {
		t.Errorf("%d entries instead of %d", after, before)
	}
}

// TestBatchLoadsFitInADatagram checks the largest sum of the stores of two of three zones, where
// no two share the same tenants and items wait at all levels.
func TestBatchLoadsFitInADatagram(t *testing.T) {
	const mostBytes, tenants = 16 << 10, 11_000
	for _, stores := range []int{11, 45, 300} {
		loads := make(map[uint32]balance.SharedLoad)
		for tenant := range min(tenants, stores*2/3*backlog.MaximumTenantEntries) {
			loads[backlog.UsageHash(fmt.Sprint("tenant ", tenant))] = balance.SharedLoad{Inflight: 300}
		}
		for _, hash := range backlog.UnmetDemandHashes("app") {
			loads[hash] = balance.SharedLoad{Inflight: 2000}
		}
		bytes := proto.Size(loadshare.NewDigest(loads))
		t.Logf("%d stores: %d entries, %d bytes", stores, len(loads), bytes)
		if bytes > mostBytes/2 {
			t.Errorf("%d stores: %d bytes", stores, bytes)
		}
	}
}
