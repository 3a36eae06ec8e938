package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

var testRegions = []string{"north", "south", "east"}

const regionSlots = 4

// regionalMembers returns servers spread evenly over testRegions. Those of each region have a zone
// of their own.
func regionalMembers(count int) []balance.Member {
	var members []balance.Member
	for i := range count {
		region := testRegions[i%len(testRegions)]
		name := fmt.Sprint(region, "-", i)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "zone of " + region, Region: region, Slots: regionSlots})
	}
	return members
}

func regionalPool(count int, loads map[uint32]balance.SharedLoad) *balance.Pool {
	shared := balance.NewSharedLoads()
	// The others started long before, so their loads are known at once.
	shared.SetStarted(time.Hour.Milliseconds())
	pool := balance.NewPool("service", "zone of north", shared)
	pool.Update(regionalMembers(count))
	shared.Apply("others", 1, 1, loads, 0)
	return pool
}

func in(regions ...string) topology.RegionSet { return topology.NewRegionSet(regions) }

// Guards against a choice outside of the allowed regions: small and large pools, online and batch
// requests, with prompts that other regions have cached, and with room elsewhere only.
func TestRestrictedRequestsStayInTheirRegions(t *testing.T) {
	for _, servers := range []int{6, 300} {
		for _, regions := range []topology.RegionSet{in("south"), in("south", "east"), in("south").Intersect(in("south", "north")), in("nowhere"), in("south").Intersect(in("north"))} {
			for _, batch := range []bool{false, true} {
				random := rand.New(rand.NewPCG(uint64(servers), 1))
				pool := regionalPool(servers, map[uint32]balance.SharedLoad{1: {Inflight: 1}})
				want := 0
				for _, member := range regionalMembers(servers) {
					if regions.Allows(member.Region) {
						want += member.Slots
					}
				}
				for subject := range uint64(servers) {
					pool.Choose(longPrompt(subject+1), nil, 0, random)
				}
				free := want - servers
				if regions.Empty() || want == 0 {
					free = 0
				}
				started := 0
				for {
					demand := longPrompt(uint64(started%servers) + 1)
					demand.Batch, demand.Regions = batch, regions
					choice, found := pool.Choose(demand, nil, 0, random)
					if !found {
						break
					}
					started++
					if !regions.Allows(choice.Region) {
						t.Fatalf("%s is chosen for %v", choice.ID, regions.Names())
					}
				}
				if started > want || (!batch && started < free) {
					t.Errorf("%d servers, %v, batch %v: %d of %d slots are used", servers, regions.Names(), batch, started, want)
				}
			}
		}
	}
}

// Guards against a single allowed server with room among many that is not found.
func TestOnlyAllowedServerWithRoomIsFound(t *testing.T) {
	const servers = 600
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		only := random.IntN(servers)
		loads := make(map[uint32]balance.SharedLoad)
		for i, member := range regionalMembers(servers) {
			if i%len(testRegions) == only%len(testRegions) && i != only {
				loads[balance.ServerHash(member.ID)] = balance.SharedLoad{Inflight: regionSlots}
			}
		}
		pool := regionalPool(servers, loads)
		demand := balance.Demand{Regions: in(testRegions[only%len(testRegions)])}
		for range regionSlots {
			if choice, found := pool.Choose(demand, nil, 0, random); !found || choice.ID != regionalMembers(servers)[only].ID {
				t.Fatalf("seed %d: chose %q, %v", seed, choice.ID, found)
			}
		}
		if choice, found := pool.Choose(demand, nil, 0, random); found {
			t.Fatalf("seed %d: %s has no room", seed, choice.ID)
		}
	}
}

// Guards against a trial request outside of the allowed regions, and against one that no trial
// reaches.
func TestTrialsStayInTheAllowedRegions(t *testing.T) {
	for _, servers := range []int{3, 90} {
		random := rand.New(rand.NewPCG(1, 2))
		pool := regionalPool(servers, nil)
		now := time.Duration(0)
		for range 30 * servers {
			now += time.Millisecond
			if choice, found := pool.Choose(balance.Demand{}, nil, now, random); found {
				pool.RecordOutcome(choice, health.Failure, 0, now, random)
			}
		}
		pool.Evaluate(now, random)
		trials := 0
		for range 3000 {
			now += 10 * time.Millisecond
			pool.Evaluate(now, random)
			choice, found := pool.Choose(balance.Demand{Regions: in("east")}, nil, now, random)
			if !found {
				continue
			}
			trials++
			if choice.Region != "east" {
				t.Fatalf("%d servers: a trial goes to %s", servers, choice.ID)
			}
			pool.RecordOutcome(choice, health.Failure, 0, now, random)
		}
		if trials == 0 {
			t.Errorf("%d servers: no trial in 30 s", servers)
		}
	}
}

// Guards against requests that are sent to a region all of whose servers are lost, at more servers
// than may be ejected.
func TestLostRegionIsNotTriedForEver(t *testing.T) {
	for _, servers := range []int{6, 90} {
		random := rand.New(rand.NewPCG(1, 2))
		pool := balance.NewPool("service", "zone of north", balance.NewSharedLoads())
		members := regionalMembers(servers)
		for i := range members {
			members[i].Silent = members[i].Region == "south"
		}
		pool.Update(members)
		now, sent := time.Duration(0), 0
		for range 1000 {
			now += time.Millisecond
			pool.Evaluate(now, random)
			if choice, found := pool.Choose(balance.Demand{Regions: in("south")}, nil, now, random); found {
				sent++
				pool.RecordOutcome(choice, health.Failure, 0, now, random)
			}
		}
		if most := 4 * servers / len(testRegions); sent == 0 || sent > most || pool.Reachable(balance.Demand{Regions: in("south")}, nil, now) {
			t.Errorf("%d servers: %d requests are sent, at most %d are expected", servers, sent, most)
		}
		for i := range members {
			members[i].Silent = false
		}
		pool.Update(members)
		if _, found := pool.Choose(balance.Demand{Regions: in("south")}, nil, now, random); !found {
			t.Errorf("%d servers: none is used after they report again", servers)
		}
	}
}

// Guards against a copy of a run, or its continuation, outside of the allowed regions.
func TestCopiesStayInTheAllowedRegions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := regionalPool(30, nil)
	for range 100 {
		for _, otherZone := range []bool{false, true} {
			copyServer, found := pool.ChooseCopyServer("north-0", otherZone, in("north", "east"), 0, random)
			if !found || copyServer.Region == "south" {
				t.Fatalf("the copy is at %v, %v", copyServer, found)
			}
			if copyServer, found := pool.ChooseCopyServer("north-0", otherZone, in("nowhere"), 0, random); found {
				t.Fatalf("the copy is at %v", copyServer)
			}
		}
	}
	if _, found := pool.StartAt("south-1", balance.Demand{Regions: in("north", "east")}, 0); found {
		t.Error("a run continues in a region that is not allowed anymore")
	}
	if _, found := pool.StartAt("south-1", balance.Demand{Regions: in("south")}, 0); !found {
		t.Error("a run does not continue in an allowed region")
	}
}

// Guards against a process that starts its share of the free slots of all regions in the one region
// that is allowed.
func TestRestrictedRequestsArePacedByTheirRegions(t *testing.T) {
	const (
		servers   = 300
		processes = 10
	)
	for _, each := range []struct {
		regions topology.RegionSet
		most    int
	}{
		{topology.RegionSet{}, servers * regionSlots / processes},
		{in("south"), servers * regionSlots / len(testRegions) / processes},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		pool := regionalPool(servers, nil)
		pool.SetOnlineProcesses(processes)
		pool.SetMaxLoadAge(300 * time.Millisecond)
		started := 0
		for now := time.Duration(0); now < 300*time.Millisecond; now += time.Millisecond {
			for {
				if _, found := pool.Choose(balance.Demand{Regions: each.regions}, nil, now, random); !found {
					break
				}
				started++
			}
		}
		if started < each.most*8/10 || started > each.most*11/10+2 {
			t.Errorf("%v: %d are started, the share is %d", each.regions.Names(), started, each.most)
		}
	}
}

// Guards against credit that restricted and other requests take from each other without return.
func TestCreditOfARegionReturns(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pool := regionalPool(90, nil)
	pool.SetOnlineProcesses(10)
	pool.SetMaxLoadAge(300 * time.Millisecond)
	demands := []balance.Demand{{}, {Regions: in("south")}, {Regions: in("north", "south")}}
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for _, demand := range demands {
			choice, found := pool.Choose(demand, nil, now, random)
			if !found {
				t.Fatalf("no server for %v after %v", demand.Regions.Names(), now)
			}
			pool.RecordOutcome(choice, health.Success, time.Millisecond, now, random)
		}
	}
}

// Guards against batch work that is held back in its regions by slots reserved for others anywhere,
// or that ignores online work there.
func TestRestrictedBatchWorkCountsItsRegions(t *testing.T) {
	const servers = 30
	random := rand.New(rand.NewPCG(1, 2))
	full := make(map[uint32]balance.SharedLoad)
	for _, member := range regionalMembers(servers) {
		if member.Region != "south" {
			full[balance.ServerHash(member.ID)] = balance.SharedLoad{Inflight: regionSlots}
		}
	}
	for _, each := range []struct {
		region   string
		reserved int
		found    bool
	}{
		{"south", 0, true},
		{"south", servers * regionSlots / 2, true},
		{"south", servers * regionSlots, false},
		{"north", 0, false},
	} {
		pool := regionalPool(servers, full)
		choice, found := pool.Choose(balance.Demand{Batch: true, Reserved: each.reserved, Regions: in(each.region)}, nil, 0, random)
		if found != each.found || (found && choice.Region != each.region) {
			t.Errorf("%d slots reserved, in %s: chose %q, %v", each.reserved, each.region, choice.ID, found)
		}
	}
}

// Guards against sums of a region that miss a change of members.
func TestRegionsFollowTheMembers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, servers := range []int{3, 90} {
		pool := regionalPool(servers, nil)
		demand := balance.Demand{Regions: in("west")}
		if _, found := pool.Choose(demand, nil, 0, random); found || pool.SlotsIn(in("west")) != 0 || pool.Reachable(balance.Demand{Regions: in("west")}, nil, 0) {
			t.Fatal("a region without servers is used")
		}
		pool.Put(balance.Member{ID: "west-0", Address: "west-0", Zone: "w", Region: "west", Slots: 2})
		if choice, found := pool.Choose(demand, nil, 0, random); !found || choice.ID != "west-0" || pool.SlotsIn(in("west")) != 2 {
			t.Fatalf("chose %v, %v", choice, found)
		}
		if !pool.Reachable(balance.Demand{Regions: in("west")}, nil, 0) || pool.Reachable(balance.Demand{Regions: in("west")}, []string{"west-0"}, 0) {
			t.Error("Reachable is wrong")
		}
		pool.Put(balance.Member{ID: "west-0", Address: "west-0", Zone: "w", Region: "west", Slots: 2, Silent: true})
		if !pool.Reachable(balance.Demand{Regions: in("west")}, nil, 0) {
			t.Error("a server that does not report is unreachable before it has failed here")
		}
		for range 2 {
			choice, found := pool.Choose(demand, nil, 0, random)
			if !found {
				t.Fatal("it is not chosen before it has failed")
			}
			pool.RecordOutcome(choice, health.Failure, 0, 0, random)
		}
		if pool.Reachable(balance.Demand{Regions: in("west")}, nil, 0) {
			t.Error("a server that fails and does not report is reachable")
		}
		pool.Drop("west-0")
		if _, found := pool.Choose(demand, nil, 0, random); found {
			t.Error("a server that left is chosen")
		}
	}
}

// Guards against waits of restricted requests that are estimated by the slots of other regions, and
// against waits of others that count requests which they overtake.
func TestEquivalentAheadCountsTheAllowedRegions(t *testing.T) {
	// Each region has 40 slots.
	pool := regionalPool(30, nil)
	all := topology.RegionSet{}
	for _, each := range []struct {
		regions topology.RegionSet
		ahead   []balance.Waiting
		want    int
	}{
		{all, []balance.Waiting{{Regions: all, Count: 60}}, 60},
		{all, []balance.Waiting{{Regions: all, Count: 20}, {Regions: all, Count: 40}}, 60},
		{in("south"), []balance.Waiting{{Regions: all, Count: 60}}, 20},
		{in("south"), []balance.Waiting{{Regions: in("south"), Count: 60}}, 60},
		{in("south"), []balance.Waiting{{Regions: in("north"), Count: 60}}, 0},
		{in("south", "north"), []balance.Waiting{{Regions: in("south"), Count: 60}}, 0},
		{in("south"), []balance.Waiting{{Regions: in("south", "north"), Count: 60}}, 30},
		{all, []balance.Waiting{{Regions: in("south"), Count: 600}}, 0},
		{all, []balance.Waiting{{Regions: all, Count: 80}, {Regions: in("south"), Count: 600}}, 120},
		{in("south"), []balance.Waiting{{Regions: all, Count: 80}, {Regions: in("south"), Count: 600}}, 600},
		{all, []balance.Waiting{{Regions: all, Count: 300}, {Regions: in("south"), Count: 60}}, 360},
		{in("nowhere"), []balance.Waiting{{Regions: in("nowhere"), Count: 60}, {Regions: all, Count: 60}}, 0},
		{in("south"), nil, 0},
	} {
		if got := pool.EquivalentAhead(each.regions, each.ahead); got != each.want {
			t.Errorf("in %v behind %v: %d, want %d", each.regions.Names(), each.ahead, got, each.want)
		}
	}
}

// Guards against requests with a choice that take the slots for which others wait, here or at other
// processes, and against leaving such slots empty.
func TestContendedRegionIsLeftToThoseWithoutAChoice(t *testing.T) {
	const servers = 6
	each := servers / len(testRegions) * regionSlots
	for _, elsewhere := range []bool{false, true} {
		random := rand.New(rand.NewPCG(1, 2))
		loads := map[uint32]balance.SharedLoad{1: {Inflight: 1}}
		if elsewhere {
			loads[balance.RegionsQueueHash("service", in("south"))] = balance.SharedLoad{Inflight: 3}
		}
		pool := regionalPool(servers, loads)
		pool.KnowRegions([]topology.RegionSet{in("south"), in("north", "south")})
		if !elsewhere {
			pool.SetWaitingIn(map[string]int{in("south").Key(): 3})
		}
		for _, demand := range []balance.Demand{{Regions: in("north", "south")}, {}} {
			for i := range each {
				choice, found := pool.Choose(demand, nil, 0, random)
				if !found || choice.Region == "south" {
					t.Errorf("waiting elsewhere: %v, number %d goes to %q", elsewhere, i, choice.ID)
				}
			}
		}
		if choice, found := pool.Choose(balance.Demand{}, nil, 0, random); !found || choice.Region != "south" {
			t.Errorf("slots of the region stay empty although others are full: %q, %v", choice.ID, found)
		}
		if choice, found := pool.Choose(balance.Demand{Regions: in("south")}, nil, 0, random); !found || choice.Region != "south" {
			t.Errorf("the slots of the region are taken: %q, %v", choice.ID, found)
		}
	}
}
