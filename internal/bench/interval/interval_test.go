package interval_test

import (
	"math"
	"testing"

	"rockwind.example/rockwind/internal/bench/interval"
)

// The quantile of Student's t with 4 degrees of freedom at 97.5% is 2.7764.
func TestIntervalOfKnownFigures(t *testing.T) {
	found := interval.Of([]float64{1, 2, 3, 4, 5})
	wanted := 2.7764 * math.Sqrt(2.5) / math.Sqrt(5)
	if found.Mean != 3 || math.Abs(found.HalfWidth-wanted) > 1e-3 {
		t.Fatalf("%+v, half width %v wanted", found, wanted)
	}
	if single := interval.Of([]float64{7}); single.Mean != 7 || single.HalfWidth != 0 {
		t.Fatalf("%+v of a single run", single)
	}
}
