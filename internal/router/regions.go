package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/retryafter"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/waitqueue"
)

const (
	// unreachableRetryAfter is the Retry-After while no server in the allowed regions can be reached.
	// Ejected servers get a trial request seconds after their ejection.
	unreachableRetryAfter = time.Second
	// maxRestrictedRetries bounds the sets of regions whose pending retries are counted.
	maxRestrictedRetries = 64
)

// Residency determines the regions in which a request may be served, by the route and the tenant
// that the request has in a configuration. It is immutable and safe for concurrent use.
type Residency struct {
	host   string
	path   string
	route  *rockwindpb.Route
	tenant *rockwindpb.Tenant
	// number is that of the configuration that has the route and the tenant.
	number uint64
}

// NewResidency returns the residency of a request with the given Host header and path, whose route
// and tenant were found in the configuration. The tenant may be nil.
func NewResidency(index *configuration.Index, host, path string, route *rockwindpb.Route, tenant *rockwindpb.Tenant) *Residency {
	return &Residency{host: host, path: path, route: route, tenant: tenant, number: index.Number()}
}

// AllowedRegions returns the regions that a configuration allows. A route or tenant that it does not
// have restricts the request as before.
func (r *Residency) AllowedRegions(index *configuration.Index) topology.RegionSet {
	route, tenant := r.route, r.tenant
	if index.Number() != r.number {
		if current, found := index.Route(r.host, r.path); found {
			route = current
		}
		if current, found := index.Tenant(tenant.GetName()); found {
			tenant = current
		}
	}
	return index.AllowedRegions(route, tenant)
}

// allowedRegions returns the regions that the newest configuration allows for the request.
func (e *exchange) allowedRegions() topology.RegionSet {
	if e.residency != nil {
		index := e.router.watcher.Configuration()
		e.regions, e.regionsNumber = e.residency.AllowedRegions(index), index.Number()
	}
	return e.regions
}

// allowedRegions returns the regions of a request by the configuration that the dispatcher has, or
// by that of the caller if it is newer. The caller holds d.mutex.
func (d *Dispatcher) allowedRegions(request AcquireRequest) topology.RegionSet {
	if request.Residency == nil || d.index == nil || d.index.Number() <= request.ConfigNumber {
		return request.Demand.Regions
	}
	return request.Residency.AllowedRegions(d.index)
}

// updateRegions applies a new configuration to the regions of waiting requests. The caller holds
// d.mutex.
func (d *Dispatcher) updateRegions() {
	d.regionSets = d.index.RegionSets()
	for name, pool := range d.pools {
		pool.pool.KnowRegions(d.regionSets)
		changed := pool.waiting.Matching(func(each *waiter) bool {
			before := each.request.Demand.Regions.Key()
			each.request.Demand.Regions = d.allowedRegions(each.request)
			return each.request.Demand.Regions.Key() != before
		})
		if len(changed) > 0 {
			d.serveWaiting(name)
		}
	}
}

// leaseGranted returns the lease of a granted request, or its refusal.
func (d *Dispatcher) leaseGranted(service string, given grant) (*Lease, error) {
	if given.refusal != nil {
		return nil, given.refusal
	}
	return d.lease(service, given), nil
}

// restricted reports whether the request may be served in some regions only.
func (a AcquireRequest) restricted() bool { return a.Demand.Regions.Restricted() }

// skippable reports whether the request does not block those behind it while it finds no capacity.
func (w *waiter) skippable() bool {
	return len(w.request.Tried) > 0 || w.request.restricted() || w.request.Demand.SameVersion
}

// anySkippable reports whether requests may be served before one that waits.
func (p *servicePool) anySkippable() bool { return p.waiting.Any((*waiter).skippable) }

// fullRegions holds the sets of regions without capacity that a walk through the queue has found, by
// their keys. It avoids a search of all servers for each waiting request.
type fullRegions map[string]bool

// add records that the request found no capacity. A request that has tried servers, or that continues a
// stream at one version, says nothing about others.
func (f fullRegions) add(request AcquireRequest) {
	if request.restricted() && len(request.Tried) == 0 && !request.Demand.SameVersion {
		f[request.Demand.Regions.Key()] = true
	}
}

func (f fullRegions) excludes(request AcquireRequest) bool {
	return request.restricted() && f[request.Demand.Regions.Key()]
}

// noServerFault returns the refusal of a request that no server can take, or nil. A request that is
// restricted to some regions or to a software version is refused if no server there can be reached.
func (p *servicePool) noServerFault(request AcquireRequest, elapsed time.Duration) error {
	if request.Demand.SameVersion {
		return p.noVersionFault(request, elapsed)
	}
	if !request.restricted() {
		if p.pool.Size() > len(request.Tried) {
			return nil
		}
		return fault.Newf(fault.Unavailable, "come back later", "service %s has no server that can take the request", p.name).
			WithRan(fault.NotRun).WithRetryAfter(defaultHoldTime / 4)
	}
	if p.pool.Reachable(request.Demand, request.Tried, elapsed) {
		return nil
	}
	return fault.Newf(fault.Unavailable, "come back later",
		"no server of service %s in the allowed regions (%s) can be reached", p.name, strings.Join(request.Demand.Regions.Names(), ", ")).
		WithRan(fault.NotRun).WithRetryAfter(unreachableRetryAfter)
}

// refuseUnreachable refuses the waiting requests that are restricted to regions or to a version where no
// server can be reached anymore.
func (p *servicePool) refuseUnreachable(elapsed time.Duration) {
	if !p.waiting.Any(func(each *waiter) bool { return each.request.restricted() || each.request.Demand.SameVersion }) {
		return
	}
	reachable := make(map[string]bool)
	refused := p.waiting.Matching(func(each *waiter) bool {
		if !each.request.restricted() && !each.request.Demand.SameVersion {
			return false
		}
		key := each.request.Demand.Regions.Key()
		if len(each.request.Tried) > 0 || each.request.Demand.SameVersion {
			return p.noServerFault(each.request, elapsed) != nil
		}
		if _, known := reachable[key]; !known {
			reachable[key] = p.noServerFault(each.request, elapsed) == nil
		}
		return !reachable[key]
	})
	if len(refused) > 0 {
		defer p.updateWaitingIn()
	}
	for _, entry := range refused {
		p.waiting.Remove(entry)
		entry.Value().granted <- grant{refusal: p.noServerFault(entry.Value().request, elapsed)}
	}
}

// ahead estimates how many requests are ahead of one with the given key, here and at other
// processes. If any is restricted to some regions, it is the number behind which the request would
// wait as long for its own regions.
func (p *servicePool) ahead(request AcquireRequest, key waitqueue.SortKey, now time.Time, elapsed time.Duration) int {
	elsewhere := p.aheadElsewhere(key, now, elapsed)
	if !request.restricted() && !p.anyRestricted() {
		return p.waiting.CountAhead(key, now) + elsewhere
	}
	here := make(waitingSets)
	p.waiting.EachAhead(key, now, func(each *waiter) { here.add(each.request.Demand.Regions, 1) })
	known := p.restrictedWaiting()
	known.add(request.Demand.Regions, 0)
	all := p.shares.At(balance.QueueHash(p.name)).Inflight
	rest := elsewhere
	for _, each := range known {
		if !each.Regions.Restricted() {
			continue
		}
		count := p.shares.At(p.regionsHash(each.Regions)).Inflight
		if all > 0 {
			// As large a part of them is ahead as of the whole queue elsewhere.
			count = count * elsewhere / all
		}
		here.add(each.Regions, count)
		if p.pool.Paced() {
			rest -= count
		}
	}
	here.add(topology.RegionSet{}, max(0, rest))
	return p.pool.EquivalentAhead(request.Demand.Regions, here.list())
}

// waitingSets counts requests by their regions, under the keys of these.
type waitingSets map[string]balance.Waiting

func (w waitingSets) add(regions topology.RegionSet, count int) {
	w[regions.Key()] = balance.Waiting{Regions: regions, Count: w[regions.Key()].Count + count}
}

func (w waitingSets) list() []balance.Waiting { return slices.Collect(maps.Values(w)) }

// restrictedWaiting counts the restricted requests that wait here.
func (p *servicePool) restrictedWaiting() waitingSets {
	sets := make(waitingSets)
	for _, each := range p.waiting.Matching(func(each *waiter) bool { return each.request.restricted() }) {
		sets.add(each.Value().request.Demand.Regions, 1)
	}
	return sets
}

// regionsHash returns the hash that identifies the requests with the given regions in digests.
func (p *servicePool) regionsHash(regions topology.RegionSet) uint32 {
	return balance.RegionsQueueHash(p.name, regions)
}

// visitRestrictedLoads visits the restricted requests that wait here or are expected to retry.
func (p *servicePool) visitRestrictedLoads(now time.Time, visit func(hash uint32, load balance.SharedLoad)) {
	for _, each := range p.restrictedWaiting() {
		visit(p.regionsHash(each.Regions), balance.SharedLoad{Inflight: each.Count})
	}
	if !p.gates.On(featuregate.RetryAfter) {
		return
	}
	for _, each := range p.restrictedRetries {
		if count := each.retries.Count(now); count > 0 {
			visit(p.regionsHash(each.regions), balance.SharedLoad{Unread: count})
		}
	}
}

// updateWaitingIn updates how many of the waiting requests are restricted to which regions in the pool.
func (p *servicePool) updateWaitingIn() {
	var counts map[string]int
	if p.anyRestricted() {
		counts = make(map[string]int)
		for key, each := range p.restrictedWaiting() {
			counts[key] = each.Count
		}
	}
	p.pool.SetWaitingIn(counts)
}

// sharedQueueLength returns the length of the queue for other processes. Unless requests are paced,
// batch work starts nowhere and is preempted everywhere while requests wait at other processes.
// Restricted requests count then only as far as batch work runs in their regions.
func (p *servicePool) sharedQueueLength() int {
	length := p.waiting.Len()
	if p.pool.Paced() {
		return length
	}
	for _, each := range p.restrictedWaiting() {
		length -= max(0, each.Count-p.pool.BatchIn(each.Regions))
	}
	return length
}

func (p *servicePool) anyRestricted() bool {
	return p.waiting.Any(func(each *waiter) bool { return each.request.restricted() })
}

// regionalRetries are the pending retries of requests that are restricted to the same regions.
type regionalRetries struct {
	regions topology.RegionSet
	retries retryafter.PendingRetries
}

// addPendingRetry records when a refused client is expected back.
func (p *servicePool) addPendingRetry(regions topology.RegionSet, due time.Time) {
	p.pendingRetries.Add(due)
	if !regions.Restricted() {
		return
	}
	if p.restrictedRetries == nil || len(p.restrictedRetries) >= maxRestrictedRetries {
		p.restrictedRetries = make(map[string]*regionalRetries)
	}
	if p.restrictedRetries[regions.Key()] == nil {
		p.restrictedRetries[regions.Key()] = &regionalRetries{regions: regions}
	}
	p.restrictedRetries[regions.Key()].retries.Add(due)
}

// pendingAhead returns how many refused clients of all processes are expected back to compete with a
// request for the slots in its regions: those with the same regions, and of all others a part by
// the number of slots.
func (p *servicePool) pendingAhead(regions topology.RegionSet, now time.Time) int {
	all := p.pendingRetries.Count(now) + p.shares.At(balance.QueueHash(p.name)).Unread
	if !regions.Restricted() {
		return all
	}
	same := p.shares.At(p.regionsHash(regions)).Unread
	if known := p.restrictedRetries[regions.Key()]; known != nil {
		same += known.retries.Count(now)
	}
	same = min(same, all)
	return same + (all-same)*p.pool.SlotsIn(regions)/max(1, p.pool.Slots())
}
