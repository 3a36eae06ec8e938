package balance_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// startedPool returns the pool of one of ten processes that has just started and knows no loads,
// with ten servers of ten slots.
func startedPool() (*balance.Pool, *balance.SharedLoads) {
	pool, sharedLoads, _ := newPool(10, 10)
	pool.SetOnlineProcesses(10)
	pool.SetBatchProcesses(2)
	pool.SetMaxLoadAge(maxLoadAge)
	pool.SetWaiting(45, 0)
	sharedLoads.SetStarted(time.Hour.Milliseconds())
	return pool, sharedLoads
}

// reportAll records that all servers report a load.
func reportAll(pool *balance.Pool, load int, now time.Duration) {
	for i := range 10 {
		pool.RecordReport(serverName(i), balance.LoadReport{Running: load, Slots: 10}, now)
	}
}

// TestStartedProcessTakesItsEvenPart guards against a process that takes most of the slots because
// it does not know yet that as many requests wait at the other processes. Half of the slots may
// have orphaned requests, until the servers or the stores report how many there are.
func TestStartedProcessTakesItsEvenPart(t *testing.T) {
	pool, sharedLoads := startedPool()
	if started := len(startAll(pool, time.Second)); started != 5 {
		t.Fatalf("%d requests start before anything is known, want 5", started)
	}
	reportAll(pool, 2, time.Second+10*time.Millisecond)
	if more := len(startAll(pool, time.Second+10*time.Millisecond)); more != 2 {
		t.Fatalf("%d more start once all servers have reported two requests, want 2", more)
	}
	counts := map[string]int{serverName(0): 1}
	sharedLoads.SetOrphaned(counts, false)
	if more := len(startAll(pool, time.Second+15*time.Millisecond)); more != 0 {
		t.Fatalf("%d more start once one request is counted as orphaned at one server of ten, want none", more)
	}
	for i := range 9 {
		counts[serverName(i+1)] = 0
	}
	sharedLoads.SetOrphaned(counts, false)
	if more := len(startAll(pool, time.Second+20*time.Millisecond)); more != 2 {
		t.Fatalf("%d more start once the orphaned requests are counted at all servers, want 2", more)
	}
	if more := len(startAll(pool, time.Second+200*time.Millisecond)); more != 0 {
		t.Fatalf("%d more start later without any knowledge", more)
	}
}

// TestStartedProcessReusesItsSlots checks that the limit applies to the requests in flight.
func TestStartedProcessReusesItsSlots(t *testing.T) {
	pool, _ := startedPool()
	started := startAll(pool, time.Second)
	for _, choice := range started[:3] {
		pool.RecordOutcome(choice, health.Success, time.Millisecond, time.Second+10*time.Millisecond, newRandom(1))
	}
	if again := len(startAll(pool, time.Second+10*time.Millisecond)); again != 3 {
		t.Fatalf("%d requests start after three have ended", again)
	}
}

// TestLimitEndsWithTheLoadsOfOthers checks from when on the digests of others end the limit.
func TestLimitEndsWithTheLoadsOfOthers(t *testing.T) {
	const first = time.Second
	young, old := time.Hour.Milliseconds()-20, time.Hour.Milliseconds()-2000
	for _, each := range []struct {
		name    string
		senders int
		started int64
		after   time.Duration
		ends    bool
	}{
		{"few processes", 3, young, 100 * time.Millisecond, false},
		{"most processes", 9, young, 10 * time.Millisecond, true},
		{"few processes for long, the others may be gone", 3, young, 3 * maxLoadAge, true},
		{"a process that did not restart", 1, old, 10 * time.Millisecond, true},
	} {
		pool, sharedLoads := startedPool()
		startAll(pool, first)
		for i := range each.senders {
			sharedLoads.Apply(fmt.Sprint("process-", i), each.started, 1, map[uint32]balance.SharedLoad{}, first)
		}
		startAll(pool, first+each.after)
		if ended := len(startAll(pool, first+each.after+maxLoadAge)) > 0; ended != each.ends {
			t.Errorf("%s: the limit has ended: %v", each.name, ended)
		}
	}
}

// TestStartLimitCanBeSwitchedOff guards against a limit, or a rule for late requests and batch work, that
// goes on although an operator has switched it off.
func TestStartLimitCanBeSwitchedOff(t *testing.T) {
	for _, demand := range []balance.Demand{{}, {Late: true}, {Batch: true}} {
		start := func(pool *balance.Pool) (started int) {
			for {
				if _, found := pool.Choose(demand, nil, time.Second, newRandom(1)); !found {
					return started
				}
				started++
			}
		}
		limited, _ := startedPool()
		pool, _ := startedPool()
		pool.DisableStartLimit()
		if off, on := start(pool), start(limited); off <= on {
			t.Errorf("%+v: %d requests start without the limit, %d with it", demand, off, on)
		}
		if pool.StartLimit().Active {
			t.Errorf("%+v: the limit is shown as active", demand)
		}
	}
}

// TestProcessThatHearsNobodyGoesByReports guards against a process alone on its side of a partition
// that leaves servers empty, or overfills them, for as long as the partition lasts.
func TestProcessThatHearsNobodyGoesByReports(t *testing.T) {
	pool, _ := startedPool()
	var choices []balance.Choice
	now := time.Duration(0)
	run := func(until time.Duration, load func() int) int {
		for ; now < until; now += 25 * time.Millisecond {
			reportAll(pool, load(), now)
			choices = append(choices, startAll(pool, now)...)
		}
		return len(choices)
	}
	own := func() int { return len(choices) / 10 }
	if started := run(900*time.Millisecond, own); started > 10 {
		t.Fatalf("%d requests start while digests may still arrive, want no more than the even part", started)
	}
	if started := run(20*time.Second, own); started < 60 {
		t.Fatalf("%d requests start on 100 slots that are free by the reports of servers", started)
	}
	for _, choice := range choices {
		pool.RecordOutcome(choice, health.Success, time.Millisecond, now, newRandom(1))
	}
	choices = nil
	if started := run(25*time.Second, func() int { return 14 }); started > 3 {
		t.Fatalf("%d requests start at servers that report more requests than slots", started)
	}
}

// TestProcessThatRestartsAloneIsNotHeldBack guards against counting the reported load of processes
// that continue as orphaned requests, beside their digests.
func TestProcessThatRestartsAloneIsNotHeldBack(t *testing.T) {
	pool, sharedLoads := startedPool()
	startAll(pool, time.Second)
	reportAll(pool, 6, time.Second+10*time.Millisecond)
	startAll(pool, time.Second+20*time.Millisecond)
	loads := map[uint32]balance.SharedLoad{balance.QueueHash("service"): {Inflight: 0}}
	for i := range 10 {
		loads[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 5}
	}
	sharedLoads.ApplyGroup("delegate", "here", 9, time.Hour.Milliseconds()-5000, 1, loads, time.Second+30*time.Millisecond)
	pool.SetWaiting(45, 45)
	if started := len(startAll(pool, time.Second+30*time.Millisecond+maxLoadAge)); started < 20 {
		t.Fatalf("%d requests start although 45 wait here alone and some 45 slots are free", started)
	}
}

// TestAssumedOrphanedRequestsPassOver guards against processes that take the slots of orphaned requests
// as soon as they know each other's loads, before the stores have counted these.
func TestAssumedOrphanedRequestsPassOver(t *testing.T) {
	pool, sharedLoads := startedPool()
	startAll(pool, time.Second)
	for i := range 9 {
		sharedLoads.Apply(fmt.Sprint("process-", i), time.Hour.Milliseconds()-20, 1, map[uint32]balance.SharedLoad{}, time.Second)
	}
	started := 0
	for now := time.Second; now <= time.Second+maxLoadAge; now += maxLoadAge / 5 {
		started += len(startAll(pool, now))
	}
	if started > 20 {
		t.Fatalf("%d requests start, want about 0.4 of the 45 slots that are free beside 50 orphaned requests", started)
	}
}

// TestAssumedOrphanedRequestsCountUntilLateStoresCountThem guards against processes that take the slots of
// orphaned requests before the stores, which return later, have counted these. Once most servers are counted, or
// a digest of a process that did not restart has arrived, no orphaned requests are assumed any more.
func TestAssumedOrphanedRequestsCountUntilLateStoresCountThem(t *testing.T) {
	const restarted, older = 20, 2000
	start := func(reported int, later func(sharedLoads *balance.SharedLoads, now time.Duration)) int {
		pool, sharedLoads := startedPool()
		pool.SetWaiting(45, 45)
		startAll(pool, time.Second)
		if reported > 0 {
			reportAll(pool, reported, time.Second+10*time.Millisecond)
		}
		startAll(pool, time.Second+20*time.Millisecond)
		sequence, started := uint64(0), 0
		for now := time.Second + 30*time.Millisecond; now <= 2*time.Second; now += maxLoadAge / 5 {
			sequence++
			for i := range 9 {
				load := map[uint32]balance.SharedLoad{balance.ServerHash(serverName(i)): {Inflight: 5}}
				sharedLoads.Apply(fmt.Sprint("process-", i), time.Hour.Milliseconds()-restarted, sequence, load, now)
			}
			if now > 1800*time.Millisecond {
				later(sharedLoads, now)
			}
			started += len(startAll(pool, now))
		}
		return started
	}
	nothing := func(*balance.SharedLoads, time.Duration) {}
	if started := start(5, nothing); started > 25 {
		t.Errorf("%d requests start in the slots of 50 orphaned requests within a second, want half of these at most", started)
	}
	if started := start(0, nothing); started < 10 {
		t.Errorf("%d requests start within a second although no server has reported a load", started)
	}
	counted := func(sharedLoads *balance.SharedLoads, _ time.Duration) {
		counts := make(map[string]int)
		for i := range 10 {
			counts[serverName(i)] = 0
		}
		sharedLoads.SetOrphaned(counts, false)
	}
	if started := start(5, counted); started < 10 {
		t.Errorf("%d requests start although the stores have counted no orphaned requests", started)
	}
	survivor := func(sharedLoads *balance.SharedLoads, now time.Duration) {
		sharedLoads.Apply("survivor", time.Hour.Milliseconds()-older, uint64(now), map[uint32]balance.SharedLoad{}, now)
	}
	if started := start(5, survivor); started < 10 {
		t.Errorf("%d requests start although the reported loads are those of processes that did not restart", started)
	}
}

// TestNewDelegateIsNoLossOfContact guards against a second limit, which discards the assumed orphaned requests,
// when the sums of a new delegate replace others and cover fewer processes at first. After a loss of contact the
// limit applies again.
func TestNewDelegateIsNoLossOfContact(t *testing.T) {
	pool, sharedLoads := startedPool()
	startAll(pool, time.Second)
	young := time.Hour.Milliseconds() - 20
	sharedLoads.ApplyGroup("first", "there", 8, young, 1, map[uint32]balance.SharedLoad{}, time.Second)
	sharedLoads.ApplyGroup("neighbour", "here", 3, young, 1, map[uint32]balance.SharedLoad{}, time.Second)
	startAll(pool, time.Second+10*time.Millisecond)
	sharedLoads.ApplyGroup("second", "there", 1, young, 1, map[uint32]balance.SharedLoad{}, time.Second+20*time.Millisecond)
	startAll(pool, time.Second+20*time.Millisecond)
	if limit := pool.StartLimit(); limit.Active || limit.Orphaned == 0 {
		t.Fatalf("after a change of the delegate the limit is %+v", limit)
	}
	sharedLoads.Expire(3 * time.Second)
	sharedLoads.ApplyGroup("second", "there", 1, young, 2, map[uint32]balance.SharedLoad{}, 3*time.Second)
	startAll(pool, 3*time.Second+10*time.Millisecond)
	if !pool.StartLimit().Active {
		t.Fatal("no limit applies after a loss of contact while one of nine processes is covered")
	}
}

// TestLateRequestsHaveNoShareAfterARestart guards against slots that stay empty while requests in time wait, because
// their processes leave most of the free slots to others that have only late requests, which may not start.
func TestLateRequestsHaveNoShareAfterARestart(t *testing.T) {
	pool, sharedLoads := startedPool()
	pool.SetWaiting(9, 9)
	startAll(pool, time.Second)
	counts := make(map[string]int)
	for i := range 10 {
		counts[serverName(i)] = 0
	}
	sharedLoads.SetOrphaned(counts, false)
	loads := map[uint32]balance.SharedLoad{balance.QueueHash("service"): {Inflight: 400}}
	for i := range 9 {
		loads[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 8}
	}
	sharedLoads.ApplyGroup("delegate", "there", 9, time.Hour.Milliseconds()-20, 1, loads, time.Second)
	// Its share is half of the 23 free slots, less what the others are assumed to have started.
	if started := len(startAll(pool, time.Second+maxLoadAge)); started < 9 {
		t.Fatalf("%d requests start while no other process has requests in time", started)
	}
}

// TestNothingIsLimitedForAProcessAlone, nor where the slots of servers are unknown.
func TestNothingIsLimitedForAProcessAlone(t *testing.T) {
	pool, _ := startedPool()
	pool.SetOnlineProcesses(1)
	if started := len(startAll(pool, time.Second)); started != 100 {
		t.Fatalf("%d requests start on 100 slots", started)
	}
	pool, _ = startedPool()
	pool.Put(balance.Member{ID: "unknown", Address: "unknown", Zone: "here"})
	for range 200 {
		if _, found := pool.Choose(balance.Demand{}, nil, time.Second, newRandom(1)); !found {
			t.Fatal("a request does not start although the slots of a server are unknown")
		}
	}
}

// TestMeshIsLimitedShortly: in a mesh digests arrive within a tenth of a second.
func TestMeshIsLimitedShortly(t *testing.T) {
	pool, _ := startedPool()
	pool.SetMaxLoadAge(0)
	if started := len(startAll(pool, time.Second)); started != 5 {
		t.Fatalf("%d requests start before anything is known, want 5", started)
	}
	if started := len(startAll(pool, time.Second+200*time.Millisecond)); started != 95 {
		t.Fatalf("%d requests start on 95 free slots after digests have not arrived", started)
	}
}

// TestExcessAtServersIsTakenOff guards against queues at servers that last as long as requests wait
// in processes, since each reuses the slots that it frees.
func TestExcessAtServersIsTakenOff(t *testing.T) {
	pool, sharedLoads := pacedPool(100)
	started := startAll(pool, time.Second)
	loads := make(map[uint32]balance.SharedLoad)
	for i := range 10 {
		loads[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 14}
	}
	sharedLoads.Apply("others", 1, 2, loads, time.Second)
	again := 0
	for i := range 10 {
		now := time.Second + time.Duration(i+1)*maxLoadAge/10
		pool.RecordOutcome(started[i], health.Success, time.Millisecond, now, newRandom(1))
		again += len(startAll(pool, now))
	}
	if again > 8 {
		t.Fatalf("%d requests start in ten freed slots while 50 requests queue at servers", again)
	}
}

// TestLateRequestsLeaveSlots checks that a late request leaves a slot to one that can be in time,
// and that it starts where enough slots are left.
func TestLateRequestsLeaveSlots(t *testing.T) {
	pool, _ := startedPool()
	late, started := balance.Demand{Late: true}, 0
	if _, found := pool.Choose(late, nil, 900*time.Millisecond, newRandom(1)); found {
		t.Fatal("a late request starts before the arrivals are known")
	}
	for {
		if _, found := pool.Choose(late, nil, time.Second, newRandom(1)); !found {
			break
		}
		started++
	}
	if timely := len(startAll(pool, time.Second)); started != 4 || timely != 1 {
		t.Fatalf("%d late requests and then %d timely ones start, want 4 and 1", started, timely)
	}
}

// TestLateRequestsLeaveTheExpectedSlots guards against late requests of a backlog that take the slots of
// requests which arrive in time within the next few hundred milliseconds.
func TestLateRequestsLeaveTheExpectedSlots(t *testing.T) {
	pool, _ := startedPool()
	pool.SetExpectedTimely(3)
	late, started := balance.Demand{Late: true}, 0
	for _, now := range []time.Duration{900 * time.Millisecond, time.Second} {
		for {
			if _, found := pool.Choose(late, nil, now, newRandom(1)); !found {
				break
			}
			started++
		}
	}
	if timely := len(startAll(pool, time.Second)); started != 2 || timely != 3 {
		t.Fatalf("%d late requests and then %d timely ones start on a part of 5 slots, want 2 and 3", started, timely)
	}
}

// TestBatchWorkWaitsForTheLoadsOfOthers guards against stores that fill the slots with batch work while
// the routers of a returning site are about to start the requests that wait there.
func TestBatchWorkWaitsForTheLoadsOfOthers(t *testing.T) {
	startBatch := func(pool *balance.Pool, now time.Duration) (started int) {
		for {
			if _, found := pool.Choose(balance.Demand{Batch: true}, nil, now, newRandom(1)); !found {
				return started
			}
			started++
		}
	}
	pool, _ := startedPool()
	if started := startBatch(pool, time.Second); started != 0 {
		t.Errorf("%d batch requests start before anything is known", started)
	}
	if started := startBatch(pool, 2200*time.Millisecond); started != 5 {
		t.Errorf("%d batch requests start after digests have not arrived, want half of a tenth of the slots", started)
	}
	pool, sharedLoads := startedPool()
	for i := range 11 {
		loads := map[uint32]balance.SharedLoad{balance.QueueHash("service"): {Inflight: 20}}
		sharedLoads.Apply(fmt.Sprint("process-", i), time.Hour.Milliseconds()-20, 1, loads, time.Second)
	}
	if started := startBatch(pool, time.Second+10*time.Millisecond); started != 0 {
		t.Errorf("%d batch requests start while online requests wait for all slots", started)
	}
}
