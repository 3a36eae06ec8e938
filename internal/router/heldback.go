package router

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// heldBackInterval is the time between log records about held-back tenants.
const heldBackInterval = time.Second

// recordHeldBack records which tenants are held back in favor of others. The caller holds
// d.mutex; recording does not block.
func (d *Dispatcher) recordHeldBack() {
	if !d.gates.On(featuregate.FairShare) || d.now()-d.heldBackRecordedAt < heldBackInterval {
		return
	}
	d.heldBackRecordedAt = d.now()
	for _, pool := range d.pools {
		for _, held := range pool.heldBack(d.now()) {
			held.record()
		}
	}
}

// Waiting lists the requests that wait at this process for each service, for metrics.
func (d *Dispatcher) Waiting() []sitemetrics.Waiting {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []sitemetrics.Waiting
	for _, pool := range d.pools {
		var held []sitemetrics.HeldBackTenant
		if d.gates.On(featuregate.FairShare) {
			for _, each := range pool.heldBack(d.now()) {
				held = append(held, sitemetrics.HeldBackTenant{Tenant: each.tenant, Waiting: each.waiting})
			}
		}
		elsewhere := d.shares.At(balance.QueueHash(pool.name)).Inflight
		pending := pool.pendingRetries.Count(time.Now())
		all = append(all, sitemetrics.NewWaiting(pool.name, pool.waiting.Len(), elsewhere, pending, pool.overloaded, held))
	}
	return all
}

// heldBackTenant is a tenant whose requests wait behind those of other tenants.
type heldBackTenant struct {
	service string
	tenant  string
	// waiting counts its requests that wait here. virtualTime is its recent usage at all
	// processes divided by its weight.
	waiting     int
	virtualTime float64
	// others counts the waiting requests of other tenants.
	others int
}

// heldBack lists the tenants with the highest virtual time, one for each priority at which
// several tenants wait.
func (p *servicePool) heldBack(now time.Duration) []heldBackTenant {
	if !p.overloaded {
		return nil
	}
	var held []heldBackTenant
	for priority, waits := range p.waitingCounts() {
		if len(waits) < 2 {
			continue
		}
		class := p.class(priority)
		most := heldBackTenant{service: p.name, virtualTime: -1}
		for tenant, waiting := range waits {
			virtualTime := class.ledger.VirtualTime(tenant, class.weight(tenant), now)
			if virtualTime > most.virtualTime || (virtualTime == most.virtualTime && tenant < most.tenant) {
				most.tenant, most.waiting, most.virtualTime = tenant, waiting, virtualTime
			}
		}
		most.others = sumCounts(waits) - most.waiting
		held = append(held, most)
	}
	return held
}

// record writes a decision record about the tenant.
func (h heldBackTenant) record() {
	decision.Default.Record(decision.TenantHeldBack, h.tenant, log.Fields{
		"service": h.service, "waiting": h.waiting, "others_waiting": h.others, "tokens_lately": int(h.virtualTime),
	})
}
