package stall

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestStallIsSeenBeforeTheNextReading guards against work that runs after a stall before the monitor does and takes what it
// reads for recent.
func TestStallIsSeenBeforeTheNextReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Monitor{}
		m.observe(reading{time: time.Now()})
		began := time.Now()
		time.Sleep(Threshold)
		if !m.StalledSince(began) {
			t.Error("the stall is not seen")
		}
		if m.StalledSince(time.Now()) {
			t.Error("the stall is seen after its end")
		}
	})
}

// TestRunningProcessHasNoStalls guards against refusing commands without a stall.
func TestRunningProcessHasNoStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Monitor{}
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		go m.Run(ctx)
		time.Sleep(time.Minute)
		if m.StalledSince(began) {
			t.Error("a stall is seen")
		}
		cancel()
		synctest.Wait()
	})
}

// TestSuspensionCountsAsStall guards against a monotonic clock that stops during a suspension, and against one that the
// time of day alone has passed.
func TestSuspensionCountsAsStall(t *testing.T) {
	start := time.Now()
	for name, later := range map[string]reading{
		"clock since boot": {time: start.Add(time.Millisecond), suspended: time.Second},
		"time of day":      {time: start.Round(0).Add(time.Second)},
	} {
		m := &Monitor{}
		m.observe(reading{time: start})
		m.observe(later)
		if m.ended.IsZero() {
			t.Errorf("a suspension that only the %s shows is not seen", name)
		}
	}
}
