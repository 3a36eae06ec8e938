package router

import (
	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/topology"
)

// BatchUse returns what the given tenants have running in all shards and what waits at other
// processes, for the leader of a shard that runs the given items.
func (d *Dispatcher) BatchUse(shard uint32, running []backlog.Item, tenants map[string]struct{}) backlog.Usage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	elsewhere := make(map[string]float64, len(tenants))
	for tenant := range tenants {
		shared := d.shares.At(backlog.UsageHash(tenant)).Inflight
		elsewhere[tenant] = float64(shared) + d.batch.Running(tenant, shard)
	}
	use := backlog.NewUsage(running, elsewhere)
	for name, pool := range d.pools {
		need := pool.needElsewhere()
		need.Plus(d.batch.UnmetDemand(name, shard))
		use.SetUnmetDemand(name, need)
	}
	return use
}

// SetBatchLoad sets the running and waiting load of a shard that this process leads. It is shared
// with other processes.
func (d *Dispatcher) SetBatchLoad(shard uint32, load backlog.ShardLoad) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.batch.Set(shard, load)
}

// DropBatchLoad removes a shard that this process no longer leads.
func (d *Dispatcher) DropBatchLoad(shard uint32) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.batch.Drop(shard)
}

// BatchSlots returns how many slots the servers of a service in some regions offer to batch work besides
// online requests, also servers that are lost at the moment. It is not known if a server does not report its
// slots.
func (d *Dispatcher) BatchSlots(service string, regions topology.RegionSet) (slots int, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool, found := d.pools[service]
	if !found {
		return 0, false
	}
	return pool.pool.BatchSlots(regions, d.now())
}

// ShortItems counts by service the waiting batch items that cannot all meet their deadline, for
// metrics.
func (d *Dispatcher) ShortItems() []sitemetrics.ShortItems {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []sitemetrics.ShortItems
	for name, pool := range d.pools {
		own, elsewhere := d.batch.UnmetDemand(name, noShard), pool.needElsewhere()
		all = append(all, sitemetrics.ShortItems{Service: name, Here: own.Len(), Elsewhere: elsewhere.Len(), HeldBack: d.batch.HeldBack(name)})
	}
	return all
}

// noShard is a number that no shard has.
const noShard = ^uint32(0)

// needElsewhere returns what other processes report as waiting for the service.
func (p *servicePool) needElsewhere() backlog.UnmetDemand {
	var need backlog.UnmetDemand
	for level, hash := range p.needHashes {
		need[level] = p.shares.At(hash).Inflight
	}
	return need
}

// startableNeed returns what waits for a service in the shards of this process. It is zero while
// the survey of servers is pending, because this process starts no batch work then and others
// would reserve capacity for nothing. The caller holds d.mutex.
func (d *Dispatcher) startableNeed(service string) backlog.UnmetDemand {
	if d.surveyPending() {
		return backlog.UnmetDemand{}
	}
	return d.batch.UnmetDemand(service, noShard)
}

// visitBatchLoads visits the batch loads that this process shares: its waiting items and, while
// items wait anywhere, the running items of its tenants. The caller holds d.mutex.
func (d *Dispatcher) visitBatchLoads(visit func(hash uint32, load balance.SharedLoad)) {
	anyWaiting := false
	for name, pool := range d.pools {
		own, elsewhere := d.startableNeed(name), pool.needElsewhere()
		anyWaiting = anyWaiting || own.Len()+elsewhere.Len() > 0
		for level, waiting := range own {
			if waiting > 0 {
				visit(pool.needHashes[level], balance.SharedLoad{Inflight: waiting})
			}
		}
	}
	if !anyWaiting {
		return
	}
	for _, entry := range d.batch.Tenants() {
		visit(entry.Hash, balance.SharedLoad{Inflight: entry.Running})
	}
}
