package store

import (
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/streamversion"
	"rockwind.example/rockwind/internal/topology"
)

// heldBackInterval is the time between log entries of a shard about tenants whose items are
// held back.
const heldBackInterval = time.Second

// tenantShares is the tenants' shares of the slots for batch work, as computed in one
// scheduling pass.
type tenantShares struct {
	use backlog.Usage
	// smallestRefused is the smallest reservation with which an item was refused a slot.
	smallestRefused map[serverGroup]int
	// regions are the allowed regions of items.
	regions map[itemOwner]topology.RegionSet
}

func newTenantShares() tenantShares {
	return tenantShares{smallestRefused: make(map[serverGroup]int), regions: make(map[itemOwner]topology.RegionSet)}
}

// serverGroup is the servers of a service in a set of regions, which is identified by its key. mayTry is set
// if it includes ejected servers that are due for a trial.
type serverGroup struct {
	service, regions string
	mayTry           bool
}

// recordRefusal records that an item with a reservation was refused a slot.
func (s tenantShares) recordRefusal(group serverGroup, reserved int) {
	if smallest, refused := s.smallestRefused[group]; !refused || reserved < smallest {
		s.smallestRefused[group] = reserved
	}
}

// refuses reports whether an item with the same or a smaller reservation was refused a slot at the servers of
// the group or at more servers.
func (s tenantShares) refuses(group serverGroup, reserved int) bool {
	for _, mayTry := range []bool{group.mayTry, true} {
		group.mayTry = mayTry
		if smallest, refused := s.smallestRefused[group]; refused && reserved >= smallest {
			return true
		}
	}
	return false
}

// itemOwner is the route and the tenant of items.
type itemOwner struct {
	route  *rockwindpb.Route
	tenant string
}

// allowedRegions returns the regions in which an item may run, by the current configuration.
func (e *executor) allowedRegions(item jobstore.OpenItem) topology.RegionSet {
	route, _ := e.route(item)
	owner := itemOwner{route: route, tenant: item.Tenant}
	allowed, known := e.shares.regions[owner]
	if !known {
		index := e.store.watcher.Configuration()
		tenant, _ := index.Tenant(item.Tenant)
		allowed = index.AllowedRegions(route, tenant)
		e.shares.regions[owner] = allowed
	}
	return allowed
}

// tenantsUse returns what the tenants of this shard's items are running in all shards.
func (e *executor) tenantsUse(open []jobstore.OpenItem, now time.Time) backlog.Usage {
	running, tenants := e.runningItems(now), make(map[string]struct{})
	for _, item := range open {
		tenants[item.Tenant] = struct{}{}
	}
	for _, item := range running {
		tenants[item.Tenant()] = struct{}{}
	}
	delete(tenants, "")
	if len(tenants) == 0 {
		return backlog.Usage{}
	}
	return e.store.dispatcher.BatchUse(e.shard, running, tenants)
}

// runningItems returns the running items of this shard, and those that have ended recently.
func (e *executor) runningItems(now time.Time) []backlog.Item {
	e.dropOldEnded(now)
	items := make([]backlog.Item, 0, len(e.active)+len(e.recentlyEnded))
	for _, attempt := range e.active {
		items = append(items, e.backlogAttempt(attempt))
	}
	for _, ended := range e.recentlyEnded {
		items = append(items, ended.item)
	}
	return items
}

// addEnded adds an item that has ended. It drops old ones too, since runningItems is not called
// while fair shares are switched off.
func (e *executor) addEnded(item backlog.Item, now time.Time) {
	e.dropOldEnded(now)
	e.recentlyEnded = append(e.recentlyEnded, endedItem{item: item, at: now})
}

// dropOldEnded drops items that no longer count as running.
func (e *executor) dropOldEnded(now time.Time) {
	e.recentlyEnded = slices.DeleteFunc(e.recentlyEnded, func(ended endedItem) bool { return now.Sub(ended.at) >= backlog.EndedItemRetention })
}

// endedItem is an item that ended at the given time.
type endedItem struct {
	item backlog.Item
	at   time.Time
}

// cannotFit reports whether the item would be refused: an item with the same regions, the same or more
// servers and the same or a smaller reservation was refused in this pass.
func (e *executor) cannotFit(item jobstore.OpenItem, now time.Time) bool {
	if len(e.shares.smallestRefused) == 0 {
		return false
	}
	service, entry, found := e.resolve(item)
	return found && e.shares.refuses(serverGroup{service, e.allowedRegions(item).Key(), e.mayTry(service, entry, item, now)}, e.shares.use.Reserved(service, entry))
}

// regionsFull reports whether the item is restricted to regions in which no item got a slot in this
// pass although none was reserved for others.
func (e *executor) regionsFull(service string, item jobstore.OpenItem) bool {
	allowed := e.allowedRegions(item)
	return allowed.Restricted() && e.shares.refuses(serverGroup{service: service, regions: allowed.Key()}, 0)
}

// acquire acquires a slot on a server for an item, and leaves reserved slots to tenants with a
// smaller share. If there is none, tryNext reports whether another item may still get a slot, which
// items with a smaller reservation or with other regions may, and those that may be sent to an ejected
// server that is due for a trial.
func (e *executor) acquire(service string, item jobstore.OpenItem, version streamversion.Decision, now time.Time) (lease *router.Lease, tryNext bool) {
	if !e.store.stallGuard.Ready() {
		return nil, false
	}
	entry := e.backlogItem(item)
	demand := balance.Demand{
		Parts: e.promptParts(item), Bytes: len(item.Body), Batch: true, Regions: e.allowedRegions(item),
		Reserved: e.shares.use.Reserved(service, entry), Prioritized: e.shares.use.GoesFirst(service, entry),
		MayTry: e.mayTry(service, entry, item, now), SameVersion: version.Verdict == streamversion.Same, Version: version.Version,
	}
	lease = e.store.dispatcher.TryAcquire(service, demand)
	if lease != nil {
		e.shares.use.AddRunning(entry)
		return lease, true
	}
	if demand.SameVersion {
		// Servers of other versions may have slots for other items.
		return nil, true
	}
	// While no trial is due, items that may be a trial have no more servers than others.
	all := demand.MayTry || !e.store.dispatcher.TrialDue(service, demand.Regions)
	if all && demand.Reserved == 0 && !demand.Regions.Restricted() {
		return nil, false
	}
	e.shares.recordRefusal(serverGroup{service, demand.Regions.Key(), all}, demand.Reserved)
	return nil, true
}

// startable reports whether an item waits for a slot only. No slots are reserved for items that
// are quarantined or to be retried later.
func (e *executor) startable(item jobstore.OpenItem, now time.Time) bool {
	h := e.history[claims.NewKey(item.Job, item.Index)]
	return e.unclaimed(item.Job, item.Index) && (h == nil || (!now.Before(h.quarantinedUntil) && !now.Before(h.retryAt)))
}

// publishBatchLoad publishes to the other leaders which items run in this shard, and which short
// items wait.
func (e *executor) publishBatchLoad(short []jobstore.OpenItem, now time.Time) {
	if !e.store.gates.On(featuregate.FairShare) {
		return
	}
	load := backlog.NewShardLoad(e.runningItems(now))
	counts := make(map[tenantService]int)
	for _, item := range short {
		if item.Tenant == "" || !e.startable(item, now) {
			continue
		}
		service, entry, found := e.resolve(item)
		if !found {
			continue
		}
		if e.regionsFull(service, item) {
			// Slots that it can't use must not be reserved for it.
			continue
		}
		heldBack := e.shares.use.Reserved(service, entry) > 0
		load.AddWaiting(service, e.shares.use.RunsPerWeight(entry), heldBack)
		if heldBack {
			counts[tenantService{service: service, tenant: item.Tenant}]++
		}
	}
	e.store.dispatcher.SetBatchLoad(e.shard, load)
	e.logHeldBack(counts, now)
}

// tenantService is a tenant at a service.
type tenantService struct{ service, tenant string }

// logHeldBack logs the tenant with the most items held back.
func (e *executor) logHeldBack(counts map[tenantService]int, now time.Time) {
	if len(counts) == 0 || now.Sub(e.heldBackLoggedAt) < heldBackInterval {
		return
	}
	e.heldBackLoggedAt = now
	var most tenantService
	for key, items := range counts {
		if items > counts[most] || (items == counts[most] && key.tenant < most.tenant) {
			most = key
		}
	}
	decision.Default.Record(decision.TenantHeldBack, most.tenant, log.Fields{"service": most.service, "shard": e.shard, "items": counts[most]})
}
