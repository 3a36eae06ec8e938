package balance_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/topology"
)

// choicesOf returns a checksum of many choices in a pool with servers in three zones.
func choicesOf(t *testing.T, servers int, sites topology.Map, roundTrips *balance.RoundTrips) string {
	t.Helper()
	sum := fnv.New64a()
	random := rand.New(rand.NewPCG(1, 2))
	loads := balance.NewSharedLoads()
	// The others started long before, so their loads are known at once.
	loads.SetStarted(time.Hour.Milliseconds())
	pool := balance.NewPool("service", "zone-0", loads)
	pool.SetTopology(sites, roundTrips)
	pool.SetMaxLoadAge(200 * time.Millisecond)
	pool.SetOnlineProcesses(20)
	shared := make(map[uint32]balance.SharedLoad)
	for i := range servers {
		name, zone := fmt.Sprint("server-", i), fmt.Sprint("zone-", i%3)
		pool.Put(balance.Member{ID: name, Address: name, Zone: zone, Region: sites.Region(zone), Slots: 7})
		shared[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 3 + i%4, Batch: 1}
	}
	loads.Apply("others", 1, 1, shared, 0)
	var open []balance.Choice
	for i := range 2000 {
		now := time.Duration(i) * 3 * time.Millisecond
		demand := longPrompt(uint64(random.IntN(30) + 1))
		demand.Batch, demand.Bytes = i%5 == 0, 1000
		if choice, found := pool.Choose(demand, nil, now, random); found {
			_, _ = fmt.Fprint(sum, choice.ID, choice.Candidates, choice.Uncached)
			open = append(open, choice)
		}
		if copyServer, found := pool.ChooseCopyServer(fmt.Sprint("server-", i%servers), i%2 == 0, topology.RegionSet{}, now, random); found {
			_, _ = fmt.Fprint(sum, copyServer.ID)
		}
		if len(open) > 40 {
			pool.RecordFirstEvent(open[0], true, now)
			pool.RecordOutcome(open[0], health.Success, 20*time.Millisecond, now, random)
			open = open[1:]
		}
	}
	return fmt.Sprintf("%d %x", len(open), sum.Sum64())
}

// Guards against a change for sites with one region. The expected checksums are those of the code
// that knew no regions.
func TestOneRegionChoosesAsWithoutRegions(t *testing.T) {
	roundTrips := balance.NewRoundTrips()
	for range 10 {
		for zone := range 3 {
			roundTrips.Record(fmt.Sprint("zone-", zone), 40*time.Millisecond, 0)
		}
	}
	oneRegion := topology.New(map[string]string{"zone-0": "all", "zone-1": "all", "zone-2": "all"})
	for servers, want := range map[int]string{60: "40 2cccb4f1bf5ad057", 300: "40 ca692343b9115a43"} {
		for name, sites := range map[string]topology.Map{"no regions": {}, "one region": oneRegion} {
			if got := choicesOf(t, servers, sites, roundTrips); got != want {
				t.Errorf("%d servers, %s: %s, want %s", servers, name, got, want)
			}
		}
	}
}

// loadAge is how old the loads of processes of the same region and of others may be.
type loadAge struct{ near, far time.Duration }

// usualUse is the usual fraction of the slots in use.
const usualUse = 0.5

// playUneven plays ten seconds in which region 0 has 1.9 times its usual load and region 1 half of it.
// Their loads are exchanged at the given time. Digests are sent at the given interval, and between
// regions at another one.
func playUneven(seed uint64, sites topology.Map, interval, farInterval, exchangeAt time.Duration, observe func(f *regionFleet, now time.Duration)) *regionFleet {
	const (
		serviceTime = 450 * time.Millisecond
		length      = 10 * time.Second
	)
	f := newRegionFleet(seed, sites, serviceTime, interval)
	f.delayLoadsBetweenRegions(farInterval)
	usual := usualUse * serversPerRegion * serverSlots / serviceTime.Seconds()
	factors := [][]float64{{1.9, 0.5, 1}, {0.5, 1.9, 1}}
	for region := range siteRegions {
		f.generateIn(region, func(now time.Duration) float64 {
			if now < exchangeAt {
				return usual * factors[0][region]
			}
			return usual * factors[1][region]
		}, length)
	}
	for now := 2 * time.Second; now < length; now += 20 * time.Millisecond {
		f.schedule(now, func(now time.Duration) { observe(f, now) })
	}
	f.run(length + 5*time.Second)
	return f
}

// Guards against a preference for the own region that leaves requests waiting in a region short of
// room, and against one without effect on what crosses regions.
func TestUnevenRegionsServeInTimeAndCrossLess(t *testing.T) {
	const limit = 100 * time.Millisecond
	for _, age := range []loadAge{
		{40 * time.Millisecond, 40 * time.Millisecond}, {150 * time.Millisecond, 150 * time.Millisecond},
		{300 * time.Millisecond, 300 * time.Millisecond}, {150 * time.Millisecond, time.Second},
	} {
		ignore := func(*regionFleet, time.Duration) {}
		before := playUneven(1, topology.Map{}, age.near, age.far, 5*time.Second, ignore)
		after := playUneven(1, siteTopology(), age.near, age.far, 5*time.Second, ignore)
		for name, f := range map[string]*regionFleet{"without regions": before, "with regions": after} {
			t.Logf("loads of %v, %s: %.3f cross, %.4f late, p50 %v, p99 %v, %d given up of %d", age, name,
				f.crossing(), f.late(limit), f.quantile(0.5), f.quantile(0.99), f.givenUp, len(f.firstEvents))
		}
		if after.crossing() > before.crossing()/2 {
			t.Errorf("loads of %v: %.3f of the requests cross regions, %.3f without regions", age, after.crossing(), before.crossing())
		}
		if after.late(limit) > 0.02 || after.quantile(0.5) > before.quantile(0.5) {
			t.Errorf("loads of %v: %.4f late, median %v; without regions %.4f and %v", age,
				after.late(limit), after.quantile(0.5), before.late(limit), before.quantile(0.5))
		}
	}
}

// Guards against requests that move to another region and back together, because their processes see
// the same outdated loads. Without oscillation the number of busy slots varies about as much as
// independent requests do.
func TestLoadDoesNotOscillateBetweenRegions(t *testing.T) {
	const most = 2.0
	for _, interval := range []time.Duration{40 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		samples := make([][]float64, siteRegions)
		f := playUneven(1, siteTopology(), min(interval, 150*time.Millisecond), interval, time.Hour, func(f *regionFleet, _ time.Duration) {
			for region := range samples {
				samples[region] = append(samples[region], float64(f.busySlots(region)))
			}
		})
		for region, busy := range samples {
			mean, variance := meanAndVariance(busy)
			t.Logf("loads of %v, region %d: %.0f slots busy, variance/mean %.2f, %d requests crossed", interval, region, mean, variance/mean, f.crossed[region])
			if variance > most*mean {
				t.Errorf("loads of %v: the busy slots of region %d vary by %.1f around %.1f", interval, region, variance, mean)
			}
		}
		if f.crossed[1] > f.crossed[0]/2 {
			t.Errorf("loads of %v: %d requests leave the idle region, %d the busy one", interval, f.crossed[1], f.crossed[0])
		}
	}
}

func meanAndVariance(samples []float64) (mean, variance float64) {
	for _, each := range samples {
		mean += each / float64(len(samples))
	}
	for _, each := range samples {
		variance += (each - mean) * (each - mean) / float64(len(samples))
	}
	return mean, variance
}

// regionPool returns a pool in zone-0-0 with the given number of servers in each region, and other
// processes that it knows.
func regionPool(serversEach int, roundTrips *balance.RoundTrips) (*balance.Pool, []balance.Member) {
	loads := balance.NewSharedLoads()
	pool := balance.NewPool("service", "zone-0-0", loads)
	pool.SetTopology(siteTopology(), roundTrips)
	var members []balance.Member
	for each := range siteRegions * serversEach {
		name := fmt.Sprint("server-", each)
		members = append(members, balance.Member{ID: name, Address: name, Zone: zoneOf(each%siteRegions, each/siteRegions), Slots: 8})
	}
	pool.Update(members)
	loads.Apply("others", 1, 1, nil, 0)
	return pool, members
}

// distancesOf returns the fractions of the choices by distance. No request stays at its server.
func distancesOf(pool *balance.Pool, demand balance.Demand, now time.Duration) map[topology.Distance]float64 {
	const choices = 4000
	random := rand.New(rand.NewPCG(3, 4))
	fractions := make(map[topology.Distance]float64)
	for range choices {
		if choice, found := pool.Choose(demand, nil, now, random); found {
			fractions[choice.Distance] += 1.0 / choices
			pool.Abandon(choice)
		}
	}
	return fractions
}

// Guards against a large pool whose sample has too few servers of the own region, or that favors
// them more than a choice among all servers does.
func TestSampleKeepsTheSharesOfRegions(t *testing.T) {
	trips := balance.NewRoundTrips()
	for range 3 {
		// A low cost makes the shares of other regions measurable.
		for region := 1; region < siteRegions; region++ {
			for index := range 2 {
				trips.Record(zoneOf(region, index), 4*time.Millisecond, 0)
			}
		}
	}
	small, _ := regionPool(20, trips)
	want := distancesOf(small, balance.Demand{}, 0)
	for _, each := range []int{30, 400} {
		large, _ := regionPool(each, trips)
		got := distancesOf(large, balance.Demand{}, 0)
		t.Logf("%d servers a region: %v, among all %v", each, got, want)
		for _, distance := range topology.Distances() {
			if diff := got[distance] - want[distance]; diff < -0.05 || diff > 0.05 {
				t.Errorf("%d servers a region: %.3f go to %s, %.3f in a small pool", each, got[distance], distance, want[distance])
			}
		}
	}
}

// Guards against measurements that make other regions look nearer than the own one, or so far that
// nothing is sent there.
func TestMeasuredRoundTripsDecideWithinBounds(t *testing.T) {
	const serversEach = 20
	crossing := func(took time.Duration) float64 {
		trips := balance.NewRoundTrips()
		for range 3 {
			for region := 1; region < siteRegions; region++ {
				trips.Record(zoneOf(region, 0), took, 0)
				trips.Record(zoneOf(region, 1), took, 0)
			}
		}
		pool, _ := regionPool(serversEach, trips)
		return distancesOf(pool, balance.Demand{}, 0)[topology.OtherRegion]
	}
	near, unknown, implausible, away := crossing(time.Microsecond), crossing(0), crossing(time.Hour), crossing(80*time.Millisecond)
	t.Logf("crossing: near %.3f, unknown %.3f, implausible %.3f, away %.3f", near, unknown, implausible, away)
	if near <= unknown || unknown != implausible || away >= unknown || near > 0.25 {
		t.Errorf("crossing: near %.3f, unknown %.3f, implausible %.3f, away %.3f", near, unknown, implausible, away)
	}
}

// Guards against large bodies that cross regions as often as small ones.
func TestLargeRequestsCrossLess(t *testing.T) {
	trips := balance.NewRoundTrips()
	pool, _ := regionPool(20, trips)
	little, much := distancesOf(pool, balance.Demand{}, 0), distancesOf(pool, balance.Demand{Bytes: 100 << 10}, 0)
	if much[topology.OtherRegion] >= little[topology.OtherRegion] {
		t.Errorf("%v of large requests cross regions, %v of small ones", much, little)
	}
}

// Guards against requests that fail although other regions have room: all servers of the own region
// are full, silent, left, or ejected.
func TestOtherRegionsServeWhereTheOwnCannot(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for _, each := range []int{5, 40} {
		for name, lose := range map[string]func(pool *balance.Pool, member balance.Member){
			"full": func(pool *balance.Pool, member balance.Member) {
				for range member.Slots {
					pool.StartAt(member.ID, balance.Demand{}, 0)
				}
			},
			"silent": func(pool *balance.Pool, member balance.Member) {
				member.Silent = true
				pool.Put(member)
			},
			"left": func(pool *balance.Pool, member balance.Member) { pool.Drop(member.ID) },
			"failing": func(pool *balance.Pool, member balance.Member) {
				for range 8 {
					choice, _ := pool.StartAt(member.ID, balance.Demand{}, 0)
					pool.RecordOutcome(choice, health.Failure, 0, 0, random)
				}
			},
		} {
			pool, members := regionPool(each, balance.NewRoundTrips())
			for _, member := range members {
				if siteTopology().Distance("zone-0-0", member.Zone) != topology.OtherRegion {
					lose(pool, member)
				}
			}
			pool.Evaluate(time.Second, random)
			got := distancesOf(pool, balance.Demand{}, time.Second)
			if got[topology.OtherRegion] < 0.99 {
				t.Errorf("%d servers a region, the own ones %s: %v", each, name, got)
			}
		}
	}
}

// Guards against a zone missing in the settings that counts as near.
func TestUnlistedZoneIsAnotherRegion(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	pool, _ := regionPool(2, balance.NewRoundTrips())
	pool.Put(balance.Member{ID: "unlisted", Address: "unlisted", Zone: "unlisted", Slots: 8})
	choice, found := pool.StartAt("unlisted", balance.Demand{}, 0)
	if !found || choice.Distance != topology.OtherRegion {
		t.Errorf("the distance of a server in an unlisted zone is %s", choice.Distance)
	}
	// Its move to a listed zone counts.
	pool.Put(balance.Member{ID: "unlisted", Address: "unlisted", Zone: "zone-0-1", Slots: 8})
	if choice, _ = pool.StartAt("unlisted", balance.Demand{}, 0); choice.Distance != topology.SameRegion {
		t.Errorf("the distance after the move is %s", choice.Distance)
	}
	if _, found := pool.Choose(balance.Demand{}, nil, 0, random); !found {
		t.Error("no server is chosen")
	}
}

// Guards against copies of runs that cross regions although a server of the own region has room.
func TestCopyStaysInTheRegion(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	pool, _ := regionPool(3, balance.NewRoundTrips())
	// server-0 and server-6 are in zone-0-0, server-3 is in zone-0-1.
	at := func(otherZone bool) string {
		t.Helper()
		copyServer, found := pool.ChooseCopyServer("server-0", otherZone, topology.RegionSet{}, 0, random)
		if !found {
			t.Fatal("no server takes the copy")
		}
		return copyServer.ID
	}
	for range 20 {
		if same, other := at(false), at(true); same != "server-6" || other != "server-3" {
			t.Fatalf("copies are at %s and, in another zone, %s", same, other)
		}
	}
	pool.Drop("server-3")
	pool.Drop("server-6")
	for _, otherZone := range []bool{false, true} {
		if got := at(otherZone); got == "server-0" {
			t.Errorf("the copy is at %s itself", got)
		}
	}
}

// BenchmarkChoiceByRegion measures a choice among 90 servers of one region and of three.
func BenchmarkChoiceByRegion(b *testing.B) {
	const between = 2 * time.Millisecond
	for name, sites := range map[string]topology.Map{"one": {}, "three": siteTopology()} {
		b.Run(name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			pool, members := regionPool(30, balance.NewRoundTrips())
			pool.SetTopology(sites, balance.NewRoundTrips())
			pool.Update(nil)
			pool.Update(members)
			for i := range b.N {
				now := time.Duration(i) * between
				if choice, found := pool.Choose(longPrompt(uint64(i%100+1)), nil, now, random); found {
					pool.RecordOutcome(choice, health.Success, time.Millisecond, now, random)
				}
			}
		})
	}
}
