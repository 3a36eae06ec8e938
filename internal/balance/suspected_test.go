package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// evaluate runs the health evaluation of all processes four times a second.
func (f *fleet) evaluate(now time.Duration) {
	for _, each := range f.processes {
		each.pool.Evaluate(now, f.random)
	}
	f.schedule(now+250*time.Millisecond, f.evaluate)
}

// TestFailedServersAreDetectedAfterFewLostRequests guards against each of 250 processes losing a
// request to every failed server. Together they send a server about three requests a second.
func TestFailedServersAreDetectedAfterFewLostRequests(t *testing.T) {
	const (
		failed = 3
		// window is about the time the directory needs to mark a server silent.
		window = 5 * time.Second
		// most is the number of requests that may be lost per failed server until two processes have
		// timed out and the others know.
		most = 6
	)
	f := newFleet(1, 250, largeSiteServers, 7, 800*time.Millisecond, 200*time.Millisecond)
	f.schedule(0, f.evaluate)
	f.generate(func(time.Duration) float64 { return 530 }, 3*time.Second+window)
	f.schedule(3*time.Second, func(time.Duration) {
		for _, name := range f.names[:failed] {
			f.servers[name].failed = true
		}
	})
	f.run(3*time.Second + window)
	t.Logf("%d requests were lost at %d failed servers within %s", f.lost, failed, window)
	if f.lost > most*failed {
		t.Errorf("%d requests were lost at %d failed servers, more than %d", f.lost, failed, most*failed)
	}
}

// TestServersAreNotAvoidedWhenMostAreSuspected guards against overloading the remaining servers
// when all servers are slow.
func TestServersAreNotAvoidedWhenMostAreSuspected(t *testing.T) {
	for _, suspected := range []int{10, largeSiteServers / 2} {
		sharedLoads := balance.NewSharedLoads()
		for _, sender := range []string{"a", "b"} {
			loads := make(map[uint32]balance.SharedLoad)
			for _, member := range largeSiteMembers()[:suspected] {
				loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Suspects: 1}
			}
			sharedLoads.Apply(sender, 1, 1, loads, 0)
		}
		pool := balance.NewPool("service", "here", sharedLoads)
		pool.Update(largeSiteMembers())
		avoided := make(map[string]bool)
		for _, member := range largeSiteMembers()[:suspected] {
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
		if few := suspected == 10; few != (hits == 0) {
			t.Errorf("with %d suspected servers of %d, %d of 500 requests went there", suspected, largeSiteServers, hits)
		}
	}
}
