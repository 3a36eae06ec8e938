package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/router"
)

// acquire returns a lease for a request of a tenant that need not wait.
func (c *queueTest) acquire(tenant string) *router.Lease {
	c.t.Helper()
	lease, err := c.dispatcher.Acquire(c.t.Context(), requestOf(tenant, time.Minute))
	if err != nil {
		c.t.Fatal(err)
	}
	return lease
}

// TestAttemptsThatDidNotRunAreNotCharged checks that a tenant goes first if its attempts are
// known not to have run.
func TestAttemptsThatDidNotRunAreNotCharged(t *testing.T) {
	for _, each := range []struct {
		end   func(lease *router.Lease)
		order string
	}{
		{func(lease *router.Lease) { lease.MarkNotRun(); lease.Abandon() }, "[unlucky busy]"},
		{func(lease *router.Lease) { lease.MarkNotRun(); lease.MarkNotRun(); lease.Abandon() }, "[unlucky busy]"},
		{(*router.Lease).Abandon, "[busy unlucky]"},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &queueTest{t: t, dispatcher: newDispatcher(1, featuregate.Set{})}
			for range 3 {
				each.end(c.acquire("unlucky"))
			}
			c.acquire("busy").Abandon()
			c.leases = append(c.leases, c.acquire("flood"))
			c.addWaiter(requestOf("busy", time.Minute))
			c.addWaiter(requestOf("unlucky", time.Minute))
			time.Sleep(300 * time.Millisecond) // sets the average hold time
			c.endFirst()
			if order := fmt.Sprint(c.served); order != each.order {
				t.Fatalf("they are served as %v, want %v", order, each.order)
			}
		})
	}
}
