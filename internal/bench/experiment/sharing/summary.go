package sharing

import (
	"fmt"
	"slices"

	"rockwind.example/rockwind/internal/bench/interval"
)

// Summary summarizes a metric over the seeds: mean, confidence interval, extremes and
// the value of each seed.
type Summary struct {
	interval.Interval
	Minimum float64   `json:"minimum"`
	Maximum float64   `json:"maximum"`
	Samples []float64 `json:"samples"`
}

// summarize summarizes the values of the seeds, of which there must be at least one.
func summarize(samples []float64) Summary {
	return Summary{
		Interval: interval.Of(samples),
		Minimum:  slices.Min(samples),
		Maximum:  slices.Max(samples),
		Samples:  samples,
	}
}

// String returns the mean and the half width of the confidence interval.
func (s Summary) String() string {
	return fmt.Sprintf("%.3f ± %.3f", s.Mean, s.HalfWidth)
}
