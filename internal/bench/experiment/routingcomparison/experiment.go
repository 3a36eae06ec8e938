// Package routingcomparison compares the gateways' routing with baselines and an oracle
// by time to first token and prefix-cache hit rate, with delayed load reports and lost
// cache events.
package routingcomparison

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/interval"
	"rockwind.example/rockwind/internal/bench/routingfleet"
)

// Options are the parameters of the experiment.
type Options struct {
	Servers []int
	// Lags are the ages of load reports. Losses are the probabilities that the log of
	// cache events is truncated at an event.
	Lags   []time.Duration
	Losses []float64
	// Rate is the number of requests per second and server outside bursts.
	Rate float64
	Seed uint64
	// Seeds is the number of runs of each cell, with consecutive seeds from Seed.
	Seeds int
	// Parallel bounds concurrent runs.
	Parallel int
}

// Cell holds the results of one policy for one fleet size, lag and loss.
type Cell struct {
	Servers   int     `json:"servers"`
	Policy    string  `json:"policy"`
	LagS      float64 `json:"report_lag_s"`
	EventLoss float64 `json:"event_loss"`
	// Lagless is set if lag and loss do not apply to the policy.
	Lagless    bool              `json:"lag_and_loss_do_not_apply,omitempty"`
	TTFTp50Ms  interval.Interval `json:"ttft_p50_ms"`
	TTFTp99Ms  interval.Interval `json:"ttft_p99_ms"`
	HitRate    interval.Interval `json:"prefix_hit_rate"`
	Refused    interval.Interval `json:"refused_rate"`
	Requests   int               `json:"requests"`
	OverOracle float64           `json:"ttft_p99_over_oracle"`

	scenario routingfleet.Scenario
	policy   routingfleet.Policy
	runs     []routingfleet.Result
}

// Result holds the results of the experiment.
type Result struct {
	Rate        float64 `json:"requests_per_second_and_server"`
	Seed        uint64  `json:"seed"`
	Seeds       int     `json:"seeds"`
	WallSeconds float64 `json:"wall_s"`
	Cells       []*Cell `json:"cells"`
}

// Measure runs all cells, up to Parallel runs at a time.
func Measure(options Options) *Result {
	started := time.Now()
	result := &Result{Rate: options.Rate, Seed: options.Seed, Seeds: options.Seeds}
	for _, servers := range options.Servers {
		result.Cells = append(result.Cells, cells(servers, options)...)
	}
	var group errgroup.Group
	group.SetLimit(max(1, min(options.Parallel, runtime.NumCPU())))
	// Start with the largest fleets, whose runs take longest, to keep all workers busy
	// until the end.
	for index := len(result.Cells) - 1; index >= 0; index-- {
		cell := result.Cells[index]
		cell.runs = make([]routingfleet.Result, options.Seeds)
		for run := range options.Seeds {
			group.Go(func() error {
				cell.runs[run] = routingfleet.Run(cell.scenario, cell.policy, options.Seed+uint64(run))
				return nil
			})
		}
	}
	_ = group.Wait()
	for _, cell := range result.Cells {
		cell.summarize()
	}
	result.compare()
	result.WallSeconds = time.Since(started).Seconds()
	return result
}

// cells lists the cells of one fleet size.
func cells(servers int, options Options) []*Cell {
	base := routingfleet.DefaultScenario(servers)
	base.Load.Rate = options.Rate
	var list []*Cell
	for _, lag := range options.Lags {
		for _, loss := range options.Losses {
			scenario := base
			scenario.Engine.ReportLag = lag
			scenario.Engine.CacheEventLoss = loss
			list = append(list, &Cell{
				Servers: servers, LagS: lag.Seconds(), EventLoss: loss,
				scenario: scenario, policy: routingfleet.Rockwind(),
			})
		}
	}
	for _, policy := range []routingfleet.Policy{
		routingfleet.RoundRobin(), routingfleet.LeastInFlight(), routingfleet.FreshOracle(),
	} {
		list = append(list, &Cell{Servers: servers, Lagless: true, scenario: base, policy: policy})
	}
	for _, cell := range list {
		cell.Policy = cell.policy.Name
	}
	return list
}

func (c *Cell) summarize() {
	c.TTFTp50Ms = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 { return ttftMs(run, 0.5) })
	c.TTFTp99Ms = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 { return ttftMs(run, 0.99) })
	c.HitRate = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 { return run.HitRate() })
	c.Refused = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 {
		return float64(run.Refused+run.Lost) / float64(max(1, run.Requests))
	})
	for _, run := range c.runs {
		c.Requests += run.Requests
	}
}

func ttftMs(run routingfleet.Result, quantile float64) float64 {
	return float64(routingfleet.Quantile(run.TTFT, quantile)) / float64(time.Millisecond)
}

// compare sets the p99 ratio of every cell to the oracle of the same fleet size.
func (r *Result) compare() {
	oracles := make(map[int]float64)
	for _, cell := range r.Cells {
		if cell.policy.ExactView {
			oracles[cell.Servers] = cell.TTFTp99Ms.Mean
		}
	}
	for _, cell := range r.Cells {
		if oracle := oracles[cell.Servers]; oracle > 0 {
			cell.OverOracle = cell.TTFTp99Ms.Mean / oracle
		}
	}
}
