package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// crowdedPool is a pool of one of several processes that sees one free slot at each server.
func crowdedPool(servers int) *balance.Pool {
	pool, shares := poolByPace(servers)
	pool.SetMaxLoadAge(viewAge)
	pool.SetOnlineProcesses(10)
	loads := make(map[uint32]balance.SharedLoad)
	for _, member := range manyMembers()[:servers] {
		loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Inflight: member.Slots - 1}
	}
	shares.Apply("others", 1, 1, loads, 0)
	pool.RecordReport(manyMembers()[0].ID, balance.LoadReport{Pace: 1}, 0)
	return pool
}

// TestSlotThatAnOwnRequestLeftIsTakenFirst: others see the same free slots as this process, but
// not yet that one.
func TestSlotThatAnOwnRequestLeftIsTakenFirst(t *testing.T) {
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
		t.Errorf("%d requests that came one after the other took slots of %d servers", rounds, len(used))
	}
}

// TestSlotThatWasLeftLongAgoIsSeenByAll, and no better than the others.
func TestSlotThatWasLeftLongAgoIsSeenByAll(t *testing.T) {
	const servers, rounds = 40, 50
	random := rand.New(rand.NewPCG(1, 2))
	again := 0
	for range rounds {
		pool := crowdedPool(servers)
		first, _ := pool.Choose(balance.Demand{}, nil, 0, random)
		pool.RecordOutcome(first, health.Success, 20*time.Millisecond, 0, random)
		if next, _ := pool.Choose(balance.Demand{}, nil, 2*viewAge, random); next.ID == first.ID {
			again++
		}
	}
	if again > rounds/5 {
		t.Errorf("the slot was taken %d times of %d", again, rounds)
	}
}

// TestSlotOfAFailedRequestIsNotTakenFirst: the server may fail the next one as well.
func TestSlotOfAFailedRequestIsNotTakenFirst(t *testing.T) {
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
		t.Errorf("the slot was taken %d times of %d", again, rounds)
	}
}
