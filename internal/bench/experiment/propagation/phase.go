package propagation

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/hollow"
)

// restartSeed seeds the random choice of daemons to restart.
const restartSeed = 20261202

// appliedConfiguration is the apply of one configuration.
type appliedConfiguration struct {
	number  uint64
	started time.Time
	took    time.Duration
}

func (e *experiment) measureSteady(ctx context.Context) error {
	var err error
	e.result.Steady, err = e.measurePhase(ctx, func(context.Context) (int, error) { return 0, nil })
	return err
}

// measureWhileRestarting measures a phase during which daemons are restarted.
func (e *experiment) measureWhileRestarting(ctx context.Context) error {
	var err error
	e.result.Restarting, err = e.measurePhase(ctx, e.restartDaemons)
	return err
}

// restartDaemons restarts random daemons, one at a time, until the context ends. It
// returns the number of restarts.
func (e *experiment) restartDaemons(ctx context.Context) (int, error) {
	random := rand.New(rand.NewPCG(restartSeed, 0))
	ticker := time.NewTicker(e.options.Restart)
	defer ticker.Stop()
	restarts := 0
	for {
		select {
		case <-ctx.Done():
			return restarts, nil
		case <-ticker.C:
		}
		chosen := e.hosts[random.IntN(len(e.hosts))]
		name := chosen.names[random.IntN(len(chosen.names))]
		if err := chosen.command(ctx, hollow.RestartPath, name); err != nil && ctx.Err() == nil {
			return restarts, err
		}
		restarts++
	}
}

// measurePhase applies changes with inBackground running, and computes the delays and
// traffic of the changes. inBackground returns the number of daemon restarts.
func (e *experiment) measurePhase(ctx context.Context, inBackground func(context.Context) (int, error)) (PhaseStats, error) {
	before, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return PhaseStats{}, err
	}
	started := time.Now()
	backgroundContext, stop := context.WithCancel(ctx)
	defer stop()
	restarts := 0
	var group errgroup.Group
	group.Go(func() error {
		var err error
		restarts, err = inBackground(backgroundContext)
		return err
	})
	applied, err := e.applyChanges(ctx)
	if err != nil {
		return PhaseStats{}, err
	}
	if err := e.awaitConfiguration(ctx, e.hosts, e.current.GetNumber()); err != nil {
		return PhaseStats{}, err
	}
	stop()
	if err := group.Wait(); err != nil {
		return PhaseStats{}, err
	}
	after, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return PhaseStats{}, err
	}
	result := phaseStats(applied, after)
	result.Restarts = restarts
	result.countBytes(before, after, e.result.IdleBytesPerDaemonSecond*time.Since(started).Seconds())
	return result, nil
}

// applyChanges applies the changes of a phase at the configured interval.
func (e *experiment) applyChanges(ctx context.Context) ([]appliedConfiguration, error) {
	var applied []appliedConfiguration
	for range e.options.Changes {
		next := e.nextChange()
		started := time.Now()
		if err := e.applyNext(ctx, next); err != nil {
			return nil, err
		}
		applied = append(applied, appliedConfiguration{number: next.GetNumber(), started: started, took: time.Since(started)})
		select {
		case <-time.After(time.Until(started.Add(e.options.Interval))):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return applied, nil
}

// phaseStats computes the delays of the applied configurations.
func phaseStats(applied []appliedConfiguration, reports []hollow.FollowerReport) PhaseStats {
	var everywhere, daemons, applies []float64
	for _, each := range applied {
		slowest := 0.0
		for _, report := range reports {
			delay := milliseconds(time.Unix(0, firstInForce(report, each.number)).Sub(each.started))
			daemons = append(daemons, delay)
			slowest = max(slowest, delay)
		}
		everywhere = append(everywhere, slowest)
		applies = append(applies, milliseconds(each.took))
	}
	return PhaseStats{
		Changes:         len(applied),
		ApplyP50Ms:      quantile(applies, 0.5),
		EverywhereP50Ms: quantile(everywhere, 0.5),
		EverywhereMaxMs: slices.Max(everywhere),
		DaemonP50Ms:     quantile(daemons, 0.5),
		DaemonP99Ms:     quantile(daemons, 0.99),
	}
}

// firstInForce returns when a follower first had a configuration, or a newer one, in
// force, in Unix nanoseconds. The caller ensures that it has one.
func firstInForce(report hollow.FollowerReport, number uint64) int64 {
	for _, each := range report.InForce {
		if each.Number >= number {
			return each.UnixNs
		}
	}
	return 0
}

// countBytes computes the traffic per change and daemon. idle is the traffic of a
// daemon without changes in the same time.
func (s *PhaseStats) countBytes(before, after []hollow.FollowerReport, idle float64) {
	var bytes []float64
	for index := range after {
		total := float64(after[index].Control.Minus(before[index].Control).Total())
		bytes = append(bytes, max(0, total-idle)/float64(s.Changes))
	}
	s.BytesP50 = quantile(bytes, 0.5)
	s.BytesMax = slices.Max(bytes)
}
