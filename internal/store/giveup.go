package store

import (
	"time"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// routeStanding is what is known of an item's route.
type routeStanding int

const (
	// routeUnknown: no configuration was heard from a coordinator since the start.
	routeUnknown routeStanding = iota
	// routeFound: the configuration in force has it.
	routeFound
	// routeAbsent: the configuration in force does not have it.
	routeAbsent
)

func (e *executor) route(item jobstore.OpenItem) (*rockwindpb.Route, routeStanding) {
	if !e.store.watcher.Known() {
		return nil, routeUnknown
	}
	route, found := e.store.watcher.Configuration().Route(item.Host, item.JobPath)
	if !found || route.GetKind() != rockwindpb.RouteKind_ROUTE_KIND_BATCH {
		return nil, routeAbsent
	}
	return route, routeFound
}

// routeGoneAfter is how long an item's route must be absent before the item is
// given up.
const routeGoneAfter = 3 * time.Second

// noteRoute keeps since when the item's route is absent.
func (h *history) noteRoute(standing routeStanding, now time.Time) {
	switch {
	case standing != routeAbsent:
		h.absentSince = time.Time{}
	case h.absentSince.IsZero():
		h.absentSince = now
	}
}

// noteFailures takes the failures that the shard holds: those of former leaders, and those of
// this one that are recorded.
func (h *history) noteFailures(item jobstore.OpenItem) { h.failures = max(h.failures, item.Failures) }

// giveUpReason says why an item is given up, or nothing. The route is nil where it
// is not found.
func giveUpReason(item jobstore.OpenItem, route *rockwindpb.Route, known *history, now time.Time) string {
	age := now.Sub(time.UnixMilli(item.SubmittedUnixMs))
	limit := time.Duration(route.GetMaximumWaitMs()) * time.Millisecond
	switch {
	case !known.absentSince.IsZero() && now.Sub(known.absentSince) > routeGoneAfter:
		return "its route is gone"
	case limit > 0 && age > limit:
		return "it has waited for too long"
	case route != nil && known.failures >= max(1, int(route.GetAttempts())):
		return "all attempts failed"
	}
	return ""
}
