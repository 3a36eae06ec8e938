package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
)

// pacedRouter is one of ten routers before a server of eight slots.
func pacedRouter(t *testing.T, off ...string) *crowd {
	t.Helper()
	c := &crowd{t: t, dispatcher: newDispatcher(8, gate.NewSet(off))}
	c.dispatcher.Pace("app", 10, 300*time.Millisecond)
	return c
}

// flood has requests of one tenant take all that this router may start for some seconds, and
// more of them wait.
func (c *crowd) flood() {
	for range 8 {
		go func() {
			if lease, err := c.dispatcher.Acquire(c.t.Context(), asks("flood", time.Second)); err == nil {
				time.Sleep(3 * time.Second)
				lease.Done(health.Success, 0)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
}

// TestRequestOfAModestTenantDoesNotWaitForAFlood: it goes to a server beyond what is there, one
// at a time; more of the flood waits, and so does anyone where tenants do not share.
func TestRequestOfAModestTenantDoesNotWaitForAFlood(t *testing.T) {
	for _, each := range []struct {
		tenants []string
		off     []string
		waits   bool
	}{
		{[]string{"small"}, nil, false},
		{[]string{"small", "other"}, nil, true},
		{[]string{"flood"}, nil, true},
		{[]string{""}, nil, true},
		{[]string{"small"}, []string{"fair_share"}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := pacedRouter(t, each.off...)
			c.flood()
			var lease *router.Lease
			var err error
			began := time.Now()
			for _, tenant := range each.tenants {
				if lease, err = c.dispatcher.Acquire(t.Context(), asks(tenant, 100*time.Millisecond)); err == nil {
					defer lease.Done(health.Success, 0)
				}
			}
			if waits := err != nil || time.Since(began) > 0; waits != each.waits {
				t.Fatalf("the last of %q, with %v off: %v after %v", each.tenants, each.off, err, time.Since(began))
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// TestLessUrgentRequestDoesNotGoBeyondUrgentOnes that wait, although its tenant is modest among
// those of its priority.
func TestLessUrgentRequestDoesNotGoBeyondUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := pacedRouter(t)
		lower := lowerFor(100 * time.Millisecond)
		lower.Tenant.Name = "large"
		lease, err := c.dispatcher.Acquire(t.Context(), lower)
		if err != nil {
			t.Fatal(err)
		}
		lease.Done(health.Success, 0)
		c.flood()
		lower.Tenant.Name = "small"
		if lease, err := c.dispatcher.Acquire(t.Context(), lower); err == nil {
			lease.Done(health.Success, 0)
			t.Error("it goes before the urgent ones")
		}
		time.Sleep(10 * time.Second)
	})
}
