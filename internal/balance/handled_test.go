package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// maxLoadAge is how old the loads of other processes may be in these tests.
const maxLoadAge = 250 * time.Millisecond

// overloadedPool returns a pool where each server has one request more than slots: one batch
// request of this process, and batch and online requests of others.
func overloadedPool(servers int, random *rand.Rand) (*balance.Pool, *balance.SharedLoads) {
	sharedLoads := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", sharedLoads)
	pool.Update(largeSiteMembers()[:servers])
	pool.SetBatchProcesses(1)
	for range servers {
		pool.Choose(balance.Demand{Batch: true}, nil, 0, random)
	}
	loads := make(map[uint32]balance.SharedLoad)
	for _, member := range largeSiteMembers()[:servers] {
		loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Inflight: 7, Batch: 3}
	}
	sharedLoads.Apply("others", 1, 1, loads, 0)
	pool.SetMaxLoadAge(maxLoadAge)
	return pool, sharedLoads
}

// preempt returns how many requests one call of PreemptBatch preempts.
func preempt(pool *balance.Pool, waiting int, now time.Duration, random *rand.Rand) int {
	count := 0
	pool.PreemptBatch(waiting, now, random, func(_ string, requests int) int {
		count += requests
		return requests
	})
	return count
}

// TestBatchGivesWayOnceForWhatItSees guards against preempting again for the same excess before the
// loads of others show the effect. This process has a quarter of the batch work and preempts about
// a quarter of the excess.
func TestBatchGivesWayOnceForWhatItSees(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const servers = 100
	pool, _ := overloadedPool(servers, random)
	preempted := 0
	for look := range 6 {
		preempted += preempt(pool, 0, time.Second+time.Duration(look)*40*time.Millisecond, random)
	}
	if preempted < servers/8 || preempted > servers/2 {
		t.Errorf("%d of %d were preempted within the maximum load age", preempted, servers)
	}
	if again := preempt(pool, 0, time.Second+2*maxLoadAge, random); again == 0 {
		t.Error("nothing is preempted although the excess remains")
	}
}

// TestBatchIsPreemptedOnceForTheSameQueue checks the same for waiting requests, and that additional
// ones cause further preemptions.
func TestBatchIsPreemptedOnceForTheSameQueue(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool("service", "here", balance.NewSharedLoads())
	pool.Update(largeSiteMembers()[:10])
	for range 20 {
		pool.Choose(balance.Demand{Batch: true}, nil, 0, random)
	}
	pool.SetMaxLoadAge(maxLoadAge)
	if preempted := preempt(pool, 4, time.Second, random); preempted != 4 {
		t.Fatalf("%d were preempted for 4 waiting requests", preempted)
	}
	if preempted := preempt(pool, 4, time.Second+40*time.Millisecond, random); preempted != 0 {
		t.Errorf("%d more were preempted for the same 4 requests", preempted)
	}
	if preempted := preempt(pool, 6, time.Second+80*time.Millisecond, random); preempted != 2 {
		t.Errorf("%d were preempted for 2 additional requests", preempted)
	}
}

// TestServerThatIsGoneIsNotChosenAgain checks that a replaced server isn't chosen even if the
// directory still lists it.
func TestServerThatIsGoneIsNotChosenAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool("service", "here", balance.NewSharedLoads())
	pool.Update(largeSiteMembers()[:2])
	first, _ := pool.Choose(balance.Demand{}, nil, 0, random)
	pool.RecordReplaced(first)
	for range 7 {
		if choice, found := pool.Choose(balance.Demand{}, nil, 0, random); !found || choice.ID == first.ID {
			t.Fatalf("chose %+v, %v", choice, found)
		}
	}
}
