package store

import (
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// routeStatus states whether an item's route exists.
type routeStatus int

const (
	// routeUnknown: this store has no configuration that shows whether the route exists.
	routeUnknown routeStatus = iota
	// routeFound: the route is in the current configuration.
	routeFound
	// routeAbsent: the route is not in the current configuration.
	routeAbsent
)

func (e *executor) route(item jobstore.OpenItem) (*rockwindpb.Route, routeStatus) {
	if !e.store.watcher.Initialized() {
		return nil, routeUnknown
	}
	return findRoute(e.store.watcher.Configuration(), e.store.watcher.ConfigurationAge, item)
}

// findRoute looks an item's route up. A configuration earlier than that by which the job was accepted may
// lack the route or its restrictions. So may one that has been superseded without this store knowing, so
// the route only counts as absent while the configuration is known to be the newest.
func findRoute(index *configuration.Index, age func() time.Duration, item jobstore.OpenItem) (*rockwindpb.Route, routeStatus) {
	if index.Number() < item.Configuration {
		return nil, routeUnknown
	}
	route, found := index.Route(item.Host, item.JobPath)
	switch {
	case found && route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_BATCH:
		return route, routeFound
	case age() > site.MaxConfigurationAge:
		return nil, routeUnknown
	}
	return nil, routeAbsent
}

// routeGoneAfter is how long an item's route must be absent before the item is given up.
const routeGoneAfter = 3 * time.Second

// updateRoute sets since when the item's route has been absent.
func (h *history) updateRoute(status routeStatus, now time.Time) {
	switch {
	case status != routeAbsent:
		h.routeAbsentSince = time.Time{}
	case h.routeAbsentSince.IsZero():
		h.routeAbsentSince = now
	}
}

// mergeFailures adopts the recorded failure count, which includes failures under earlier
// leaders.
func (h *history) mergeFailures(item jobstore.OpenItem) { h.failures = max(h.failures, item.Failures) }

// giveUpReason returns why an item is given up, or an empty string. The route is nil if it was
// not found.
func giveUpReason(item jobstore.OpenItem, route *rockwindpb.Route, h *history, now time.Time) string {
	age := now.Sub(time.UnixMilli(item.SubmittedUnixMs))
	limit := time.Duration(route.GetMaximumWaitMs()) * time.Millisecond
	switch {
	case h.invalid:
		return "it is no valid request"
	case !h.routeAbsentSince.IsZero() && now.Sub(h.routeAbsentSince) > routeGoneAfter:
		return "its route is gone"
	case limit > 0 && age > limit:
		return "it has waited for too long"
	case route != nil && h.failures >= max(1, int(route.GetAttempts())):
		return "all attempts failed"
	}
	return ""
}
