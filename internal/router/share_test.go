package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
)

// newFastQueueTest returns a queueTest with eight slots and an average hold time of 100 ms.
func newFastQueueTest(t *testing.T) *queueTest {
	t.Helper()
	c := &queueTest{t: t, dispatcher: newDispatcher(8, featuregate.Set{})}
	for range 20 {
		lease, err := c.dispatcher.Acquire(t.Context(), requestOf("flood", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		lease.Done(health.Success, 0)
	}
	return c
}

// fill occupies all slots with requests of a tenant and queues more of them.
func (c *queueTest) fill(tenant string, waiters int, maxWait time.Duration) {
	c.leases = nil
	for range 8 {
		lease, err := c.dispatcher.Acquire(c.t.Context(), requestOf(tenant, time.Minute))
		if err != nil {
			c.t.Fatal(err)
		}
		c.leases = append(c.leases, lease)
	}
	for range waiters {
		c.addWaiter(requestOf(tenant, maxWait))
	}
}

// endAll ends the requests that hold the slots.
func (c *queueTest) endAll() {
	for _, lease := range c.leases {
		lease.Done(health.Success, 0)
	}
}

// mustBeServed fails the test unless the request is served after waiting.
func (c *queueTest) mustBeServed(request router.AcquireRequest) {
	c.t.Helper()
	time.AfterFunc(100*time.Millisecond, c.endAll)
	began := time.Now()
	lease, err := c.dispatcher.Acquire(c.t.Context(), request)
	if err != nil {
		c.t.Fatalf("after %v: %v", time.Since(began), err)
	}
	lease.Done(health.Success, 0)
	synctest.Wait()
}

// TestDecayedShareRefusesNobody checks that usage which has decayed for three seconds without a
// start refuses nobody while the servers could serve the queue in 0.2 s.
func TestDecayedShareRefusesNobody(t *testing.T) {
	for _, tenant := range []string{"flood", "other", ""} {
		synctest.Test(t, func(t *testing.T) {
			c := newFastQueueTest(t)
			c.fill("flood", 12, time.Minute)
			time.Sleep(3 * time.Second)
			c.mustBeServed(requestOf(tenant, 2*time.Second))
		})
	}
}

// TestRequestWithoutATenantHasNoShare checks that no share is computed for requests without a
// tenant.
func TestRequestWithoutATenantHasNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFastQueueTest(t)
		c.fill("", 24, time.Minute)
		time.Sleep(1010 * time.Millisecond)
		c.mustBeServed(requestOf("", 2*time.Second))
	})
}

// TestOverloadRestartsAfterGapBetweenChecks checks that requests waiting elsewhere now do not
// extend an overload of five seconds ago.
func TestOverloadRestartsAfterGapBetweenChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here := newFastQueueTest(t)
		here.fill("flood", 12, 990*time.Millisecond) // they time out between two checks
		time.Sleep(5 * time.Second)
		there := newQueueTest(t, 8)
		for range 20 {
			there.addWaiter(requestOf("flood", time.Minute))
		}
		shareQueue(t, there.dispatcher, here.dispatcher)
		time.Sleep(10 * time.Millisecond) // outlasts the caching of loads
		here.mustBeServed(requestOf("flood", time.Second))
	})
}
