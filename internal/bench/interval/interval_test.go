package interval_test

import (
	"math"
	"testing"

	"rockwind.example/rockwind/internal/bench/interval"
)

// The 97.5% quantile of Student's t-distribution with 4 degrees of freedom is
// 2.7764.
func TestOfMatchesStudentT(t *testing.T) {
	got := interval.Of([]float64{1, 2, 3, 4, 5})
	want := 2.7764 * math.Sqrt(2.5) / math.Sqrt(5)
	if got.Mean != 3 || math.Abs(got.HalfWidth-want) > 1e-3 {
		t.Fatalf("got %+v, want half width %v", got, want)
	}
	if single := interval.Of([]float64{7}); single.Mean != 7 || single.HalfWidth != 0 {
		t.Fatalf("got %+v for a single run", single)
	}
}
