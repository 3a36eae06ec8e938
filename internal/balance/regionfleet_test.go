package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/topology"
)

// Sizes of the simulated site: each region has two zones.
const (
	siteRegions      = 3
	serversPerRegion = 30
	routersPerRegion = 16
	serverSlots      = 8
	// regionRoundTrip and zoneRoundTrip are the round-trip times to other regions and to the other
	// zone.
	regionRoundTrip = 16 * time.Millisecond
	zoneRoundTrip   = 2800 * time.Microsecond
	// queueTime is how long a request waits in its process for a server, and queueRecheck the time
	// between two choices for it.
	queueTime    = 300 * time.Millisecond
	queueRecheck = 5 * time.Millisecond
)

// regionFleet is a fleet in several regions. Requests that find no server wait in their process for
// a while.
type regionFleet struct {
	*fleet
	// byDistance counts the requests by the distance of their servers.
	byDistance map[topology.Distance]int
	// firstEvents holds the time to the first event of each request, with the round trip.
	firstEvents []time.Duration
	givenUp     int
	// crossed counts the requests from each region to servers of others.
	crossed map[int]int
	// zones holds the zone of each server and process.
	zones map[string]string
}

func zoneOf(region, index int) string { return fmt.Sprintf("zone-%d-%d", region, index%2) }

func regionOf(zone string) int {
	var region, index int
	_, _ = fmt.Sscanf(zone, "zone-%d-%d", &region, &index)
	return region
}

// siteTopology returns the zones and regions of the simulated site.
func siteTopology() topology.Map {
	zones := make(map[string]string)
	for region := range siteRegions {
		for index := range 2 {
			zones[zoneOf(region, index)] = fmt.Sprint("region-", region)
		}
	}
	return topology.New(zones)
}

// newRegionFleet returns a fleet without traffic. The processes of the fleet know the regions if
// the topology does.
func newRegionFleet(seed uint64, sites topology.Map, serviceTime, interval time.Duration) *regionFleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[string]*simulatedServer), serviceTime: serviceTime, interval: interval}
	zones := make(map[string]string)
	var members []balance.Member
	for each := range siteRegions * serversPerRegion {
		name, zone := fmt.Sprint("server-", each), zoneOf(each%siteRegions, each/siteRegions)
		f.names, zones[name] = append(f.names, name), zone
		f.servers[name] = &simulatedServer{slots: serverSlots}
		members = append(members, balance.Member{ID: name, Address: name, Zone: zone, Region: sites.Region(zone), Slots: serverSlots})
	}
	for each := range siteRegions * routersPerRegion {
		name, zone := fmt.Sprint("process-", each), zoneOf(each%siteRegions, each/siteRegions)
		zones[name] = zone
		loads := balance.NewSharedLoads()
		// The site has not just started: the loads of others are known at once.
		loads.SetStarted(time.Hour.Milliseconds())
		pool := balance.NewPool("service", zone, loads)
		pool.SetTopology(sites, balance.NewRoundTrips())
		pool.SetPaceEstimator(pace.New())
		pool.SetOnlineProcesses(siteRegions * routersPerRegion)
		pool.SetMaxLoadAge(interval)
		pool.Update(members)
		for _, member := range members {
			pool.RecordReport(member.ID, balance.LoadReport{Pace: 1}, 0)
		}
		created := &process{name: name, pool: pool, sharedLoads: loads, started: 1}
		f.processes = append(f.processes, created)
		f.schedule(time.Duration(f.random.Float64()*float64(interval)), func(now time.Duration) { f.sendDigest(created, now) })
	}
	return &regionFleet{fleet: f, byDistance: make(map[topology.Distance]int), crossed: make(map[int]int), zones: zones}
}

// delayLoadsBetweenRegions makes processes of other regions get only one digest in each interval.
func (f *regionFleet) delayLoadsBetweenRegions(interval time.Duration) {
	f.reaches = func(sender, other *process, now time.Duration) bool {
		firstInInterval := (now+interval)/interval != (now+interval-f.interval)/interval
		return firstInInterval || regionOf(f.zones[sender.name]) == regionOf(f.zones[other.name])
	}
}

// generateIn sends requests to the processes of a region at a rate per second.
func (f *regionFleet) generateIn(region int, rate func(now time.Duration) float64, until time.Duration) {
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if now >= until {
			return
		}
		f.request(f.processes[region+siteRegions*f.random.IntN(routersPerRegion)], now, now)
		f.schedule(now+time.Duration(f.random.ExpFloat64()/rate(now)*float64(time.Second)), next)
	}
	f.schedule(0, next)
}

// request chooses a server for a request that arrived at the given time.
func (f *regionFleet) request(by *process, arrived, now time.Duration) {
	choice, found := by.pool.Choose(balance.Demand{}, nil, now, f.random)
	if !found {
		if now-arrived >= queueTime {
			f.givenUp++
			return
		}
		f.schedule(now+queueRecheck, func(now time.Duration) { f.request(by, arrived, now) })
		return
	}
	distance := siteTopology().Distance(f.zones[by.name], f.zones[choice.ID])
	f.byDistance[distance]++
	if distance == topology.OtherRegion {
		f.crossed[regionOf(f.zones[by.name])]++
	}
	roundTrip := roundTripTo(distance)
	f.schedule(now+roundTrip/2, func(now time.Duration) {
		f.sendObserved(by, choice, f.serviceTime, now, func(began time.Duration) {
			f.firstEvents = append(f.firstEvents, began+roundTrip/2-arrived)
			by.pool.RecordReport(choice.ID, balance.LoadReport{Pace: 1}, began)
		})
	})
}

func roundTripTo(distance topology.Distance) time.Duration {
	switch distance {
	case topology.SameZone:
		return 0
	case topology.SameRegion:
		return zoneRoundTrip
	}
	return regionRoundTrip
}

// crossing returns the fraction of the requests that went to servers of other regions.
func (f *regionFleet) crossing() float64 {
	all := 0
	for _, count := range f.byDistance {
		all += count
	}
	return float64(f.byDistance[topology.OtherRegion]) / float64(all)
}

// late returns the fraction of the requests whose first event came after the limit or never.
func (f *regionFleet) late(limit time.Duration) float64 {
	late := f.givenUp
	for _, took := range f.firstEvents {
		if took > limit {
			late++
		}
	}
	return float64(late) / float64(len(f.firstEvents)+f.givenUp)
}

// quantile returns a quantile of the times to the first event.
func (f *regionFleet) quantile(quantile float64) time.Duration {
	plain := &fleet{waits: f.firstEvents}
	return plain.waitQuantile(quantile)
}

// busySlots returns how many slots of a region's servers are in use.
func (f *regionFleet) busySlots(region int) int {
	busy := 0
	for name, server := range f.servers {
		if regionOf(f.zones[name]) == region {
			busy += server.running
		}
	}
	return busy
}
