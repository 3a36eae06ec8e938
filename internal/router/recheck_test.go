package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// TestWaitingRequestsAreRechecked checks that waiting requests are retried although no request
// ends: a server that refused one as full may soon have capacity. The recheck has to start again
// after an empty queue.
func TestWaitingRequestsAreRechecked(t *testing.T) {
	const soon, rest = 100 * time.Millisecond, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dispatcher := oneServer(2)
		for round := range 3 {
			refused, err := acquire(dispatcher, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			refused.Done(health.Refused, 0)
			began := time.Now()
			served, err := acquire(dispatcher, time.Second)
			if err != nil || time.Since(began) > soon {
				t.Fatalf("round %d: %v after %v", round, err, time.Since(began))
			}
			served.Abandon()
			time.Sleep(rest)
		}
	})
}
