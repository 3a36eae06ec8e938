// Package interval sums up figures of repeated runs as means with confidence
// intervals.
package interval

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the confidence of the intervals.
const confidence = 0.95

// Interval is the mean of a figure over runs with other seeds, and the half
// width of its 95% confidence interval by Student's t distribution. With a
// single run the half width is zero and says nothing.
type Interval struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half_width"`
	Runs      int     `json:"runs"`
}

// Of sums up the figures of runs.
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
	result.HalfWidth = student.Quantile((1+confidence)/2) * deviation / math.Sqrt(runs)
	return result
}

// OfFunc sums up a figure of every run.
func OfFunc[T any](runs []T, figure func(T) float64) Interval {
	figures := make([]float64, len(runs))
	for index, run := range runs {
		figures[index] = figure(run)
	}
	return Of(figures)
}

// Format writes the mean, and the half width where several runs gave one.
func (i Interval) Format(format string) string {
	if i.Runs < 2 {
		return fmt.Sprintf(format, i.Mean)
	}
	return fmt.Sprintf(format+" ± "+format, i.Mean, i.HalfWidth)
}
