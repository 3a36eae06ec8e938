package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/stall"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/zonedrain"
)

// stallGuardTest is a guard whose confirmations take a given time and answer with newer drains.
type stallGuardTest struct {
	*StallGuard
	confirmations int
}

func newStallGuardTest(takes time.Duration) *stallGuardTest {
	c := &stallGuardTest{}
	current := zonedrain.NewList(1, nil)
	c.StallGuard = &StallGuard{
		dispatcher: NewDispatcher("zone", topology.Map{}, featuregate.Set{}), confirmed: time.Now(),
		drains: func() *zonedrain.List { return current },
		confirm: func(ctx context.Context) error {
			c.confirmations++
			select {
			case <-time.After(takes):
				current = zonedrain.NewList(2, []*rockwindpb.ZoneDrain{{Zone: "east"}})
				return nil
			case <-ctx.Done():
				return errors.New("no coordinator answers")
			}
		},
	}
	return c
}

// stall lets the process stand still: nothing observes the time that passes.
func (c *stallGuardTest) stall() {
	c.stalls.StalledSince(time.Now())
	time.Sleep(2 * stall.Threshold)
}

// TestWorkWaitsForDrainsAfterAStall guards against work that is sent by the drains of before a stall, against work that waits
// without a stall or again after a confirmation, and against work that waits for coordinators that don't answer.
func TestWorkWaitsForDrainsAfterAStall(t *testing.T) {
	for name, test := range map[string]struct {
		takes, waits time.Duration
		drained      int
	}{
		"confirmed": {takes: 20 * time.Millisecond, waits: 20 * time.Millisecond, drained: 1},
		"no answer": {takes: time.Hour, waits: stallConfirmTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newStallGuardTest(test.takes)
				ctx, cancel := context.WithCancel(t.Context())
				c.stalls.StalledSince(time.Now())
				go c.Run(ctx)
				time.Sleep(10 * time.Second)
				if c.Await(t.Context()) || !c.Ready() {
					t.Error("work waits without a stall")
				}
				cancel()
				synctest.Wait()
				c.stall()
				if c.Ready() {
					t.Error("work is ready after a stall")
				}
				began := time.Now()
				if !c.Await(t.Context()) || time.Since(began) != test.waits {
					t.Errorf("work waits for %v", time.Since(began))
				}
				if got := c.dispatcher.DrainedZones(); got != test.drained {
					t.Errorf("%d zones are drained", got)
				}
				if c.Await(t.Context()) || c.confirmations != 1 {
					t.Errorf("work waits again, %d confirmations", c.confirmations)
				}
			})
		})
	}
}
