package scale

import (
	"context"
	"time"
)

// Times of a run.
const (
	// settleTime lets the fleet come to rest after its start and after a loss.
	settleTime = 8 * time.Second
	// spareTime is how long a zone or a region stays lost.
	spareTime = 5 * time.Second
	// sweepChanges is how many changes a run of a sweep makes.
	sweepChanges = 3
)

// Result is what a run found.
type Result struct {
	Size Size `json:"size"`
	// StartSeconds is how long the start of all processes took.
	StartSeconds float64 `json:"start_seconds"`
	Processes    int     `json:"processes"`
	// MemoryBytes is the resident memory of all processes at the end of the busy
	// window.
	MemoryBytes float64  `json:"memory_bytes"`
	Windows     []Window `json:"windows"`
	Events      Events   `json:"busy_events"`
	Changes     []Change `json:"changes"`
	// Restarted is how many daemons the rolling restart stopped. LostProcesses and
	// LostWithRegion are how many processes the loss of the zone and of the region
	// killed.
	Restarted      int      `json:"rolling_restarts"`
	LostProcesses  int      `json:"lost_processes"`
	LostWithRegion int      `json:"lost_with_region"`
	Reverts        []Revert `json:"reverts"`
	// Apart is what happened while a region was cut off; nil where none was.
	Apart *Apart `json:"apart,omitempty"`
	// Online is the load beside all of it.
	Online Online `json:"online"`
	// Violations lists what is over budget or went wrong; empty for a pass.
	Violations []string `json:"violations"`
}

// Options says how long the windows are.
type Options struct {
	Idle, Busy, Settle time.Duration
	// ChangesOnly leaves out the online load, the restarts and the losses: the busy
	// window holds changes of configuration only.
	ChangesOnly bool
}

// run measures a started cluster.
func run(ctx context.Context, c *cluster, options Options) (*Result, error) {
	result := &Result{Size: c.size, Processes: len(c.members), Reverts: []Revert{}, Violations: []string{}}
	track := newTracker(c)
	first, err := track.first(ctx)
	if err != nil {
		return nil, err
	}
	result.Changes = append(result.Changes, first)
	if err := c.submitJobs(ctx); err != nil {
		return nil, err
	}
	if options.ChangesOnly {
		err = c.measureChanges(ctx, options, track, result)
	} else {
		err = c.measureAll(ctx, options, track, result)
	}
	if err != nil {
		return nil, err
	}
	result.Reverts = append(result.Reverts, track.reverts...)
	result.judge()
	return result, nil
}

// measureAll measures the idle and the busy window and brings about all losses,
// under online load.
func (c *cluster) measureAll(ctx context.Context, options Options, track *tracker, result *Result) error {
	load := c.startOnline(ctx)
	defer load.stop()
	if err := c.idle(ctx, options, result); err != nil {
		return err
	}
	if err := c.busy(ctx, options, track, result); err != nil {
		return err
	}
	if err := c.losses(ctx, track, result); err != nil {
		return err
	}
	result.Online = load.stop()
	return nil
}

// measureChanges measures the idle window and one with changes only.
func (c *cluster) measureChanges(ctx context.Context, options Options, track *tracker, result *Result) error {
	if err := c.idle(ctx, options, result); err != nil {
		return err
	}
	return c.measureWindow(ctx, windowChanges, result, func() error {
		ended := time.Now().Add(options.Busy)
		for range sweepChanges {
			if err := c.changeAfter(ctx, "changes", track, result); err != nil {
				return err
			}
			result.Events.Changes++
		}
		return pause(ctx, time.Until(ended))
	})
}

func (c *cluster) idle(ctx context.Context, options Options, result *Result) error {
	if err := pause(ctx, options.Settle); err != nil {
		return err
	}
	return c.measureWindow(ctx, windowIdle, result, func() error { return pause(ctx, options.Idle) })
}

// Names of the windows.
const (
	windowIdle    = "idle"
	windowBusy    = "busy"
	windowChanges = "changes"
)

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

// measureWindow samples before and after what goes on in a window.
func (c *cluster) measureWindow(ctx context.Context, name string, result *Result, inside func() error) error {
	before, err := c.sample(ctx)
	if err != nil {
		return err
	}
	if err := inside(); err != nil {
		return err
	}
	after, err := c.sample(ctx)
	if err != nil {
		return err
	}
	result.Windows = append(result.Windows, c.between(name, before, after))
	result.MemoryBytes = 0
	for _, usage := range after.usage {
		result.MemoryBytes += float64(usage.ResidentBytes)
	}
	return nil
}

func (c *cluster) busy(ctx context.Context, options Options, track *tracker, result *Result) error {
	return c.measureWindow(ctx, windowBusy, result, func() error {
		var err error
		var changes []Change
		result.Events, changes, err = c.disturb(ctx, options.Busy, track)
		result.Changes = append(result.Changes, changes...)
		return err
	})
}

// losses runs the rolling restart, loses a control machine, a zone and a region,
// brings them back, and cuts a region off, with a change of configuration after
// each.
func (c *cluster) losses(ctx context.Context, track *tracker, result *Result) error {
	var err error
	if result.Restarted, err = c.rollingRestart(ctx); err != nil {
		return err
	}
	if err := c.changeAfter(ctx, "rolling restart", track, result); err != nil {
		return err
	}
	if err := c.loseControl(ctx, 0); err != nil {
		return err
	}
	result.Events.ControlLosses++
	if err := c.changeAfter(ctx, "loss of a control machine", track, result); err != nil {
		return err
	}
	if result.LostProcesses, err = c.loseAndReturn(ctx, "zone", track, result, lostZone(c.size)); err != nil {
		return err
	}
	if result.LostWithRegion, err = c.loseAndReturn(ctx, "region", track, result, zonesOf(lostRegion)...); err != nil {
		return err
	}
	return c.cutRegion(ctx, lostRegion, track, result)
}

// loseAndReturn loses zones and brings them back, with a change after each, and
// returns how many processes were lost.
func (c *cluster) loseAndReturn(ctx context.Context, what string, track *tracker, result *Result, zones ...int) (int, error) {
	lost := c.lose(zones...)
	if err := c.changeAfter(ctx, "loss of a "+what, track, result); err != nil {
		return len(lost), err
	}
	if err := pause(ctx, spareTime); err != nil {
		return len(lost), err
	}
	returned, err := c.bringBack(ctx, "return of the "+what, lost, track)
	result.Changes = append(result.Changes, returned)
	return len(lost), err
}

func (c *cluster) changeAfter(ctx context.Context, during string, track *tracker, result *Result) error {
	change, err := track.change(ctx, during, next(c.applied))
	result.Changes = append(result.Changes, change)
	return err
}
