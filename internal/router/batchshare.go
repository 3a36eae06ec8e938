package router

import (
	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// BatchUse is what the given tenants have running in all shards, with what waits elsewhere, for
// the leader of a shard in which the given items run.
func (d *Dispatcher) BatchUse(shard uint32, running []backlog.Item, tenants map[string]struct{}) backlog.Use {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	elsewhere := make(map[string]float64, len(tenants))
	for tenant := range tenants {
		told := d.shares.At(backlog.UseHash(tenant)).Inflight
		elsewhere[tenant] = float64(told) + d.batch.Running(tenant, shard)
	}
	use := backlog.NewUse(running, elsewhere)
	for name, pool := range d.pools {
		need := pool.toldNeed()
		need.Plus(d.batch.Need(name, shard))
		use.SetNeed(name, need)
	}
	return use
}

// SetBatchLoad takes what runs and waits in a shard that this process leads, to be told to the
// others.
func (d *Dispatcher) SetBatchLoad(shard uint32, load backlog.ShardLoad) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.batch.Set(shard, load)
}

// DropBatchLoad forgets a shard that this process does not lead.
func (d *Dispatcher) DropBatchLoad(shard uint32) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.batch.Drop(shard)
}

// ShortItems lists the batch items that wait and cannot all be on time, for the metrics.
func (d *Dispatcher) ShortItems() []sitemetrics.ShortItems {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []sitemetrics.ShortItems
	for name, pool := range d.pools {
		own, told := d.batch.Need(name, noShard), pool.toldNeed()
		all = append(all, sitemetrics.ShortItems{Service: name, Here: own.Len(), Elsewhere: told.Len(), HeldBack: d.batch.Held(name)})
	}
	return all
}

// noShard is the number of no shard.
const noShard = ^uint32(0)

// toldNeed is what waits for the service at other processes, as they tell.
func (p *servicePool) toldNeed() backlog.Need {
	var need backlog.Need
	for level, hash := range p.needHashes {
		need[level] = p.shares.At(hash).Inflight
	}
	return need
}

// startableNeed is what waits for a service in the shards of this process, none while it holds
// batch work back until servers have told what was left behind there: others would leave room
// that is not taken. The mutex is held.
func (d *Dispatcher) startableNeed(service string) backlog.Need {
	if d.surveyOpen() {
		return backlog.Need{}
	}
	return d.batch.Need(service, noShard)
}

// batchLoads visits what this process tells of batch items: what waits and, while some wait here
// or elsewhere, what tenants have running. The mutex is held.
func (d *Dispatcher) batchLoads(visit func(hash uint32, load balance.SharedLoad)) {
	wanted := false
	for name, pool := range d.pools {
		own, told := d.startableNeed(name), pool.toldNeed()
		wanted = wanted || own.Len()+told.Len() > 0
		for level, waiting := range own {
			if waiting > 0 {
				visit(pool.needHashes[level], balance.SharedLoad{Inflight: waiting})
			}
		}
	}
	if !wanted {
		return
	}
	for _, entry := range d.batch.Tenants() {
		visit(entry.Hash, balance.SharedLoad{Inflight: entry.Running})
	}
}
