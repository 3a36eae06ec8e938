package router_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
)

const (
	// benchWaiting is the number of waiting requests, about forty times what one process of an
	// overloaded site has.
	benchWaiting = 2000
	benchTenants = 75
)

// queueBench is a dispatcher with many requests waiting for the only slot of a service.
type queueBench struct {
	dispatcher *router.Dispatcher
	ctx        context.Context
	group      sync.WaitGroup
	added      int
	// held is the current lease of the slot, and granted receives the next one.
	held    *router.Lease
	granted chan *router.Lease
}

// newQueueBench queues benchWaiting requests of benchTenants tenants.
func newQueueBench(b *testing.B) *queueBench {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &queueBench{dispatcher: newDispatcher(1, featuregate.Set{}), ctx: ctx, granted: make(chan *router.Lease, 1)}
	b.Cleanup(func() {
		cancel()
		c.group.Wait()
	})
	held, err := c.dispatcher.Acquire(ctx, requestOf("first", time.Hour))
	if err != nil {
		b.Fatal(err)
	}
	c.held = held
	for range benchWaiting {
		c.addWaiter()
	}
	return c
}

// addWaiter queues one more request.
func (c *queueBench) addWaiter() {
	waiting := c.dispatcher.QueueLen("app")
	request := requestOf(fmt.Sprint("tenant ", c.added%benchTenants), time.Hour)
	c.added++
	c.group.Go(func() {
		if lease, err := c.dispatcher.Acquire(c.ctx, request); err == nil {
			c.granted <- lease
		}
	})
	for c.dispatcher.QueueLen("app") == waiting {
		runtime.Gosched()
	}
}

// processorTime returns the CPU time used by this process.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkWaiting reports the CPU time per second of waiting requests while none ends.
func BenchmarkWaiting(b *testing.B) {
	newQueueBench(b)
	before := processorTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((processorTime()-before).Milliseconds())/float64(b.N), "cpu-ms/s")
}

// BenchmarkEndWhileOthersWait ends a request, so that a waiting one gets its slot, and queues
// another one.
func BenchmarkEndWhileOthersWait(b *testing.B) {
	c := newQueueBench(b)
	for b.Loop() {
		c.held.Done(health.Success, 0)
		c.held = <-c.granted
		c.addWaiter()
	}
}
