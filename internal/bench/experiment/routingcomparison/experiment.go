// Package routingcomparison measures the time to the first token and the
// prefix-cache hit rate of the gateways' routing against baselines and an
// oracle, with lagging load reports and cache events that are lost.
package routingcomparison

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/interval"
	"rockwind.example/rockwind/internal/bench/routingfleet"
)

// Options select what is measured.
type Options struct {
	Servers []int
	// Lags are ages of load reports, Losses probabilities that the log of cache
	// events is cut at an event.
	Lags   []time.Duration
	Losses []float64
	// Rate is the requests a second and server outside bursts.
	Rate float64
	Seed uint64
	// Seeds is the number of runs of each cell, with seeds from Seed on.
	Seeds int
	// Parallel bounds the runs at a time.
	Parallel int
}

// Cell is a policy under one lag and loss at one size.
type Cell struct {
	Servers   int     `json:"servers"`
	Policy    string  `json:"policy"`
	LagS      float64 `json:"report_lag_s"`
	EventLoss float64 `json:"event_loss"`
	// Lagless tells that lag and loss do not apply to the policy.
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

// Result is what the experiment found.
type Result struct {
	Rate        float64 `json:"requests_per_second_and_server"`
	Seed        uint64  `json:"seed"`
	Seeds       int     `json:"seeds"`
	WallSeconds float64 `json:"wall_s"`
	Cells       []*Cell `json:"cells"`
}

// Measure runs all cells, several at a time.
func Measure(options Options) *Result {
	begun := time.Now()
	result := &Result{Rate: options.Rate, Seed: options.Seed, Seeds: options.Seeds}
	for _, servers := range options.Servers {
		result.Cells = append(result.Cells, cells(servers, options)...)
	}
	var group errgroup.Group
	group.SetLimit(max(1, min(options.Parallel, runtime.NumCPU())))
	// The longest runs go first, so that none is left alone at the end.
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
		cell.sumUp()
	}
	result.compare()
	result.WallSeconds = time.Since(begun).Seconds()
	return result
}

// cells lists what is measured at one size.
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

func (c *Cell) sumUp() {
	c.TTFTp50Ms = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 { return milliseconds(run, 0.5) })
	c.TTFTp99Ms = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 { return milliseconds(run, 0.99) })
	c.HitRate = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 { return run.HitRate() })
	c.Refused = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 {
		return float64(run.Refused+run.Lost) / float64(max(1, run.Requests))
	})
	for _, run := range c.runs {
		c.Requests += run.Requests
	}
}

func milliseconds(run routingfleet.Result, quantile float64) float64 {
	return float64(routingfleet.Quantile(run.TTFT, quantile)) / float64(time.Millisecond)
}

// compare holds every cell against the oracle of its size.
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
