// Package calibration runs one recorded load twice, on real processes over
// stand-in engines in real time and in the simulator in virtual time, and
// compares latency and throughput. It tells how far the simulator's figures can
// be trusted.
package calibration

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/simulator"
)

// Tolerance is the largest deviation of a ratio from one that counts as
// agreement.
const Tolerance = 0.1

// measured is what one side gave. Both lists are sorted; times are the client's.
type measured struct {
	ttft []time.Duration
	tpot []time.Duration
	// requests counts online requests with whole answers, failed the others.
	requests int
	failed   int
	// tokens are those of the whole answers.
	tokens int
	// items counts batch items completed in the window, and window is its length.
	items  int
	window time.Duration
	// late is how late the last job was accepted.
	late time.Duration
	// between tells of the hops between processes beside the load.
	between hops
}

// hops tells what hops between processes take on the machine, one way.
type hops struct {
	median, slow time.Duration
	// noise holds what single hops take longer than the median.
	noise []time.Duration
}

// Metric is one quantity of both sides.
type Metric struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Real float64 `json:"real"`
	// Simulated is the mean over the simulator's seeds, Lowest and Highest their
	// range.
	Simulated float64 `json:"simulated"`
	Lowest    float64 `json:"simulated_lowest"`
	Highest   float64 `json:"simulated_highest"`
	// Ratio is Real over Simulated.
	Ratio float64 `json:"ratio"`
	// Agrees tells whether the ratio deviates by at most Tolerance.
	Agrees bool `json:"agrees"`
}

// quantity computes one figure of one side.
type quantity struct {
	name, unit string
	of         func(*measured) float64
}

func quantile(name string, part float64, list func(*measured) []time.Duration) quantity {
	return quantity{name: name, unit: "ms", of: func(side *measured) float64 {
		return float64(simulator.Quantile(list(side), part)) / float64(time.Millisecond)
	}}
}

func firstTokens(side *measured) []time.Duration { return side.ttft }

func tokenTimes(side *measured) []time.Duration { return side.tpot }

// quantities lists what is compared; batch is left out of loads without jobs.
func quantities(batch bool) []quantity {
	compared := []quantity{
		quantile("ttft_p50", 0.50, firstTokens),
		quantile("ttft_p95", 0.95, firstTokens),
		quantile("ttft_p99", 0.99, firstTokens),
		quantile("tpot_p50", 0.50, tokenTimes),
		quantile("tpot_p95", 0.95, tokenTimes),
		quantile("tpot_p99", 0.99, tokenTimes),
		{name: "online_throughput", unit: "tokens/s", of: func(side *measured) float64 {
			return float64(side.tokens) / side.window.Seconds()
		}},
	}
	if batch {
		compared = append(compared, quantity{name: "batch_throughput", unit: "items/s", of: func(side *measured) float64 {
			return float64(side.items) / side.window.Seconds()
		}})
	}
	return compared
}

// compare sets the real side against the simulator's runs.
func compare(batch bool, actual *measured, simulated []*measured) []Metric {
	var figures []Metric
	for _, compared := range quantities(batch) {
		var values []float64
		sum := 0.0
		for _, side := range simulated {
			value := compared.of(side)
			values = append(values, value)
			sum += value
		}
		figure := Metric{
			Name: compared.name, Unit: compared.unit, Real: compared.of(actual),
			Simulated: sum / float64(len(values)),
			Lowest:    slices.Min(values), Highest: slices.Max(values),
		}
		if figure.Simulated > 0 {
			figure.Ratio = figure.Real / figure.Simulated
		}
		figure.Agrees = figure.Ratio >= 1-Tolerance && figure.Ratio <= 1+Tolerance
		figures = append(figures, figure)
	}
	return figures
}
