package failures

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/interval"
	"rockwind.example/rockwind/internal/bench/routingfleet"
)

// Options are the parameters of the experiment.
type Options struct {
	Servers   int
	Scenarios []string
	ReportLag time.Duration
	Seed      uint64
	Seeds     int
	Parallel  int
}

// Cell holds the results of one policy in one scenario.
type Cell struct {
	Scenario    string `json:"scenario"`
	Description string `json:"description"`
	Policy      string `json:"policy"`
	// Goodput is the fraction of requests with a complete answer that began within
	// two seconds of the caller's first call.
	Goodput interval.Interval `json:"goodput"`
	// Amplification is the number of attempts sent to engines per request of a
	// caller.
	Amplification interval.Interval `json:"amplification"`
	TTFTp99Ms     interval.Interval `json:"ttft_p99_ms"`
	// Refused is the fraction of requests finally answered "not run". Lost is the
	// fraction whose callers gave up or whose outcome is unknown.
	Refused interval.Interval `json:"refused"`
	Lost    interval.Interval `json:"lost"`
	// Hedges is the fraction of requests with a second concurrent attempt.
	Hedges interval.Interval `json:"hedges"`
	// RecoveryS is the time from the fault to the end of the last second in which
	// fewer than 95% of the requests were answered in time.
	RecoveryS interval.Interval `json:"recovery_s"`
	// TimeToLastNewOnLeavingS is the time from the start of a drain to the last new
	// request sent to a draining server, the maximum over all runs.
	TimeToLastNewOnLeavingS float64 `json:"time_to_last_new_on_leaving_s"`

	fleet  routingfleet.Scenario
	policy routingfleet.Policy
	runs   []routingfleet.Result
}

// Result holds the results of the experiment.
type Result struct {
	Servers     int     `json:"servers"`
	ReportLagS  float64 `json:"report_lag_s"`
	Seed        uint64  `json:"seed"`
	Seeds       int     `json:"seeds"`
	WallSeconds float64 `json:"wall_s"`
	Cells       []*Cell `json:"cells"`
}

// Measure runs all cells, up to Parallel runs at a time.
func Measure(options Options) *Result {
	started := time.Now()
	result := &Result{
		Servers: options.Servers, ReportLagS: options.ReportLag.Seconds(),
		Seed: options.Seed, Seeds: options.Seeds, Cells: cells(options),
	}
	var group errgroup.Group
	group.SetLimit(max(1, min(options.Parallel, runtime.NumCPU())))
	for _, cell := range result.Cells {
		cell.runs = make([]routingfleet.Result, options.Seeds)
		for run := range options.Seeds {
			group.Go(func() error {
				cell.runs[run] = routingfleet.Run(cell.fleet, cell.policy, options.Seed+uint64(run))
				return nil
			})
		}
	}
	_ = group.Wait()
	for _, cell := range result.Cells {
		cell.summarize()
	}
	result.WallSeconds = time.Since(started).Seconds()
	return result
}

func cells(options Options) []*Cell {
	var list []*Cell
	for _, found := range scenarios {
		if !isSelected(options.Scenarios, found.name) {
			continue
		}
		for _, policy := range found.policies() {
			list = append(list, &Cell{
				Scenario: found.name, Description: found.description, Policy: policy.Name,
				fleet: found.build(options.Servers, options.ReportLag), policy: policy,
			})
		}
	}
	return list
}

func isSelected(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return len(names) == 0
}

func (c *Cell) summarize() {
	perRequest := func(count func(run routingfleet.Result) int) interval.Interval {
		return interval.OfFunc(c.runs, func(run routingfleet.Result) float64 {
			return float64(count(run)) / float64(max(1, run.Requests))
		})
	}
	c.Goodput = perRequest(func(run routingfleet.Result) int { return sum(run.GoodPerSecond) })
	c.Amplification = perRequest(func(run routingfleet.Result) int { return run.MeasuredAttempts })
	c.Refused = perRequest(func(run routingfleet.Result) int { return run.Refused })
	c.Lost = perRequest(func(run routingfleet.Result) int { return run.Lost })
	c.Hedges = perRequest(func(run routingfleet.Result) int { return run.Hedges })
	c.RecoveryS = interval.OfFunc(c.runs, recoverySeconds)
	c.TTFTp99Ms = interval.OfFunc(c.runs, func(run routingfleet.Result) float64 {
		return float64(routingfleet.Quantile(run.TTFT, 0.99)) / float64(time.Millisecond)
	})
	for _, run := range c.runs {
		c.TimeToLastNewOnLeavingS = max(c.TimeToLastNewOnLeavingS, run.LastSentToLeaving.Seconds())
	}
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// recoveredFraction is the fraction of a second's requests that must be answered in time
// for the fleet to count as recovered.
const recoveredFraction = 0.95

func recoverySeconds(run routingfleet.Result) float64 {
	last := 0
	for second, sent := range run.RequestsPerSecond {
		if sent > 0 && float64(run.GoodPerSecond[second]) < recoveredFraction*float64(sent) {
			last = second + 1
		}
	}
	return max(0, float64(last)-warmup.Seconds())
}
