package ledgercost_test

import (
	"testing"

	"rockwind.example/rockwind/internal/bench/experiment/ledgercost"
)

// TestMemoryFallsAsItemsEnd measures small jobs. What an item takes must fall with
// the end of its life, and the aim must be met even then.
func TestMemoryFallsAsItemsEnd(t *testing.T) {
	const aim = 2
	measured, err := ledgercost.MeasureMemory(4, 40_000, 256)
	if err != nil {
		t.Fatal(err)
	}
	if measured.Done <= measured.Sealed || measured.Sealed < measured.Ended {
		t.Errorf("done %.2f, sealed %.2f, ended %.2f bytes", measured.Done, measured.Sealed, measured.Ended)
	}
	if measured.Sealed >= aim {
		t.Errorf("a sealed item takes %.2f bytes", measured.Sealed)
	}
}
