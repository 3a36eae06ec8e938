package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
)

// pacedRouter returns one of ten routers that share a server with eight slots.
func pacedRouter(t *testing.T, off ...string) *queueTest {
	t.Helper()
	c := &queueTest{t: t, dispatcher: newDispatcher(8, featuregate.NewSet(off))}
	c.dispatcher.SetProcesses("app", 10, 300*time.Millisecond)
	return c
}

// startFlood fills this router's share of the slots with requests of one tenant for some seconds
// and queues more of them.
func (c *queueTest) startFlood() {
	for range 8 {
		go func() {
			if lease, err := c.dispatcher.Acquire(c.t.Context(), requestOf("flood", time.Second)); err == nil {
				time.Sleep(3 * time.Second)
				lease.Done(health.Success, 0)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
}

// TestLightTenantMayOvercommit checks that one request at a time of a light tenant exceeds the
// router's share of the slots. Others wait, as do all if the gate is off.
func TestLightTenantMayOvercommit(t *testing.T) {
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
			c.startFlood()
			var lease *router.Lease
			var err error
			began := time.Now()
			for _, tenant := range each.tenants {
				if lease, err = c.dispatcher.Acquire(t.Context(), requestOf(tenant, 100*time.Millisecond)); err == nil {
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

// TestLowPriorityRequestDoesNotOvercommitBeforeUrgentOnes covers a tenant that is light among
// those of its own priority.
func TestLowPriorityRequestDoesNotOvercommitBeforeUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := pacedRouter(t)
		lower := lowPriorityRequest(100 * time.Millisecond)
		lower.Tenant.Name = "large"
		lease, err := c.dispatcher.Acquire(t.Context(), lower)
		if err != nil {
			t.Fatal(err)
		}
		lease.Done(health.Success, 0)
		c.startFlood()
		lower.Tenant.Name = "small"
		if lease, err := c.dispatcher.Acquire(t.Context(), lower); err == nil {
			lease.Done(health.Success, 0)
			t.Error("it goes before the urgent ones")
		}
		time.Sleep(10 * time.Second)
	})
}
