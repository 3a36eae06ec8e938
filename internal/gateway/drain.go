package gateway

import (
	"net/http"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

// drainState counts the requests in progress and signals when a drain has begun and
// when no request is left. It is safe for concurrent use.
type drainState struct {
	mutex    sync.Mutex
	draining bool
	active   int
	started  chan struct{}
	idle     chan struct{}
}

func newDrainState() *drainState {
	return &drainState{started: make(chan struct{}), idle: make(chan struct{})}
}

// enter counts a new request. It returns false while the gateway drains.
func (d *drainState) enter() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining {
		return false
	}
	d.active++
	return true
}

// leave counts the end of a request.
func (d *drainState) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.active--
	d.closeIfIdle()
}

// begin starts the drain. Further calls have no effect.
func (d *drainState) begin() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	close(d.started)
	d.closeIfIdle()
}

func (d *drainState) closeIfIdle() {
	if d.draining && d.active == 0 {
		select {
		case <-d.idle:
		default:
			close(d.idle)
		}
	}
}

// state returns whether the gateway drains and the number of requests in
// progress.
func (d *drainState) state() (draining bool, active int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.draining, d.active
}

// drainRetryAfter is the Retry-After of requests refused by a draining gateway.
const drainRetryAfter = 500 * time.Millisecond

// track counts requests in progress and refuses new ones during a drain. No request
// starts after the drain began, so shutdown interrupts none.
func (g *Gateway) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.drain.enter() {
			g.refuseUnread(w, r, fault.New(fault.Unavailable, "this gateway is stopping",
				"send the request again to another gateway").WithRan(fault.NotRun).WithRetryAfter(drainRetryAfter))
			return
		}
		g.metrics.inProgress.Inc()
		defer func() {
			g.metrics.inProgress.Dec()
			g.drain.leave()
		}()
		next.ServeHTTP(w, r)
	})
}
