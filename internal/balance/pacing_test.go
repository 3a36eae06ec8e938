package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

// pacedPool is a pool of ten servers with ten slots each, of which the other processes leave
// so many free, as one of ten processes sees it.
func pacedPool(free int) (*balance.Pool, *balance.SharedLoads) {
	pool, shares, names := newPool(10, 10)
	pool.SetOnlineProcesses(10)
	pool.SetMaxLoadAge(viewAge)
	loads := map[uint32]balance.SharedLoad{}
	for i, name := range names {
		left := min(10, max(0, free-10*i))
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 10 - left}
	}
	shares.Apply("others", 1, 1, loads, 0)
	return pool, shares
}

// startAll starts as many online requests as the pool lets through at a time.
func startAll(pool *balance.Pool, now time.Duration) []balance.Choice {
	var started []balance.Choice
	for {
		choice, found := pool.Choose(balance.Demand{}, nil, now, seeded(1))
		if !found {
			return started
		}
		started = append(started, choice)
	}
}

// TestProcessStartsItsPartOfTheFreeSlots: all processes saw the same free slots, and each of
// them filled them.
func TestProcessStartsItsPartOfTheFreeSlots(t *testing.T) {
	for free, want := range map[int]int{0: 0, 20: 2, 60: 6, 100: 10} {
		pool, _ := pacedPool(free)
		if started := len(startAll(pool, time.Second)); started != want {
			t.Errorf("with %d free slots for ten processes %d requests were started, want %d", free, started, want)
		}
	}
}

// TestPartOfTheFreeSlotsFollowsWhatWaits here, beside what the others tell that waits there.
func TestPartOfTheFreeSlotsFollowsWhatWaits(t *testing.T) {
	const free = 60
	for _, each := range []struct{ here, elsewhere, want int }{{0, 0, 6}, {10, 90, 6}, {90, 10, 50}, {1, 90, 2}} {
		pool, shares := pacedPool(free)
		shares.Apply("queues", 1, 1, map[uint32]balance.SharedLoad{balance.QueueHash("service"): {Inflight: each.elsewhere}}, time.Second)
		pool.SetWaiting(each.here)
		if started := len(startAll(pool, time.Second)); started != each.want {
			t.Errorf("with %d requests here and %d elsewhere %d were started, want %d", each.here, each.elsewhere, started, each.want)
		}
	}
}

// TestProcessUsesWhatItEndsAtOnce although no slot is free by what others tell: it alone
// knows of the slot yet.
func TestProcessUsesWhatItEndsAtOnce(t *testing.T) {
	pool, shares := pacedPool(20)
	started := startAll(pool, time.Second)
	loads := make(map[uint32]balance.SharedLoad)
	for i := range 10 {
		loads[balance.ServerHash(serverName(i))] = balance.SharedLoad{Inflight: 10}
	}
	for _, choice := range started {
		hash := balance.ServerHash(choice.ID)
		loads[hash] = balance.SharedLoad{Inflight: loads[hash].Inflight - 1}
	}
	shares.Apply("others", 1, 2, loads, time.Second)
	if more := startAll(pool, 2*time.Second); len(more) != 0 {
		t.Fatalf("%d requests were started without a free slot", len(more))
	}
	pool.RecordOutcome(started[0], health.Success, time.Millisecond, 2*time.Second, seeded(1))
	if again := startAll(pool, 2*time.Second); len(again) != 1 || again[0].ID != started[0].ID {
		t.Fatalf("%d requests were started in the slot that was left", len(again))
	}
}

// TestPacedRequestsSpreadAtSaturation: 50 processes before 534 slots get a tenth more
// requests than these hold. Unpaced, they queue at servers that all had seen free.
func TestPacedRequestsSpreadAtSaturation(t *testing.T) {
	queued := func(paced bool) time.Duration {
		f := newFleet(1, 50, 89, 6, 700*time.Millisecond, viewAge)
		for _, each := range f.processes {
			each.pool.SetMaxLoadAge(viewAge)
			if paced {
				each.pool.SetOnlineProcesses(len(f.processes))
			}
		}
		f.arrive(func(time.Duration) float64 { return 840 }, 6*time.Second)
		f.run(10 * time.Second)
		t.Logf("paced %v: median wait at servers %v, p90 %v, %d of %d found no room", paced, f.waited(0.5), f.waited(0.9), f.refused, f.refused+len(f.waits))
		return f.waited(0.9)
	}
	if unpaced, paced := queued(false), queued(true); paced > unpaced/2 {
		t.Errorf("p90 of the waits at servers: %v unpaced, %v paced", unpaced, paced)
	}
}

// TestProcessThatHasJustStartedMayStartRequests although its part of the free slots is small:
// on a site of 250 routers before 18 slots each got its first request after seven seconds.
func TestProcessThatHasJustStartedMayStartRequests(t *testing.T) {
	pool, _ := pacedPool(90)
	pool.SetOnlineProcesses(250)
	if started := len(startAll(pool, time.Millisecond)); started != 2 {
		t.Fatalf("%d requests were started", started)
	}
}

// TestRequestsOfRemovedServersGiveTheirCreditBack: after a server was lost with requests of
// this process on it, the process could start fewer for good.
func TestRequestsOfRemovedServersGiveTheirCreditBack(t *testing.T) {
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
	pool.RecordOutcome(started[0], health.Failure, 0, 2*time.Millisecond, seeded(1))
	pool.Abandon(started[1])
	if again := len(startAll(pool, 2*time.Millisecond)); again != 2 {
		t.Fatalf("%d requests were started after two had ended", again)
	}
}

// TestFewRequestsGoBeyondWhatIsThere: they start although others have filled all servers, by what
// this process may start and one more; others do not start behind them, and the next one that
// may goes beyond once one of them has ended.
func TestFewRequestsGoBeyondWhatIsThere(t *testing.T) {
	for free, want := range map[int]int{0: 3, 20: 1} {
		pool, _ := pacedPool(free)
		startAll(pool, time.Second)
		beyond := balance.Demand{Overcommit: true}
		var started []balance.Choice
		for {
			choice, found := pool.Choose(beyond, nil, time.Second, seeded(1))
			if !found {
				break
			}
			started = append(started, choice)
		}
		if len(started) != want {
			t.Fatalf("with %d free slots %d go beyond, want %d", free, len(started), want)
		}
		if more := startAll(pool, time.Second); len(more) != 0 {
			t.Fatalf("with %d free slots %d others start behind them", free, len(more))
		}
		pool.RecordOutcome(started[0], health.Success, 0, time.Second, seeded(1))
		if _, found := pool.Choose(beyond, nil, time.Second, seeded(1)); !found {
			t.Fatalf("with %d free slots none goes beyond once one has ended", free)
		}
	}
}
