package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// pacedPool returns a pool as one of ten processes sees it, with ten servers of ten slots, of which
// other processes leave the given number free.
func pacedPool(free int) (*balance.Pool, *balance.SharedLoads) {
	pool, sharedLoads, names := newPool(10, 10)
	pool.SetOnlineProcesses(10)
	pool.SetMaxLoadAge(maxLoadAge)
	loads := map[uint32]balance.SharedLoad{}
	for i, name := range names {
		left := min(10, max(0, free-10*i))
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 10 - left}
	}
	sharedLoads.Apply("others", 1, 1, loads, 0)
	return pool, sharedLoads
}

// startAll starts as many online requests as the pool admits at a time.
func startAll(pool *balance.Pool, now time.Duration) []balance.Choice {
	var started []balance.Choice
	for {
		choice, found := pool.Choose(balance.Demand{}, nil, now, newRandom(1))
		if !found {
			return started
		}
		started = append(started, choice)
	}
}

// TestProcessStartsItsShareOfTheFreeSlots guards against every process filling all the free slots
// that all of them see.
func TestProcessStartsItsShareOfTheFreeSlots(t *testing.T) {
	for free, want := range map[int]int{0: 0, 20: 2, 60: 6, 100: 10} {
		pool, _ := pacedPool(free)
		if started := len(startAll(pool, time.Second)); started != want {
			t.Errorf("with %d free slots for ten processes %d requests were started, want %d", free, started, want)
		}
	}
}

// TestShareOfTheFreeSlotsFollowsTheQueue checks that the share depends on the requests waiting here
// and elsewhere.
func TestShareOfTheFreeSlotsFollowsTheQueue(t *testing.T) {
	const free = 60
	for _, each := range []struct{ here, elsewhere, want int }{{0, 0, 6}, {10, 90, 6}, {90, 10, 50}, {1, 90, 2}} {
		pool, sharedLoads := pacedPool(free)
		sharedLoads.Apply("queues", 1, 1, map[uint32]balance.SharedLoad{
			balance.QueueHash("service"): {Inflight: each.elsewhere}, balance.TimelyHash("service"): {Inflight: each.elsewhere},
		}, time.Second)
		pool.SetWaiting(each.here, each.here)
		if started := len(startAll(pool, time.Second)); started != each.want {
			t.Errorf("with %d requests here and %d elsewhere %d were started, want %d", each.here, each.elsewhere, started, each.want)
		}
	}
}

// TestProcessReusesItsFreedSlotsImmediately checks that a process uses a slot it freed although no
// slot is free according to the other processes.
func TestProcessReusesItsFreedSlotsImmediately(t *testing.T) {
	pool, sharedLoads := pacedPool(20)
	started := startAll(pool, time.Second)
	loads := make(map[uint32]balance.SharedLoad)
	for i := range 10 {
		loads[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 10}
	}
	for _, choice := range started {
		hash := balance.ServerHash(choice.ID)
		loads[hash] = balance.SharedLoad{Inflight: loads[hash].Inflight - 1}
	}
	sharedLoads.Apply("others", 1, 2, loads, time.Second)
	if more := startAll(pool, 2*time.Second); len(more) != 0 {
		t.Fatalf("%d requests were started without a free slot", len(more))
	}
	pool.RecordOutcome(started[0], health.Success, time.Millisecond, 2*time.Second, newRandom(1))
	if again := startAll(pool, 2*time.Second); len(again) != 1 || again[0].ID != started[0].ID {
		t.Fatalf("%d requests were started in the freed slot, want 1", len(again))
	}
}

// TestPacedRequestsSpreadAtSaturation guards against queues at servers that all processes saw as
// free. 50 processes send a tenth more requests than 534 slots can serve.
func TestPacedRequestsSpreadAtSaturation(t *testing.T) {
	queued := func(paced bool) time.Duration {
		f := newFleet(1, 50, 89, 6, 700*time.Millisecond, maxLoadAge)
		for _, each := range f.processes {
			each.pool.SetMaxLoadAge(maxLoadAge)
			if paced {
				each.pool.SetOnlineProcesses(len(f.processes))
			}
		}
		f.generate(func(time.Duration) float64 { return 840 }, 6*time.Second)
		f.run(10 * time.Second)
		t.Logf("paced %v: median wait at servers %v, p90 %v, %d of %d found no room", paced, f.waitQuantile(0.5), f.waitQuantile(0.9), f.refused, f.refused+len(f.waits))
		return f.waitQuantile(0.9)
	}
	if unpaced, paced := queued(false), queued(true); paced > unpaced/2 {
		t.Errorf("p90 of the waits at servers: %v unpaced, %v paced", unpaced, paced)
	}
}

// TestProcessThatHasJustStartedMayStartRequests guards against a new process waiting seconds for
// its first credit because its share of the free slots is small.
func TestProcessThatHasJustStartedMayStartRequests(t *testing.T) {
	pool, _ := pacedPool(90)
	pool.SetOnlineProcesses(250)
	if started := len(startAll(pool, time.Millisecond)); started != 2 {
		t.Fatalf("%d requests were started, want 2", started)
	}
}

// TestRequestsOfRemovedServersRefundCredit guards against losing credit for good when a server with
// requests of this process is removed.
func TestRequestsOfRemovedServersRefundCredit(t *testing.T) {
	pool, _ := pacedPool(90)
	pool.SetOnlineProcesses(250)
	started := startAll(pool, time.Millisecond)
	var left []balance.Member
	for i := range 10 {
		if name := serverName(i); name != started[0].ID && name != started[1].ID {
			left = append(left, balance.Member{ID: name, Address: name, Zone: "here", Slots: 10})
		}
	}
	pool.Update(left)
	pool.RecordOutcome(started[0], health.Failure, 0, 2*time.Millisecond, newRandom(1))
	pool.Abandon(started[1])
	if again := len(startAll(pool, 2*time.Millisecond)); again != 2 {
		t.Fatalf("%d requests were started after two had ended, want 2", again)
	}
}

// TestOvercommitIsLimited checks that requests with overcommit start on full servers, at most one
// more than this process may start, that no ordinary request starts after them, and that another
// may overcommit once one has ended.
func TestOvercommitIsLimited(t *testing.T) {
	for free, want := range map[int]int{0: 3, 20: 1} {
		pool, _ := pacedPool(free)
		startAll(pool, time.Second)
		beyond := balance.Demand{Overcommit: true}
		var started []balance.Choice
		for {
			choice, found := pool.Choose(beyond, nil, time.Second, newRandom(1))
			if !found {
				break
			}
			started = append(started, choice)
		}
		if len(started) != want {
			t.Fatalf("with %d free slots %d requests overcommit, want %d", free, len(started), want)
		}
		if more := startAll(pool, time.Second); len(more) != 0 {
			t.Fatalf("with %d free slots %d ordinary requests start after them", free, len(more))
		}
		pool.RecordOutcome(started[0], health.Success, 0, time.Second, newRandom(1))
		if _, found := pool.Choose(beyond, nil, time.Second, newRandom(1)); !found {
			t.Fatalf("with %d free slots no request overcommits after one has ended", free)
		}
	}
}
