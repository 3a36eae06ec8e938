package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/router"
)

// acquire returns a lease for a request of a tenant that finds room at once.
func (c *crowd) acquire(tenant string) *router.Lease {
	c.t.Helper()
	lease, err := c.dispatcher.Acquire(c.t.Context(), asks(tenant, time.Minute))
	if err != nil {
		c.t.Fatal(err)
	}
	return lease
}

// TestTriesThatNeverReachedAServerAreNotCharged: a tenant had more tries than another one, and
// less that has run. It goes first where it is known that its tries did not run.
func TestTriesThatNeverReachedAServerAreNotCharged(t *testing.T) {
	for _, each := range []struct {
		end   func(lease *router.Lease)
		order string
	}{
		{func(lease *router.Lease) { lease.MarkNotRun(); lease.Abandon() }, "[unlucky busy]"},
		{func(lease *router.Lease) { lease.MarkNotRun(); lease.MarkNotRun(); lease.Abandon() }, "[unlucky busy]"},
		{(*router.Lease).Abandon, "[busy unlucky]"},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &crowd{t: t, dispatcher: newDispatcher(1, gate.Set{})}
			for range 3 {
				each.end(c.acquire("unlucky"))
			}
			c.acquire("busy").Abandon()
			c.leases = append(c.leases, c.acquire("flood"))
			c.add(asks("busy", time.Minute))
			c.add(asks("unlucky", time.Minute))
			time.Sleep(300 * time.Millisecond) // how long requests hold the slot is learned from this one
			c.end()
			if order := fmt.Sprint(c.served); order != each.order {
				t.Fatalf("they are served as %v, want %v", order, each.order)
			}
		})
	}
}
