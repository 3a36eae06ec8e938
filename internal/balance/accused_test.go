package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// judge has all processes judge their servers, as routers do four times a second.
func (f *fleet) judge(now time.Duration) {
	for _, each := range f.processes {
		each.pool.Evaluate(now, f.random)
	}
	f.at(now+250*time.Millisecond, f.judge)
}

// TestDarkServersOfALargeSiteAreKnownByTheLossesOfFew: 250 processes send a server some
// three requests a second together. Each cannot lose one to learn that it has gone dark.
func TestDarkServersOfALargeSiteAreKnownByTheLossesOfFew(t *testing.T) {
	const (
		dark = 3
		// watched is about as long as the directory takes to call a server silent.
		watched = 5 * time.Second
		// most is how many requests may be lost for each dark server: what comes in until
		// two processes have waited long enough for an answer and the others know.
		most = 6
	)
	f := newFleet(1, 250, manyServers, 7, 800*time.Millisecond, 200*time.Millisecond)
	f.at(0, f.judge)
	f.arrive(func(time.Duration) float64 { return 530 }, 3*time.Second+watched)
	f.at(3*time.Second, func(time.Duration) {
		for _, name := range f.names[:dark] {
			f.servers[name].dark = true
		}
	})
	f.run(3*time.Second + watched)
	t.Logf("%d requests were lost at %d dark servers within %s", f.lost, dark, watched)
	if f.lost > most*dark {
		t.Errorf("%d requests were lost at %d dark servers, more than %d", f.lost, dark, most*dark)
	}
}

// TestServersAreNotAvoidedWhenMostAreAccused: where all servers are slow, avoiding those
// that others complain of would press the rest.
func TestServersAreNotAvoidedWhenMostAreAccused(t *testing.T) {
	for _, accused := range []int{10, manyServers / 2} {
		shares := balance.NewSharedLoads()
		for _, sender := range []string{"a", "b"} {
			loads := make(map[uint32]balance.SharedLoad)
			for _, member := range manyMembers()[:accused] {
				loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Suspects: 1}
			}
			shares.Apply(sender, 1, 1, loads, 0)
		}
		pool := balance.NewPool("service", "here", shares)
		pool.Update(manyMembers())
		avoided := make(map[string]bool)
		for _, member := range manyMembers()[:accused] {
			avoided[member.ID] = true
		}
		random, hits := rand.New(rand.NewPCG(1, 2)), 0
		for range 500 {
			choice, found := pool.Choose(balance.Demand{}, nil, 0, random)
			if !found {
				t.Fatal("no server is chosen")
			}
			if avoided[choice.ID] {
				hits++
			}
			pool.RecordOutcome(choice, health.Success, 0, 0, random)
		}
		if few := accused == 10; few != (hits == 0) {
			t.Errorf("with %d accused servers of %d, %d of 500 requests went there", accused, manyServers, hits)
		}
	}
}
