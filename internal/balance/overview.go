package balance

import (
	"time"

	"rockwind.example/rockwind/internal/topology"
)

// maxFullScan is the number of servers up to which each choice considers all of them.
const maxFullScan = 64

// overview provides sums over all servers of a pool.
type overview interface {
	// usage returns the load of the servers.
	usage(now time.Duration) usage
	// avoidsSuspected reports whether some servers are suspected, but few enough to be avoided.
	avoidsSuspected(now time.Duration) bool
}

var (
	_ overview = (*fullScan)(nil)
	_ overview = (*summary)(nil)
)

// overview returns a full scan for small pools and cached sums for large ones.
func (p *Pool) overview() overview {
	if p.large() {
		return &p.summary
	}
	return &p.scan
}

// large reports whether choices consider a sample of the servers only.
func (p *Pool) large() bool { return len(p.places) > maxFullScan }

// fullScan computes the sums from all servers in the regions on each call.
type fullScan struct {
	pool    *Pool
	regions topology.RegionSet
}

func (f *fullScan) usage(now time.Duration) usage {
	sum := noUsage
	for place, srv := range f.pool.servers {
		if srv != nil && f.regions.Allows(srv.Region) {
			sum.add(f.pool.viewOf(srv, now), f.pool.usable(place, now))
		}
	}
	return sum
}

func (f *fullScan) avoidsSuspected(time.Duration) bool {
	suspected, members := 0, 0
	for _, srv := range f.pool.servers {
		if srv == nil || !f.regions.Allows(srv.Region) {
			continue
		}
		members++
		if f.pool.loads.At(srv.hash).suspectedByPeers() {
			suspected++
		}
	}
	return fewSuspected(suspected, members)
}
