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

// targetServers is the number of servers of the largest site that is planned for.
const targetServers = 1200

// fullBut has the others fill all servers of the target but the listed ones.
func fullBut(servers int, free ...int) (*balance.Pool, *balance.SharedLoads) {
	shares := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", shares)
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
	shares.Apply("others", 1, 1, loads, 0)
	return pool, shares
}

// TestOnlyServerWithRoomIsFound among many, and none is chosen where there is none.
func TestOnlyServerWithRoomIsFound(t *testing.T) {
	for _, batch := range []bool{false, true} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			only := random.IntN(targetServers)
			pool, _ := fullBut(targetServers, only)
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

// TestServerThatGotRoomSinceTheSumsIsFound: the sums over all servers may be older than the
// loads.
func TestServerThatGotRoomSinceTheSumsIsFound(t *testing.T) {
	const later = time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	pool, shares := fullBut(targetServers)
	if choice, found := pool.Choose(balance.Demand{}, nil, 0, random); found {
		t.Fatalf("%v is chosen though it is full", choice.ID)
	}
	loads := make(map[uint32]balance.SharedLoad)
	for i := range targetServers - 1 {
		loads[balance.ServerHash(fmt.Sprint("server-", i))] = balance.SharedLoad{Inflight: 4}
	}
	shares.Apply("others", 1, 2, loads, later)
	choice, found := pool.Choose(balance.Demand{}, nil, later, random)
	if !found || choice.ID != fmt.Sprint("server-", targetServers-1) {
		t.Fatalf("%v, %v", choice.ID, found)
	}
}

// TestTriedServersAreNotTriedAgainAmongMany: also where no other one has room.
func TestTriedServersAreNotTriedAgainAmongMany(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool, _ := fullBut(targetServers, 7, 900)
	first, found := pool.Choose(balance.Demand{}, nil, 0, random)
	if !found {
		t.Fatal("no server is chosen")
	}
	pool.Abandon(first)
	second, found := pool.Choose(balance.Demand{}, []string{first.ID}, 0, random)
	if !found || second.ID == first.ID {
		t.Fatalf("%v after %v, %v", second.ID, first.ID, found)
	}
	pool.Abandon(second)
	if third, found := pool.Choose(balance.Demand{}, []string{first.ID, second.ID}, 0, random); found {
		t.Fatalf("%v is chosen; both servers with room were tried", third.ID)
	}
}

// TestEjectedServerAmongManyGetsItsTrial with the next request after its time has come.
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

// TestPromptGoesWhereItsPartsWereSentAmongMany: also where that is none of their homes.
func TestPromptGoesWhereItsPartsWereSentAmongMany(t *testing.T) {
	const subjects, least = 50, 40
	again := 0
	random := rand.New(rand.NewPCG(1, 2))
	pool, _ := fullBut(0)
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
			t.Fatalf("%v is not known", at)
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

// TestChoiceAmongManyLooksAtAFew of those that have room.
func TestChoiceAmongManyLooksAtAFew(t *testing.T) {
	const most = 60
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(targetServers)
	for i := range 200 {
		choice, found := pool.Choose(longPrompt(uint64(i%20+1)), nil, time.Duration(i)*time.Millisecond, random)
		if !found || choice.Candidates > most {
			t.Fatalf("choice %d looks at %d servers, %v", i, choice.Candidates, found)
		}
		pool.RecordOutcome(choice, health.Success, time.Millisecond, time.Duration(i)*time.Millisecond, random)
	}
}

// TestSmallSitesChooseAmongAll: up to 64 servers, the same requests go to the same servers as
// by weighing all of them in the order of their places, which gave this sum.
func TestSmallSitesChooseAmongAll(t *testing.T) {
	const want = "40 13e51e87e2513cd9"
	sum := fnv.New64a()
	random := rand.New(rand.NewPCG(1, 2))
	pool := sitePool(64)
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

// crowdOfHomes has 50 processes that hear of each other choose 40 times each among many idle
// servers, for prompts that begin with the same part of so many tokens. It returns which part of
// the choices went to the server that is chosen most.
func crowdOfHomes(shared int) float64 {
	const processes, choices, common = 50, 40, 77
	random := rand.New(rand.NewPCG(1, 2))
	chosen := make(map[string]int)
	most := 0
	for range processes {
		pool, shares := fullBut(0)
		shares.Apply("others", 1, 1, nil, 0)
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

// TestPartThatHardlyMattersGathersNoRequestsAtItsHomes: all processes look at the same homes of a
// shared part. Reading 100 tokens takes a server a millisecond, which is nothing beside the
// requests of all processes at two servers; reading 5,000 takes it 60 ms, and is worth the way.
func TestPartThatHardlyMattersGathersNoRequestsAtItsHomes(t *testing.T) {
	const most, least = 0.01, 0.05
	for _, shared := range []int{0, 100} {
		if part := crowdOfHomes(shared); part > most {
			t.Errorf("%v of the requests that share %d tokens go to one of %d servers", part, shared, targetServers)
		}
	}
	if part := crowdOfHomes(5000); part < least {
		t.Errorf("%v of the requests that share 5,000 tokens go to the server that keeps them", part)
	}
}

// TestProcessThatHearsOfNoOtherTakesTheBestOfMany: nobody else meets it there.
func TestProcessThatHearsOfNoOtherTakesTheBestOfMany(t *testing.T) {
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

// TestSlotThatAnOwnRequestLeftIsTakenAmongMany: the next request goes to it nearly always, though
// all others are as free by what all processes see.
func TestSlotThatAnOwnRequestLeftIsTakenAmongMany(t *testing.T) {
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
		t.Errorf("%d of %d requests take the slot that one has just left", taken, rounds)
	}
}

// TestStartsBetweenTheSumsCount: a process that may start a few of the free slots starts no more
// within a moment, however old its sums over a large pool are.
func TestStartsBetweenTheSumsCount(t *testing.T) {
	const free = 8
	places := make([]int, free)
	for i := range places {
		places[i] = i * 100
	}
	random := rand.New(rand.NewPCG(1, 2))
	pool, _ := fullBut(targetServers, places...)
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
