// Package loadshare exchanges load digests between the routers and stores of a site. Each
// process reports several times a second how many requests it has at which server; on a large
// site, delegates sum these up per zone. Together they give a more recent load of each server
// than the servers' own responses. Digests are hints: they may be lost, and nothing waits for
// them.
package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/traffic"
)

// oversizedLogInterval is the least time between log lines about oversized datagrams.
const oversizedLogInterval = time.Minute

// Source provides the loads that a process shares and receives those of others. Its methods must
// be safe for concurrent use.
type Source interface {
	// Own returns this process's load by server.
	Own() *rockwindpb.LoadDigest
	// Sum returns the summed load of the named processes, including this one, with the stamps
	// of the digests that it covers.
	Sum(names []string) *rockwindpb.LoadDigest
	// SumOtherGroups returns the summed load of all groups but the named one.
	SumOtherGroups(group string) *rockwindpb.LoadDigest
	// SumRegion returns the summed load of the named processes, including this one, and of the named
	// groups.
	SumRegion(names, groups []string) *rockwindpb.LoadDigest
	// RecentlySeen reports whether a digest of the named process was received recently.
	RecentlySeen(name string) bool
	// DropPriority returns when the entry of a hash is removed from an oversized digest, as far
	// as this process knows what the hash stands for.
	DropPriority(hash uint32) DropPriority
	// Take receives the digest of another process or group.
	Take(digest *rockwindpb.LoadDigest)
}

// Sharer sends this process's digests and receives those of other processes.
type Sharer struct {
	started  time.Time
	socket   *net.UDPConn
	schedule *Schedule
	// layout is the current layout. Callers that set it may hold locks that the source takes, so
	// it is not guarded by the mutex.
	layout atomic.Pointer[Layout]

	// mutex guards the protocol. It is held during calls of the source.
	mutex    sync.Mutex
	protocol *Protocol

	// counter counts the traffic by distance; nil if it is not counted.
	counter *traffic.Counter
	// onOrigins receives bundles with origins of streams or queries of them; nil if nobody does.
	onOrigins func(received *rockwindpb.LoadBundle)

	datagrams, bytes, crossZoneBytes, oversized atomic.Uint64
	// oversizedLoggedAt is when an oversized datagram was last logged. Only Run uses it.
	oversizedLoggedAt time.Time
	// loggedSilent is the relay status that was last logged. Only Run uses it.
	loggedSilent bool
	relaysSilent atomic.Bool
}

// Traffic counts what a process has sent since its start.
type Traffic struct {
	// Datagrams and Bytes are the numbers of datagrams sent and of their bytes.
	Datagrams uint64
	Bytes     uint64
	// CrossZoneBytes is the part of Bytes that went to other groups.
	CrossZoneBytes uint64
	// Oversized is the number of datagrams that were too long to send.
	Oversized uint64
	// RelaysSilent is set while this process receives no sums from the relays of its zone.
	RelaysSilent bool
}

// Open binds the address for the digests of the named machine.
func Open(name, address string) (*Sharer, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse address for load digests")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(err, "listen for load digests")
	}
	started := time.Now()
	created := &Sharer{
		started: started, socket: socket, schedule: NewSchedule(),
		protocol: NewProtocol(name, started.UnixMilli()),
	}
	created.SetLayout(NewLayout(nil, name, topology.Map{}))
	return created, nil
}

// SetLayout replaces the layout.
func (s *Sharer) SetLayout(layout *Layout) { s.layout.Store(layout) }

// CountTraffic sets the counter of the traffic by distance, which may be nil. Call it before Run.
func (s *Sharer) CountTraffic(counter *traffic.Counter) { s.counter = counter }

// OnOrigins sets the receiver of bundles with origins of streams or queries of them, which are no part of the exchange of
// loads. It must be safe for concurrent use. Call it before Run.
func (s *Sharer) OnOrigins(receive func(received *rockwindpb.LoadBundle)) { s.onOrigins = receive }

// SendTo sends a bundle to one process, outside of the exchange of loads. It may be called concurrently. A bundle that
// is too long for a datagram is counted and not sent.
func (s *Sharer) SendTo(receiver netip.AddrPort, bundle *rockwindpb.LoadBundle) {
	encoded, err := proto.Marshal(bundle)
	if err != nil || len(encoded) > maxDatagramBytes {
		s.oversized.Add(1)
		return
	}
	s.counter.AddDatagram(traffic.Sent, receiver, traffic.LoadDigests, len(encoded))
	_, _ = s.socket.WriteToUDPAddrPort(encoded, receiver)
	s.recordTraffic(Datagram{Receivers: []netip.AddrPort{receiver}}, uint64(len(encoded)))
}

// TriggerSend sends digests soon instead of at the next interval, because other processes wait
// for a change. It never blocks.
func (s *Sharer) TriggerSend() { s.schedule.Trigger() }

// TriggerForward triggers a send if this process is a relay, after it received a change that
// other processes wait for. It never blocks.
func (s *Sharer) TriggerForward() {
	if s.layout.Load().IsRelay() {
		s.TriggerSend()
	}
}

// Traffic returns the counts since the start.
func (s *Sharer) Traffic() Traffic {
	return Traffic{Datagrams: s.datagrams.Load(), Bytes: s.bytes.Load(), CrossZoneBytes: s.crossZoneBytes.Load(), Oversized: s.oversized.Load(), RelaysSilent: s.relaysSilent.Load()}
}

// Run sends digests of the source's loads when they change, and passes received digests to the
// source, until the context ends.
func (s *Sharer) Run(ctx context.Context, source Source) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	go s.receive(source)
	s.schedule.Run(ctx, s.layout.Load, func() { s.sendDue(source) })
	return nil
}

// sendDue sends what the protocol has due.
func (s *Sharer) sendDue(source Source) {
	s.mutex.Lock()
	s.protocol.SetLayout(s.layout.Load())
	due := s.protocol.Tick(source, time.Since(s.started))
	silent, standby := s.protocol.RelayStatus()
	s.mutex.Unlock()
	s.logRelayStatus(silent, standby)
	for _, datagram := range due {
		s.send(datagram)
	}
}

// logRelayStatus logs that the relays of this zone have become silent or send digests again.
func (s *Sharer) logRelayStatus(silent, standby bool) {
	if silent == s.loggedSilent {
		return
	}
	s.loggedSilent = silent
	s.relaysSilent.Store(silent)
	line := log.WithField("standby", standby).WithField("zone", s.layout.Load().Group())
	if silent {
		line.Warn("no relay of load digests is heard")
		return
	}
	line.Info("a relay of load digests is heard again")
}

func (s *Sharer) send(datagram Datagram) {
	encoded, err := proto.Marshal(datagram.Bundle)
	if err != nil {
		return
	}
	if len(encoded) > maxDatagramBytes {
		s.recordOversized(len(encoded))
		return
	}
	for _, receiver := range datagram.Receivers {
		s.counter.AddDatagram(traffic.Sent, receiver, traffic.LoadDigests, len(encoded))
		// Datagrams may be lost, so send errors are ignored.
		_, _ = s.socket.WriteToUDPAddrPort(encoded, receiver)
	}
	s.recordTraffic(datagram, uint64(len(encoded)))
}

// recordOversized counts a datagram that is too long to send, and logs it at intervals.
func (s *Sharer) recordOversized(size int) {
	oversized := s.oversized.Add(1)
	if !s.oversizedLoggedAt.IsZero() && time.Since(s.oversizedLoggedAt) < oversizedLogInterval {
		return
	}
	s.oversizedLoggedAt = time.Now()
	log.WithField("bytes", size).WithField("unsent", oversized).Warn("load digest exceeds the datagram size limit and was not sent")
}

// recordTraffic adds a datagram of the given size to the traffic counts.
func (s *Sharer) recordTraffic(datagram Datagram, size uint64) {
	receivers := uint64(len(datagram.Receivers))
	s.datagrams.Add(receivers)
	s.bytes.Add(receivers * size)
	if datagram.CrossZone {
		s.crossZoneBytes.Add(receivers * size)
	}
}

// receive processes datagrams until the socket is closed. Invalid ones are ignored.
func (s *Sharer) receive(source Source) {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maxDatagramBytes {
			continue
		}
		s.counter.AddDatagram(traffic.Received, from, traffic.LoadDigests, n)
		received := &rockwindpb.LoadBundle{}
		if proto.Unmarshal(buffer[:n], received) != nil {
			continue
		}
		if s.onOrigins != nil && (len(received.GetOrigins()) > 0 || len(received.GetOriginQueries()) > 0) {
			s.onOrigins(received)
		}
		s.mutex.Lock()
		s.protocol.SetLayout(s.layout.Load())
		s.protocol.Receive(source, received, time.Since(s.started))
		s.mutex.Unlock()
	}
}
