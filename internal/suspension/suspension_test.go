package suspension_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/suspension"
)

// TestTotalStandsStillWhileNothingSuspends: the processes of a test run on a machine that is
// not suspended meanwhile. A delay between the two readings of the clocks shows in one sample.
func TestTotalStandsStillWhileNothingSuspends(t *testing.T) {
	least := time.Duration(1<<63 - 1)
	before := suspension.Total()
	for range 100 {
		least = min(least, suspension.Total()-before)
	}
	if before < 0 || least > time.Millisecond {
		t.Fatalf("%v, and %v more", before, least)
	}
}
