package balance_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// targetServers is the number of servers of the largest planned site.
const targetServers = 1200

// poolWithFree returns a pool where other processes fill all servers except one slot at each of the
// listed ones.
func poolWithFree(servers int, free ...int) (*balance.Pool, *balance.SharedLoads) {
	sharedLoads := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", sharedLoads)
	var members []balance.Member
	loads := make(map[uint32]balance.SharedLoad)
	for i := range servers {
		name := fmt.Sprint("server-", i)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 4})
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 4}
	}
	for _, each := range free {
		loads[balance.ServerHash(fmt.Sprint("server-", each))] = balance.SharedLoad{Inflight: 3}
	}
	pool.Update(members)
	sharedLoads.Apply("others", 1, 1, loads, 0)
	return pool, sharedLoads
}

// TestOnlyServerWithRoomIsFound checks that the only server with room among many is found, and that
// none is chosen if all are full.
func TestOnlyServerWithRoomIsFound(t *testing.T) {
	for _, batch := range []bool{false, true} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			only := random.IntN(targetServers)
			pool, _ := poolWithFree(targetServers, only)
			demand := balance.Demand{Batch: batch}
			choice, found := pool.Choose(demand, nil, 0, random)
			if !found || choice.ID != fmt.Sprint("server-", only) {
				t.Fatalf("seed %d, batch %v: %v, %v; only server-%d has room", seed, batch, choice.ID, found, only)
			}
			if _, found := pool.Choose(demand, nil, 0, random); found {
				t.Fatalf("seed %d, batch %v: a full server is chosen", seed, batch)
			}
		}
	}
}

// TestServerWithRoomSinceTheLastSummaryIsFound guards against missing a server that got room after
// the sums were computed.
func TestServerWithRoomSinceTheLastSummaryIsFound(t *testing.T) {
	const later = time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	pool, sharedLoads := poolWithFree(targetServers)
	if choice, found := pool.Choose(balance.Demand{}, nil, 0, random); found {
		t.Fatalf("%v is chosen though it is full", choice.ID)
	}
	loads := make(map[uint32]balance.SharedLoad)
	for i := range targetServers - 1 {
		loads[balance.ServerHash(fmt.Sprint("server-", i))] = balance.SharedLoad{Inflight: 4}
	}
	sharedLoads.Apply("others", 1, 2, loads, later)
	choice, found := pool.Choose(balance.Demand{}, nil, later, random)
	if !found || choice.ID != fmt.Sprint("server-", targetServers-1) {
		t.Fatalf("chose %q, %v; only the last server has room", choice.ID, found)
	}
}

// TestTriedServersAreNotTriedAgainAmongMany checks that tried servers are excluded even if no other
// one has room.
func TestTriedServersAreNotTriedAgainAmongMany(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool, _ := poolWithFree(targetServers, 7, 900)
	first, found := pool.Choose(balance.Demand{}, nil, 0, random)
	if !found {
		t.Fatal("no server is chosen")
	}
	pool.Abandon(first)
	second, found := pool.Choose(balance.Demand{}, []string{first.ID}, 0, random)
	if !found || second.ID == first.ID {
		t.Fatalf("chose %v after %v, %v", second.ID, first.ID, found)
	}
	pool.Abandon(second)
	if third, found := pool.Choose(balance.Demand{}, []string{first.ID, second.ID}, 0, random); found {
		t.Fatalf("%v is chosen; both servers with room were tried", third.ID)
	}
}

// TestEjectedServerAmongManyGetsItsTrial checks that the next request after an ejection has expired
// is the trial.
func TestEjectedServerAmongManyGetsItsTrial(t *testing.T) {
	const held = time.Minute
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(targetServers)
	sick, found := pool.Choose(balance.Demand{}, nil, 0, random)
	if !found {
		t.Fatal("no server is chosen")
	}
	for range 8 {
		pool.RecordOutcome(sick, health.Failure, 0, 0, random)
	}
	pool.Evaluate(time.Second, random)
	choice, found := pool.Choose(balance.Demand{}, nil, held, random)
	if !found || choice.ID != sick.ID {
		t.Errorf("%v is chosen, %v; %v is due for a trial", choice.ID, found, sick.ID)
	}
	if choice, _ := pool.Choose(balance.Demand{}, nil, held, random); choice.ID == sick.ID {
		t.Errorf("%v gets a second request while its trial runs", sick.ID)
	}
}

// ejectOne returns a server of the pool that is ejected at time 0.
func ejectOne(t *testing.T, pool *balance.Pool, demand balance.Demand, random *rand.Rand) balance.Choice {
	t.Helper()
	sick, found := pool.Choose(demand, nil, 0, random)
	if !found {
		t.Fatal("no server is chosen")
	}
	for range 8 {
		pool.RecordOutcome(sick, health.Failure, 0, 0, random)
	}
	pool.Evaluate(time.Second, random)
	return sick
}

// TestAbandonedTrialIsRepeated guards against a server that gets no further trial because the client of the
// first one went away.
func TestAbandonedTrialIsRepeated(t *testing.T) {
	const held = time.Minute
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(targetServers)
	sick := ejectOne(t, pool, balance.Demand{}, random)
	for attempt := range 3 {
		choice, found := pool.Choose(balance.Demand{}, nil, held, random)
		if !found || choice.ID != sick.ID {
			t.Fatalf("attempt %d: %v is chosen, %v; %v is due for a trial", attempt, choice.ID, found, sick.ID)
		}
		pool.Abandon(choice)
	}
}

// TestPromptGoesWhereItsPartsWereSentAmongMany checks that prompts return to servers that are not
// affinity servers of their parts.
func TestPromptGoesWhereItsPartsWereSentAmongMany(t *testing.T) {
	const subjects, least = 50, 40
	again := 0
	random := rand.New(rand.NewPCG(1, 2))
	pool, _ := poolWithFree(0)
	var members []balance.Member
	for i := range targetServers {
		name := fmt.Sprint("server-", i)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 4})
	}
	pool.Update(members)
	for subject := range uint64(subjects) {
		demand := longPrompt(subject + 1)
		at := fmt.Sprint("server-", random.IntN(targetServers))
		sent, found := pool.StartAt(at, demand, 0)
		if !found {
			t.Fatalf("%v is not a member", at)
		}
		pool.Abandon(sent)
		if choice, _ := pool.Choose(demand, nil, time.Second, random); choice.ID == at {
			again++
		}
	}
	if again < least {
		t.Errorf("%d of %d prompts go where their parts were sent", again, subjects)
	}
}

func TestChoiceAmongManyConsidersFew(t *testing.T) {
	const most = 60
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(targetServers)
	for i := range 200 {
		choice, found := pool.Choose(longPrompt(uint64(i%20+1)), nil, time.Duration(i)*time.Millisecond, random)
		if !found || choice.Candidates > most {
			t.Fatalf("choice %d considers %d servers, %v", i, choice.Candidates, found)
		}
		pool.RecordOutcome(choice, health.Success, time.Millisecond, time.Duration(i)*time.Millisecond, random)
	}
}

// TestSmallSitesChooseAmongAll checks that up to 64 servers are all considered in the order of
// their places. The expected checksum is that of such choices.
func TestSmallSitesChooseAmongAll(t *testing.T) {
	const want = "40 3eda7dc3a315a543"
	sum := fnv.New64a()
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(64)
	// Pacing limits how many requests start, not where.
	pool.SetOnlineProcesses(1)
	var open []balance.Choice
	for i := range 3000 {
		now := time.Duration(i) * 3 * time.Millisecond
		demand := longPrompt(uint64(random.IntN(30) + 1))
		demand.Batch = i%5 == 0
		if choice, found := pool.Choose(demand, nil, now, random); found {
			_, _ = fmt.Fprint(sum, choice.ID, choice.Candidates, choice.Uncached)
			open = append(open, choice)
			pool.RecordReport(choice.ID, balance.LoadReport{Running: random.IntN(8), Pace: 1 + random.Float64()}, now)
		}
		if len(open) > 40 {
			outcome := health.Success
			if i%17 == 0 {
				outcome = health.Failure
			}
			pool.RecordFirstEvent(open[0], true, now)
			pool.RecordOutcome(open[0], outcome, 20*time.Millisecond, now, random)
			open = open[1:]
		}
		if i%100 == 0 {
			pool.Evaluate(now, random)
		}
	}
	if got := fmt.Sprintf("%d %x", len(open), sum.Sum64()); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// busiestServerFraction has 50 processes make 40 choices each among many idle servers, for prompts
// that share a first part of the given number of tokens. It returns the fraction of the requests
// that went to the most chosen server.
func busiestServerFraction(shared int) float64 {
	const processes, choices, common = 50, 40, 77
	random := rand.New(rand.NewPCG(1, 2))
	chosen := make(map[string]int)
	most := 0
	for range processes {
		pool, sharedLoads := poolWithFree(0)
		sharedLoads.Apply("others", 1, 1, nil, 0)
		var members []balance.Member
		for i := range targetServers {
			name := fmt.Sprint("server-", i)
			members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 8})
		}
		pool.Update(members)
		for range choices {
			parts := []balance.Part{{ID: common, Tokens: shared}, {ID: random.Uint64(), Tokens: 100}}
			choice, found := pool.Choose(balance.Demand{Parts: parts}, nil, 0, random)
			if !found {
				continue
			}
			chosen[choice.ID]++
			most = max(most, chosen[choice.ID])
		}
	}
	return float64(most) / (processes * choices)
}

// TestPartThatHardlyMattersGathersNoRequestsAtItsAffinityServers guards against all processes sending
// requests to the affinity servers of a short shared part: 100 tokens take about a millisecond to prefill,
// 5,000 take 60 ms.
func TestPartThatHardlyMattersGathersNoRequestsAtItsAffinityServers(t *testing.T) {
	const most, least = 0.01, 0.05
	for _, shared := range []int{0, 100} {
		if part := busiestServerFraction(shared); part > most {
			t.Errorf("%v of the requests that share %d tokens go to the busiest of %d servers", part, shared, targetServers)
		}
	}
	if part := busiestServerFraction(5000); part < least {
		t.Errorf("%v of the requests that share 5,000 tokens go to the busiest server", part)
	}
}

// TestProcessWithoutPeersTakesTheBestServer checks that a process without peers isn't limited to a
// sample.
func TestProcessWithoutPeersTakesTheBestServer(t *testing.T) {
	const servers, idle = 300, "server-123"
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool("service", "here", balance.NewSharedLoads())
	var members []balance.Member
	for i := range servers {
		name := fmt.Sprint("server-", i)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 4})
	}
	pool.Update(members)
	for _, member := range members {
		if member.ID != idle {
			pool.RecordReport(member.ID, balance.LoadReport{Running: 3, Slots: 4}, 0)
		}
	}
	for range 20 {
		choice, found := pool.Choose(balance.Demand{}, nil, time.Millisecond, random)
		if !found || choice.ID != idle {
			t.Fatalf("%v is chosen, %v; all but %v have one slot left", choice.ID, found, idle)
		}
		pool.Abandon(choice)
	}
}

// TestFreedSlotIsReusedAmongMany checks that a request nearly always takes a slot that this process
// just freed, although other servers look as free to all processes.
func TestFreedSlotIsReusedAmongMany(t *testing.T) {
	const rounds, least = 50, 40
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(targetServers)
	taken := 0
	for round := range rounds {
		now := time.Duration(round) * time.Second
		first, found := pool.Choose(longPrompt(random.Uint64()), nil, now, random)
		if !found {
			t.Fatal("no server is chosen")
		}
		pool.RecordReport(first.ID, balance.LoadReport{Pace: 1}, now)
		pool.RecordFirstEvent(first, true, now)
		pool.RecordOutcome(first, health.Success, time.Millisecond, now, random)
		next, found := pool.Choose(balance.Demand{}, nil, now+time.Millisecond, random)
		if found && next.ID == first.ID {
			taken++
		}
		pool.Abandon(next)
	}
	if taken < least {
		t.Errorf("%d of %d requests take the slot that was just freed", taken, rounds)
	}
}

// TestStartsBetweenSummariesCount checks that a process doesn't exceed the free slots between two
// computations of the sums over a large pool.
func TestStartsBetweenSummariesCount(t *testing.T) {
	const free = 8
	places := make([]int, free)
	for i := range places {
		places[i] = i * 100
	}
	random := rand.New(rand.NewPCG(1, 2))
	pool, _ := poolWithFree(targetServers, places...)
	pool.SetBatchProcesses(1)
	started := 0
	for range 3 * free {
		if _, found := pool.Choose(balance.Demand{Batch: true}, nil, time.Millisecond, random); found {
			started++
		}
	}
	if started != free {
		t.Errorf("%d batch requests were started in %d free slots", started, free)
	}
}
