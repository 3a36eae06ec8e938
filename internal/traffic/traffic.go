// Package traffic counts the bytes that a process exchanges with the other processes of its site and with
// servers, by the distance of the peer and the kind of call. Bytes are counted at the connections, with the
// headers of HTTP and without those of the network.
package traffic

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/topology"
)

// Direction is whether bytes were sent or received.
type Direction int

// The directions.
const (
	Sent Direction = iota
	Received
	directionCount
)

// unknownDistance is the distance of peers that the directory does not list. Its value follows those of the
// topology package.
const (
	unknownDistance = topology.OtherRegion + 1
	distanceCount   = int(unknownDistance) + 1
)

// unknownName is the name of unknownDistance used for metric labels.
const unknownName = "unknown"

// Counter counts the traffic of one process. A nil Counter counts nothing. It is safe for concurrent use.
type Counter struct {
	zone     string
	topology topology.Map
	peers    atomic.Pointer[peers]
	bytes    [directionCount][distanceCount][callCount]atomic.Uint64
}

// NewCounter returns a counter for a process in a zone.
func NewCounter(zone string, zones topology.Map) *Counter {
	c := &Counter{zone: zone, topology: zones}
	c.peers.Store(&peers{})
	return c
}

// peers holds the distances of the peers that the directory lists. It is immutable.
type peers struct {
	// generation is one more than that of the peers before; zero if no peers have been set.
	generation uint64
	// byName and byAddress hold the distances by the addresses of the directory, the latter for numeric ones.
	byName    map[string]topology.Distance
	byAddress map[netip.AddrPort]topology.Distance
	// byHost holds the distances by IP address, unknownDistance if peers at different distances share one.
	byHost map[netip.Addr]topology.Distance
}

// SetPeers replaces the zones of the peers, by their addresses. Only one goroutine may call it.
func (c *Counter) SetPeers(zones map[string]string) {
	next := &peers{
		generation: c.peers.Load().generation + 1,
		byName:     make(map[string]topology.Distance, len(zones)),
		byAddress:  make(map[netip.AddrPort]topology.Distance, len(zones)),
		byHost:     make(map[netip.Addr]topology.Distance, len(zones)),
	}
	for address, zone := range zones {
		distance := c.topology.Distance(c.zone, zone)
		next.byName[address] = distance
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		parsed = unmap(parsed)
		next.byAddress[parsed] = distance
		if other, found := next.byHost[parsed.Addr()]; found && other != distance {
			distance = unknownDistance
		}
		next.byHost[parsed.Addr()] = distance
	}
	c.peers.Store(next)
}

// unmap converts an IPv4 address that is mapped to IPv6 to IPv4.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// distance returns the distance of a peer by the name that was dialed, if any, and its address. The port of an
// accepted connection is not in the directory.
func (p *peers) distance(name string, address netip.AddrPort) topology.Distance {
	if distance, found := p.byName[name]; found {
		return distance
	}
	if distance, found := p.byAddress[address]; found {
		return distance
	}
	if distance, found := p.byHost[address.Addr()]; found {
		return distance
	}
	return unknownDistance
}

const (
	// firstPeersInterval is the time between checks for the first directory, and peersInterval that between
	// checks for a newer one. Listing the zones of 1,200 servers takes some 0.2 ms.
	firstPeersInterval = 50 * time.Millisecond
	peersInterval      = time.Second
	// logInterval is the time between log lines.
	logInterval = 10 * time.Second
)

// Follow takes the zones of the peers from the directory until the context ends, and logs the bytes sent to other
// zones at intervals and at the end. The view function may return nil.
func (c *Counter) Follow(ctx context.Context, view func() *directory.View) {
	var last *directory.View
	loggedAt := time.Now()
	defer c.logSent()
	for {
		if time.Since(loggedAt) >= logInterval {
			c.logSent()
			loggedAt = time.Now()
		}
		interval := firstPeersInterval
		if current := view(); current != nil {
			if last == nil || current.Revision() != last.Revision() {
				c.SetPeers(zonesOf(current))
			}
			last, interval = current, peersInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// logSent logs the bytes sent to other zones since the start, for processes whose metrics are not scraped.
func (c *Counter) logSent() {
	fields := log.Fields{}
	c.Visit(func(direction Direction, distance, call string, bytes uint64) {
		if direction == Sent && distance != topology.SameZone.String() {
			fields[distance+"_"+call] = bytes
		}
	})
	if len(fields) > 0 {
		log.WithFields(fields).Info("bytes sent to other zones")
	}
}

// zonesOf returns the zones of all machines and servers by address.
func zonesOf(view *directory.View) map[string]string {
	zones := make(map[string]string)
	for _, server := range view.Servers() {
		zones[server.GetAddress()] = server.GetZone()
	}
	for _, machine := range view.Machines() {
		zones[machine.GetAddress()] = machine.GetZone()
	}
	return zones
}

// AddDatagram counts a datagram to or from an address.
func (c *Counter) AddDatagram(direction Direction, peer netip.AddrPort, call Call, bytes int) {
	if c == nil {
		return
	}
	c.add(direction, c.peers.Load().distance("", unmap(peer)), call, bytes)
}

func (c *Counter) add(direction Direction, distance topology.Distance, call Call, bytes int) {
	if bytes > 0 {
		c.bytes[direction][distance][call].Add(uint64(bytes))
	}
}

// Visit visits the counts that are not zero.
func (c *Counter) Visit(visit func(direction Direction, distance, call string, bytes uint64)) {
	if c == nil {
		return
	}
	for direction := range directionCount {
		for distance := range distanceCount {
			name := unknownName
			if topology.Distance(distance) != unknownDistance {
				name = topology.Distance(distance).String()
			}
			for call := range callCount {
				if count := c.bytes[direction][distance][call].Load(); count > 0 {
					visit(direction, name, call.String(), count)
				}
			}
		}
	}
}
