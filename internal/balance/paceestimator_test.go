package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/health"
)

// newPacePool returns a pool that estimates paces.
func newPacePool(servers int) (*balance.Pool, *balance.SharedLoads) {
	sharedLoads := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", sharedLoads)
	pool.SetPaceEstimator(pace.New())
	pool.Update(largeSiteMembers()[:servers])
	return pool, sharedLoads
}

// TestPaceIsIgnoredWithoutReports checks that choices don't depend on observed runs where servers
// don't report their pace.
func TestPaceIsIgnoredWithoutReports(t *testing.T) {
	const servers, requests = 12, 400
	paced, _ := newPacePool(servers)
	plain := balance.NewPool("service", "here", balance.NewSharedLoads())
	plain.Update(largeSiteMembers()[:servers])
	one, other := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		now := time.Duration(i) * 10 * time.Millisecond
		chosen, _ := paced.Choose(longPrompt(uint64(i%7+1)), nil, now, one)
		expected, _ := plain.Choose(longPrompt(uint64(i%7+1)), nil, now, other)
		if chosen.ID != expected.ID || chosen.ExpectedFirstEvent() != expected.ExpectedFirstEvent() {
			t.Fatalf("request %d: %+v with paces, %+v without", i, chosen, expected)
		}
		for pool, choice := range map[*balance.Pool]balance.Choice{paced: chosen, plain: expected} {
			pool.RecordReport(choice.ID, balance.LoadReport{Running: 1, Slots: 8}, now)
			pool.RecordRun(choice, 20, time.Duration(1+i%3)*time.Second, 0, now)
			pool.RecordFirstEvent(choice, true, now)
			pool.RecordOutcome(choice, health.Success, 20*time.Millisecond, now, rand.New(rand.NewPCG(1, 2)))
		}
	}
	paced.OwnLoads(requests*10*time.Millisecond, func(_ uint32, load balance.SharedLoad) {
		if load.Pace != (balance.SharedPace{}) {
			t.Errorf("the pace %+v is shared with other processes", load.Pace)
		}
	})
	if known := paced.Paces(requests * 10 * time.Millisecond); known != nil {
		t.Errorf("pace estimates are used: %v", known)
	}
}

// TestSlowServersGetLessWork checks that observations of other processes count even if this one has
// sent nothing to the server.
func TestSlowServersGetLessWork(t *testing.T) {
	const (
		requests = 2000
		slowdown = 4
	)
	random := rand.New(rand.NewPCG(1, 2))
	pool, sharedLoads := newPacePool(2)
	slow, usual := largeSiteMembers()[0].ID, largeSiteMembers()[1].ID
	seen := balance.SharedPace{ReportedSum: 400, ReportedCount: 4, ObservedSum: slowdown * 100 * 40, ObservedCount: 40}
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash(slow): {Pace: seen}}, 0)
	pool.RecordReport(usual, balance.LoadReport{Pace: 1}, 0)
	counts := make(map[string]int)
	for range requests {
		choice, _ := pool.Choose(balance.Demand{}, nil, 0, random)
		counts[choice.ID]++
		if choice.ID == slow && (choice.Pace < 0.8*slowdown || choice.Slowness() != choice.Pace) {
			t.Fatalf("the slow server was chosen as %+v", choice)
		}
		pool.Abandon(choice)
	}
	if counts[slow] == 0 || counts[slow]*(slowdown-1) > counts[usual] {
		t.Errorf("of %d requests %d went to a server that is %d times slower", requests, counts[slow], slowdown)
	}
}

// TestServersThatAreSlowTogetherAreNotAvoided guards against excluding a third of the servers as
// suspect because they are four times slower. Their pace only reduces their share of the work.
func TestServersThatAreSlowTogetherAreNotAvoided(t *testing.T) {
	const (
		servers, slowOnes = 12, 4
		rounds            = 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	pool, sharedLoads := newPacePool(servers)
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{1: {Inflight: 1}}, 0)
	now := time.Duration(0)
	slow := make(map[string]bool)
	for _, member := range largeSiteMembers()[:slowOnes] {
		slow[member.ID] = true
	}
	reached := 0
	for round := range rounds {
		now = time.Duration(round) * time.Second
		for range 30 * servers {
			choice, found := pool.Choose(balance.Demand{}, nil, now, random)
			if !found {
				t.Fatal("no server has room")
			}
			latency := 20 * time.Millisecond
			if slow[choice.ID] {
				latency *= 4
				if round > rounds/2 {
					reached++
				}
			}
			pool.RecordReport(choice.ID, balance.LoadReport{Pace: 1}, now)
			pool.RecordFirstEvent(choice, true, now)
			pool.RecordRun(choice, 10, 9*latency, 1, now)
			pool.RecordOutcome(choice, health.Success, latency, now, random)
		}
		pool.Evaluate(now, random)
	}
	if reached == 0 {
		t.Error("slow servers get no requests")
	}
}

// TestLateFirstEventOfASlowServerIsNotSilence checks that the expected wait for the first event
// grows with the server's pace.
func TestLateFirstEventOfASlowServerIsNotSilence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool, sharedLoads := newPacePool(1)
	server := largeSiteMembers()[0].ID
	pool.RecordReport(server, balance.LoadReport{Pace: 1}, 0)
	seen := balance.SharedPace{ObservedSum: 8 * 100 * 60, ObservedCount: 60}
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash(server): {Pace: seen}}, 0)
	plain := balance.Choice{Uncached: 850}
	choice, _ := pool.Choose(balance.Demand{Parts: []balance.Part{{ID: 1, Tokens: 850}}}, nil, 0, random)
	if choice.ExpectedFirstEvent() < 5*plain.ExpectedFirstEvent() {
		t.Errorf("the first event is expected after %v", choice.ExpectedFirstEvent())
	}
	for now := time.Duration(0); now < 300*time.Millisecond; now += 50 * time.Millisecond {
		pool.Evaluate(now, random)
	}
	pool.RecordFirstEvent(choice, true, 300*time.Millisecond)
	if _, found := pool.Choose(balance.Demand{}, nil, 300*time.Millisecond, random); !found {
		t.Error("the server was ejected")
	}
}

// TestDurationsAreNormalizedByPace checks the conversion of durations, also for unknown paces.
func TestDurationsAreNormalizedByPace(t *testing.T) {
	slow, unknown := balance.Choice{Pace: 2.5}, balance.Choice{}
	if got := slow.NormalizeDuration(5 * time.Second); got != 2*time.Second {
		t.Errorf("5 s at a server of pace 2.5 normalize to %v, want 2s", got)
	}
	if got := slow.ScaleDuration(2 * time.Second); got != 5*time.Second {
		t.Errorf("2 s scale to %v at a server of pace 2.5, want 5s", got)
	}
	if unknown.NormalizeDuration(time.Second) != time.Second || unknown.ScaleDuration(time.Second) != time.Second {
		t.Error("unknown pace does not count as 1")
	}
}

// TestSimultaneousEventsAreNoRunSample checks that events that arrived together are no sample of a
// pace.
func TestSimultaneousEventsAreNoRunSample(t *testing.T) {
	pool, _ := newPacePool(1)
	choice, found := pool.Choose(balance.Demand{}, nil, 0, rand.New(rand.NewPCG(1, 2)))
	if !found || pool.RecordRun(choice, 20, 0, 0, time.Second) || !pool.RecordRun(choice, 20, time.Second, 0, time.Second) {
		t.Fatal("simultaneous events are accepted as a sample, or other events are not")
	}
}
