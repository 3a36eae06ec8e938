package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/topology"
)

// newPool returns a pool of the given number of servers, its shared loads and the server names.
func newPool(servers, slots int) (*balance.Pool, *balance.SharedLoads, []string) {
	sharedLoads := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", sharedLoads)
	var names []string
	var members []balance.Member
	for i := range servers {
		name := serverName(i)
		names = append(names, name)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: slots})
	}
	pool.Update(members)
	return pool, sharedLoads, names
}

func serverName(number int) string { return fmt.Sprintf("server-%d", number) }

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestBatchWorkUsesSlotsLeftByOnlineWork checks how many batch requests start besides online work
// of other processes, slowly enough that every start is known.
func TestBatchWorkUsesSlotsLeftByOnlineWork(t *testing.T) {
	const servers, slots = 10, 10
	for online, want := range map[int]int{0: 100, 4: 60, 6: 40, 9: 10, 10: 0} {
		pool, sharedLoads, names := newPool(servers, slots)
		loads := map[uint32]balance.SharedLoad{}
		for _, name := range names {
			loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: online}
		}
		sharedLoads.Apply("router", 1, 1, loads, 0)
		started := 0
		for now := time.Duration(0); now < 30*time.Second; now += 250 * time.Millisecond {
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, now, newRandom(1)); found {
				started++
			}
		}
		if started != want {
			t.Errorf("with %d online requests per server %d batch requests start, want %d", online, started, want)
		}
	}
}

// TestBatchWorkLeavesSlotsToAPacedQueue guards against batch work that takes the slots for which
// online requests wait where these are paced, and has to be preempted for them. A tenth of the slots
// stays for batch work.
func TestBatchWorkLeavesSlotsToAPacedQueue(t *testing.T) {
	for queued, want := range map[int]int{0: 100, 30: 70, 95: 10, 2000: 10} {
		pool, sharedLoads, _ := newPool(10, 10)
		pool.SetOnlineProcesses(20)
		pool.SetMaxLoadAge(250 * time.Millisecond)
		sharedLoads.Apply("router", 1, 1, map[uint32]balance.SharedLoad{balance.QueueHash("service"): {Inflight: queued}}, 0)
		started := 0
		for now := time.Duration(0); now < 30*time.Second; now += 250 * time.Millisecond {
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, now, newRandom(1)); found {
				started++
			}
		}
		if started != want {
			t.Errorf("while %d online requests wait %d batch requests start, want %d", queued, started, want)
		}
	}
}

// TestProcessLeavesBatchSlotsToOtherProcesses checks that recent starts count twice, since the
// other process may have started as many.
func TestProcessLeavesBatchSlotsToOtherProcesses(t *testing.T) {
	pool, _, _ := newPool(20, 10)
	pool.SetBatchProcesses(2)
	started := 0
	for {
		if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, newRandom(1)); !found {
			break
		}
		started++
	}
	if started != 100 {
		t.Fatalf("%d started out of 200 slots, want 100", started)
	}
}

// TestBatchWorkIsPreemptedByShare checks for random loads that processes together preempt about as
// many requests as exceed a server's slots, that none preempts more than it runs, and that nothing
// is preempted while no request waits at the server.
func TestBatchWorkIsPreemptedByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		own := rapid.IntRange(1, 6).Draw(t, "own")
		others := rapid.IntRange(0, 6).Draw(t, "others")
		online := rapid.IntRange(0, 10).Draw(t, "online")
		pool, sharedLoads, names := newPool(1, slots)
		for range own {
			sharedLoads.Expire(time.Hour)
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, newRandom(1)); !found {
				t.Skip("no room for the batch work itself")
			}
		}
		sharedLoads.Apply("others", 1, 1, map[uint32]balance.SharedLoad{
			balance.ServerHash(names[0]): {Inflight: others + online, Batch: others},
		}, 0)
		const rounds = 400
		total := 0
		random := newRandom(rapid.Uint64().Draw(t, "seed"))
		for range rounds {
			pool.PreemptBatch(0, 0, random, func(_ string, requests int) int {
				if requests > own {
					t.Fatalf("%d of %d are preempted", requests, own)
				}
				total += requests
				return requests
			})
		}
		excess := max(0, own+others+online-slots)
		want := min(float64(own), float64(excess)*float64(own)/float64(own+others))
		if got := float64(total) / rounds; got < want-0.2 || got > want+0.2 {
			t.Fatalf("%.2f are preempted on average, want %.2f", got, want)
		}
	})
}

// TestBatchWorkIsPreemptedForQueues checks that all processes together free one slot, once, for
// each online request waiting in the routers.
func TestBatchWorkIsPreemptedForQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		queued := rapid.IntRange(0, 10).Draw(t, "queued")
		own := rapid.IntRange(1, 12).Draw(t, "own")
		others := rapid.IntRange(0, 12).Draw(t, "others")
		random := newRandom(rapid.Uint64().Draw(t, "seed"))
		pool, sharedLoads, names := newPool(4, slots)
		for range own {
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, random); !found {
				t.Skip("no room for the batch work itself")
			}
		}
		sharedLoads.Apply("others", 1, 1, map[uint32]balance.SharedLoad{
			balance.ServerHash(names[0]):  {Inflight: others, Batch: others},
			balance.QueueHash("service"):  {Inflight: queued},
			balance.QueueHash("another"):  {Inflight: 100},
			balance.ServerHash("unknown"): {Inflight: 100, Batch: 100},
		}, 0)
		if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, random); found && queued > 0 {
			t.Fatal("batch work starts while online requests wait")
		}
		total := 0
		const rounds = 300
		for round := range rounds {
			now := time.Duration(round) * time.Second
			give := func() (preempted int) {
				pool.PreemptBatch(0, now, random, func(_ string, requests int) int { preempted += requests; return requests })
				return preempted
			}
			first := give()
			total += first
			if own+others <= slots && first >= queued && give() != 0 {
				t.Fatal("batch work is preempted again before the slots can be taken")
			}
		}
		want := min(float64(own), float64(queued)*float64(own)/float64(own+others))
		if got := float64(total) / rounds; own+others <= slots && (got < want-0.3 || got > want+0.3) {
			t.Fatalf("%.2f are preempted on average, want %.2f", got, want)
		}
	})
}

// TestPacedRequestsUseServersWithBatchWork guards against all online requests going to the few
// servers with a free slot while batch work fills the others.
func TestPacedRequestsUseServersWithBatchWork(t *testing.T) {
	const servers, slots = 4, 4
	pool, sharedLoads, names := newPool(servers, slots)
	pool.SetOnlineProcesses(2)
	pool.SetMaxLoadAge(maxLoadAge)
	loads := map[uint32]balance.SharedLoad{}
	for i, name := range names {
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: slots, Batch: i}
	}
	sharedLoads.Apply("store", 1, 1, loads, 0)
	chosen := make(map[string]int)
	for now := time.Duration(0); now < time.Minute; now += maxLoadAge {
		for _, choice := range startAll(pool, now) {
			chosen[choice.ID]++
		}
	}
	for i, name := range names {
		if chosen[name] != i {
			t.Errorf("%s with %d batch requests in its %d slots got %d online requests", name, i, slots, chosen[name])
		}
	}
	if _, found := pool.Choose(balance.Demand{Batch: true}, nil, time.Minute, newRandom(1)); found {
		t.Error("batch work was started at a full server")
	}
}

// TestBatchSlotsOfRegions: jobs are refused by this number, so it must include servers that are lost for a
// moment, and must not be known if a server does not report its slots.
func TestBatchSlotsOfRegions(t *testing.T) {
	const servers, slots = 20, 8
	sharedLoads := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", sharedLoads)
	loads := make(map[uint32]balance.SharedLoad)
	for i := range servers {
		region := "north"
		if i%2 == 1 {
			region = "south"
		}
		pool.Put(balance.Member{ID: serverName(i), Address: serverName(i), Zone: region, Region: region, Slots: slots, Silent: i == 0})
		loads[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 5, Batch: 3}
	}
	north, west := topology.NewRegionSet([]string{"north"}), topology.NewRegionSet([]string{"west"})
	check := func(regions topology.RegionSet, want int, wantKnown bool) {
		t.Helper()
		if got, known := pool.BatchSlots(regions, 0); known != wantKnown || (known && got != want) {
			t.Errorf("%d slots in %v, known %v, want %d, %v", got, regions.Names(), known, want, wantKnown)
		}
	}
	check(north, servers/2*slots, true)
	check(topology.RegionSet{}, servers*slots, true)
	check(west, 0, false)
	sharedLoads.Apply("router", 1, 1, loads, 0)
	check(north, servers/2*(slots-2), true)
	overloaded := make(map[uint32]balance.SharedLoad)
	for i := range servers {
		overloaded[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 30}
	}
	sharedLoads.Apply("router", 1, 2, overloaded, 0)
	// Batch work may always use a tenth of the slots.
	check(north, servers/2*slots/10, true)
	pool.Put(balance.Member{ID: serverName(0), Address: serverName(0), Zone: "north", Region: "north"})
	check(north, 0, false)
}
