// Package slope fits straight lines to measurements, so that a cost at the
// target size can be worked out from costs at sizes that one machine can run.
package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Size is the independent variable, for example a number of daemons.
	Size float64 `json:"size"`
	// Cost is what was measured at that size.
	Cost float64 `json:"cost"`
}

// Line is a fitted line with its quality.
type Line struct {
	// Intercept is the cost at size zero.
	Intercept float64 `json:"intercept"`
	// Slope is the cost of one more.
	Slope float64 `json:"slope"`
	// RSquared is the part of the variance that the line explains; 1 where all
	// costs are equal.
	RSquared float64 `json:"r_squared"`
	// LargestResidual is the largest absolute distance of a point from the line.
	LargestResidual float64 `json:"largest_residual"`
}

// Fit returns the least-squares line through the points. It needs two points of
// different sizes; with fewer the line is flat through their mean.
func Fit(points []Point) Line {
	sizes := make([]float64, len(points))
	costs := make([]float64, len(points))
	for index, point := range points {
		sizes[index] = point.Size
		costs[index] = point.Cost
	}
	if !varied(sizes) {
		return Line{Intercept: mean(costs), RSquared: 1, LargestResidual: spread(costs)}
	}
	intercept, gradient := stat.LinearRegression(sizes, costs, nil, false)
	line := Line{Intercept: intercept, Slope: gradient, RSquared: 1}
	if varied(costs) {
		line.RSquared = stat.RSquared(sizes, costs, nil, intercept, gradient)
	}
	for index := range points {
		line.LargestResidual = max(line.LargestResidual, math.Abs(costs[index]-line.At(sizes[index])))
	}
	return line
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

func varied(values []float64) bool {
	for _, value := range values {
		if value != values[0] {
			return true
		}
	}
	return false
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Mean(values, nil)
}

func spread(values []float64) float64 {
	largest := 0.0
	for _, value := range values {
		largest = max(largest, math.Abs(value-mean(values)))
	}
	return largest
}
