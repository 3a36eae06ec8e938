// Package calibration replays the same load on real processes with stand-in engines
// and in the simulator, and compares latency and throughput. The deviation shows how
// accurate the simulator is.
package calibration

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/simulator"
)

// Tolerance is the largest deviation of a ratio from 1 that counts as agreement.
const Tolerance = 0.1

// measurement is the result of one run, real or simulated. Both lists are sorted;
// times are measured at the client.
type measurement struct {
	ttft []time.Duration
	tpot []time.Duration
	// requests counts online requests with complete answers, failed the others.
	requests int
	failed   int
	// tokens is the number of tokens in complete answers.
	tokens int
	// items counts batch items completed in the measured window of length window.
	items  int
	window time.Duration
	// maxDelay is the longest delay of a job's acceptance.
	maxDelay time.Duration
	// hops holds hop times probed during the run.
	hops hopTimes
}

// hopTimes are one-way times between processes on this machine.
type hopTimes struct {
	median, p99 time.Duration
	// noise holds the excess of single hops over the median.
	noise []time.Duration
}

// Metric is one quantity, measured on real processes and simulated.
type Metric struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Real float64 `json:"real"`
	// Simulated is the mean over the simulator's seeds, Lowest and Highest the
	// extremes.
	Simulated float64 `json:"simulated"`
	Lowest    float64 `json:"simulated_lowest"`
	Highest   float64 `json:"simulated_highest"`
	// Ratio is Real over Simulated.
	Ratio float64 `json:"ratio"`
	// Agrees is set if Ratio deviates from 1 by at most Tolerance.
	Agrees bool `json:"agrees"`
}

// quantity computes one metric from a measurement.
type quantity struct {
	name, unit string
	compute    func(*measurement) float64
}

func quantile(name string, fraction float64, list func(*measurement) []time.Duration) quantity {
	return quantity{name: name, unit: "ms", compute: func(side *measurement) float64 {
		return float64(simulator.Quantile(list(side), fraction)) / float64(time.Millisecond)
	}}
}

func ttfts(side *measurement) []time.Duration { return side.ttft }

func tpots(side *measurement) []time.Duration { return side.tpot }

// quantities lists the compared quantities. Batch throughput is included if batch is
// set.
func quantities(batch bool) []quantity {
	compared := []quantity{
		quantile("ttft_p50", 0.50, ttfts),
		quantile("ttft_p95", 0.95, ttfts),
		quantile("ttft_p99", 0.99, ttfts),
		quantile("tpot_p50", 0.50, tpots),
		quantile("tpot_p95", 0.95, tpots),
		quantile("tpot_p99", 0.99, tpots),
		{name: "online_throughput", unit: "tokens/s", compute: func(side *measurement) float64 {
			return float64(side.tokens) / side.window.Seconds()
		}},
	}
	if batch {
		compared = append(compared, quantity{name: "batch_throughput", unit: "items/s", compute: func(side *measurement) float64 {
			return float64(side.items) / side.window.Seconds()
		}})
	}
	return compared
}

// compare computes the metrics of the real run against the simulated runs.
func compare(batch bool, actual *measurement, simulated []*measurement) []Metric {
	var metrics []Metric
	for _, compared := range quantities(batch) {
		var values []float64
		sum := 0.0
		for _, side := range simulated {
			value := compared.compute(side)
			values = append(values, value)
			sum += value
		}
		metric := Metric{
			Name: compared.name, Unit: compared.unit, Real: compared.compute(actual),
			Simulated: sum / float64(len(values)),
			Lowest:    slices.Min(values), Highest: slices.Max(values),
		}
		if metric.Simulated > 0 {
			metric.Ratio = metric.Real / metric.Simulated
		}
		metric.Agrees = metric.Ratio >= 1-Tolerance && metric.Ratio <= 1+Tolerance
		metrics = append(metrics, metric)
	}
	return metrics
}
