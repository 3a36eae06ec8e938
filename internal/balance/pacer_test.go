package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/health"
)

// poolByPace is a pool of some servers that chooses by paces, as one of several processes.
func poolByPace(servers int) (*balance.Pool, *balance.SharedLoads) {
	shares := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", shares)
	pool.SetPaceEstimator(pace.New())
	pool.Update(manyMembers()[:servers])
	return pool, shares
}

// TestServersThatTellNoPaceAreChosenAsWithoutPaces: on sites whose servers do not tell it, the
// same requests go to the same servers, whatever runs show.
func TestServersThatTellNoPaceAreChosenAsWithoutPaces(t *testing.T) {
	const servers, requests = 12, 400
	paced, _ := poolByPace(servers)
	plain := balance.NewPool("service", "here", balance.NewSharedLoads())
	plain.Update(manyMembers()[:servers])
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
			t.Errorf("others are told %+v", load.Pace)
		}
	})
	if known := paced.Paces(requests * 10 * time.Millisecond); known != nil {
		t.Errorf("the paces count as known: %v", known)
	}
}

// TestSlowServersGetLessWork: what other processes saw of a server counts although this one
// has sent nothing there.
func TestSlowServersGetLessWork(t *testing.T) {
	const (
		requests = 2000
		slowdown = 4
	)
	random := rand.New(rand.NewPCG(1, 2))
	pool, shares := poolByPace(2)
	slow, usual := manyMembers()[0].ID, manyMembers()[1].ID
	seen := balance.SharedPace{ReportedSum: 400, ReportedCount: 4, ObservedSum: slowdown * 100 * 40, ObservedCount: 40}
	shares.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash(slow): {Pace: seen}}, 0)
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

// TestServersThatAreSlowTogetherAreNotAvoided: a third of the servers answers four times as
// late as the others. Their paces leave them what they can do; as suspects they would get
// nothing while the others have room.
func TestServersThatAreSlowTogetherAreNotAvoided(t *testing.T) {
	const (
		servers, slowOnes = 12, 4
		rounds            = 20
	)
	random := rand.New(rand.NewPCG(1, 2))
	pool, shares := poolByPace(servers)
	shares.Apply("other", 1, 1, map[uint32]balance.SharedLoad{1: {Inflight: 1}}, 0)
	now := time.Duration(0)
	slow := make(map[string]bool)
	for _, member := range manyMembers()[:slowOnes] {
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
		t.Error("servers that are slow get nothing")
	}
}

// TestLateFirstEventOfASlowServerIsNotSilence: the wait for it is expected to be as many times
// longer as the server is slower.
func TestLateFirstEventOfASlowServerIsNotSilence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool, shares := poolByPace(1)
	server := manyMembers()[0].ID
	pool.RecordReport(server, balance.LoadReport{Pace: 1}, 0)
	seen := balance.SharedPace{ObservedSum: 8 * 100 * 60, ObservedCount: 60}
	shares.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash(server): {Pace: seen}}, 0)
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
		t.Error("the server is out")
	}
}

// TestRunsAreComparedByWhatAUsualServerNeeds: where paces are not known all are usual.
func TestRunsAreComparedByWhatAUsualServerNeeds(t *testing.T) {
	slow, unknown := balance.Choice{Pace: 2.5}, balance.Choice{}
	if got := slow.NormalizeDuration(5 * time.Second); got != 2*time.Second {
		t.Errorf("5 s at a server that is 2.5 times slower are %v", got)
	}
	if got := slow.ScaleDuration(2 * time.Second); got != 5*time.Second {
		t.Errorf("2 s are %v there", got)
	}
	if unknown.NormalizeDuration(time.Second) != time.Second || unknown.ScaleDuration(time.Second) != time.Second {
		t.Error("a server of unknown pace is not usual")
	}
}

// TestEventsThatCameTogetherTellNoPace: how long they took is not known.
func TestEventsThatCameTogetherTellNoPace(t *testing.T) {
	pool, _ := poolByPace(1)
	choice, found := pool.Choose(balance.Demand{}, nil, 0, rand.New(rand.NewPCG(1, 2)))
	if !found || pool.RecordRun(choice, 20, 0, 0, time.Second) || !pool.RecordRun(choice, 20, time.Second, 0, time.Second) {
		t.Fatal("events that came at one time are taken for a sight, or others are not")
	}
}
