package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// crowdedPool returns the pool of one of several processes with one free slot at each server.
func crowdedPool(servers int) *balance.Pool {
	pool, sharedLoads := newPacePool(servers)
	pool.SetMaxLoadAge(maxLoadAge)
	pool.SetOnlineProcesses(10)
	loads := make(map[uint32]balance.SharedLoad)
	for _, member := range largeSiteMembers()[:servers] {
		loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Inflight: member.Slots - 1}
	}
	sharedLoads.Apply("others", 1, 1, loads, 0)
	pool.RecordReport(largeSiteMembers()[0].ID, balance.LoadReport{Pace: 1}, 0)
	return pool
}

// TestFreedSlotIsReusedFirst checks that a process prefers slots it freed, which other processes
// don't know of yet.
func TestFreedSlotIsReusedFirst(t *testing.T) {
	const servers, rounds = 40, 50
	random := rand.New(rand.NewPCG(1, 2))
	pool := crowdedPool(servers)
	used := make(map[string]bool)
	for range rounds {
		choice, found := pool.Choose(balance.Demand{}, nil, 0, random)
		if !found {
			t.Fatal("no server has room")
		}
		used[choice.ID] = true
		pool.RecordOutcome(choice, health.Success, 20*time.Millisecond, 0, random)
	}
	if len(used) > rounds/5 {
		t.Errorf("%d consecutive requests used %d servers", rounds, len(used))
	}
}

// TestFreedSlotIsNotPreferredOnceShared checks that the preference ends once the loads show the
// freed slot to all processes.
func TestFreedSlotIsNotPreferredOnceShared(t *testing.T) {
	const servers, rounds = 40, 50
	random := rand.New(rand.NewPCG(1, 2))
	again := 0
	for range rounds {
		pool := crowdedPool(servers)
		first, _ := pool.Choose(balance.Demand{}, nil, 0, random)
		pool.RecordOutcome(first, health.Success, 20*time.Millisecond, 0, random)
		if next, _ := pool.Choose(balance.Demand{}, nil, 2*maxLoadAge, random); next.ID == first.ID {
			again++
		}
	}
	if again > rounds/5 {
		t.Errorf("the slot was reused %d times of %d", again, rounds)
	}
}

// TestSlotOfAFailedRequestIsNotPreferred guards against sending further requests to a server that
// just failed one.
func TestSlotOfAFailedRequestIsNotPreferred(t *testing.T) {
	const servers, rounds = 40, 50
	random := rand.New(rand.NewPCG(1, 2))
	again := 0
	for range rounds {
		pool := crowdedPool(servers)
		first, _ := pool.Choose(balance.Demand{}, nil, 0, random)
		pool.RecordOutcome(first, health.Failure, 20*time.Millisecond, 0, random)
		if next, _ := pool.Choose(balance.Demand{}, nil, 0, random); next.ID == first.ID {
			again++
		}
	}
	if again > rounds/5 {
		t.Errorf("the slot was reused %d times of %d", again, rounds)
	}
}
