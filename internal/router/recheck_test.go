package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// TestWhatWaitsIsLookedAtAgainThoughNothingEnds: a server that refused as full may have room some
// tens of milliseconds later, and nothing tells so. The look begins with the first request that
// waits, goes on while one does, and begins again later.
func TestWhatWaitsIsLookedAtAgainThoughNothingEnds(t *testing.T) {
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
