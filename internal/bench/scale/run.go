package scale

import (
	"context"
	"time"
)

// Times of a run.
const (
	// settleTime lets the fleet come to rest after its start and after a loss.
	settleTime = 8 * time.Second
	// spareTime is how long the zone stays lost.
	spareTime = 5 * time.Second
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
	// Restarted is how many daemons the rolling restart stopped, LostProcesses how
	// many processes the loss of the zone killed.
	Restarted     int      `json:"rolling_restarts"`
	LostProcesses int      `json:"lost_processes"`
	Reverts       []Revert `json:"reverts"`
	// Online is the load beside all of it.
	Online Online `json:"online"`
	// Violations lists what is over budget or went wrong; empty for a pass.
	Violations []string `json:"violations"`
}

// Options says how long the windows are.
type Options struct {
	Idle, Busy time.Duration
	// Quiet leaves out all but the idle window.
	Quiet bool
}

// run measures a started cluster.
func run(ctx context.Context, c *cluster, options Options) (*Result, error) {
	result := &Result{Size: c.size, Processes: len(c.members)}
	track := newTracker(c)
	first, err := track.first(ctx)
	if err != nil {
		return nil, err
	}
	result.Changes = append(result.Changes, first)
	load := c.startOnline(ctx)
	defer load.stop()
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	if err := c.measureWindow(ctx, "idle", result, func() error { return pause(ctx, options.Idle) }); err != nil {
		return nil, err
	}
	if !options.Quiet {
		if err := c.busy(ctx, options, track, result); err != nil {
			return nil, err
		}
		if err := c.losses(ctx, track, result); err != nil {
			return nil, err
		}
	}
	result.Reverts = track.reverts
	result.Online = load.stop()
	result.judge()
	return result, nil
}

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
	return c.measureWindow(ctx, "busy", result, func() error {
		var err error
		var changes []Change
		result.Events, changes, err = c.disturb(ctx, options.Busy, track)
		result.Changes = append(result.Changes, changes...)
		return err
	})
}

// losses runs the rolling restart, loses a control machine, loses a zone and
// brings it back, with a change of configuration after each.
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
	lost := c.loseZone(lostZone(c.size))
	result.LostProcesses = len(lost)
	if err := c.changeAfter(ctx, "loss of a zone", track, result); err != nil {
		return err
	}
	if err := pause(ctx, spareTime); err != nil {
		return err
	}
	returned, err := c.returnZone(ctx, lost, track)
	result.Changes = append(result.Changes, returned)
	return err
}

func (c *cluster) changeAfter(ctx context.Context, during string, track *tracker, result *Result) error {
	change, err := track.change(ctx, during, next(c.applied))
	result.Changes = append(result.Changes, change)
	return err
}
