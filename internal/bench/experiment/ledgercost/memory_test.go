package ledgercost_test

import (
	"testing"

	"rockwind.example/rockwind/internal/bench/experiment/ledgercost"
)

// TestMemoryShrinksAsItemsFinish checks that sealing and the end of a job free memory,
// and that a sealed item stays below the limit even in small jobs.
func TestMemoryShrinksAsItemsFinish(t *testing.T) {
	const maxSealedBytes = 2
	memory, err := ledgercost.MeasureMemory(4, 40_000, 256)
	if err != nil {
		t.Fatal(err)
	}
	if memory.Done <= memory.Sealed || memory.Sealed < memory.Ended {
		t.Errorf("done %.2f, sealed %.2f, ended %.2f bytes", memory.Done, memory.Sealed, memory.Ended)
	}
	if memory.Sealed >= maxSealedBytes {
		t.Errorf("a sealed item takes %.2f bytes", memory.Sealed)
	}
}
