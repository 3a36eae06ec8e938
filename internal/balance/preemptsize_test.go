package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// BenchmarkPreemptBatch measures PreemptBatch of a store with 20 running items.
func BenchmarkPreemptBatch(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			pool := balance.NewPool("app", "zone", balance.NewSharedLoads())
			for place := range servers {
				pool.Put(balance.Member{ID: fmt.Sprint("server-", place), Zone: "zone", Slots: 8})
			}
			random := rand.New(rand.NewPCG(1, 1))
			for range 20 {
				if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, random); !found {
					b.Fatal("no server has room for an item")
				}
			}
			for now := time.Duration(0); b.Loop(); now += 40 * time.Millisecond {
				pool.PreemptBatch(0, now, random, func(string, int) int { return 0 })
			}
		})
	}
}

// TestBatchGivesWayWhereverItRuns checks that servers with batch work, and only those, are visited
// when servers leave and others take over their places.
func TestBatchGivesWayWhereverItRuns(t *testing.T) {
	const servers = 200
	random := rand.New(rand.NewPCG(1, 1))
	pool := balance.NewPool("app", "zone", balance.NewSharedLoads())
	running := make(map[string]int)
	add := func(round int) {
		for place := range servers {
			pool.Put(balance.Member{ID: fmt.Sprintf("server-%d-%d", round, place), Zone: "zone", Slots: 8})
		}
	}
	now := time.Duration(0)
	for round := range 5 {
		add(round)
		for range 50 {
			now += time.Second
			choice, found := pool.Choose(balance.Demand{Batch: true}, nil, now, random)
			if !found {
				t.Fatal("no server has room for an item")
			}
			running[choice.ID]++
		}
		visited := make(map[string]int)
		now += time.Minute
		// More requests wait than batch requests run, so that all of these are to be preempted.
		pool.PreemptBatch(10*servers, now, random, func(server string, requests int) int {
			visited[server] += requests
			return 0
		})
		for id, count := range running {
			if visited[id] != count {
				t.Errorf("round %d: %d of %d runs at %s are visited for preemption", round, visited[id], count, id)
			}
		}
		for id := range visited {
			if running[id] == 0 {
				t.Errorf("round %d: %s is visited without batch work", round, id)
			}
		}
		for place := range servers {
			id := fmt.Sprintf("server-%d-%d", round, place)
			pool.Drop(id)
			delete(running, id)
		}
	}
}
