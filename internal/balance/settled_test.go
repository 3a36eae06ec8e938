package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// viewAge is how old the loads of other processes may be in these tests.
const viewAge = 250 * time.Millisecond

// busyPool is a pool of one process of several that start batch work. Each of its servers
// has one batch request of this process and online requests of others, one too many.
func busyPool(servers int, random *rand.Rand) (*balance.Pool, *balance.SharedLoads) {
	shares := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", shares)
	pool.Update(manyMembers()[:servers])
	pool.SetBatchProcesses(1)
	for range servers {
		pool.Choose(balance.Demand{Batch: true}, nil, 0, random)
	}
	loads := make(map[uint32]balance.SharedLoad)
	for _, member := range manyMembers()[:servers] {
		loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Inflight: 7, Batch: 3}
	}
	shares.Apply("others", 1, 1, loads, 0)
	pool.SetMaxLoadAge(viewAge)
	return pool, shares
}

// yields counts how much gives way in one look.
func yields(pool *balance.Pool, waiting int, now time.Duration, random *rand.Rand) int {
	count := 0
	pool.PreemptBatch(waiting, now, random, func(_ string, requests int) int {
		count += requests
		return requests
	})
	return count
}

// TestBatchGivesWayOnceForWhatItSees: the loads of others show what gave way only after
// some looks. Deciding at each of them would give way many times over: this process has a
// quarter of the batch work, so about a quarter of the excess is its part.
func TestBatchGivesWayOnceForWhatItSees(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const servers = 100
	pool, _ := busyPool(servers, random)
	gave := 0
	for look := range 6 {
		gave += yields(pool, 0, time.Second+time.Duration(look)*40*time.Millisecond, random)
	}
	if gave < servers/8 || gave > servers/2 {
		t.Errorf("%d of %d gave way within the age of the view", gave, servers)
	}
	if again := yields(pool, 0, time.Second+2*viewAge, random); again == 0 {
		t.Error("nothing gives way although the excess stays")
	}
}

// TestBatchGivesWayToQueuesOnceAndToWhatIsAdded does the same for requests that wait.
func TestBatchGivesWayToQueuesOnceAndToWhatIsAdded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool("service", "here", balance.NewSharedLoads())
	pool.Update(manyMembers()[:10])
	for range 20 {
		pool.Choose(balance.Demand{Batch: true}, nil, 0, random)
	}
	pool.SetMaxLoadAge(viewAge)
	if gave := yields(pool, 4, time.Second, random); gave != 4 {
		t.Fatalf("%d gave way to 4", gave)
	}
	if gave := yields(pool, 4, time.Second+40*time.Millisecond, random); gave != 0 {
		t.Errorf("%d more gave way to the same 4", gave)
	}
	if gave := yields(pool, 6, time.Second+80*time.Millisecond, random); gave != 2 {
		t.Errorf("%d gave way to 2 more", gave)
	}
}

// TestServerThatIsGoneIsNotChosenAgain: its own word is proof, whatever the directory says.
func TestServerThatIsGoneIsNotChosenAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool("service", "here", balance.NewSharedLoads())
	pool.Update(manyMembers()[:2])
	first, _ := pool.Choose(balance.Demand{}, nil, 0, random)
	pool.RecordReplaced(first)
	for range 7 {
		if choice, found := pool.Choose(balance.Demand{}, nil, 0, random); !found || choice.ID == first.ID {
			t.Fatalf("chose %+v, %v", choice, found)
		}
	}
}
