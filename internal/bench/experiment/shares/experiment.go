// Package shares measures how batch capacity is lent between groups and reclaimed. Three
// groups share a simulated fleet that also serves online requests: a greedy one, a bursty
// one, and one that is idle for a while and then returns.
package shares

import (
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/interval"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/simulator"
)

// Windows and thresholds of the evaluation.
const (
	// shortfallWindow is the length of the windows in which shortfalls are measured.
	shortfallWindow = 10 * time.Second
	// reclaimWindow is the length of the windows in which a returning group must
	// receive its share.
	reclaimWindow = 300 * time.Millisecond
	// reclaimFraction is the fraction of its share that it must receive.
	reclaimFraction = 0.9
)

// The targets that AimsMet checks.
const (
	maxReclaimSeconds = 1
	maxIdle           = 0.02
)

// Run holds the results of one seed.
type Run struct {
	Seed uint64 `json:"seed"`
	// Shortfall is the largest fraction of its fair share that a group with waiting
	// work did not receive in any ten seconds.
	Shortfall float64 `json:"largest_shortfall_10s"`
	// ShortGroup is the group with that shortfall.
	ShortGroup string `json:"group_of_largest_shortfall"`
	// Reclaim is the time from the return of the idle group until it receives its
	// share.
	Reclaim float64 `json:"time_to_reclaim_s"`
	// Idle is the fraction of the places allowed to batch that are free while work
	// waits.
	Idle float64 `json:"idle_while_work_waits"`

	samples []simulator.ServiceSample
}

// Result holds the results of all seeds.
type Result struct {
	Shortfall   interval.Interval `json:"largest_shortfall_10s"`
	Reclaim     interval.Interval `json:"time_to_reclaim_s"`
	Idle        interval.Interval `json:"idle_while_work_waits"`
	AimsMet     bool              `json:"aims_met"`
	Groups      []string          `json:"groups"`
	Shares      []float64         `json:"shares"`
	Definitions map[string]string `json:"definitions"`
	Runs        []Run             `json:"runs"`
}

func definitions() map[string]string {
	return map[string]string{
		"largest_shortfall_10s": "over every window of 10 s in which a group has items waiting throughout: 1 - service received / service owed; owed is the weighted max-min fair part of what all groups received, in cost units of processed tokens",
		"time_to_reclaim_s":     "from the arrival of the returning group's job to the end of the first 0.3 s in which it receives 0.9 of what it is owed",
		"idle_while_work_waits": "batch places that the budgets of the servers allow and that are free, over all allowed places, in samples every 100 ms in which any group's items wait",
	}
}

// Measure runs the experiment over consecutive seeds.
func Measure(scenario simulator.Scenario, seed uint64, seeds int) (*Result, error) {
	result := &Result{Definitions: definitions(), Runs: make([]Run, seeds)}
	for _, load := range scenario.Batch {
		result.Groups = append(result.Groups, load.Group)
		result.Shares = append(result.Shares, load.Share)
	}
	var workers errgroup.Group
	workers.SetLimit(maxWorkers)
	for index := range result.Runs {
		workers.Go(func() error {
			result.Runs[index] = measureSeed(scenario, seed+uint64(index))
			return nil
		})
	}
	if err := workers.Wait(); err != nil {
		return nil, err
	}
	result.Shortfall = interval.OfFunc(result.Runs, func(run Run) float64 { return run.Shortfall })
	result.Reclaim = interval.OfFunc(result.Runs, func(run Run) float64 { return run.Reclaim })
	result.Idle = interval.OfFunc(result.Runs, func(run Run) float64 { return run.Idle })
	result.AimsMet = true
	for _, run := range result.Runs {
		result.AimsMet = result.AimsMet && run.Reclaim < maxReclaimSeconds && run.Idle < maxIdle
	}
	return result, nil
}

// maxWorkers bounds concurrent simulations.
const maxWorkers = 6

func measureSeed(scenario simulator.Scenario, seed uint64) Run {
	onlineOnly := simulator.Run(scenario, simulator.OnlineAlone(&scenario), seed)
	scenario.Target = sharing.Target{
		FirstToken: simulator.Quantile(onlineOnly.TTFT, tailQuantile),
		PerToken:   simulator.Quantile(onlineOnly.TPOT, tailQuantile),
	}
	shared := simulator.Run(scenario, simulator.Rockwind(&scenario), seed)
	evaluation := evaluator{scenario: &scenario, samples: shared.Served}
	run := Run{Seed: seed, samples: shared.Served, Idle: evaluation.idle(), Reclaim: evaluation.reclaim(simulator.GroupReturning, simulator.IdleUntil).Seconds()}
	var shortGroup int
	run.Shortfall, shortGroup = evaluation.shortfall()
	run.ShortGroup = scenario.Batch[shortGroup].Group
	return run
}

// tailQuantile is the quantile of online latency that batch must not degrade.
const tailQuantile = 0.99
