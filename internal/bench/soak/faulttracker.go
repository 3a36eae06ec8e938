package soak

import (
	"sync"
	"time"
)

// quietPeriod is how long after a fault time limits apply again.
const quietPeriod = 4 * time.Second

// faultTracker records when faults are active. Time limits apply only in fault-free periods.
type faultTracker struct {
	now func() time.Duration

	mutex sync.Mutex
	// active counts the faults in progress; last is when one last began or ended.
	active int
	last   time.Duration
}

// begin records the start of a fault; the returned function records its end.
func (c *faultTracker) begin() (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active++
	c.last = c.now()
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.active--
		c.last = c.now()
	}
}

// quietSince returns whether no fault has been active since quietPeriod before the moment.
func (c *faultTracker) quietSince(moment time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.active == 0 && c.last+quietPeriod <= moment
}
