// Package interval computes means with confidence intervals over repeated runs.
package interval

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is the level of the intervals.
const confidenceLevel = 0.95

// Interval is the mean of a figure over runs with different seeds, and the half
// width of its 95% confidence interval by Student's t-distribution. For a single
// run the half width is unknown and set to zero.
type Interval struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half_width"`
	Runs      int     `json:"runs"`
}

// Of returns the interval of the figures of several runs, one figure per run.
func Of(figures []float64) Interval {
	result := Interval{Runs: len(figures)}
	switch len(figures) {
	case 0:
		return result
	case 1:
		result.Mean = figures[0]
		return result
	}
	mean, deviation := stat.MeanStdDev(figures, nil)
	runs := float64(len(figures))
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: runs - 1}
	result.Mean = mean
	result.HalfWidth = student.Quantile((1+confidenceLevel)/2) * deviation / math.Sqrt(runs)
	return result
}

// OfFunc returns the interval of a figure that is computed from each run.
func OfFunc[T any](runs []T, figure func(T) float64) Interval {
	figures := make([]float64, len(runs))
	for index, run := range runs {
		figures[index] = figure(run)
	}
	return Of(figures)
}

// Format formats the mean, followed by the half width if there are several runs.
func (i Interval) Format(format string) string {
	if i.Runs < 2 {
		return fmt.Sprintf(format, i.Mean)
	}
	return fmt.Sprintf(format+" ± "+format, i.Mean, i.HalfWidth)
}
