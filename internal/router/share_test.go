package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
)

// newQuickCrowd is a crowd at eight slots whose requests are known to take 100 ms.
func newQuickCrowd(t *testing.T) *crowd {
	t.Helper()
	c := &crowd{t: t, dispatcher: newDispatcher(8, gate.Set{})}
	for range 20 {
		lease, err := c.dispatcher.Acquire(t.Context(), asks("flood", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		lease.Done(health.Success, 0)
	}
	return c
}

// fill has requests of a tenant hold all slots and so many others wait for so long.
func (c *crowd) fill(tenant string, waiters int, patience time.Duration) {
	c.leases = nil
	for range 8 {
		lease, err := c.dispatcher.Acquire(c.t.Context(), asks(tenant, time.Minute))
		if err != nil {
			c.t.Fatal(err)
		}
		c.leases = append(c.leases, lease)
	}
	for range waiters {
		c.add(asks(tenant, patience))
	}
}

// endAll ends the requests that hold the slots.
func (c *crowd) endAll() {
	for _, lease := range c.leases {
		lease.Done(health.Success, 0)
	}
}

// servedSoon fails the test unless the request is served although it finds no room at once.
func (c *crowd) servedSoon(ask router.AcquireRequest) {
	c.t.Helper()
	time.AfterFunc(100*time.Millisecond, c.endAll)
	began := time.Now()
	lease, err := c.dispatcher.Acquire(c.t.Context(), ask)
	if err != nil {
		c.t.Fatalf("after %v: %v", time.Since(began), err)
	}
	lease.Done(health.Success, 0)
	synctest.Wait()
}

// TestShareThatHasDecayedRefusesNobody: no request has begun for three seconds, so that what
// the tenants had by then is forgotten; the servers take what waits within 0.2 s.
func TestShareThatHasDecayedRefusesNobody(t *testing.T) {
	for _, tenant := range []string{"flood", "other", ""} {
		synctest.Test(t, func(t *testing.T) {
			c := newQuickCrowd(t)
			c.fill("flood", 12, time.Minute)
			time.Sleep(3 * time.Second)
			c.servedSoon(asks(tenant, 2*time.Second))
		})
	}
}

// TestRequestWithoutATenantHasNoShare: it is one of all that have none.
func TestRequestWithoutATenantHasNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newQuickCrowd(t)
		c.fill("", 24, time.Minute)
		time.Sleep(1010 * time.Millisecond)
		c.servedSoon(asks("", 2*time.Second))
	})
}

// TestLackOfRoomIsNotTakenToLastWhereNobodyLooked: what others wait for now does not go on from
// what waited here five seconds ago.
func TestLackOfRoomIsNotTakenToLastWhereNobodyLooked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here := newQuickCrowd(t)
		here.fill("flood", 12, 990*time.Millisecond) // they give up between two looks
		time.Sleep(5 * time.Second)
		there := newCrowd(t, 8)
		for range 20 {
			there.add(asks("flood", time.Minute))
		}
		tell(t, there.dispatcher, here.dispatcher)
		time.Sleep(10 * time.Millisecond) // what was known before is used for a moment
		here.servedSoon(asks("flood", time.Second))
	})
}
