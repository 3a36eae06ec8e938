package router_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/waitqueue"
)

// requestOf returns a request of a tenant with the given maximum wait.
func requestOf(tenant string, maxWait time.Duration) router.AcquireRequest {
	return router.AcquireRequest{
		Service: "app", Tenant: waitqueue.Tenant{Name: tenant}, StartBy: time.Now().Add(time.Second), MaxWait: maxWait,
	}
}

// queueTest is a dispatcher with a queue that records the order in which tenants are served.
type queueTest struct {
	t          *testing.T
	dispatcher *router.Dispatcher
	leases     []*router.Lease
	// mutex guards served.
	mutex  sync.Mutex
	served []string
}

func newQueueTest(t *testing.T, slots int, off ...string) *queueTest {
	c := &queueTest{t: t, dispatcher: newDispatcher(uint32(slots), featuregate.NewSet(off))}
	for range slots {
		lease, err := c.dispatcher.Acquire(t.Context(), requestOf("flood", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		c.leases = append(c.leases, lease)
	}
	return c
}

// addWaiter queues a request that ends as soon as it is served.
func (c *queueTest) addWaiter(request router.AcquireRequest) {
	go func() {
		lease, err := c.dispatcher.Acquire(c.t.Context(), request)
		if err != nil {
			return
		}
		c.mutex.Lock()
		c.served = append(c.served, request.Tenant.Name)
		c.mutex.Unlock()
		lease.Done(health.Success, 0)
	}()
	synctest.Wait()
}

func (c *queueTest) endFirst() {
	c.leases[0].Done(health.Success, 0)
	synctest.Wait()
}

// TestLightTenantGoesBeforeFlood checks the order by usage, and by arrival if the gate is off.
func TestLightTenantGoesBeforeFlood(t *testing.T) {
	for _, each := range []struct {
		off   []string
		place int
	}{{nil, 0}, {[]string{"fair_share"}, 20}} {
		synctest.Test(t, func(t *testing.T) {
			c := newQueueTest(t, 1, each.off...)
			// Sets the average hold time.
			time.Sleep(time.Second)
			for range 20 {
				c.addWaiter(requestOf("flood", time.Minute))
			}
			c.addWaiter(requestOf("small", time.Minute))
			c.endFirst()
			if len(c.served) != 21 || slices.Index(c.served, "small") != each.place {
				t.Fatalf("with %v off they are served as %v", each.off, c.served)
			}
		})
	}
}

// TestFloodIsRefusedAndOthersAreNot checks that a queue that is too long for the flood does not
// refuse another tenant.
func TestFloodIsRefusedAndOthersAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newQueueTest(t, 2)
		for range 12 {
			c.addWaiter(requestOf("flood", time.Minute))
		}
		_, err := c.dispatcher.Acquire(t.Context(), requestOf("flood", 4*time.Second))
		if failure := fault.From(err); failure == nil || failure.Kind != fault.Overloaded || failure.Ran != fault.NotRun {
			t.Fatalf("one more of the flood: %v", err)
		}
		c.addWaiter(requestOf("small", 4*time.Second))
		c.endFirst()
		if !slices.Contains(c.served, "small") {
			t.Fatal("the other tenant's request is not served")
		}
	})
}

// TestFloodElsewhereDoesNotRefuseOthers checks that a flood queued at another process does not
// refuse a tenant with less usage.
func TestFloodElsewhereDoesNotRefuseOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newQueueTest(t, 2), newQueueTest(t, 2)
		for range 12 {
			there.addWaiter(requestOf("flood", time.Minute))
		}
		shareQueue(t, there.dispatcher, here.dispatcher)
		time.Sleep(10 * time.Millisecond) // outlasts the caching of loads
		if _, err := here.dispatcher.Acquire(t.Context(), requestOf("flood", 4*time.Second)); err == nil {
			t.Fatal("one more of the flood is not refused")
		}
		here.addWaiter(requestOf("small", 4*time.Second))
		here.endFirst()
		if !slices.Contains(here.served, "small") {
			t.Fatal("the other tenant's request is not served")
		}
	})
}

// TestRetryAfterIsStaggered checks that refused requests get successive Retry-After times, and
// equal ones if the gate is off.
func TestRetryAfterIsStaggered(t *testing.T) {
	for _, each := range []struct {
		off   []string
		apart time.Duration
	}{{nil, 500 * time.Millisecond}, {[]string{"returns"}, 0}} {
		synctest.Test(t, func(t *testing.T) {
			c := newQueueTest(t, 2, each.off...)
			for range 12 {
				c.addWaiter(requestOf("", time.Minute))
			}
			var retryAfters []time.Duration
			for range 4 {
				_, err := c.dispatcher.Acquire(t.Context(), requestOf("", 4*time.Second))
				retryAfters = append(retryAfters, fault.From(err).RetryAfter)
			}
			for i := range retryAfters[1:] {
				if retryAfters[i+1]-retryAfters[i] != each.apart {
					t.Fatalf("with %v off the Retry-After times are %v", each.off, retryAfters)
				}
			}
			for range 12 {
				c.endFirst()
			}
		})
	}
}

// TestUrgentRequestIsNotRefusedForLessUrgentOnes covers requests that wait here and at another
// process.
func TestUrgentRequestIsNotRefusedForLessUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newQueueTest(t, 2), newQueueTest(t, 2)
		lower := requestOf("", time.Minute)
		lower.Priority = waitqueue.Priority{Route: 1}
		for range 6 {
			here.addWaiter(lower)
			there.addWaiter(lower)
			there.addWaiter(lower)
		}
		shareQueue(t, there.dispatcher, here.dispatcher)
		if _, err := here.dispatcher.Acquire(t.Context(), lowPriorityRequest(4*time.Second)); err == nil || fault.From(err).RetryAfter < 6*time.Second {
			t.Fatalf("a less urgent request behind 18 others: %v", err)
		}
		here.addWaiter(requestOf("", 4*time.Second))
		here.endFirst()
		if len(here.served) != 7 {
			t.Fatalf("%d requests are served", len(here.served))
		}
	})
}

func lowPriorityRequest(maxWait time.Duration) router.AcquireRequest {
	request := requestOf("", maxWait)
	request.Priority = waitqueue.Priority{Route: 1}
	return request
}

// shareQueue passes the queue loads of one process to another one. Their servers are distinct.
func shareQueue(t *testing.T, from, to *router.Dispatcher) {
	t.Helper()
	loads := loadshare.Loads(from.LoadSource().Own())
	delete(loads, balance.ServerHash("server"))
	digest := loadshare.NewDigest(loads)
	digest.Sender, digest.Sequence, digest.StartedUnixMs = "there", 1, 1
	to.LoadSource().Take(digest)
}

// TestLateRequestsElsewhereAreNotAhead guards against refusing a request that can be in time, or
// expecting a long wait for it, because of late requests that wait at other processes.
func TestLateRequestsElsewhereAreNotAhead(t *testing.T) {
	for _, each := range []struct {
		late    bool
		refused bool
	}{{true, false}, {false, true}} {
		synctest.Test(t, func(t *testing.T) {
			here, there := newQueueTest(t, 8), newQueueTest(t, 8)
			for range 60 {
				request := requestOf("other", time.Minute)
				if each.late {
					request.StartBy = time.Now().Add(-time.Second)
				}
				there.addWaiter(request)
			}
			shareQueue(t, there.dispatcher, here.dispatcher)
			request := requestOf("other", 2*time.Second)
			request.StartBy = time.Now().Add(time.Minute)
			began := time.Now()
			time.AfterFunc(time.Second, here.endFirst)
			_, err := here.dispatcher.Acquire(t.Context(), request)
			if refused := err != nil && time.Since(began) == 0; refused != each.refused {
				t.Errorf("late requests elsewhere: %v: %v after %v", each.late, err, time.Since(began))
			}
		})
	}
}

// TestClientWithoutARetryMayWaitLonger guards against refusing a client for good while there is
// time left to serve it.
func TestClientWithoutARetryMayWaitLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if wait := router.MaxWait(5*time.Second, 5*time.Second); wait != 2500*time.Millisecond {
			t.Errorf("a first attempt waits %v of 5 s", wait)
		}
		if wait := router.MaxWait(5*time.Second, 2*time.Second); wait != 1600*time.Millisecond {
			t.Errorf("a retry waits %v of 2 s", wait)
		}
	})
}

// TestUsageAtOtherProcessesCounts checks that a flood goes behind a tenant with more local usage,
// as long as digests report its usage at another process.
func TestUsageAtOtherProcessesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newQueueTest(t, 1), newQueueTest(t, 8)
		there.addWaiter(requestOf("flood", time.Minute))
		request := requestOf("small", time.Minute)
		for range 3 {
			here.addWaiter(request)
		}
		here.endFirst()
		here = &queueTest{t: t, dispatcher: here.dispatcher, served: nil}
		lease, err := here.dispatcher.Acquire(t.Context(), requestOf("small", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		here.leases = append(here.leases, lease)
		here.addWaiter(requestOf("small", time.Minute))
		here.addWaiter(requestOf("flood", time.Minute))
		shareQueue(t, there.dispatcher, here.dispatcher)
		// Outlasts the caching of loads and sets the average hold time.
		time.Sleep(400 * time.Millisecond)
		here.endFirst()
		if fmt.Sprint(here.served) != "[small flood]" {
			t.Fatalf("they are served as %v", here.served)
		}
	})
}

// TestRetryAfterFollowsTenantShare checks that a tenant with a fifth of the capacity is refused
// at once if its share does not suffice, although the servers would serve the whole queue in half
// of the time.
func TestRetryAfterFollowsTenantShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(1, featuregate.Set{})
		serve := func(ask router.AcquireRequest) {
			lease, err := dispatcher.Acquire(t.Context(), ask)
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			lease.Done(health.Success, 0)
		}
		for range 12 {
			go serve(requestOf("light", time.Minute))
		}
		heavy := requestOf("heavy", time.Minute)
		heavy.Tenant.Weight = 4
		for range 24 {
			go serve(heavy)
			time.Sleep(125 * time.Millisecond)
		}
		began := time.Now()
		_, err := dispatcher.Acquire(t.Context(), requestOf("light", 2*time.Second))
		failure := fault.From(err)
		if time.Since(began) != 0 || failure == nil || failure.Ran != fault.NotRun {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		if failure.RetryAfter < 2*time.Second || failure.RetryAfter > 6*time.Second {
			t.Fatalf("Retry-After is %v", failure.RetryAfter)
		}
		if _, err := dispatcher.Acquire(t.Context(), heavy); err != nil {
			t.Fatal(err)
		}
	})
}

// TestPunctualRetryGoesFirst guards against a client that retries after its Retry-After delay and finds itself behind one that
// retried too early and has waited longer, or behind one that came later, although it started 1 ms before them.
func TestPunctualRetryGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline, hold = 10 * time.Second, 500 * time.Millisecond
		dispatcher := newDispatcher(1, featuregate.Set{})
		var started []string
		release := make(chan struct{})
		// ask sends an attempt of a client that first asked at the given time. It returns the refusal, nil once the
		// request waits or runs.
		ask := func(name string, firstAsked time.Time) error {
			left := deadline - time.Since(firstAsked)
			request := requestOf("", router.MaxWait(deadline, left))
			request.FirstAsked, request.StartBy, request.Remaining = firstAsked, firstAsked.Add(deadline*85/100), left
			var refusal error
			go func() {
				lease, err := dispatcher.Acquire(t.Context(), request)
				if err != nil {
					refusal = err
					return
				}
				started = append(started, name)
				<-release
				lease.Done(health.Success, 0)
			}()
			synctest.Wait()
			return refusal
		}
		end := func() {
			release <- struct{}{}
			synctest.Wait()
		}
		for range 4 {
			if err := ask("learn", time.Now()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(hold)
			end()
		}
		waiting := 0
		var refusal error
		for ; refusal == nil; waiting++ {
			refusal = ask("crowd", time.Now())
		}
		first := time.Now()
		after := fault.From(refusal).RetryAfter
		time.Sleep(time.Millisecond)
		second := time.Now()
		early := ask("second", second)
		if early == nil || fault.From(early).Ran != fault.NotRun || fault.From(early).RetryAfter < after {
			t.Fatalf("the second client: %v; the first has to wait %v", early, after)
		}
		if ask("second", second) == nil {
			t.Fatal("an immediate retry is admitted")
		}
		for range waiting - 2 {
			end()
		}
		time.Sleep(time.Millisecond)
		for name, at := range map[string]time.Time{"second": second, "fresh": time.Now()} {
			if err := ask(name, at); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		time.Sleep(time.Until(first.Add(after)))
		if err := ask("first", first); err != nil {
			t.Fatal(err)
		}
		for range 4 {
			end()
		}
		if last := started[len(started)-3:]; !slices.Equal(last, []string{"first", "second", "fresh"}) {
			t.Errorf("they ran in the order %v", started)
		}
	})
}

// TestReturningClientWaits guards against a second rejection of a client that has only one attempt left to use: it may
// wait longer than a client that can still retry. An immediate retry is no such attempt.
func TestReturningClientWaits(t *testing.T) {
	const deadline, hold = 24 * time.Second, 1500 * time.Millisecond
	for name, test := range map[string]struct {
		delay    time.Duration
		admitted bool
	}{
		"immediate": {0, false},
		"at 97%":    {deadline * 3 / 100, false},
		"below 97%": {deadline*3/100 + time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := newDispatcher(1, featuregate.Set{})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				rejected := func(left time.Duration) bool {
					request := requestOf("", router.MaxWait(deadline, left))
					request.StartBy = time.Now().Add(deadline)
					var refusal error
					go func() {
						if lease, err := dispatcher.Acquire(ctx, request); err != nil {
							refusal = err
						} else {
							<-ctx.Done()
							lease.Done(health.Success, 0)
						}
					}()
					synctest.Wait()
					return refusal != nil
				}
				lease, err := dispatcher.Acquire(t.Context(), requestOf("", time.Minute))
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(hold)
				lease.Done(health.Success, 0)
				for !rejected(deadline) {
				}
				if got := rejected(deadline - test.delay); got == test.admitted {
					t.Errorf("a retry %v after the first attempt: rejected %v", test.delay, got)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
