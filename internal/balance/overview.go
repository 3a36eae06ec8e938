package balance

import "time"

// maxFullScan is the number of servers up to which each choice considers all of them.
const maxFullScan = 64

// overview provides sums over all servers of a pool.
type overview interface {
	// usage returns the load of the servers.
	usage(now time.Duration) usage
	// freeSlots returns how many slots online requests may use, including spare ones and less the
	// requests that queue at servers. slotsKnown is false if the slots of any usable server are
	// unknown.
	freeSlots(now time.Duration) (free float64, slotsKnown bool)
	// avoidsSuspected reports whether some servers are suspected, but few enough to be avoided.
	avoidsSuspected(now time.Duration) bool
}

var (
	_ overview = fullScan{}
	_ overview = (*summary)(nil)
)

// overview returns a full scan for small pools and cached sums for large ones.
func (p *Pool) overview() overview {
	if p.large() {
		return &p.summary
	}
	return fullScan{p}
}

// large reports whether choices consider a sample of the servers only.
func (p *Pool) large() bool { return len(p.places) > maxFullScan }

// fullScan computes the sums from all servers on each call.
type fullScan struct{ pool *Pool }

func (f fullScan) usage(now time.Duration) usage {
	sum := usage{slotsKnown: true}
	for place, srv := range f.pool.servers {
		if srv != nil {
			sum.add(f.pool.viewOf(srv, now), f.pool.usable(place, now))
		}
	}
	return sum
}

func (f fullScan) freeSlots(now time.Duration) (free float64, slotsKnown bool) {
	for place, srv := range f.pool.servers {
		if srv == nil || !f.pool.usable(place, now) {
			continue
		}
		if srv.Slots == 0 {
			return 0, false
		}
		free += f.pool.viewOf(srv, now).freeSlots()
	}
	return free, true
}

func (f fullScan) avoidsSuspected(time.Duration) bool {
	suspected := 0
	for _, srv := range f.pool.servers {
		if srv != nil && f.pool.loads.At(srv.hash).suspectedByPeers() {
			suspected++
		}
	}
	return fewSuspected(suspected, len(f.pool.places))
}
