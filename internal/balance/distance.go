package balance

import (
	"time"

	"rockwind.example/rockwind/internal/topology"
)

// Cost of the bytes of a request and its response that cross between regions.
const (
	// regionByteCost is the cost of a kilobyte in milliseconds of time to first event.
	regionByteCost = 4.0
	// onlineResponseBytes and batchResponseBytes are assumed for a response, since its size is not
	// known in advance. Batch items have several times as many events as online requests.
	onlineResponseBytes = 4 << 10
	batchResponseBytes  = 12 << 10
	// maxRegionByteCost bounds the cost, so that large requests are still sent to other regions if the
	// own one has hardly any free slots.
	maxRegionByteCost = 40.0
)

// SetTopology sets the zones and regions of the site, and the estimator of round-trip times that all
// pools of a process share. Without it, all servers are in one region. Call it before the first
// server is added.
func (p *Pool) SetTopology(sites topology.Map, roundTrips *RoundTrips) {
	p.topology, p.roundTrips = sites, roundTrips
}

// setMember sets the description of a server.
func (p *Pool) setMember(srv *server, member Member) {
	if srv.Zone != member.Zone {
		p.regionPlaces.valid = false
		clear(p.affinities)
	}
	srv.setColdSpacing(member.ColdSpacing)
	p.countVersion(srv.Version, -1)
	p.countVersion(member.Version, 1)
	srv.Member = member
	srv.distance = p.topology.Distance(p.zone, member.Zone)
}

// distanceCost returns the cost of the distance to a server, in milliseconds of time to first event.
// The cost of other regions is reduced while the own region has a smaller fraction of free slots than the
// site. It is never lower than that of another zone of the own region.
func (p *Pool) distanceCost(srv *server, demand Demand, now time.Duration) float64 {
	switch srv.distance {
	case topology.SameZone:
		return 0
	case topology.SameRegion:
		return otherZoneCost
	}
	cost := p.roundTrips.cost(srv.Zone, now) + regionBytesCost(demand)
	return max(otherZoneCost, cost*p.regionRoom.factor(p, demand.Batch, now))
}

// regionBytesCost returns the cost of the bytes of a request and its response that cross between
// regions, in milliseconds of time to first event.
func regionBytesCost(demand Demand) float64 {
	expected := demand.Bytes + onlineResponseBytes
	if demand.Batch {
		expected = demand.Bytes + batchResponseBytes
	}
	return min(maxRegionByteCost, float64(expected)/1024*regionByteCost)
}

// regionPlaces caches the places of the servers of the own region and of the others, in random order.
type regionPlaces struct {
	valid      bool
	near, away []int
}

// placesByRegion returns the places of the servers of the own region and of the others. The caller
// may change their order.
func (p *Pool) placesByRegion() (near, away []int) {
	places := &p.regionPlaces
	if places.valid {
		return places.near, places.away
	}
	places.valid, places.near, places.away = true, places.near[:0], places.away[:0]
	for place, srv := range p.servers {
		switch {
		case srv == nil:
		case srv.distance == topology.OtherRegion:
			places.away = append(places.away, place)
		default:
			places.near = append(places.near, place)
		}
	}
	return places.near, places.away
}

// regionRoom caches the factors of the cost of other regions, which compare the free slots of the own
// region with those of the whole site.
type regionRoom struct {
	at    time.Duration
	valid bool
	// online and batch are the factors for online and batch requests.
	online, batch float64
}

// factor returns the factor of the cost of other regions: the square of the ratio between the
// fractions of free slots in the own region and at the site, or 1 if the own region has more. Loads of
// other processes are outdated, so requests queue at the servers of a region with few free slots unless
// some leave it before it is full. With the ratio itself more requests were late, and without any factor
// twice as many. The factor is reused for summaryTTL.
func (r *regionRoom) factor(p *Pool, batch bool, now time.Duration) float64 {
	if !r.valid || now < r.at || now-r.at >= summaryTTL {
		*r = regionRoom{at: now, valid: true, online: p.roomFactor(false, now), batch: p.roomFactor(true, now)}
	}
	if batch {
		return r.batch
	}
	return r.online
}

// roomFactor computes the factor of regionRoom. It is 1 if the slots of a usable server are unknown.
func (p *Pool) roomFactor(batch bool, now time.Duration) float64 {
	var near, site room
	for place, srv := range p.servers {
		if srv == nil || !p.usable(place, now) {
			continue
		}
		if srv.Slots == 0 {
			return 1
		}
		view := p.viewOf(srv, now)
		site.add(view, batch)
		if srv.distance != topology.OtherRegion {
			near.add(view, batch)
		}
	}
	if near.slots == 0 || site.free == 0 {
		return 1
	}
	ratio := min(1, near.fraction()/site.fraction())
	return ratio * ratio
}

// room counts the free and all slots of some servers.
type room struct{ free, slots int }

func (r *room) add(view serverView, batch bool) {
	used := view.online
	if batch {
		used = view.load
	}
	r.free += max(0, view.Slots-used)
	r.slots += view.Slots
}

func (r *room) fraction() float64 { return float64(r.free) / float64(r.slots) }
