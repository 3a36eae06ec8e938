package suspension_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/suspension"
)

// TestTotalIsConstantWithoutSuspension assumes that the machine is not suspended during the test.
// It uses the smallest of many samples, as a delay between the readings of the clocks increases a
// sample.
func TestTotalIsConstantWithoutSuspension(t *testing.T) {
	smallest := time.Duration(1<<63 - 1)
	before := suspension.Total()
	for range 100 {
		smallest = min(smallest, suspension.Total()-before)
	}
	if before < 0 || smallest > time.Millisecond {
		t.Fatalf("the total is %v and increased by at least %v", before, smallest)
	}
}
