// Package ledgercost measures the cost of the replicated job ledger: the rate of item
// completions with synced disks, log and memory bytes per item, recovery time by number
// of changes, and the time without a leader after a kill.
//
// It measures three real control processes on loopback. Memory per item is measured on
// a ledger in this process.
package ledgercost

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/settings"
)

// Command is `rockwind-bench experiment ledger`.
type Command struct {
	Duration   time.Duration `help:"Length of each phase of completions." default:"6s"`
	Holders    int           `help:"Gateways that lease and report at once." default:"16"`
	JobItems   uint32        `help:"Items of a job." default:"72000"`
	LeaseItems uint32        `help:"Items of a lease." default:"256"`
	GroupItems int           `help:"Items of a report in the grouped phase." default:"128"`
	MemoryJobs int           `help:"Jobs held in memory while an item's memory is measured." default:"16"`
	Changes    []int         `help:"Numbers of changes after which recovery is measured." default:"300,30000,60000" sep:","`
	Kills      int           `help:"Leaders killed." default:"8"`
	Programs   string        `help:"Folder of the programs; empty takes that of this one." type:"path"`
	Folder     string        `help:"Folder for the processes' files, on a disk; empty makes a temporary one." type:"path"`
	JSON       bool          `help:"Print the figures as JSON." name:"json"`
}

// Run measures and prints the results.
func (c *Command) Run() error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	folder, err := os.MkdirTemp(c.Folder, "rockwind-ledger-")
	if err != nil {
		return errors.Wrap(err, "create a temporary folder")
	}
	defer os.RemoveAll(folder)
	result, err := c.measure(ctx, folder)
	if err != nil {
		return err
	}
	return c.print(result)
}

// measure runs the phases in sequence, so that they do not compete for processors.
func (c *Command) measure(ctx context.Context, folder string) (*Result, error) {
	result := &Result{}
	memory, err := measureMemory(c.MemoryJobs, c.JobItems, c.LeaseItems)
	if err != nil {
		return nil, err
	}
	result.Memory = memory
	running, err := startFleet(ctx, folder, c.Programs)
	if err != nil {
		return nil, err
	}
	defer running.Kill()
	controls := &cluster{fleet: running, options: c}
	if err := controls.measureRecovery(ctx, result); err != nil {
		return nil, errors.Wrap(err, "measure recovery")
	}
	if err := controls.measureCompletions(ctx, result); err != nil {
		return nil, errors.Wrap(err, "measure completions")
	}
	if err := controls.measureFailover(ctx, result); err != nil {
		return nil, errors.Wrap(err, "measure failover")
	}
	result.computeDerived()
	return result, nil
}

// startFleet starts the control processes with one job shard and the default tick.
func startFleet(ctx context.Context, folder, programs string) (*fleet.Fleet, error) {
	plan := fleet.DefaultPlan()
	plan.Gateways, plan.Engines, plan.Services = 0, 0, 0
	plan.Shards = 1
	plan.ControlArguments = []string{"--set", "tick=" + settings.DefaultTick.String()}
	return fleet.Start(ctx, plan, folder, programs)
}

func (c *Command) print(result *Result) error {
	if c.JSON {
		return report.PrintJSON(os.Stdout, result)
	}
	fmt.Printf("completions: %.0f items/s grouped, %.0f one by one with 1 caller (ratio %.0f), %.0f one by one with %d callers\n",
		result.Grouped.ItemsPerSecond, result.OneByOne.ItemsPerSecond, result.RatioGrouped,
		result.OneByOneConcurrent.ItemsPerSecond, result.OneByOneConcurrent.Callers)
	fmt.Printf("log: %.1f bytes an item grouped, %.1f one by one\n", result.Grouped.LogBytesPerItem, result.OneByOne.LogBytesPerItem)
	fmt.Printf("memory of an item in bytes: waiting %.2f, done %.2f, done and sealed %.2f, job ended and sealed %.2f\n",
		result.Memory.Waiting, result.Memory.Done, result.Memory.Sealed, result.Memory.Ended)
	for _, point := range result.Recovery {
		fmt.Printf("recovery after %d changes: %.0f ms, state on disk %d bytes (snapshots %d)\n",
			point.Changes, point.RecoveryMs, point.StateBytes, point.SnapshotBytes)
	}
	fmt.Printf("failover: p50 %.0f ms, max %.0f ms over %d kills\n",
		result.Failover.P50Ms, result.Failover.MaxMs, len(result.Failover.WithoutLeaderMs))
	return nil
}
