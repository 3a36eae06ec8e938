package balance_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// Batch work of the simulated site. A store starts items in each pass of its executor.
	siteStores     = 9
	batchItemTime  = 5 * time.Second
	itemsPerJob    = 10
	executorPause  = 40 * time.Millisecond
	batchLoadUntil = 12 * time.Second
	// seeds is the number of plays. A single one differs by up to 0.01 in the fraction of late requests.
	seeds = 3
)

// simulatedStore is a process that runs batch items. Preempted items don't run again.
type simulatedStore struct {
	*process
	waiting int
	// running has the functions that cancel the items at each server.
	running map[string][]func(now time.Duration)
}

// addStores adds stores in the given zones, which run batch items that use a fraction of all slots.
// It returns the number of started items by distance.
func (f *regionFleet) addStores(sites topology.Map, zones []string, use float64) map[topology.Distance]int {
	started := make(map[topology.Distance]int)
	jobRate := use * siteRegions * serversPerRegion * serverSlots / batchItemTime.Seconds() / itemsPerJob / float64(len(zones))
	for i, zone := range zones {
		store := f.newStore(fmt.Sprint("store-", i), zone, sites, len(zones))
		var submit, execute func(now time.Duration)
		submit = func(now time.Duration) {
			store.waiting += itemsPerJob
			f.scheduleBefore(batchLoadUntil, now+time.Duration(f.random.ExpFloat64()/jobRate*float64(time.Second)), submit)
		}
		execute = func(now time.Duration) {
			f.startItems(store, started, now)
			store.pool.PreemptBatch(0, now, f.random, func(server string, items int) int { return store.preempt(server, items, now) })
			f.scheduleBefore(batchLoadUntil, now+executorPause, execute)
		}
		f.schedule(time.Duration(f.random.Float64()*float64(time.Second)), submit)
		f.schedule(time.Duration(f.random.Float64()*float64(executorPause)), execute)
	}
	return started
}

// scheduleBefore runs a function at a time unless that is after the limit.
func (f *regionFleet) scheduleBefore(limit, when time.Duration, run func(now time.Duration)) {
	if when <= limit {
		f.schedule(when, run)
	}
}

func (f *regionFleet) newStore(name, zone string, sites topology.Map, stores int) *simulatedStore {
	f.zones[name] = zone
	loads := balance.NewSharedLoads()
	pool := balance.NewPool("service", zone, loads)
	pool.SetTopology(sites, balance.NewRoundTrips())
	pool.SetPaceEstimator(pace.New())
	pool.SetOnlineProcesses(siteRegions * routersPerRegion)
	pool.SetBatchProcesses(stores)
	pool.SetMaxLoadAge(f.interval)
	for _, server := range f.names {
		pool.Put(balance.Member{ID: server, Address: server, Zone: f.zones[server], Region: sites.Region(f.zones[server]), Slots: serverSlots})
		pool.RecordReport(server, balance.LoadReport{Pace: 1}, 0)
	}
	store := &simulatedStore{
		process: &process{name: name, pool: pool, sharedLoads: loads, started: 1}, running: make(map[string][]func(now time.Duration)),
	}
	f.processes = append(f.processes, store.process)
	f.schedule(time.Duration(f.random.Float64()*float64(f.interval)), func(now time.Duration) { f.sendDigest(store.process, now) })
	return store
}

func (f *regionFleet) startItems(store *simulatedStore, started map[topology.Distance]int, now time.Duration) {
	for store.waiting > 0 {
		choice, found := store.pool.Choose(balance.Demand{Batch: true}, nil, now, f.random)
		if !found {
			return
		}
		store.waiting--
		started[siteTopology().Distance(f.zones[store.name], f.zones[choice.ID])]++
		store.running[choice.ID] = append(store.running[choice.ID], f.send(store.process, choice, batchItemTime, now))
	}
}

// preempt cancels up to the given number of items at a server and returns how many it canceled. Items
// that have ended are ignored by their cancel functions.
func (s *simulatedStore) preempt(server string, items int, now time.Duration) int {
	running := s.running[server]
	keep := max(0, len(running)-items)
	for _, cancel := range running[keep:] {
		cancel(now)
	}
	s.running[server] = running[:keep]
	return len(running) - keep
}

// Guards against batch items that cross regions, and against batch work that fills the servers of one
// region at the expense of its online requests where all leaders of shards are there. The online load
// moves in steps.
func TestBatchWorkCrossesLessAndLeavesRoom(t *testing.T) {
	const (
		serviceTime = 450 * time.Millisecond
		onlineUse   = 0.26
		batchUse    = 0.36
		limit       = 100 * time.Millisecond
		interval    = 150 * time.Millisecond
	)
	play := func(seed uint64, sites topology.Map, zones []string) batchFigures {
		f := newRegionFleet(seed, sites, serviceTime, interval)
		started := f.addStores(sites, zones, batchUse)
		usual := onlineUse * serversPerRegion * serverSlots / serviceTime.Seconds()
		for region := range siteRegions {
			f.generateIn(region, func(now time.Duration) float64 {
				if now%(5800*time.Millisecond) < 3400*time.Millisecond {
					return usual * 0.383
				}
				return usual * 1.87
			}, batchLoadUntil)
		}
		f.run(batchLoadUntil + 2*batchItemTime)
		all := started[topology.SameZone] + started[topology.SameRegion] + started[topology.OtherRegion]
		return batchFigures{
			items: float64(started[topology.OtherRegion]) / float64(all), requests: f.crossing(), late: f.late(limit),
		}
	}
	for name, zoneOfStore := range map[string]func(i int) string{
		"leaders in all regions": func(i int) string { return zoneOf(i%siteRegions, i/siteRegions) },
		"leaders in one region":  func(i int) string { return zoneOf(0, i) },
	} {
		zones := make([]string, siteStores)
		for i := range zones {
			zones[i] = zoneOfStore(i)
		}
		var before, after batchFigures
		for seed := range uint64(seeds) {
			before.add(play(seed, topology.Map{}, zones))
			after.add(play(seed, siteTopology(), zones))
		}
		t.Logf("%s: without regions %+v, with regions %+v", name, before, after)
		if after.items > 0.6*before.items || after.requests > before.requests/2 {
			t.Errorf("%s: more than expected crosses regions: %+v, without regions %+v", name, after, before)
		}
		if after.late > before.late+0.01 {
			t.Errorf("%s: %.4f of the requests are late, %.4f without regions", name, after.late, before.late)
		}
	}
}

// batchFigures are means over several plays: the fractions of the items and of the online requests
// that crossed regions, and of the online requests that were late.
type batchFigures struct{ items, requests, late float64 }

func (b *batchFigures) add(other batchFigures) {
	b.items += other.items / seeds
	b.requests += other.requests / seeds
	b.late += other.late / seeds
}
