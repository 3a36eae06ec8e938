package ledgercost

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/fleet"
)

// recoveryCallers is the number of concurrent callers that make changes.
const recoveryCallers = 48

// measureRecovery measures the recovery of a follower at each configured number of
// changes.
func (c *cluster) measureRecovery(ctx context.Context, result *Result) error {
	for _, changes := range c.options.Changes {
		if err := c.makeChangesUpTo(ctx, uint64(changes)); err != nil {
			return err
		}
		point, err := c.measureRestart(ctx)
		if err != nil {
			return err
		}
		result.Recovery = append(result.Recovery, point)
	}
	return nil
}

// makeChangesUpTo makes changes until the shard's log has the given length. A change
// is the lease of one item or its completion.
func (c *cluster) makeChangesUpTo(ctx context.Context, length uint64) error {
	leader, err := c.leader(ctx)
	if err != nil {
		return err
	}
	// Each caller submits a job first.
	current := c.status(ctx, leader).GetCommit() + recoveryCallers
	if current >= length {
		return nil
	}
	const changesPerItem = 2
	itemsPerWorker := (length - current + changesPerItem*recoveryCallers - 1) / (changesPerItem * recoveryCallers)
	workers, workersContext := errgroup.WithContext(ctx)
	for number := range recoveryCallers {
		worker := c.newHolder(fmt.Sprintf("changes-%d-%d", length, number), phase{callers: recoveryCallers, itemsPerReport: 1}, newCompletionCounts())
		workers.Go(func() error { return worker.makeChanges(workersContext, itemsPerWorker) })
	}
	return workers.Wait()
}

// makeChanges leases and completes a number of items, one at a time.
func (h *holder) makeChanges(ctx context.Context, items uint64) error {
	for range items {
		leases, err := h.acquire(ctx, 1)
		if err != nil {
			return err
		}
		for _, lease := range leases {
			if err := h.completeLease(ctx, lease, time.Now().Add(time.Minute)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRestart kills a follower, starts it again and measures its recovery.
func (c *cluster) measureRestart(ctx context.Context) (RecoveryPoint, error) {
	leader, err := c.leader(ctx)
	if err != nil {
		return RecoveryPoint{}, err
	}
	committed := c.status(ctx, leader).GetCommit()
	follower := c.otherProcess(leader)
	follower.Kill()
	point := RecoveryPoint{Changes: committed}
	groups := filepath.Join(follower.Folder, groupsFolder)
	point.StateBytes = folderBytes(groups)
	point.LogBytes = folderBytes(filepath.Join(groups, logFolder))
	point.SnapshotBytes = folderBytes(filepath.Join(groups, snapshotFolder))
	started := time.Now()
	if err := follower.Start(); err != nil {
		return RecoveryPoint{}, err
	}
	for ctx.Err() == nil {
		seen := c.status(ctx, follower)
		if seen != nil && point.ProcessMs == 0 {
			point.ProcessMs = milliseconds(time.Since(started))
		}
		if seen.GetApplied() >= committed {
			point.RecoveryMs = milliseconds(time.Since(started))
			return point, nil
		}
		pause(ctx)
	}
	return RecoveryPoint{}, errors.Wrap(ctx.Err(), "wait for the replica to catch up")
}

// otherProcess returns a process other than the excluded one.
func (c *cluster) otherProcess(excluded *fleet.Process) *fleet.Process {
	for _, process := range c.fleet.Controls {
		if process != excluded {
			return process
		}
	}
	return nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
