package store

import (
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
)

// backlogItem is what the order of the open items rests on.
func (e *executor) backlogItem(item jobstore.OpenItem) backlog.Item {
	_, wanted, _ := e.routed(item)
	return wanted
}

// routed is an open item as the backlog has it, with the service of its route where that is found.
func (e *executor) routed(item jobstore.OpenItem) (service string, wanted backlog.Item, found bool) {
	submitted := time.UnixMilli(item.SubmittedUnixMs)
	route, standing := e.route(item)
	if standing != routeFound {
		return "", backlog.NewItem(submitted, time.Time{}, 0), false
	}
	service = router.ChooseService(route, item.Item.GetId())
	remaining := e.pace(service).Remaining(e.made(item))
	return service, backlog.NewItem(submitted, dueTime(route, submitted), remaining).Of(item.Tenant, e.weight(item.Tenant)), true
}

// made is how many events of an item's output there are.
func (e *executor) made(item jobstore.OpenItem) int {
	if known := e.history[claims.NewKey(item.Job, item.Index)]; known != nil {
		return known.made()
	}
	last, _ := item.PartialOutput.LastEvent()
	return int(last)
}

// order sorts the open items into the order in which they are to be started, and lists those
// that cannot all be on time.
func (e *executor) order(open []jobstore.OpenItem, now time.Time) (ordered, short []jobstore.OpenItem) {
	e.share = newShare()
	if !e.store.gates.On(gate.FairShare) {
		return backlog.Order(open, now, e.backlogItem), nil
	}
	e.share.use = e.tenantsUse(open, now)
	return backlog.OrderShared(open, len(e.active), e.share.use, now, e.backlogItem)
}

// weight is that of a tenant by the configuration in force, zero where it has none.
func (e *executor) weight(tenant string) uint32 {
	if tenant == "" || !e.store.watcher.Known() {
		return 0
	}
	found, _ := e.store.watcher.Configuration().Tenant(tenant)
	return found.GetWeight()
}

// dueTime is when an item that was submitted at a time is due, zero where it never is.
func dueTime(route *rockwindpb.Route, submitted time.Time) time.Time {
	if route.GetDueMs() == 0 {
		return time.Time{}
	}
	return submitted.Add(time.Duration(route.GetDueMs()) * time.Millisecond)
}

// pace is what the runs of a service's items have shown.
func (e *executor) pace(service string) *backlog.Pace {
	found, known := e.paces[service]
	if !known {
		found = &backlog.Pace{}
		e.paces[service] = found
	}
	return found
}

// backlogTry is what the order in which tries give way rests on. What a try has made since
// it began is taken to be what others make in that time.
func (e *executor) backlogTry(try *activeTry) backlog.Item {
	remaining := try.choice.ScaleDuration(e.pace(try.service).Remaining(try.madeBefore)) - time.Since(try.began)
	return backlog.NewItem(try.submitted, dueTime(try.route, try.submitted), max(0, remaining)).Of(try.tenant, e.weight(try.tenant))
}
