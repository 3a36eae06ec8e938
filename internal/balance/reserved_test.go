package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// startBatch tries to start batch work every 10 ms for half a second and returns the number of
// starts.
func startBatch(pool *balance.Pool, demand balance.Demand) int {
	started := 0
	for now := time.Duration(0); now < 500*time.Millisecond; now += 10 * time.Millisecond {
		if _, found := pool.Choose(demand, nil, now, newRandom(1)); found {
			started++
		}
	}
	return started
}

func TestBatchWorkLeavesReservedSlots(t *testing.T) {
	for reserved, want := range map[int]int{0: 20, 12: 8, 40: 0} {
		pool, _, _ := newPool(4, 5)
		if started := startBatch(pool, balance.Demand{Batch: true, Reserved: reserved}); started != want {
			t.Errorf("with %d reserved slots %d batch requests start, want %d", reserved, started, want)
		}
	}
}

// TestPrioritizedBatchWorkStartsFaster guards against prioritized work starting slowly because each
// of eleven processes is assumed to start as much.
func TestPrioritizedBatchWorkStartsFaster(t *testing.T) {
	started := make(map[bool]int)
	for _, first := range []bool{false, true} {
		pool, _, _ := newPool(8, 10)
		pool.SetBatchProcesses(11)
		pool.SetMaxLoadAge(300 * time.Millisecond)
		started[first] = startBatch(pool, balance.Demand{Batch: true, Prioritized: first})
	}
	if started[true] < 2*started[false] {
		t.Errorf("%d prioritized batch requests start, %d others", started[true], started[false])
	}
}
