package router_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// regionsTest is a dispatcher for servers in the regions north and south, with one slot each.
type regionsTest struct {
	t          *testing.T
	register   *directory.Directory
	dispatcher *router.Dispatcher
	sequence   uint64
}

func newRegionsTest(t *testing.T, servers ...string) *regionsTest {
	c := &regionsTest{
		t: t, register: directory.New(),
		dispatcher: router.NewDispatcher("north-a", topology.New(map[string]string{"north-a": "north", "south-a": "south"}), featuregate.Set{}),
	}
	for _, server := range servers {
		c.report(server, rockwindpb.ServerState_SERVER_STATE_READY)
	}
	return c
}

// report reports a server whose name begins with its region.
func (c *regionsTest) report(server string, state rockwindpb.ServerState) {
	c.sequence++
	c.register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: server, Service: "app", Address: fmt.Sprint("10.0.0.1:", c.sequence), Slots: 1, Zone: server[:5] + "-a", State: state, Sequence: c.sequence,
	}}})
	c.dispatcher.Update(c.register.View())
}

// request returns a request that is restricted to the given regions, if there are any.
func request(maxWait time.Duration, regions ...string) router.AcquireRequest {
	asked := requestOf("", maxWait)
	asked.Demand = balance.Demand{Regions: topology.NewRegionSet(regions)}
	return asked
}

func (c *regionsTest) acquire(asked router.AcquireRequest) *router.Lease {
	c.t.Helper()
	lease, err := c.dispatcher.Acquire(c.t.Context(), asked)
	if err != nil {
		c.t.Fatal(err)
	}
	return lease
}

// result is the outcome of a request that waits.
type result struct {
	lease *router.Lease
	err   error
	after time.Duration
}

// acquireLater queues a request.
func (c *regionsTest) acquireLater(asked router.AcquireRequest) chan result {
	ended, began := make(chan result, 1), time.Now()
	go func() {
		lease, err := c.dispatcher.Acquire(context.Background(), asked)
		ended <- result{lease, err, time.Since(began)}
	}()
	synctest.Wait()
	return ended
}

// assertRefused checks that a request is refused as not run, and returns the Retry-After.
func assertRefused(t *testing.T, err error, kind fault.Kind) time.Duration {
	t.Helper()
	failure := fault.From(err)
	if err == nil || failure.Kind != kind || failure.Ran != fault.NotRun || failure.RetryAfter == 0 {
		t.Fatalf("got %v, want a refusal %v", err, kind)
	}
	return failure.RetryAfter
}

// Guards against a restricted request that blocks others while its regions are full, and against
// others that take the slots for which it waits.
func TestRestrictedRequestNeitherBlocksNorStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionsTest(t, "north-1", "south-1")
		home := c.acquire(request(time.Minute, "south"))
		restricted := c.acquireLater(request(time.Minute, "south"))
		alsoRestricted := c.acquireLater(request(time.Minute, "south"))
		began := time.Now()
		for range 5 {
			lease := c.acquire(request(time.Second))
			if lease.ID != "north-1" || time.Since(began) != 0 {
				t.Fatalf("it goes to %s after %v", lease.ID, time.Since(began))
			}
			lease.Done(health.Success, 0)
		}
		// The region of the restricted requests is the first with a free slot while others wait.
		elsewhere := c.acquire(request(time.Second))
		other := c.acquireLater(request(time.Minute))
		home.Done(health.Success, 0)
		first := <-restricted
		if first.err != nil || first.lease.ID != "south-1" {
			t.Fatal(first)
		}
		first.lease.Done(health.Success, 0)
		second := <-alsoRestricted
		if second.err != nil || second.lease.ID != "south-1" {
			t.Fatal(second)
		}
		elsewhere.Done(health.Success, 0)
		if last := <-other; last.err != nil || last.lease.ID != "north-1" {
			t.Fatal(last)
		}
	})
}

// Guards against requests that wait until their timeout although no server of their regions is left,
// from the start, after they have waited, and on retries.
func TestRequestWithoutReachableServersIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionsTest(t, "north-1", "south-1")
		began := time.Now()
		_, err := c.dispatcher.Acquire(t.Context(), request(time.Minute, "west"))
		assertRefused(t, err, fault.Unavailable)
		disjoint := request(time.Minute)
		disjoint.Demand.Regions = topology.NewRegionSet([]string{"north"}).Intersect(topology.NewRegionSet([]string{"south"}))
		_, err = c.dispatcher.Acquire(t.Context(), disjoint)
		assertRefused(t, err, fault.Unavailable)
		again := request(time.Minute, "south")
		again.Tried = []string{"south-1"}
		_, err = c.dispatcher.Acquire(t.Context(), again)
		assertRefused(t, err, fault.Unavailable)

		c.acquire(request(time.Minute, "south"))
		waiting := c.acquireLater(request(time.Minute, "south"))
		other := c.acquireLater(request(time.Minute, "north"))
		if lease := <-other; lease.err != nil || lease.lease.ID != "north-1" {
			t.Fatal(lease)
		}
		stays := c.acquireLater(request(time.Minute, "south", "north"))
		c.report("south-1", rockwindpb.ServerState_SERVER_STATE_DRAINING)
		refused := <-waiting
		assertRefused(t, refused.err, fault.Unavailable)
		_, err = c.dispatcher.Acquire(t.Context(), request(time.Minute, "south"))
		assertRefused(t, err, fault.Unavailable)
		if time.Since(began) != 0 {
			t.Errorf("refused after %v", time.Since(began))
		}
		if c.dispatcher.QueueLen("app") != 1 {
			t.Errorf("%d wait", c.dispatcher.QueueLen("app"))
		}
		c.report("south-2", rockwindpb.ServerState_SERVER_STATE_READY)
		if served := <-stays; served.err != nil || served.lease.ID != "south-2" {
			t.Fatal(served)
		}
	})
}

// Guards against ejected servers that count as reachable, and against regions that stay refused after
// their servers have recovered.
func TestRegionOfEjectedServersIsRefusedUntilATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := []string{"south-1", "south-2"}
		for i := range 10 {
			servers = append(servers, fmt.Sprint("north-", i))
		}
		c := newRegionsTest(t, servers...)
		for range 40 {
			lease, err := c.dispatcher.Acquire(t.Context(), request(time.Minute, "south"))
			if err == nil {
				lease.Done(health.Failure, 0)
			}
			time.Sleep(10 * time.Millisecond)
			c.dispatcher.Evaluate()
		}
		began := time.Now()
		_, err := c.dispatcher.Acquire(t.Context(), request(time.Minute, "south"))
		assertRefused(t, err, fault.Unavailable)
		if time.Since(began) != 0 {
			t.Errorf("refused after %v", time.Since(began))
		}
		for {
			lease, err := c.dispatcher.Acquire(t.Context(), request(time.Minute, "south"))
			if err == nil {
				if lease.Region != "south" {
					t.Fatalf("the trial goes to %s", lease.ID)
				}
				lease.Done(health.Success, time.Millisecond)
				break
			}
			time.Sleep(100 * time.Millisecond)
			c.dispatcher.Evaluate()
			if time.Since(began) > time.Minute {
				t.Fatal("no trial within a minute")
			}
		}
	})
}

// Guards against waits of restricted requests that are estimated by the slots of all regions, and
// against refusing others because restricted ones wait.
func TestExpectedWaitFollowsTheRoomInTheRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionsTest(t, "north-1", "north-2", "north-3", "south-1")
		c.acquire(request(time.Minute, "south"))
		for range 3 {
			c.acquire(request(time.Minute, "north"))
		}
		for range 6 {
			c.acquireLater(request(time.Minute, "south"))
		}
		began := time.Now()
		// Six wait for one slot with an assumed hold time of 1 s.
		_, err := c.dispatcher.Acquire(t.Context(), request(4*time.Second, "south"))
		if retryAfter := assertRefused(t, err, fault.Overloaded); retryAfter < 6*time.Second || time.Since(began) != 0 {
			t.Errorf("refused after %v with a Retry-After of %v", time.Since(began), retryAfter)
		}
		// Three slots in the north have no queue.
		served := c.acquireLater(request(4 * time.Second))
		if c.dispatcher.QueueLen("app") != 7 {
			t.Errorf("%d wait", c.dispatcher.QueueLen("app"))
		}
		if got := <-served; got.after != 4*time.Second {
			t.Errorf("refused after %v: %v", got.after, got.err)
		}
		time.Sleep(time.Minute)
	})
}

// regionsIndex returns a configuration with a route and a tenant that are restricted to regions.
func regionsIndex(t *testing.T, number uint64, route, tenant []string) *configuration.Index {
	t.Helper()
	whole := &rockwindpb.Configuration{Number: number, Tenants: []*rockwindpb.Tenant{{Name: "owner", Regions: tenant}}}
	if number < removedNumber {
		whole.Routes = []*rockwindpb.Route{{Name: "route", Host: "host", PathPrefix: "/", Regions: route}}
	}
	index, err := configuration.NewIndex(whole)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// removedNumber is the number of the configuration that has no routes anymore.
const removedNumber = 100

// Guards against waiting requests that are sent by the regions of a former configuration: the
// configuration adds, changes and removes regions while they wait.
func TestChangeOfRegionsAppliesToWaitingRequests(t *testing.T) {
	for _, each := range []struct {
		name                 string
		route, tenant        []string
		newRoute, newTenant  []string
		number               uint64
		freed, wanted, never string
	}{
		{"route moves", []string{"south"}, nil, []string{"north"}, nil, 2, "south-1", "north-1", "south-1"},
		{"route becomes free", []string{"south"}, nil, nil, nil, 2, "north-1", "north-1", ""},
		{"tenant gets a region", nil, nil, nil, []string{"north"}, 2, "south-1", "north-1", "south-1"},
		{"both have one in common", []string{"north", "south"}, nil, []string{"north", "south"}, []string{"north"}, 2, "south-1", "north-1", "south-1"},
		{"the route is gone", []string{"south"}, nil, nil, nil, removedNumber, "north-1", "south-1", "north-1"},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRegionsTest(t, "north-1", "south-1")
				before := regionsIndex(t, 1, each.route, each.tenant)
				c.dispatcher.Configure(before)
				running := map[string]*router.Lease{}
				for _, region := range []string{"north", "south"} {
					lease := c.acquire(request(time.Minute, region))
					running[lease.ID] = lease
				}
				asked := request(time.Minute)
				route, _ := before.Route("host", "/x")
				tenant, _ := before.Tenant("owner")
				asked.Residency = router.NewResidency(before, "host", "/x", route, tenant)
				asked.Demand.Regions, asked.ConfigNumber = asked.Residency.AllowedRegions(before), 1
				waiting := c.acquireLater(asked)
				after := regionsIndex(t, each.number, each.newRoute, each.newTenant)
				c.dispatcher.Configure(after)
				running[each.freed].Done(health.Success, 0)
				synctest.Wait()
				if each.freed != each.wanted {
					if c.dispatcher.QueueLen("app") != 1 {
						t.Fatal("it does not wait anymore")
					}
					running[each.wanted].Done(health.Success, 0)
				}
				if got := <-waiting; got.err != nil || got.lease.ID != each.wanted {
					t.Fatal(got)
				}
				// A request that asks with the regions of the former configuration gets those of the new.
				if each.never != "" {
					late := asked
					late.MaxWait = time.Second
					if lease, err := c.dispatcher.Acquire(t.Context(), late); err == nil && lease.ID == each.never {
						t.Errorf("it goes to %s", lease.ID)
					}
				}
			})
		})
	}
}

// Guards against a waiting request that keeps waiting once a new configuration leaves it no region
// with servers.
func TestWaitingRequestIsRefusedWhenItsRegionsHaveNoServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionsTest(t, "north-1")
		before := regionsIndex(t, 1, nil, nil)
		c.dispatcher.Configure(before)
		c.acquire(request(time.Minute))
		asked := request(time.Minute)
		route, _ := before.Route("host", "/x")
		asked.Residency, asked.ConfigNumber = router.NewResidency(before, "host", "/x", route, nil), 1
		waiting := c.acquireLater(asked)
		c.dispatcher.Configure(regionsIndex(t, 2, []string{"south"}, nil))
		got := <-waiting
		assertRefused(t, got.err, fault.Unavailable)
		if got.after != 0 {
			t.Errorf("refused after %v", got.after)
		}
	})
}

// Guards against batch work outside of its regions.
func TestBatchWorkStaysInItsRegions(t *testing.T) {
	c := newRegionsTest(t, "north-1", "north-2", "south-1")
	demand := balance.Demand{Batch: true, Regions: topology.NewRegionSet([]string{"south"})}
	if lease := c.dispatcher.TryAcquire("app", demand); lease == nil || lease.ID != "south-1" {
		t.Fatalf("got %v", lease)
	}
	if lease := c.dispatcher.TryAcquire("app", demand); lease != nil {
		t.Fatalf("the second goes to %s", lease.ID)
	}
}

// shareWith applies the loads of a dispatcher at another one.
func (c *regionsTest) shareWith(to *regionsTest, sequence uint64) {
	digest := c.dispatcher.LoadSource().Own()
	digest.Sender, digest.Sequence, digest.StartedUnixMs = "there", sequence, 1
	to.dispatcher.LoadSource().Take(digest)
}

// Guards against queues of other processes that are taken for requests of other regions, or not.
func TestWaitsCountTheRegionsOfQueuesElsewhere(t *testing.T) {
	for _, region := range []string{"south", "north"} {
		synctest.Test(t, func(t *testing.T) {
			servers := []string{"north-1", "south-1"}
			here, there := newRegionsTest(t, servers...), newRegionsTest(t, servers...)
			there.acquire(request(time.Minute, "north"))
			there.acquire(request(time.Minute, "south"))
			for range 8 {
				there.acquireLater(request(time.Minute, region))
			}
			there.shareWith(here, 1)
			began := time.Now()
			_, err := here.dispatcher.Acquire(t.Context(), request(4*time.Second, "south"))
			failure := fault.From(err)
			if atOnce := time.Since(began) == 0; failure == nil || failure.Ran != fault.NotRun || atOnce != (region == "south") {
				t.Errorf("behind 8 in the %s elsewhere: %v after %v", region, err, time.Since(began))
			}
			time.Sleep(time.Minute)
		})
	}
}

// Guards against restricted requests that hold back or preempt batch work of regions that they may
// not use.
func TestRestrictedQueueLeavesBatchWorkOfOtherRegionsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := []string{"north-1", "north-2", "south-1"}
		waiting, batch := newRegionsTest(t, servers...), newRegionsTest(t, servers...)
		inNorth := balance.Demand{Batch: true, Regions: topology.NewRegionSet([]string{"north"})}
		if batch.dispatcher.TryAcquire("app", inNorth) == nil {
			t.Fatal("no batch work starts")
		}
		waiting.acquire(request(time.Minute, "south"))
		for range 4 {
			waiting.acquireLater(request(time.Minute, "south"))
		}
		waiting.shareWith(batch, 1)
		batch.dispatcher.PreemptBatch("app", func(server string, requests int) int {
			t.Errorf("%d are preempted at %s", requests, server)
			return requests
		})
		if batch.dispatcher.TryAcquire("app", inNorth) == nil {
			t.Error("batch work is held back in the other region")
		}
		time.Sleep(time.Minute)
	})
}

// Guards against restricted requests for which batch work in their regions is not preempted.
func TestRestrictedQueuePreemptsBatchWorkOfItsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := []string{"north-1", "south-1"}
		waiting, batch := newRegionsTest(t, servers...), newRegionsTest(t, servers...)
		if batch.dispatcher.TryAcquire("app", balance.Demand{Batch: true, Regions: topology.NewRegionSet([]string{"south"})}) == nil {
			t.Fatal("no batch work starts")
		}
		batch.shareWith(waiting, 1)
		waiting.acquireLater(request(time.Minute, "south"))
		waiting.shareWith(batch, 1)
		preempted := 0
		batch.dispatcher.PreemptBatch("app", func(_ string, requests int) int {
			preempted += requests
			return requests
		})
		if preempted != 1 {
			t.Errorf("%d are preempted", preempted)
		}
		time.Sleep(time.Minute)
	})
}
