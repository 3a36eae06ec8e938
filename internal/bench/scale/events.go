package scale

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/bench/hollow"
)

// Rates of the busy window. They are far above those of the target, so that a
// short window holds several of each: 1,300 changes, 200 restarts and 17 losses
// a day.
const (
	changeEvery  = 5 * time.Second
	restartEvery = 2 * time.Second
	lossEvery    = 10 * time.Second
	// rollingPart is the part of the daemons that a rolling restart stops.
	rollingPart = 10
	// rollingAtOnce is how many daemons of a rolling restart stop together.
	rollingAtOnce = 4
)

// Events counts what happened in the busy window.
type Events struct {
	Changes       int `json:"changes"`
	Restarts      int `json:"restarts"`
	DaemonLosses  int `json:"daemon_losses"`
	ControlLosses int `json:"control_losses"`
}

// schedule is when each kind of event is due next.
type schedule struct {
	change, restart, loss time.Time
}

// disturb changes the configuration, restarts daemons, and loses a control
// machine and daemons until the window is over.
func (c *cluster) disturb(ctx context.Context, length time.Duration, track *tracker) (Events, []Change, error) {
	begun := time.Now()
	var counts Events
	var changes []Change
	due := schedule{change: begun, restart: begun, loss: begun.Add(lossEvery / 2)}
	ended := make(chan error, 1)
	running := 0
	daemon := realGateways
	background := func(work func() error) {
		running++
		go func() { ended <- work() }()
	}
	for time.Since(begun) < length {
		now := time.Now()
		if !now.Before(due.restart) {
			due.restart = now.Add(restartEvery)
			number := c.nextDaemon(&daemon)
			background(func() error { return c.command(ctx, number, hollow.RestartPage) })
			counts.Restarts++
		}
		if !now.Before(due.loss) {
			due.loss = now.Add(lossEvery)
			number := c.nextDaemon(&daemon)
			background(func() error { return c.command(ctx, number, hollow.LosePage) })
			counts.DaemonLosses++
		}
		if !now.Before(due.change) {
			due.change = now.Add(changeEvery)
			change, err := track.change(ctx, "busy window", next(c.applied))
			if err != nil {
				return counts, changes, err
			}
			changes = append(changes, change)
			counts.Changes++
		}
		time.Sleep(trackPause)
	}
	for range running {
		if err := <-ended; err != nil {
			return counts, changes, err
		}
	}
	return counts, changes, nil
}

// nextDaemon steps through the hollow daemons, one zone after another.
func (c *cluster) nextDaemon(last *int) int {
	*last++
	if *last >= c.size.Daemons {
		*last = realGateways
	}
	return *last
}

// loseControl kills a control machine and starts it again with its disk.
func (c *cluster) loseControl(ctx context.Context, number int) error {
	for _, each := range c.of(roleControl) {
		if each.Name == controlName(number) {
			each.Kill()
			return c.restore(ctx, each)
		}
	}
	return nil
}

// restore starts a member again after it was killed.
func (c *cluster) restore(ctx context.Context, lost *member) error {
	fresh := *lost
	fresh.page = ""
	restarted := &fresh
	restarted.Process = lost.Process.Again()
	if err := c.startAll(ctx, []*member{restarted}); err != nil {
		return err
	}
	for index, each := range c.members {
		if each == lost {
			c.members[index] = restarted
		}
	}
	return nil
}

// rollingRestart restarts a tenth of the hollow daemons, a few at a time.
func (c *cluster) rollingRestart(ctx context.Context) (int, error) {
	count := max(1, c.size.Daemons/rollingPart)
	daemon := realGateways + c.size.Daemons/2
	for restarted := 0; restarted < count; {
		batch := min(rollingAtOnce, count-restarted)
		ended := make(chan error, batch)
		for range batch {
			number := c.nextDaemon(&daemon)
			go func() { ended <- c.command(ctx, number, hollow.RestartPage) }()
		}
		for range batch {
			if err := <-ended; err != nil {
				return restarted, err
			}
		}
		restarted += batch
	}
	return count, nil
}

// lose kills every process of some zones at once.
func (c *cluster) lose(zones ...int) []*member {
	var lost []*member
	for _, each := range c.members {
		if slices.Contains(zones, each.zone) && each.Running() {
			lost = append(lost, each)
		}
	}
	for _, each := range lost {
		each.Kill()
	}
	return lost
}

// zonesOf lists the zones of a region.
func zonesOf(region int) []int {
	var zones []int
	for zone := range zonesPerRegion {
		zones = append(zones, region*zonesPerRegion+zone)
	}
	return zones
}

// bringBack starts lost processes again. Their engines have new addresses, so the
// next configuration names them.
func (c *cluster) bringBack(ctx context.Context, during string, lost []*member, track *tracker) (Change, error) {
	for _, each := range lost {
		if err := c.restore(ctx, each); err != nil {
			return Change{}, err
		}
	}
	backEnds, err := c.backEnds(ctx)
	if err != nil {
		return Change{}, err
	}
	changed := proto.CloneOf(c.applied)
	changed.Number++
	setBackEnds(changed, backEnds)
	return track.change(ctx, during, changed)
}
