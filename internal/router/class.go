package router

import (
	"fmt"
	"maps"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fairshare"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/waitqueue"
)

// minWork is the work of a request without a prompt or events, in tokens.
const minWork = 1.0

// eventsWeight and workWeight are the weights of one request in the moving averages.
const (
	eventsWeight = 0.05
	workWeight   = 0.05
)

// priorityClass is the requests of one priority for a service, among which tenants share
// capacity.
type priorityClass struct {
	// name is made of the service and the priority.
	name   string
	ledger *fairshare.Ledger
	// weights are the configured weights of tenants.
	weights map[string]uint32
	// timelyAt is when the last request arrived that could meet its objective.
	timelyAt time.Time
}

// class returns the class of a priority and creates it if needed. Classes are never removed;
// their number is bounded by the configured priorities.
func (p *servicePool) class(priority waitqueue.Priority) *priorityClass {
	found, known := p.classes[priority]
	if !known {
		name := fmt.Sprintf("%s at %d.%d", p.name, priority.Tenant, priority.Route)
		found = &priorityClass{name: name, weights: make(map[string]uint32), ledger: fairshare.NewLedger(name, p.loadElsewhere)}
		p.classes[priority] = found
	}
	return found
}

// loadElsewhere returns the load of a tenant at other processes, by its hash.
func (p *servicePool) loadElsewhere(hash uint32) fairshare.RemoteUsage {
	load := p.shares.At(hash)
	return fairshare.RemoteUsage{Waiting: load.Inflight, Work: load.Unread}
}

// noteArrival records that a request arrived.
func (c *priorityClass) noteArrival(request AcquireRequest, now time.Time) {
	if now.Before(request.StartBy) {
		c.timelyAt = now
	}
}

// timelyWindow is how long after a request that could meet its objective another one is expected.
const timelyWindow = 500 * time.Millisecond

// yieldsToTimely reports whether a request is late and leaves some slots to requests of its priority
// or a higher one that can meet their objective.
func (p *servicePool) yieldsToTimely(request AcquireRequest, now time.Time, elapsed time.Duration) bool {
	if now.Before(request.StartBy) {
		return false
	}
	if p.pool.ArrivalsUnknown(elapsed) {
		return true
	}
	for priority, class := range p.classes {
		if !request.Priority.Before(priority) && now.Sub(class.timelyAt) <= timelyWindow {
			return true
		}
	}
	return false
}

// setWeight updates the weight of a tenant.
func (c *priorityClass) setWeight(tenant waitqueue.Tenant) {
	if tenant.Weight > 0 {
		c.weights[tenant.Name] = tenant.Weight
		return
	}
	delete(c.weights, tenant.Name)
}

func (c *priorityClass) weight(tenant string) uint32 { return c.weights[tenant] }

func (c *priorityClass) virtualTime(tenant waitqueue.Tenant, now time.Duration) float64 {
	return c.ledger.VirtualTime(tenant.Name, tenant.Weight, now)
}

// updateOverload checks whether capacity is short for the requests that wait at all processes. If
// the servers do not report their slots, any waiting request means that it is. A gap between
// checks longer than fairshare.DecayTime restarts overloadedSince, since capacity may have
// sufficed meanwhile.
func (p *servicePool) updateOverload(now time.Duration) {
	total := p.waiting.Len() + p.shares.At(balance.QueueHash(p.name)).Inflight
	wasOverloaded := p.overloaded
	p.overloaded = total > 0 && (p.pool.Slots() == 0 || fairshare.Overloaded(p.slotRate(topology.RegionSet{}).EstimateWait(total)))
	if p.overloaded && (!wasOverloaded || now-p.overloadCheckedAt > fairshare.DecayTime) {
		p.overloadedSince = now
	}
	p.overloadCheckedAt = now
}

// virtualTime returns the virtual time of a request's tenant, by which requests of one priority
// are ordered; zero if capacity is not short.
func (p *servicePool) virtualTime(key waitqueue.SortKey, now time.Duration) float64 {
	if !p.overloaded {
		return 0
	}
	return p.class(key.Priority()).virtualTime(key.Tenant(), now)
}

// waitingBehind returns how many requests wait at other processes for tenants with a higher
// virtual time.
func (c *priorityClass) waitingBehind(tenant waitqueue.Tenant, now time.Duration) int {
	return c.ledger.RemoteWaitingBehind(c.virtualTime(tenant, now), c.weight, now)
}

// charge is the work charged to a tenant for a request. The zero value is no charge.
type charge struct {
	class     *priorityClass
	tenant    string
	work      float64
	chargedAt time.Duration
}

// refund takes back the charge of a request that did not run.
func (c charge) refund(now time.Duration) {
	if c.class != nil {
		c.class.ledger.Refund(c.tenant, c.work, c.chargedAt, now)
	}
}

// chargeRequest charges the estimated work of a request to its tenant.
func (p *servicePool) chargeRequest(request AcquireRequest, choice balance.Choice, now time.Duration) charge {
	if !p.gates.On(featuregate.FairShare) {
		return charge{}
	}
	work := max(minWork, float64(choice.Uncached)+p.meanEvents)
	if p.meanWork == 0 {
		p.meanWork = work
	}
	p.meanWork += workWeight * (work - p.meanWork)
	class := p.class(request.Priority)
	class.ledger.Charge(request.Tenant.Name, work, now)
	return charge{class: class, tenant: request.Tenant.Name, work: work, chargedAt: now}
}

// mayOvercommit reports whether the tenant has used so little compared with another one that its
// request may exceed the slots of a server.
func (p *servicePool) mayOvercommit(request AcquireRequest, now time.Duration) bool {
	if request.Tenant.Name == "" || !p.gates.On(featuregate.FairShare) || !p.pool.Paced() {
		return false
	}
	class := p.class(request.Priority)
	return class.ledger.IsLight(request.Tenant.Name, class.weight, now)
}

// recordEvents updates the moving average of events in a response.
func (p *servicePool) recordEvents(events uint64) {
	p.meanEvents += eventsWeight * (float64(events) - p.meanEvents)
}

// waitingCounts counts the requests that wait here by priority and tenant.
func (p *servicePool) waitingCounts() map[waitqueue.Priority]map[string]int {
	waits := make(map[waitqueue.Priority]map[string]int)
	p.waiting.Each(func(key waitqueue.SortKey) {
		if waits[key.Priority()] == nil {
			waits[key.Priority()] = make(map[string]int)
		}
		waits[key.Priority()][key.Tenant().Name]++
	})
	return waits
}

// visitQueueLoads visits the loads of the queue that this process shares: the total with the
// expected retries, the restricted requests by their regions, the requests by priority, and the
// tenants with the highest usage.
func (p *servicePool) visitQueueLoads(now time.Time, elapsed time.Duration, visit func(hash uint32, load balance.SharedLoad)) {
	total := balance.SharedLoad{Inflight: p.sharedQueueLength()}
	if p.gates.On(featuregate.RetryAfter) {
		total.Unread = p.pendingRetries.Count(now)
	}
	if total != (balance.SharedLoad{}) {
		visit(balance.QueueHash(p.name), total)
	}
	p.visitRestrictedLoads(now, visit)
	if timely := p.waiting.CountTimely(now); timely > 0 && p.gates.On(featuregate.RetryAfter) {
		visit(balance.TimelyHash(p.name), balance.SharedLoad{Inflight: timely})
	}
	waits := p.waitingCounts()
	for priority, class := range p.classes {
		waiting := waits[priority]
		if sum := sumCounts(waiting); sum > 0 && p.gates.On(featuregate.RetryAfter) {
			visit(balance.QueueHash(class.name), balance.SharedLoad{Inflight: sum})
		}
		if !p.gates.On(featuregate.FairShare) {
			continue
		}
		for _, entry := range class.ledger.Entries(waiting, elapsed) {
			visit(entry.Hash, balance.SharedLoad{Inflight: entry.Waiting, Unread: entry.Work})
		}
	}
}

func sumCounts(counts map[string]int) int {
	sum := 0
	for count := range maps.Values(counts) {
		sum += count
	}
	return sum
}
