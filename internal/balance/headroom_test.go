package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/balance"
)

// newPool returns a pool of so many servers with the shares that it reads.
func newPool(servers, slots int) (*balance.Pool, *balance.SharedLoads, []string) {
	shares := balance.NewSharedLoads()
	pool := balance.NewPool("service", "here", shares)
	var names []string
	var members []balance.Member
	for i := range servers {
		name := serverName(i)
		names = append(names, name)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: slots})
	}
	pool.Update(members)
	return pool, shares, names
}

func serverName(number int) string { return fmt.Sprintf("server-%d", number) }

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestBatchWorkFillsWhatOnlineWorkLeaves counts the batch requests that start beside
// online work of other processes, slowly enough for all to know of each start.
func TestBatchWorkFillsWhatOnlineWorkLeaves(t *testing.T) {
	const servers, slots = 10, 10
	for online, want := range map[int]int{0: 100, 4: 60, 6: 40, 9: 10, 10: 0} {
		pool, shares, names := newPool(servers, slots)
		loads := map[uint32]balance.SharedLoad{}
		for _, name := range names {
			loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: online}
		}
		shares.Apply("router", 1, 1, loads, 0)
		started := 0
		for now := time.Duration(0); now < 30*time.Second; now += 250 * time.Millisecond {
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, now, seeded(1)); found {
				started++
			}
		}
		if started != want {
			t.Errorf("beside %d online requests a server %d batch requests start, want %d", online, started, want)
		}
	}
}

// TestProcessDoesNotStartAllAtOnceWhatAllMayStart: what was started a moment ago is
// counted twice, since another process may have started as much unseen.
func TestProcessDoesNotStartAllAtOnceWhatAllMayStart(t *testing.T) {
	pool, _, _ := newPool(20, 10)
	pool.SetBatchProcesses(2)
	started := 0
	for {
		if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, seeded(1)); !found {
			break
		}
		started++
	}
	if started != 100 {
		t.Fatalf("%d started of a budget of 200", started)
	}
}

// TestBatchWorkGivesWayByItsShare: over random loads the processes together give up
// about what a server has too much, none more than it has, and nothing where no request
// waits at the server.
func TestBatchWorkGivesWayByItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		own := rapid.IntRange(1, 6).Draw(t, "own")
		others := rapid.IntRange(0, 6).Draw(t, "others")
		online := rapid.IntRange(0, 10).Draw(t, "online")
		pool, shares, names := newPool(1, slots)
		for range own {
			shares.Expire(time.Hour)
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, seeded(1)); !found {
				t.Skip("no room for the batch work itself")
			}
		}
		shares.Apply("others", 1, 1, map[uint32]balance.SharedLoad{
			balance.ServerHash(names[0]): {Inflight: others + online, Batch: others},
		}, 0)
		const rounds = 400
		total := 0
		random := seeded(rapid.Uint64().Draw(t, "seed"))
		for range rounds {
			pool.PreemptBatch(0, 0, random, func(_ string, requests int) int {
				if requests > own {
					t.Fatalf("%d of %d give way", requests, own)
				}
				total += requests
				return requests
			})
		}
		excess := max(0, own+others+online-slots)
		want := min(float64(own), float64(excess)*float64(own)/float64(own+others))
		if got := float64(total) / rounds; got < want-0.2 || got > want+0.2 {
			t.Fatalf("%.2f give way on average, want %.2f", got, want)
		}
	})
}

// TestBatchWorkGivesWayToQueues: online requests that wait in the routers get as many slots
// of batch work as there are of them, once, from all processes together.
func TestBatchWorkGivesWayToQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		queued := rapid.IntRange(0, 10).Draw(t, "queued")
		own := rapid.IntRange(1, 12).Draw(t, "own")
		others := rapid.IntRange(0, 12).Draw(t, "others")
		random := seeded(rapid.Uint64().Draw(t, "seed"))
		pool, shares, names := newPool(4, slots)
		for range own {
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, 0, random); !found {
				t.Skip("no room for the batch work itself")
			}
		}
		shares.Apply("others", 1, 1, map[uint32]balance.SharedLoad{
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
			give := func() (gave int) {
				pool.PreemptBatch(0, now, random, func(_ string, requests int) int { gave += requests; return requests })
				return gave
			}
			first := give()
			total += first
			if own+others <= slots && first >= queued && give() != 0 {
				t.Fatal("batch work gives way again before the slots can be taken")
			}
		}
		want := min(float64(own), float64(queued)*float64(own)/float64(own+others))
		if got := float64(total) / rounds; own+others <= slots && (got < want-0.3 || got > want+0.3) {
			t.Fatalf("%.2f give way on average, want %.2f", got, want)
		}
	})
}

// TestPacedRequestsGoWhereBatchWorkIs: with all slots taken, most of them by batch work, the
// few servers with a free slot got all online requests of all processes together.
func TestPacedRequestsGoWhereBatchWorkIs(t *testing.T) {
	const servers, slots = 4, 4
	pool, shares, names := newPool(servers, slots)
	pool.SetOnlineProcesses(2)
	pool.SetMaxLoadAge(viewAge)
	loads := map[uint32]balance.SharedLoad{}
	for i, name := range names {
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: slots, Batch: i}
	}
	shares.Apply("store", 1, 1, loads, 0)
	chosen := make(map[string]int)
	for now := time.Duration(0); now < time.Minute; now += viewAge {
		for _, choice := range startAll(pool, now) {
			chosen[choice.ID]++
		}
	}
	for i, name := range names {
		if chosen[name] != i {
			t.Errorf("%s with %d batch requests in its %d slots got %d online requests", name, i, slots, chosen[name])
		}
	}
	if _, found := pool.Choose(balance.Demand{Batch: true}, nil, time.Minute, seeded(1)); found {
		t.Error("batch work was started at a full server")
	}
}
