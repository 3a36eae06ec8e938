package scale

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
)

// Command is `rockwind-bench scale`.
type Command struct {
	Daemons  int           `help:"Gateways; a few run in processes of their own, the rest are hollow." default:"350"`
	Servers  int           `help:"Hollow model servers." default:"1200"`
	Tenants  int           `help:"Tenants in the configuration." default:"11000"`
	Models   int           `help:"Models in the configuration." default:"12"`
	Controls int           `help:"Control machines, a process each." default:"14"`
	Shards   int           `help:"Job shards." default:"4"`
	Idle     time.Duration `help:"Length of the idle window." default:"15s"`
	Busy     time.Duration `help:"Length of the busy window." default:"25s"`
	Jobs     int           `help:"Batch jobs that wait."`
	JobItems int           `help:"Items of each of them." default:"1000"`
	Quick    bool          `help:"Leave out the online load, restarts and losses."`
	Sweep    bool          `help:"Measure fleets of many sizes, fit how the costs grow, and end with a run of the full size."`
	Output   string        `help:"Folder for the tables and plots of a sweep." default:"docs/capacity" type:"path"`
	Figures  string        `help:"Write the page again from the figures of an earlier sweep, without a run." type:"existingfile"`
	Page     string        `help:"Page whose generated parts a sweep replaces; empty for none." type:"path"`
	Programs string        `help:"Folder of the programs; empty takes that of this one." type:"path"`
	Folder   string        `help:"Folder for the processes' files; empty makes one and removes it." type:"path"`
	JSON     bool          `help:"Print the figures as JSON." name:"json"`
}

// Run starts the fleet, measures, prints, and fails where a budget is exceeded.
func (c *Command) Run() error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	if err := c.size().check(); err != nil {
		return err
	}
	if c.Figures != "" {
		return refill(c.Figures, c.Page)
	}
	if c.Sweep {
		return c.sweep(ctx)
	}
	result, err := c.measure(ctx, c.size(), c.options())
	if err != nil {
		return err
	}
	if err := c.print(result); err != nil {
		return err
	}
	return result.verdict()
}

// verdict is an error where a limit is exceeded.
func (r *Result) verdict() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fault.Newf(fault.Internal, "see the figures above for the part that costs too much",
		"%d limits are exceeded; the first: %s", len(r.Violations), r.Violations[0])
}

func (c *Command) options() Options {
	return Options{Idle: c.Idle, Busy: c.Busy, Settle: settleTime, ChangesOnly: c.Quick}
}

func (c *Command) size() Size {
	return Size{
		Daemons: c.Daemons, Servers: c.Servers, Tenants: c.Tenants, Models: c.Models,
		Controls: c.Controls, Shards: c.Shards, Jobs: c.Jobs, JobItems: c.JobItems,
	}
}

// check refuses sizes that a run cannot have.
func (s Size) check() error {
	switch {
	case s.Daemons < realGateways+1:
		return fault.Newf(fault.InvalidArgument, "ask for more daemons", "a run needs at least %d daemons", realGateways+1)
	case s.Servers < 1, s.Models < 1, s.Shards < 1:
		return fault.New(fault.InvalidArgument, "a run needs servers, models and shards", "ask for at least one of each")
	case s.Tenants <= firstLimitedTenant:
		return fault.Newf(fault.InvalidArgument, "ask for more tenants", "a run needs at least %d tenants", firstLimitedTenant+1)
	case s.Controls < 1:
		return fault.New(fault.InvalidArgument, "a run needs a control machine", "ask for at least one")
	}
	return nil
}

// measure runs one fleet from start to end.
func (c *Command) measure(ctx context.Context, size Size, options Options) (*Result, error) {
	folder, programs := c.Folder, c.Programs
	if folder == "" {
		made, err := os.MkdirTemp("", "rockwind-scale-")
		if err != nil {
			return nil, errors.Wrap(err, "make a folder")
		}
		defer os.RemoveAll(made)
		folder = made
	}
	if programs == "" {
		executable, err := os.Executable()
		if err != nil {
			return nil, errors.Wrap(err, "find the programs")
		}
		programs = filepath.Dir(executable)
	}
	begun := time.Now()
	started, err := startCluster(ctx, size, folder, programs)
	if err != nil {
		return nil, err
	}
	defer started.kill()
	startSeconds := time.Since(begun).Seconds()
	result, err := run(ctx, started, options)
	if err != nil {
		return nil, err
	}
	result.StartSeconds = startSeconds
	return result, nil
}

func (c *Command) print(result *Result) error {
	if c.JSON {
		return report.PrintJSON(os.Stdout, result)
	}
	fmt.Printf("%d daemons, %d servers, %d tenants in %d processes; started in %.1f s; %.1f GB resident\n",
		result.Size.Daemons, result.Size.Servers, result.Size.Tenants, result.Processes, result.StartSeconds, result.MemoryBytes/1e9)
	for _, window := range result.Windows {
		window.print()
	}
	for _, change := range result.Changes {
		fmt.Printf("configuration %d (%s): accepted in %.2f s, in force on the last daemon after %.2f s, missing on %d\n",
			change.Number, change.During, change.Accepted, change.Slowest, change.Missing)
	}
	fmt.Printf("events %+v, %d rolling restarts, %d processes lost with the zone, %d with the region, reverts %v\n",
		result.Events, result.Restarted, result.LostProcesses, result.LostWithRegion, result.Reverts)
	fmt.Printf("online %+v\n", result.Online)
	if result.Apart != nil {
		fmt.Printf("a region cut off: %+v\n", *result.Apart)
	}
	for _, violation := range result.Violations {
		fmt.Println("VIOLATION", violation)
	}
	return nil
}

func (w Window) print() {
	figures := w.Daemons
	fmt.Printf("%s window of %.1f s, a daemon (median, worst):\n", w.Name, w.Seconds)
	fmt.Printf("  CPU %.2f %.2f %% of a core hollow, %.2f %.2f %% real\n",
		100*figures.CPU.Median, 100*figures.CPU.Worst, 100*figures.RealCPU.Median, 100*figures.RealCPU.Worst)
	fmt.Printf("  memory %.1f %.1f MB hollow, %.1f %.1f MB real\n",
		figures.Resident.Median/1e6, figures.Resident.Worst/1e6, figures.RealResident.Median/1e6, figures.RealResident.Worst/1e6)
	fmt.Printf("  wire %.0f %.0f B/s: sent %.0f %.0f, received %.0f %.0f; control %.0f %.0f, polls %.0f %.0f\n",
		figures.Total.Median, figures.Total.Worst, figures.Sent.Median, figures.Sent.Worst,
		figures.Received.Median, figures.Received.Worst,
		figures.Control.Median, figures.Control.Worst, figures.Polls.Median, figures.Polls.Worst)
	for _, control := range w.Controls {
		fmt.Printf("  %s: CPU %.2f %%, %.1f MB, sent %.0f B/s, received %.0f B/s, of both %.0f for calls to it\n",
			control.Machine, 100*control.CPU, control.Resident/1e6, control.Sent, control.Received, control.Served)
	}
}
