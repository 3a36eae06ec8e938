package store

import (
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
)

// backlogItem returns the item's attributes for ordering.
func (e *executor) backlogItem(item jobstore.OpenItem) backlog.Item {
	_, entry, _ := e.resolve(item)
	return entry
}

// resolve returns the service of an item's route and the item's attributes for ordering. The
// attributes lack a due time if the route is not found.
func (e *executor) resolve(item jobstore.OpenItem) (service string, entry backlog.Item, found bool) {
	submitted := time.UnixMilli(item.SubmittedUnixMs)
	route, status := e.route(item)
	if status != routeFound {
		return "", backlog.NewItem(submitted, time.Time{}, 0), false
	}
	service = router.ChooseService(route, item.Item.GetId())
	remaining := e.pace(service).Remaining(e.receivedEvents(item))
	return service, backlog.NewItem(submitted, dueTime(route, submitted), remaining).WithTenant(item.Tenant, e.tenantWeight(item.Tenant)), true
}

// receivedEvents returns the number of events received of an item's output.
func (e *executor) receivedEvents(item jobstore.OpenItem) int {
	if h := e.history[claims.NewKey(item.Job, item.Index)]; h != nil {
		return h.eventCount()
	}
	last, _ := item.PartialOutput.LastEvent()
	return int(last)
}

// order sorts the open items by the order to start them in, and returns as short those that
// cannot all finish on time.
func (e *executor) order(open []jobstore.OpenItem, now time.Time) (ordered, short []jobstore.OpenItem) {
	e.shares = newTenantShares()
	if !e.store.gates.On(featuregate.FairShare) {
		return backlog.Order(open, now, e.backlogItem), nil
	}
	e.shares.use = e.tenantsUse(open, now)
	return backlog.OrderShared(open, len(e.active), e.shares.use, now, e.backlogItem)
}

// tenantWeight returns the configured weight of a tenant, or zero.
func (e *executor) tenantWeight(tenant string) uint32 {
	if tenant == "" || !e.store.watcher.Initialized() {
		return 0
	}
	found, _ := e.store.watcher.Configuration().Tenant(tenant)
	return found.GetWeight()
}

// dueTime returns when an item is due, or the zero time if it has no due time.
func dueTime(route *rockwindpb.Route, submitted time.Time) time.Time {
	if route.GetDueMs() == 0 {
		return time.Time{}
	}
	return submitted.Add(time.Duration(route.GetDueMs()) * time.Millisecond)
}

// pace returns the run time statistics of a service's items.
func (e *executor) pace(service string) *backlog.RunTimeEstimator {
	p, found := e.paces[service]
	if !found {
		p = &backlog.RunTimeEstimator{}
		e.paces[service] = p
	}
	return p
}

// backlogAttempt returns an attempt's attributes for the order of preemption. The progress
// since the attempt began is estimated from the pace of the service.
func (e *executor) backlogAttempt(attempt *activeAttempt) backlog.Item {
	remaining := attempt.choice.ScaleDuration(e.pace(attempt.service).Remaining(attempt.eventsBefore)) - time.Since(attempt.began)
	return backlog.NewItem(attempt.submitted, dueTime(attempt.route, attempt.submitted), max(0, remaining)).WithTenant(attempt.tenant, e.tenantWeight(attempt.tenant))
}
