package router

import (
	"sync"
	"time"

	"rockwind.example/rockwind/internal/returning"
)

// mostRoutes bounds the routes whose deadlines are remembered, beyond which all are learned
// anew: configurations add and remove routes for as long as a router runs.
const mostRoutes = 1024

// routeDeadlines learns by route how long clients wait. Its methods may be called by any
// goroutine. The zero value knows nothing.
type routeDeadlines struct {
	mutex  sync.Mutex
	routes map[string]*returning.TimeoutEstimator
}

// whole is how long a client waits in all that asks a route with so much of its time left.
func (d *routeDeadlines) whole(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.routes == nil || len(d.routes) > mostRoutes {
		d.routes = make(map[string]*returning.TimeoutEstimator)
	}
	known := d.routes[route]
	if known == nil {
		known = &returning.TimeoutEstimator{}
		d.routes[route] = known
	}
	known.Observe(left)
	return known.Estimate(left)
}
