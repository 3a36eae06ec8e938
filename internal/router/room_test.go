package router_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/waiting"
)

// asks for the app as a tenant that may wait for so long.
func asks(tenant string, patience time.Duration) router.AcquireRequest {
	return router.AcquireRequest{
		Service: "app", Tenant: waiting.Tenant{Name: tenant}, StartBy: time.Now().Add(time.Second), MaxWait: patience,
	}
}

// crowd has requests of a tenant hold all slots and others wait, and returns the leases and
// how to learn the order in which more are served.
type crowd struct {
	t          *testing.T
	dispatcher *router.Dispatcher
	leases     []*router.Lease
	// mutex guards served, which several requests add to at once.
	mutex  sync.Mutex
	served []string
}

func newCrowd(t *testing.T, slots int, off ...string) *crowd {
	c := &crowd{t: t, dispatcher: newDispatcher(uint32(slots), gate.NewSet(off))}
	for range slots {
		lease, err := c.dispatcher.Acquire(t.Context(), asks("flood", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		c.leases = append(c.leases, lease)
	}
	return c
}

// add has a request wait; it ends at once when it is served.
func (c *crowd) add(ask router.AcquireRequest) {
	go func() {
		lease, err := c.dispatcher.Acquire(c.t.Context(), ask)
		if err != nil {
			return
		}
		c.mutex.Lock()
		c.served = append(c.served, ask.Tenant.Name)
		c.mutex.Unlock()
		lease.Done(health.Success, 0)
	}()
	synctest.Wait()
}

func (c *crowd) end() {
	c.leases[0].Done(health.Success, 0)
	synctest.Wait()
}

// TestTenantThatHadLittleGoesBeforeAFlood, and by arrival where the gate is off.
func TestTenantThatHadLittleGoesBeforeAFlood(t *testing.T) {
	for _, each := range []struct {
		off   []string
		place int
	}{{nil, 0}, {[]string{"fair_share"}, 20}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCrowd(t, 1, each.off...)
			// How long requests hold their slots is learned from those that end.
			time.Sleep(time.Second)
			for range 20 {
				c.add(asks("flood", time.Minute))
			}
			c.add(asks("small", time.Minute))
			c.end()
			if len(c.served) != 21 || slices.Index(c.served, "small") != each.place {
				t.Fatalf("with %v off they are served as %v", each.off, c.served)
			}
		})
	}
}

// TestFloodIsRefusedAndOthersAreNot: the queue is too long for one more of the flood, but
// another tenant's request goes first in it.
func TestFloodIsRefusedAndOthersAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 2)
		for range 12 {
			c.add(asks("flood", time.Minute))
		}
		_, err := c.dispatcher.Acquire(t.Context(), asks("flood", 4*time.Second))
		if failure := fault.From(err); failure == nil || failure.Kind != fault.Overloaded || failure.Ran != fault.NotRun {
			t.Fatalf("one more of the flood: %v", err)
		}
		c.add(asks("small", 4*time.Second))
		c.end()
		if !slices.Contains(c.served, "small") {
			t.Fatal("the other tenant's request is not served")
		}
	})
}

// TestFloodElsewhereDoesNotRefuseOthers: what waits of it at another process goes after a
// tenant that had less.
func TestFloodElsewhereDoesNotRefuseOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newCrowd(t, 2), newCrowd(t, 2)
		for range 12 {
			there.add(asks("flood", time.Minute))
		}
		tell(t, there.dispatcher, here.dispatcher)
		time.Sleep(10 * time.Millisecond) // what was known before is used for a moment
		if _, err := here.dispatcher.Acquire(t.Context(), asks("flood", 4*time.Second)); err == nil {
			t.Fatal("one more of the flood is not refused")
		}
		here.add(asks("small", 4*time.Second))
		here.end()
		if !slices.Contains(here.served, "small") {
			t.Fatal("the other tenant's request is not served")
		}
	})
}

// TestRefusedAreToldTimesApart: each is told when the room that is left comes, and with the
// gate off all the same.
func TestRefusedAreToldTimesApart(t *testing.T) {
	for _, each := range []struct {
		off   []string
		apart time.Duration
	}{{nil, 500 * time.Millisecond}, {[]string{"returns"}, 0}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCrowd(t, 2, each.off...)
			for range 12 {
				c.add(asks("", time.Minute))
			}
			var told []time.Duration
			for range 4 {
				_, err := c.dispatcher.Acquire(t.Context(), asks("", 4*time.Second))
				told = append(told, fault.From(err).RetryAfter)
			}
			for i := range told[1:] {
				if told[i+1]-told[i] != each.apart {
					t.Fatalf("with %v off they are told %v", each.off, told)
				}
			}
			for range 12 {
				c.end()
			}
		})
	}
}

// TestUrgentRequestIsNotRefusedForLessUrgentOnes that wait here or at another process.
func TestUrgentRequestIsNotRefusedForLessUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newCrowd(t, 2), newCrowd(t, 2)
		lower := asks("", time.Minute)
		lower.Priority = waiting.Priority{Route: 1}
		for range 6 {
			here.add(lower)
			there.add(lower)
			there.add(lower)
		}
		tell(t, there.dispatcher, here.dispatcher)
		if _, err := here.dispatcher.Acquire(t.Context(), lowerFor(4*time.Second)); err == nil || fault.From(err).RetryAfter < 6*time.Second {
			t.Fatalf("a less urgent request behind 18 others: %v", err)
		}
		here.add(asks("", 4*time.Second))
		here.end()
		if len(here.served) != 7 {
			t.Fatalf("%d requests are served", len(here.served))
		}
	})
}

func lowerFor(patience time.Duration) router.AcquireRequest {
	ask := asks("", patience)
	ask.Priority = waiting.Priority{Route: 1}
	return ask
}

// tell has one process take what another one tells of its queue; the servers of the two are
// not the same.
func tell(t *testing.T, from, to *router.Dispatcher) {
	t.Helper()
	loads := loadshare.Loads(from.LoadSource().Own())
	delete(loads, balance.ServerHash("server"))
	digest := loadshare.NewDigest(loads)
	digest.Sender, digest.Sequence, digest.StartedUnixMs = "there", 1, 1
	to.LoadSource().Take(digest)
}

// TestWhatATenantHadElsewhereCounts: a flood that comes to another process goes behind a
// tenant of which this one has served more itself, as long as the digests tell of it.
func TestWhatATenantHadElsewhereCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newCrowd(t, 1), newCrowd(t, 8)
		there.add(asks("flood", time.Minute))
		ask := asks("small", time.Minute)
		for range 3 {
			here.add(ask)
		}
		here.end()
		here = &crowd{t: t, dispatcher: here.dispatcher, served: nil}
		lease, err := here.dispatcher.Acquire(t.Context(), asks("small", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		here.leases = append(here.leases, lease)
		here.add(asks("small", time.Minute))
		here.add(asks("flood", time.Minute))
		tell(t, there.dispatcher, here.dispatcher)
		// What was known before is used for a moment, and a request is seen to hold its slot.
		time.Sleep(400 * time.Millisecond)
		here.end()
		if fmt.Sprint(here.served) != "[small flood]" {
			t.Fatalf("they are served as %v", here.served)
		}
	})
}

// TestTenantsShareTellsWhenRoomComes: a tenant whose requests get a fifth of the room behind
// those of one with four times its weight is refused at once what it would wait too long for,
// although the servers would take all that waits now in half of the time.
func TestTenantsShareTellsWhenRoomComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(1, gate.Set{})
		serve := func(ask router.AcquireRequest) {
			lease, err := dispatcher.Acquire(t.Context(), ask)
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			lease.Done(health.Success, 0)
		}
		for range 12 {
			go serve(asks("light", time.Minute))
		}
		heavy := asks("heavy", time.Minute)
		heavy.Tenant.Weight = 4
		for range 24 {
			go serve(heavy)
			time.Sleep(125 * time.Millisecond)
		}
		began := time.Now()
		_, err := dispatcher.Acquire(t.Context(), asks("light", 2*time.Second))
		failure := fault.From(err)
		if time.Since(began) != 0 || failure == nil || failure.Ran != fault.NotRun {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		if failure.RetryAfter < 2*time.Second || failure.RetryAfter > 6*time.Second {
			t.Fatalf("it is told to come back after %v", failure.RetryAfter)
		}
		if _, err := dispatcher.Acquire(t.Context(), heavy); err != nil {
			t.Fatal(err)
		}
	})
}
