package slope

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A line through points of a line is that line, with no residual.
func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept := rapid.Float64Range(-1000, 1000).Draw(t, "intercept")
		gradient := rapid.Float64Range(-1000, 1000).Draw(t, "slope")
		count := rapid.IntRange(2, 20).Draw(t, "count")
		points := make([]Point, count)
		for index := range points {
			size := float64(index * 10)
			points[index] = Point{Size: size, Cost: intercept + gradient*size}
		}
		line := Fit(points)
		const tolerance = 1e-6
		if math.Abs(line.Slope-gradient) > tolerance || line.LargestResidual > tolerance {
			t.Fatalf("fit %+v of intercept %v and slope %v", line, intercept, gradient)
		}
	})
}

// Too few sizes give the mean, so that a sweep of one size still reports.
func TestFitOfOneSizeIsFlat(t *testing.T) {
	line := Fit([]Point{{Size: 5, Cost: 1}, {Size: 5, Cost: 3}})
	if line.At(100) != 2 || line.LargestResidual != 1 {
		t.Fatalf("fit of one size is %+v", line)
	}
}
