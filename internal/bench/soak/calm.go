package soak

import (
	"sync"
	"time"
)

// touchTime is how long after a fault is over the bounds in time hold again.
const touchTime = 4 * time.Second

// calmness tells whether bounds in time hold: no fault struck lately.
type calmness struct {
	now func() time.Duration

	mutex sync.Mutex
	// active counts the faults in progress; last is when one was last in progress.
	active int
	last   time.Duration
}

// begin notes a fault, and the returned function its end.
func (c *calmness) begin() (end func()) {
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

// since tells whether no fault has been in progress since touchTime before a moment.
func (c *calmness) since(moment time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.active == 0 && c.last+touchTime <= moment
}
