package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// largeSiteServers is the number of servers of a service on a large site.
const largeSiteServers = 204

func largeSiteMembers() []balance.Member {
	var members []balance.Member
	for i := range largeSiteServers {
		name := fmt.Sprint("server-", i)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 7})
	}
	return members
}

// longPrompt returns a demand with a long part that it shares with others of the subject.
func longPrompt(subject uint64) balance.Demand {
	return balance.Demand{Parts: []balance.Part{{ID: subject, Tokens: 13_000}, {ID: subject << 32, Tokens: 10}}}
}

// TestSharedPartsHaveTheSameAffinityServersEverywhere checks that processes without digests expect a shared
// part at the same servers, independently of the order of members and also after the members have
// changed.
func TestSharedPartsHaveTheSameAffinityServersEverywhere(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	chosen := make(map[uint64]map[string]bool)
	for range 6 {
		members := largeSiteMembers()
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for subject := uint64(1); subject <= 20; subject++ {
			pool := balance.NewPool("service", "here", balance.NewSharedLoads())
			// Caches affinity servers among half of the members, which the next update must discard.
			pool.Update(members[:largeSiteServers/2])
			pool.Choose(longPrompt(subject), nil, 0, random)
			pool.Update(members)
			choice, found := pool.Choose(longPrompt(subject), nil, time.Hour, random)
			if !found {
				t.Fatal("no server is chosen")
			}
			if chosen[subject] == nil {
				chosen[subject] = make(map[string]bool)
			}
			chosen[subject][choice.ID] = true
		}
	}
	for subject, servers := range chosen {
		if len(servers) > 2 {
			t.Errorf("processes expect subject %d at %d servers", subject, len(servers))
		}
	}
}

// TestChoicesOfManyServersSpread checks that prompts of many subjects use many servers.
func TestChoicesOfManyServersSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool("service", "here", balance.NewSharedLoads())
	pool.Update(largeSiteMembers())
	var servers []string
	for subject := uint64(1); subject <= 400; subject++ {
		if choice, found := pool.Choose(longPrompt(subject), nil, 0, random); found {
			servers = append(servers, choice.ID)
		}
	}
	slices.Sort(servers)
	if distinct := len(slices.Compact(servers)); distinct < largeSiteServers/2 {
		t.Errorf("400 subjects went to %d of %d servers", distinct, largeSiteServers)
	}
}

// BenchmarkChoiceAmongManyServers measures a choice on a large site.
func BenchmarkChoiceAmongManyServers(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	sharedLoads := balance.NewSharedLoads()
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{1: {Inflight: 1}}, 0)
	pool := balance.NewPool("service", "here", sharedLoads)
	pool.Update(largeSiteMembers())
	for i := 0; b.Loop(); i++ {
		if choice, found := pool.Choose(longPrompt(uint64(i%500+1)), nil, 0, random); found {
			pool.Abandon(choice)
		}
	}
}

// BenchmarkChoiceByPace measures a choice on a large site whose servers report their pace.
func BenchmarkChoiceByPace(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	sharedLoads := balance.NewSharedLoads()
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{1: {Inflight: 1}}, 0)
	pool := balance.NewPool("service", "here", sharedLoads)
	pool.SetPaceEstimator(pace.New())
	pool.Update(largeSiteMembers())
	for _, member := range largeSiteMembers() {
		pool.RecordReport(member.ID, balance.LoadReport{Pace: 1}, 0)
	}
	for i := 0; b.Loop(); i++ {
		if choice, found := pool.Choose(longPrompt(uint64(i%500+1)), nil, 0, random); found {
			pool.Abandon(choice)
		}
	}
}
