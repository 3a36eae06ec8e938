package ledgercost

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/settings"
)

// measureFailover kills the shard's leader several times. After each kill the
// killed process is started again and has caught up before the next.
func (c *cluster) measureFailover(ctx context.Context, result *Result) error {
	result.Failover.TickMs = milliseconds(settings.DefaultTick)
	for number := range c.options.Kills {
		if err := c.failOver(ctx, number, &result.Failover); err != nil {
			return err
		}
	}
	return nil
}

// failOver kills the leader and notes the time until another leads, and until a
// command, proposed after the kill by a client that knew the old leader, was
// committed.
func (c *cluster) failOver(ctx context.Context, number int, measured *Failover) error {
	leader, err := c.leader(ctx)
	if err != nil {
		return err
	}
	probe := c.newHolder(fmt.Sprintf("probe-%d", number), phase{callers: 1, itemsPerReport: 1}, newTally())
	if err := probe.submit(ctx); err != nil {
		return err
	}
	leader.Kill()
	began := time.Now()
	elected := make(chan time.Duration, 1)
	go func() {
		// Where the context ends, so does the probe below, with an error.
		_, _ = c.leader(ctx)
		elected <- time.Since(began)
	}()
	if err := probe.submit(ctx); err != nil {
		return err
	}
	measured.WithoutLeaderMs = append(measured.WithoutLeaderMs, milliseconds(time.Since(began)))
	measured.ElectedMs = append(measured.ElectedMs, milliseconds(<-elected))
	if err := leader.Start(); err != nil {
		return err
	}
	return c.awaitCaughtUp(ctx, leader)
}

// awaitCaughtUp waits until a process has applied what the others had committed.
func (c *cluster) awaitCaughtUp(ctx context.Context, started *fleet.Process) error {
	leader, err := c.leader(ctx)
	if err != nil {
		return err
	}
	committed := c.status(ctx, leader).GetCommit()
	for ctx.Err() == nil {
		if c.status(ctx, started).GetApplied() >= committed {
			return nil
		}
		pause(ctx)
	}
	return errors.Wrap(ctx.Err(), "wait for the replica")
}
