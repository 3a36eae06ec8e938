package ledgercost

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/settings"
)

// measureFailover kills the shard's leader several times. Before the next kill it
// restarts the process and waits until it has caught up.
func (c *cluster) measureFailover(ctx context.Context, result *Result) error {
	result.Failover.TickMs = milliseconds(settings.DefaultTick)
	for number := range c.options.Kills {
		if err := c.failOver(ctx, number, &result.Failover); err != nil {
			return err
		}
	}
	return nil
}

// failOver kills the leader and measures the time until another process leads, and the
// time until a command is committed that a client of the old leader proposed after the
// kill.
func (c *cluster) failOver(ctx context.Context, number int, failover *Failover) error {
	leader, err := c.leader(ctx)
	if err != nil {
		return err
	}
	probe := c.newHolder(fmt.Sprintf("probe-%d", number), phase{callers: 1, itemsPerReport: 1}, newCompletionCounts())
	if err := probe.submit(ctx); err != nil {
		return err
	}
	leader.Kill()
	started := time.Now()
	elected := make(chan time.Duration, 1)
	go func() {
		// The error can be ignored: if the context ends, the probe below fails too.
		_, _ = c.leader(ctx)
		elected <- time.Since(started)
	}()
	if err := probe.submit(ctx); err != nil {
		return err
	}
	failover.WithoutLeaderMs = append(failover.WithoutLeaderMs, milliseconds(time.Since(started)))
	failover.ElectedMs = append(failover.ElectedMs, milliseconds(<-elected))
	if err := leader.Start(); err != nil {
		return err
	}
	return c.awaitCaughtUp(ctx, leader)
}

// awaitCaughtUp waits until a process has applied everything committed so far.
func (c *cluster) awaitCaughtUp(ctx context.Context, restarted *fleet.Process) error {
	leader, err := c.leader(ctx)
	if err != nil {
		return err
	}
	committed := c.status(ctx, leader).GetCommit()
	for ctx.Err() == nil {
		if c.status(ctx, restarted).GetApplied() >= committed {
			return nil
		}
		pause(ctx)
	}
	return errors.Wrap(ctx.Err(), "wait for the replica to catch up")
}
