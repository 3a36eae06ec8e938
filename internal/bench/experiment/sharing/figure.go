package sharing

import (
	"fmt"
	"slices"

	"rockwind.example/rockwind/internal/bench/interval"
)

// Summary is a figure over the seeds: its mean with the confidence interval, its
// extremes and the figure of each seed.
type Summary struct {
	interval.Interval
	Minimum float64   `json:"minimum"`
	Maximum float64   `json:"maximum"`
	Samples []float64 `json:"samples"`
}

// figureOf sums up the figures of the seeds, of which there is at least one.
func figureOf(samples []float64) Summary {
	return Summary{
		Interval: interval.Of(samples),
		Minimum:  slices.Min(samples),
		Maximum:  slices.Max(samples),
		Samples:  samples,
	}
}

// String gives the mean and the half width of the interval.
func (f Summary) String() string {
	return fmt.Sprintf("%.3f ± %.3f", f.Mean, f.HalfWidth)
}
