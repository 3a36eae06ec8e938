package router

import (
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// startCounts counts the requests that this process started at servers, by distance.
type startCounts [topology.OtherRegion + 1]atomic.Uint64

// StartsByDistance returns how many requests this process has started at servers, by distance.
func (d *Dispatcher) StartsByDistance() map[topology.Distance]uint64 {
	counts := make(map[topology.Distance]uint64)
	for _, distance := range topology.Distances() {
		counts[distance] = d.started[distance].Load()
	}
	return counts
}

// RecordConnect records how long it took to connect to the server at an address. It measures the
// round-trip times to other regions.
func (d *Dispatcher) RecordConnect(address string, took time.Duration) {
	if !d.multiRegion {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	zone, known := d.addressZones[address]
	if known && d.topology.Distance(d.zone, zone) == topology.OtherRegion {
		d.roundTrips.Record(zone, took, d.now())
	}
}

// RoundTrips returns the measured round-trip times to the zones of other regions.
func (d *Dispatcher) RoundTrips() map[string]time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	estimates := make(map[string]time.Duration)
	for _, zone := range d.addressZones {
		if estimate, found := d.roundTrips.Estimate(zone, d.now()); found {
			estimates[zone] = estimate
		}
	}
	return estimates
}

// updateAddressZones updates the zones of the addresses of servers. Addresses of servers that have left are
// kept until the next rebuild; they are not connected to. The caller holds d.mutex.
func (d *Dispatcher) updateAddressZones(servers []*rockwindpb.Server, rebuild bool) {
	if !d.multiRegion {
		return
	}
	if rebuild {
		clear(d.addressZones)
	}
	for _, server := range servers {
		d.addressZones[server.GetAddress()] = server.GetZone()
	}
}
