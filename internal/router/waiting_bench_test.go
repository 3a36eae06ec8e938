package router_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
)

const (
	// benchWaiting is how many requests wait in one process: some forty times what its part of a
	// site with too little room is.
	benchWaiting = 2000
	benchTenants = 75
)

// benchCrowd is a process in which many wait for the only slot of a service.
type benchCrowd struct {
	dispatcher *router.Dispatcher
	ctx        context.Context
	group      sync.WaitGroup
	came       int
	// held is the lease of the slot, and granted gets that of the next one.
	held    *router.Lease
	granted chan *router.Lease
}

// newBenchCrowd has benchWaiting requests of benchTenants tenants wait.
func newBenchCrowd(b *testing.B) *benchCrowd {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &benchCrowd{dispatcher: newDispatcher(1, gate.Set{}), ctx: ctx, granted: make(chan *router.Lease, 1)}
	b.Cleanup(func() {
		cancel()
		c.group.Wait()
	})
	held, err := c.dispatcher.Acquire(ctx, asks("first", time.Hour))
	if err != nil {
		b.Fatal(err)
	}
	c.held = held
	for range benchWaiting {
		c.come()
	}
	return c
}

// come has one more request wait.
func (c *benchCrowd) come() {
	waiting := c.dispatcher.QueueLen("app")
	ask := asks(fmt.Sprint("tenant ", c.came%benchTenants), time.Hour)
	c.came++
	c.group.Go(func() {
		if lease, err := c.dispatcher.Acquire(c.ctx, ask); err == nil {
			c.granted <- lease
		}
	})
	for c.dispatcher.QueueLen("app") == waiting {
		runtime.Gosched()
	}
}

// processorTime is what this process has used of the processors.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkWaiting reports the processor time that requests need which wait for a second while
// nothing ends.
func BenchmarkWaiting(b *testing.B) {
	newBenchCrowd(b)
	before := processorTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((processorTime()-before).Milliseconds())/float64(b.N), "cpu-ms/s")
}

// BenchmarkEndWhileOthersWait is one request that ends, whose slot goes to one that waits, and
// another one that comes.
func BenchmarkEndWhileOthersWait(b *testing.B) {
	c := newBenchCrowd(b)
	for b.Loop() {
		c.held.Done(health.Success, 0)
		c.held = <-c.granted
		c.come()
	}
}
