// Package propagation measures the delay and the traffic until an accepted
// configuration is in force on all daemons. The control machines are real processes.
// The daemons are the configuration followers that gateways run, each with its own
// connections and folder, many in one process. Some daemons are restarted, killed or
// stopped during the run, and none may revert to a lower configuration number.
package propagation

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
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/settings"
)

// Command is `rockwind-bench experiment config`.
type Command struct {
	Daemons    int           `help:"Daemons that follow." default:"350"`
	PerProcess int           `help:"Daemons of one process." default:"50"`
	Tenants    int           `help:"Tenants of the configuration." default:"11000"`
	Changes    int           `help:"Changes in each phase." default:"8"`
	Interval   time.Duration `help:"Time between two changes." default:"1s"`
	Idle       time.Duration `help:"Length of the phase without changes." default:"6s"`
	Burst      int           `help:"Changes that the daemons that stay away miss; control keeps the last 512." default:"520"`
	Restart    time.Duration `help:"Time between two restarts of daemons in the phase with restarts." default:"200ms"`
	Programs   string        `help:"Folder of the programs; empty takes that of this one." type:"path"`
	Folder     string        `help:"Folder for the processes' files, on a disk; empty makes a temporary one." type:"path"`
	JSON       bool          `help:"Print the figures as JSON." name:"json"`
}

// Run measures and prints the results. It fails if a daemon reverted to a lower
// number or missed the last configuration.
func (c *Command) Run() error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	folder, err := os.MkdirTemp(c.Folder, "rockwind-config-")
	if err != nil {
		return errors.Wrap(err, "create a temporary folder")
	}
	defer os.RemoveAll(folder)
	plan := fleet.DefaultPlan()
	plan.Gateways, plan.Engines, plan.Services, plan.Shards = 0, 0, 0, 1
	plan.ControlArguments = []string{"--set", "tick=" + settings.DefaultTick.String()}
	running, err := fleet.Start(ctx, plan, folder, c.Programs)
	if err != nil {
		return err
	}
	defer running.Kill()
	e := newExperiment(c, running, folder)
	defer e.kill()
	if err := e.run(ctx); err != nil {
		return err
	}
	return c.print(e.result)
}

func (c *Command) print(result *Result) error {
	if c.JSON {
		if err := report.PrintJSON(os.Stdout, result); err != nil {
			return err
		}
	} else {
		result.print()
	}
	if result.Reverts > 0 || result.Missing > 0 {
		return fault.Newf(fault.Internal, "run again and read the daemons' folders",
			"%d moves to a lower number, %d daemons without the last configuration", result.Reverts, result.Missing)
	}
	return nil
}

func (r *Result) print() {
	fmt.Printf("%d daemons, %d tenants; 'rockwind apply' of the whole took %.0f ms, all daemons had it %.0f ms after their start\n",
		r.Daemons, r.Tenants, r.OperatorApplyMs, r.FirstTransferMs)
	r.Steady.print("steady")
	r.Restarting.print("daemons restarting")
	fmt.Printf("idle: %.0f bytes a daemon and second\n", r.IdleBytesPerDaemonSecond)
	fmt.Printf("away for %d changes: in force %.0f ms after the start, %d whole transfers, %.0f bytes a daemon\n",
		r.Away.Missed, r.Away.InForceMs, r.Away.FullTransfers, r.Away.BytesPerDaemon)
	fmt.Printf("%d daemons killed: in force %.0f ms after the start of their process, %d whole transfers\n",
		r.Killed.Daemons, r.Killed.InForceMs, r.Killed.FullTransfers)
	fmt.Printf("reverts: %d, daemons without the last configuration: %d\n", r.Reverts, r.Missing)
}

func (s PhaseStats) print(name string) {
	fmt.Printf("%s: %d changes; everywhere after p50 %.0f ms, max %.0f ms; a daemon after p50 %.0f ms, p99 %.0f ms; %.0f bytes a change and daemon (p50), %.0f (max); %d restarts\n",
		name, s.Changes, s.EverywhereP50Ms, s.EverywhereMaxMs, s.DaemonP50Ms, s.DaemonP99Ms, s.BytesP50, s.BytesMax, s.Restarts)
}
