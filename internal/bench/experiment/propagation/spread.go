package propagation

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/hollow"
)

// restartSeed seeds the choice of the daemons that restart.
const restartSeed = 20261202

// application is a configuration that was applied.
type application struct {
	number uint64
	began  time.Time
	took   time.Duration
}

func (e *experiment) changeSteadily(ctx context.Context) error {
	var err error
	e.result.Steady, err = e.spread(ctx, func(context.Context) (int, error) { return 0, nil })
	return err
}

// changeWhileRestarting restarts one daemon after the other meanwhile.
func (e *experiment) changeWhileRestarting(ctx context.Context) error {
	var err error
	e.result.Restarting, err = e.spread(ctx, e.restartDaemons)
	return err
}

// restartDaemons restarts random daemons until the context ends, and returns how
// many.
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

// spread applies changes, lets something go on meanwhile, and works out how the
// changes reached the daemons.
func (e *experiment) spread(ctx context.Context, meanwhile func(context.Context) (int, error)) (Spread, error) {
	before, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return Spread{}, err
	}
	began := time.Now()
	aside, stop := context.WithCancel(ctx)
	defer stop()
	restarts := 0
	var group errgroup.Group
	group.Go(func() error {
		var err error
		restarts, err = meanwhile(aside)
		return err
	})
	applied, err := e.applyChanges(ctx)
	if err != nil {
		return Spread{}, err
	}
	if err := e.settle(ctx, e.hosts, e.current.GetNumber()); err != nil {
		return Spread{}, err
	}
	stop()
	if err := group.Wait(); err != nil {
		return Spread{}, err
	}
	after, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return Spread{}, err
	}
	result := spreadOf(applied, after)
	result.Restarts = restarts
	result.countBytes(before, after, e.result.IdleBytesPerDaemonSecond*time.Since(began).Seconds())
	return result, nil
}

// applyChanges applies the changes of a phase, an interval apart.
func (e *experiment) applyChanges(ctx context.Context) ([]application, error) {
	var applied []application
	for range e.options.Changes {
		next := e.nextChange()
		began := time.Now()
		if err := e.applyNext(ctx, next); err != nil {
			return nil, err
		}
		applied = append(applied, application{number: next.GetNumber(), began: began, took: time.Since(began)})
		select {
		case <-time.After(time.Until(began.Add(e.options.Interval))):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return applied, nil
}

// spreadOf works out the delays of the applied configurations.
func spreadOf(applied []application, reports []hollow.FollowerReport) Spread {
	var everywhere, daemons, applies []float64
	for _, each := range applied {
		slowest := 0.0
		for _, report := range reports {
			delay := milliseconds(time.Unix(0, firstInForce(report, each.number)).Sub(each.began))
			daemons = append(daemons, delay)
			slowest = max(slowest, delay)
		}
		everywhere = append(everywhere, slowest)
		applies = append(applies, milliseconds(each.took))
	}
	return Spread{
		Changes:         len(applied),
		ApplyP50Ms:      quantile(applies, 0.5),
		EverywhereP50Ms: quantile(everywhere, 0.5),
		EverywhereMaxMs: slices.Max(everywhere),
		DaemonP50Ms:     quantile(daemons, 0.5),
		DaemonP99Ms:     quantile(daemons, 0.99),
	}
}

// firstInForce is when a follower first had a configuration, or a newer one, in
// force, in Unix nanoseconds. The follower has it.
func firstInForce(report hollow.FollowerReport, number uint64) int64 {
	for _, each := range report.InForce {
		if each.Number >= number {
			return each.UnixNs
		}
	}
	return 0
}

// countBytes works out the bytes of a change and daemon; idle is what a daemon
// would have sent and received without changes.
func (s *Spread) countBytes(before, after []hollow.FollowerReport, idle float64) {
	var bytes []float64
	for index := range after {
		total := float64(after[index].Control.Minus(before[index].Control).Total())
		bytes = append(bytes, max(0, total-idle)/float64(s.Changes))
	}
	s.BytesP50 = quantile(bytes, 0.5)
	s.BytesMax = slices.Max(bytes)
}
