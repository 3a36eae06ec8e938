package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/balance"
)

func pool(slots int, names ...string) (*balance.Pool, *balance.SharedLoads) {
	sharedLoads := balance.NewSharedLoads()
	created := balance.NewPool("service", "here", sharedLoads)
	var members []balance.Member
	for _, name := range names {
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: slots})
	}
	created.Update(members)
	return created, sharedLoads
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestBusyServerWithAnOldReportDoesNotSeemEmpty guards against ignoring load of other processes at
// a server that has not reported to this process lately.
func TestBusyServerWithAnOldReportDoesNotSeemEmpty(t *testing.T) {
	p, sharedLoads := pool(12, "busy", "free")
	p.RecordReport("busy", balance.LoadReport{Running: 12, Slots: 12}, 0)
	now := 10 * time.Second
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash("busy"): {Inflight: 11}}, now)
	for range 8 {
		choice, found := p.Choose(balance.Demand{}, nil, now, random())
		if !found || choice.ID != "free" {
			t.Fatalf("chose %+v, %v", choice, found)
		}
	}
}

func TestFullServersAreNotChosenByAnyone(t *testing.T) {
	p, sharedLoads := pool(4, "a")
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash("a"): {Inflight: 3}}, 0)
	if _, found := p.Choose(balance.Demand{}, nil, 0, random()); !found {
		t.Fatal("the last slot is not used")
	}
	if choice, found := p.Choose(balance.Demand{}, nil, 0, random()); found {
		t.Fatalf("chose %+v beyond its slots", choice)
	}
}

func TestBatchLeavesRoomForOnline(t *testing.T) {
	p, sharedLoads := pool(10, "a")
	sharedLoads.Apply("other", 1, 1, map[uint32]balance.SharedLoad{balance.ServerHash("a"): {Inflight: 9}, balance.QueueHash("service"): {Inflight: 1}}, 0)
	if choice, found := p.Choose(balance.Demand{Batch: true}, nil, 0, random()); found {
		t.Fatalf("batch work takes %+v while online requests wait", choice)
	}
	if _, found := p.Choose(balance.Demand{}, nil, 0, random()); !found {
		t.Fatal("an online request finds no room")
	}
	sharedLoads.Apply("other", 1, 2, map[uint32]balance.SharedLoad{balance.ServerHash("a"): {Inflight: 10}}, 0)
	if choice, found := p.Choose(balance.Demand{Batch: true}, nil, 0, random()); found {
		t.Fatalf("batch work takes %+v although online requests fill the slots", choice)
	}
}

// TestGroupCountsOnceWhenItsDelegateChanges checks that the sum of a group replaces that of its
// former delegate, whichever started first.
func TestGroupCountsOnceWhenItsDelegateChanges(t *testing.T) {
	sharedLoads := balance.NewSharedLoads()
	load := func(n int) map[uint32]balance.SharedLoad {
		return map[uint32]balance.SharedLoad{1: {Inflight: n, Batch: n}}
	}
	sharedLoads.Apply("a", 1, 1, load(1), 0)
	sharedLoads.ApplyGroup("a", "west", 3, 9, 5, load(10), 0)
	sharedLoads.ApplyGroup("b", "west", 4, 2, 1, load(20), 0)
	sharedLoads.ApplyGroup("c", "east", 2, 2, 1, load(100), 0)
	if got := sharedLoads.At(1); got.Inflight != 121 || got.Batch != 121 || sharedLoads.Processes() != 7 {
		t.Fatalf("the sum is %+v over %d processes", got, sharedLoads.Processes())
	}
	if sum := sharedLoads.SumOf([]string{"a", "b", "c"}); sum[1].Inflight != 1 {
		t.Fatalf("the sum of the processes themselves is %+v", sum)
	}
	if !sharedLoads.RecentlySeen("a", balance.SeenWindow) || sharedLoads.RecentlySeen("a", balance.SeenWindow+1) || sharedLoads.RecentlySeen("b", 0) {
		t.Fatal("a process counts as recently seen because of its group's digest or after the window")
	}
}

func TestOldAndRepeatedDigestsAreIgnored(t *testing.T) {
	sharedLoads := balance.NewSharedLoads()
	load := func(n int) map[uint32]balance.SharedLoad { return map[uint32]balance.SharedLoad{1: {Inflight: n}} }
	sharedLoads.Apply("a", 5, 2, load(2), 0)
	sharedLoads.Apply("a", 5, 1, load(1), 0)
	sharedLoads.Apply("a", 4, 9, load(9), 0)
	if got := sharedLoads.At(1).Inflight; got != 2 {
		t.Fatalf("the sum is %d", got)
	}
	sharedLoads.Apply("a", 6, 1, load(7), 0)
	if got := sharedLoads.At(1).Inflight; got != 7 {
		t.Fatalf("after a restart the sum is %d", got)
	}
	sharedLoads.Expire(balance.SenderTTL + 1)
	if sharedLoads.HasPeers() || sharedLoads.At(1) != (balance.SharedLoad{}) {
		t.Fatal("a silent process still counts")
	}
}

// TestSumsAreThoseOfTheNewestDigests compares the incrementally updated sums with sums computed
// from scratch.
func TestSumsAreThoseOfTheNewestDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sharedLoads := balance.NewSharedLoads()
		type held struct {
			sequence uint64
			at       time.Duration
			loads    map[uint32]balance.SharedLoad
		}
		oracle := map[string]held{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pass")) * time.Millisecond
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sender")
			sequence := rapid.Uint64Range(1, 40).Draw(t, "sequence")
			loads := map[uint32]balance.SharedLoad{}
			for server := range uint32(4) {
				if n := rapid.IntRange(0, 3).Draw(t, "load"); n > 0 {
					loads[server] = balance.SharedLoad{Inflight: n, Unread: 10 * n}
				}
			}
			if known, found := oracle[name]; !found || sequence > known.sequence {
				oracle[name] = held{sequence, now, loads}
			}
			sharedLoads.Apply(name, 1, sequence, loads, now)
			sharedLoads.Expire(now)
			for sender, known := range oracle {
				if now-known.at > balance.SenderTTL {
					delete(oracle, sender)
				}
			}
			for server := range uint32(4) {
				want := balance.SharedLoad{}
				for _, known := range oracle {
					want.Inflight += known.loads[server].Inflight
					want.Unread += known.loads[server].Unread
				}
				if got := sharedLoads.At(server); got != want {
					t.Fatalf("server %d: %+v, want %+v", server, got, want)
				}
			}
		}
	})
}

// TestManyProcessesDoNotAllChooseTheSameServer guards against processes with the same digests all
// choosing the one empty server.
func TestManyProcessesDoNotAllChooseTheSameServer(t *testing.T) {
	const processes = 64
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("server-%d", i))
	}
	loads := map[uint32]balance.SharedLoad{}
	for i, name := range names {
		if i > 0 {
			loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 3}
		}
	}
	chosen := map[string]int{}
	for process := range processes {
		p, sharedLoads := pool(8, names...)
		for sender := range processes - 1 {
			told := map[uint32]balance.SharedLoad{}
			if sender == 0 {
				told = loads
			}
			sharedLoads.Apply(fmt.Sprint(sender), 1, 1, told, 0)
		}
		choice, found := p.Choose(balance.Demand{}, nil, 0, rand.New(rand.NewPCG(uint64(process), 7)))
		if !found {
			t.Fatal("no server is chosen")
		}
		chosen[choice.ID]++
	}
	if most := chosen[names[0]]; most > processes/2 {
		t.Fatalf("%d of %d processes choose the same server", most, processes)
	}
}

func TestOnlyFreeServerIsFoundWithManyPeers(t *testing.T) {
	names := []string{"full-1", "full-2", "full-3", "free"}
	p, sharedLoads := pool(1, names...)
	loads := map[uint32]balance.SharedLoad{}
	for _, name := range names[:3] {
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 1}
	}
	for sender := range 160 {
		told := map[uint32]balance.SharedLoad{}
		if sender == 0 {
			told = loads
		}
		sharedLoads.Apply(fmt.Sprint(sender), 1, 1, told, 0)
	}
	if choice, found := p.Choose(balance.Demand{}, nil, 0, random()); !found || choice.ID != "free" {
		t.Fatalf("chose %+v, %v", choice, found)
	}
}

// TestMapsOfDroppedDigestsAreUsedAgain guards against garbage that grows with the rate of digests, against loads of
// a dropped digest in the next one, and against large maps that are kept for small digests.
func TestMapsOfDroppedDigestsAreUsedAgain(t *testing.T) {
	const servers = 150
	sharedLoads := balance.NewSharedLoads()
	sequence := uint64(0)
	receive := func(first, count int) {
		loads := sharedLoads.Spare(count)
		if len(loads) > 0 {
			t.Fatalf("a map for the next digest has %d loads", len(loads))
		}
		for server := range count {
			loads[uint32(first+server)] = balance.SharedLoad{Inflight: 2}
		}
		sequence++
		sharedLoads.Apply("a", 1, sequence, loads, 0)
	}
	receive(0, servers)
	receive(0, servers)
	if allocations := testing.AllocsPerRun(100, func() { receive(0, servers) }); allocations > 2 {
		t.Errorf("a digest takes %.0f allocations", allocations)
	}
	receive(servers, servers)
	if old, current := sharedLoads.At(0), sharedLoads.At(servers); old != (balance.SharedLoad{}) || current.Inflight != 2 {
		t.Errorf("the sums are %+v and %+v", old, current)
	}
	large := sharedLoads.Spare(servers)
	if small := sharedLoads.Spare(10); len(small) != 0 {
		t.Errorf("a map has %d loads", len(small))
	}
	large[1] = balance.SharedLoad{Inflight: 1}
	if again := sharedLoads.Spare(servers); len(again) != 0 {
		t.Error("a map is returned twice")
	}
}

// TestFewMapsOfDroppedDigestsAreKept guards against memory that grows with the number of processes that were lost.
func TestFewMapsOfDroppedDigestsAreKept(t *testing.T) {
	sharedLoads := balance.NewSharedLoads()
	for process := range 100 {
		sharedLoads.Apply(strconv.Itoa(process), 1, 1, map[uint32]balance.SharedLoad{1: {Inflight: 1}}, 0)
	}
	sharedLoads.Expire(balance.SenderTTL + 1)
	if kept := sharedLoads.KeptSpares(); kept > balance.MaxSpares {
		t.Errorf("%d maps are kept", kept)
	}
}
