package store

import (
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
)

// heldBackInterval is the time between lines of a shard about items that leave room to those of
// others.
const heldBackInterval = time.Second

// share is what one look at a shard knows of the tenants' shares of the room for batch work.
type share struct {
	use backlog.Use
	// refused is the least reservation of a service with which an item found no room.
	refused map[string]int
}

func newShare() share { return share{refused: make(map[string]int)} }

// tenantsUse is what the tenants of this shard's items have running in all shards.
func (e *executor) tenantsUse(open []jobstore.OpenItem, now time.Time) backlog.Use {
	running, tenants := e.runningItems(now), make(map[string]struct{})
	for _, item := range open {
		tenants[item.Tenant] = struct{}{}
	}
	for _, item := range running {
		tenants[item.Tenant()] = struct{}{}
	}
	delete(tenants, "")
	if len(tenants) == 0 {
		return backlog.Use{}
	}
	return e.store.dispatcher.BatchUse(e.shard, running, tenants)
}

// runningItems are the items that run in this shard, and those that ended a moment ago.
func (e *executor) runningItems(now time.Time) []backlog.Item {
	e.forgetLeft(now)
	items := make([]backlog.Item, 0, len(e.active)+len(e.left))
	for _, try := range e.active {
		items = append(items, e.backlogTry(try))
	}
	for _, each := range e.left {
		items = append(items, each.item)
	}
	return items
}

// leave notes that the run of an item has ended. What is older is forgotten here too: nobody asks
// for what runs while tenants do not share.
func (e *executor) leave(item backlog.Item, now time.Time) {
	e.forgetLeft(now)
	e.left = append(e.left, leftItem{item: item, at: now})
}

// forgetLeft drops the runs that ended too long ago to count.
func (e *executor) forgetLeft(now time.Time) {
	e.left = slices.DeleteFunc(e.left, func(each leftItem) bool { return now.Sub(each.at) >= backlog.Memory })
}

// leftItem is an item whose run ended at a time.
type leftItem struct {
	item backlog.Item
	at   time.Time
}

// heldBack tells whether an item is known to find no room: one that reserves as little found none
// in this look.
func (e *executor) heldBack(item jobstore.OpenItem) bool {
	if len(e.share.refused) == 0 {
		return false
	}
	service, wanted, found := e.routed(item)
	least, refused := e.share.refused[service]
	return found && refused && e.share.use.Reserved(service, wanted) >= least
}

// acquire gets a server for an item; it leaves room to items of tenants that have less. Where
// there is none, goOn tells whether the next item may find some.
func (e *executor) acquire(service string, item jobstore.OpenItem) (lease *router.Lease, goOn bool) {
	wanted := e.backlogItem(item)
	demand := balance.Demand{
		Parts: e.parts(item), Batch: true,
		Reserved: e.share.use.Reserved(service, wanted), Prioritized: e.share.use.First(service, wanted),
	}
	lease = e.store.dispatcher.TryAcquire(service, demand)
	if lease != nil {
		e.share.use.Begin(wanted)
		return lease, true
	}
	if demand.Reserved == 0 {
		return nil, false
	}
	if least, refused := e.share.refused[service]; !refused || demand.Reserved < least {
		e.share.refused[service] = demand.Reserved
	}
	return nil, true
}

// startable tells whether an item waits for nothing but room: others leave none to one that is
// held or is to be tried again later.
func (e *executor) startable(item jobstore.OpenItem, now time.Time) bool {
	known := e.history[claims.NewKey(item.Job, item.Index)]
	return e.waits(item.Job, item.Index) && (known == nil || (!now.Before(known.heldUntil) && !now.Before(known.after)))
}

// tellShare tells the other leaders what runs here and which items wait that cannot all be on
// time.
func (e *executor) tellShare(short []jobstore.OpenItem, now time.Time) {
	if !e.store.gates.On(gate.FairShare) {
		return
	}
	load := backlog.NewShardLoad(e.runningItems(now))
	held := make(map[heldItems]int)
	for _, item := range short {
		if item.Tenant == "" || !e.startable(item, now) {
			continue
		}
		service, wanted, found := e.routed(item)
		if !found {
			continue
		}
		isHeld := e.share.use.Reserved(service, wanted) > 0
		load.Wait(service, e.share.use.Of(wanted), isHeld)
		if isHeld {
			held[heldItems{service: service, tenant: item.Tenant}]++
		}
	}
	e.store.dispatcher.SetBatchLoad(e.shard, load)
	e.recordHeld(held, now)
}

// heldItems are items of a tenant that leave room to those of others.
type heldItems struct{ service, tenant string }

// recordHeld writes whose items leave room to those of others: of the tenants, the one with the
// most such items.
func (e *executor) recordHeld(held map[heldItems]int, now time.Time) {
	if len(held) == 0 || now.Sub(e.heldAt) < heldBackInterval {
		return
	}
	e.heldAt = now
	var most heldItems
	for each, items := range held {
		if items > held[most] || (items == held[most] && each.tenant < most.tenant) {
			most = each
		}
	}
	decision.Default.Record(decision.TenantHeldBack, most.tenant, log.Fields{"service": most.service, "shard": e.shard, "items": held[most]})
}
