package router

import (
	"sync"
	"time"

	"rockwind.example/rockwind/internal/retryafter"
)

// maxRoutes bounds the remembered routes. All are dropped beyond it, because configuration
// changes keep adding names.
const maxRoutes = 1024

// routeTimeouts learns how long the clients of each route wait. It is safe for concurrent use,
// and its zero value is ready to use.
type routeTimeouts struct {
	mutex  sync.Mutex
	routes map[string]*retryafter.TimeoutEstimator
}

// totalTimeout estimates the full timeout of a client of a route from the time that it has left.
func (d *routeTimeouts) totalTimeout(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.routes == nil || len(d.routes) > maxRoutes {
		d.routes = make(map[string]*retryafter.TimeoutEstimator)
	}
	known := d.routes[route]
	if known == nil {
		known = &retryafter.TimeoutEstimator{}
		d.routes[route] = known
	}
	known.Observe(remaining)
	return known.Estimate(remaining)
}
