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

// recoveryCallers make changes at once.
const recoveryCallers = 48

// measureRecovery makes changes up to each number in turn, kills a replica that
// does not lead, and times its way back.
func (c *cluster) measureRecovery(ctx context.Context, result *Result) error {
	for _, changes := range c.options.Changes {
		if err := c.changeUpTo(ctx, uint64(changes)); err != nil {
			return err
		}
		point, err := c.recover(ctx)
		if err != nil {
			return err
		}
		result.Recovery = append(result.Recovery, point)
	}
	return nil
}

// changeUpTo makes changes until the shard's log has the given length. A change
// is a lease of one item or its completion.
func (c *cluster) changeUpTo(ctx context.Context, length uint64) error {
	leader, err := c.leader(ctx)
	if err != nil {
		return err
	}
	// Each caller submits a job first.
	have := c.status(ctx, leader).GetCommit() + recoveryCallers
	if have >= length {
		return nil
	}
	const changesPerItem = 2
	each := (length - have + changesPerItem*recoveryCallers - 1) / (changesPerItem * recoveryCallers)
	changers, changing := errgroup.WithContext(ctx)
	for number := range recoveryCallers {
		changer := c.newHolder(fmt.Sprintf("changes-%d-%d", length, number), phase{callers: recoveryCallers, itemsPerReport: 1}, newTally())
		changers.Go(func() error { return changer.change(changing, each) })
	}
	return changers.Wait()
}

// change leases and completes a number of items, one at a time.
func (h *holder) change(ctx context.Context, items uint64) error {
	for range items {
		leases, err := h.acquire(ctx, 1)
		if err != nil {
			return err
		}
		for _, lease := range leases {
			if err := h.runLease(ctx, lease, time.Now().Add(time.Minute)); err != nil {
				return err
			}
		}
	}
	return nil
}

// recover kills a follower and starts it again.
func (c *cluster) recover(ctx context.Context) (RecoveryPoint, error) {
	leader, err := c.leader(ctx)
	if err != nil {
		return RecoveryPoint{}, err
	}
	committed := c.status(ctx, leader).GetCommit()
	follower := c.other(leader)
	follower.Kill()
	point := RecoveryPoint{Changes: committed}
	groups := filepath.Join(follower.Folder, groupsFolder)
	point.StateBytes = folderBytes(groups)
	point.LogBytes = folderBytes(filepath.Join(groups, logFolder))
	point.SnapshotBytes = folderBytes(filepath.Join(groups, snapshotFolder))
	began := time.Now()
	if err := follower.Start(); err != nil {
		return RecoveryPoint{}, err
	}
	for ctx.Err() == nil {
		seen := c.status(ctx, follower)
		if seen != nil && point.ProcessMs == 0 {
			point.ProcessMs = milliseconds(time.Since(began))
		}
		if seen.GetApplied() >= committed {
			point.RecoveryMs = milliseconds(time.Since(began))
			return point, nil
		}
		pause(ctx)
	}
	return RecoveryPoint{}, errors.Wrap(ctx.Err(), "wait for the replica")
}

// other returns a process that is not the given one.
func (c *cluster) other(than *fleet.Process) *fleet.Process {
	for _, process := range c.fleet.Controls {
		if process != than {
			return process
		}
	}
	return nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
