package router

import (
	"fmt"
	"maps"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fairshare"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/waiting"
)

// leastWork is the work of a request that reads no prompt and writes no events, in tokens.
const leastWork = 1.0

// writtenWeight and workWeight are the weights of one request in the running means.
const (
	writtenWeight = 0.05
	workWeight    = 0.05
)

// class is the requests of one priority for a service, among which tenants share.
type class struct {
	// name is that of the service and the priority.
	name   string
	ledger *fairshare.Ledger
	// weights are those of the tenants that have one.
	weights map[string]uint32
}

// class returns the class of a priority. There are as many as the configurations so far had
// priorities.
func (p *servicePool) class(priority waiting.Priority) *class {
	found, known := p.classes[priority]
	if !known {
		name := fmt.Sprintf("%s at %d.%d", p.name, priority.Tenant, priority.Route)
		found = &class{name: name, weights: make(map[string]uint32), ledger: fairshare.NewLedger(name, p.told)}
		p.classes[priority] = found
	}
	return found
}

// told is what the other processes tell of a tenant of a class.
func (p *servicePool) told(hash uint32) fairshare.RemoteUsage {
	load := p.shares.At(hash)
	return fairshare.RemoteUsage{Waiting: load.Inflight, Work: load.Unread}
}

// note keeps the weight of a tenant that asks.
func (c *class) note(tenant waiting.Tenant) {
	if tenant.Weight > 0 {
		c.weights[tenant.Name] = tenant.Weight
		return
	}
	delete(c.weights, tenant.Name)
}

func (c *class) weight(tenant string) uint32 { return c.weights[tenant] }

func (c *class) virtual(tenant waiting.Tenant, now time.Duration) float64 {
	return c.ledger.VirtualTime(tenant.Name, tenant.Weight, now)
}

// judgeRoom judges whether there is too little room for what waits at all processes. Where the
// servers do not say how many requests they run, what waits tells that. After a Memory without
// a look it is not known whether there was too little room all the while.
func (p *servicePool) judgeRoom(now time.Duration) {
	waits := p.waiting.Len() + p.shares.At(balance.QueueHash(p.name)).Inflight
	before := p.scarce
	p.scarce = waits > 0 && (p.pool.Slots() == 0 || fairshare.Overloaded(p.room().EstimateWait(waits)))
	if p.scarce && (!before || now-p.judgedAt > fairshare.DecayTime) {
		p.scarceSince = now
	}
	p.judgedAt = now
}

// virtual is what the order of a request among others of its priority rests on: how much its
// tenant had, where there is too little room.
func (p *servicePool) virtual(place waiting.SortKey, now time.Duration) float64 {
	if !p.scarce {
		return 0
	}
	return p.class(place.Priority()).virtual(place.Tenant(), now)
}

// behind is how many requests wait elsewhere of tenants that had more than the given one.
func (c *class) behind(tenant waiting.Tenant, now time.Duration) int {
	return c.ledger.RemoteWaitingBehind(c.virtual(tenant, now), c.weight, now)
}

// charge is the work that a tenant was charged for a request that goes to a server. The zero
// value is none.
type charge struct {
	class  *class
	tenant string
	work   float64
	began  time.Duration
}

// giveBack takes the charge back: the request did not run.
func (c charge) giveBack(now time.Duration) {
	if c.class != nil {
		c.class.ledger.Refund(c.tenant, c.work, c.began, now)
	}
}

// begin notes the work of a request that goes to a server.
func (p *servicePool) begin(ask AcquireRequest, choice balance.Choice, now time.Duration) charge {
	if !p.gates.On(gate.FairShare) {
		return charge{}
	}
	work := max(leastWork, float64(choice.Uncached)+p.written)
	if p.work == 0 {
		p.work = work
	}
	p.work += workWeight * (work - p.work)
	class := p.class(ask.Priority)
	class.ledger.Charge(ask.Tenant.Name, work, now)
	return charge{class: class, tenant: ask.Tenant.Name, work: work, began: now}
}

// modest tells whether the tenant of a request had so little beside another one that the request
// may go to a server beyond its slots.
func (p *servicePool) modest(ask AcquireRequest, now time.Duration) bool {
	if ask.Tenant.Name == "" || !p.gates.On(gate.FairShare) || !p.pool.Paced() {
		return false
	}
	class := p.class(ask.Priority)
	return class.ledger.IsLight(ask.Tenant.Name, class.weight, now)
}

// wrote takes how many events an answer had.
func (p *servicePool) wrote(events uint64) {
	p.written += writtenWeight * (float64(events) - p.written)
}

// waitsOf counts the requests that wait here, by class and tenant.
func (p *servicePool) waitsOf() map[waiting.Priority]map[string]int {
	waits := make(map[waiting.Priority]map[string]int)
	p.waiting.Each(func(place waiting.SortKey) {
		if waits[place.Priority()] == nil {
			waits[place.Priority()] = make(map[string]int)
		}
		waits[place.Priority()][place.Tenant().Name]++
	})
	return waits
}

// queued visits what this process tells of its queue: all that wait and who was told to come
// back, what waits by priority, and the tenants that had most.
func (p *servicePool) queued(now time.Time, elapsed time.Duration, visit func(hash uint32, load balance.SharedLoad)) {
	total := balance.SharedLoad{Inflight: p.waiting.Len()}
	if p.gates.On(gate.Returns) {
		total.Unread = p.promises.Count(now)
	}
	if total != (balance.SharedLoad{}) {
		visit(balance.QueueHash(p.name), total)
	}
	waits := p.waitsOf()
	for priority, class := range p.classes {
		waiting := waits[priority]
		if sum := sumOf(waiting); sum > 0 && p.gates.On(gate.Returns) {
			visit(balance.QueueHash(class.name), balance.SharedLoad{Inflight: sum})
		}
		if !p.gates.On(gate.FairShare) {
			continue
		}
		for _, entry := range class.ledger.Entries(waiting, elapsed) {
			visit(entry.Hash, balance.SharedLoad{Inflight: entry.Waiting, Unread: entry.Work})
		}
	}
}

func sumOf(counts map[string]int) int {
	sum := 0
	for count := range maps.Values(counts) {
		sum += count
	}
	return sum
}
