package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// startBatch starts batch work with a demand every 10 ms for half a second, and counts it.
func startBatch(pool *balance.Pool, demand balance.Demand) int {
	started := 0
	for now := time.Duration(0); now < 500*time.Millisecond; now += 10 * time.Millisecond {
		if _, found := pool.Choose(demand, nil, now, seeded(1)); found {
			started++
		}
	}
	return started
}

// TestBatchWorkLeavesTheSlotsThatItReserves.
func TestBatchWorkLeavesTheSlotsThatItReserves(t *testing.T) {
	for reserved, want := range map[int]int{0: 20, 12: 8, 40: 0} {
		pool, _, _ := newPool(4, 5)
		if started := startBatch(pool, balance.Demand{Batch: true, Reserved: reserved}); started != want {
			t.Errorf("with %d reserved %d start, want %d", reserved, started, want)
		}
	}
}

// TestBatchWorkThatOthersLeaveSlotsToTakesThem: with eleven processes each took a tenth of what was
// free in the time that the others need to hear of it.
func TestBatchWorkThatOthersLeaveSlotsToTakesThem(t *testing.T) {
	started := make(map[bool]int)
	for _, first := range []bool{false, true} {
		pool, _, _ := newPool(8, 10)
		pool.SetBatchProcesses(11)
		pool.SetMaxLoadAge(300 * time.Millisecond)
		started[first] = startBatch(pool, balance.Demand{Batch: true, Prioritized: first})
	}
	if started[true] < 2*started[false] {
		t.Errorf("%d start instead of %d", started[true], started[false])
	}
}
