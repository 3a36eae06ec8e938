package router

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// heldBackInterval is the time between lines about tenants that others go before.
const heldBackInterval = time.Second

// recordHeldBack writes which tenants others go before. The mutex is held; writing does not
// block.
func (d *Dispatcher) recordHeldBack() {
	if !d.gates.On(gate.FairShare) || d.now()-d.heldAt < heldBackInterval {
		return
	}
	d.heldAt = d.now()
	for _, pool := range d.pools {
		for _, held := range pool.heldBack(d.now()) {
			held.record()
		}
	}
}

// Waiting lists what waits here for the servers of each service, for the metrics.
func (d *Dispatcher) Waiting() []sitemetrics.Waiting {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []sitemetrics.Waiting
	for _, pool := range d.pools {
		var held []sitemetrics.HeldTenant
		if d.gates.On(gate.FairShare) {
			for _, each := range pool.heldBack(d.now()) {
				held = append(held, sitemetrics.HeldTenant{Tenant: each.tenant, Waiting: each.waiting})
			}
		}
		elsewhere := d.shares.At(balance.QueueHash(pool.name)).Inflight
		promised := pool.promises.Count(time.Now())
		all = append(all, sitemetrics.NewWaiting(pool.name, pool.waiting.Len(), elsewhere, promised, pool.scarce, held))
	}
	return all
}

// heldTenant is a tenant whose requests wait behind those of others.
type heldTenant struct {
	service string
	tenant  string
	// waiting is how many of its requests wait here, and virtual how much it had lately,
	// here and elsewhere, over its weight.
	waiting int
	virtual float64
	// others is how many requests of other tenants wait here.
	others int
}

// heldBack lists the tenants that others go before here: of each class in which several wait,
// the one that had most.
func (p *servicePool) heldBack(now time.Duration) []heldTenant {
	if !p.scarce {
		return nil
	}
	var held []heldTenant
	for priority, waits := range p.waitsOf() {
		if len(waits) < 2 {
			continue
		}
		class := p.class(priority)
		most := heldTenant{service: p.name, virtual: -1}
		for tenant, waiting := range waits {
			virtual := class.ledger.VirtualTime(tenant, class.weight(tenant), now)
			if virtual > most.virtual || (virtual == most.virtual && tenant < most.tenant) {
				most.tenant, most.waiting, most.virtual = tenant, waiting, virtual
			}
		}
		most.others = sumOf(waits) - most.waiting
		held = append(held, most)
	}
	return held
}

// record writes that others go before the tenant.
func (h heldTenant) record() {
	decision.Default.Record(decision.TenantHeldBack, h.tenant, log.Fields{
		"service": h.service, "waiting": h.waiting, "others_waiting": h.others, "tokens_lately": int(h.virtual),
	})
}
