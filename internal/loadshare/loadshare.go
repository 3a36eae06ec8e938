// Package loadshare carries load digests between the routers and stores of a
// site. Each process tells several times a second how many requests it has at which
// server; on a large site delegates sum that up for each zone. All together are the load
// of the servers, newer than what the servers tell with their answers. A digest is a
// hint: it may be lost, and nothing waits for it.
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

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// nudgeSpacing is the least time between digests that are sent out of turn in a mesh.
	nudgeSpacing = 10 * time.Millisecond
	// groupNudgeSpacing is the least time between them in a group, whose relays hear them
	// from all members.
	groupNudgeSpacing = 50 * time.Millisecond
	// unsentInterval is the least time between lines in the log of datagrams that were too long.
	unsentInterval = time.Minute
)

// Source tells the loads that a process shares, and takes those of others. Its
// methods may be called by any goroutine.
type Source interface {
	// Own lists what this process has at servers.
	Own() *rockwindpb.LoadDigest
	// Sum lists what the named processes, this one included, have there, with the stamps
	// of the digests that it covers.
	Sum(names []string) *rockwindpb.LoadDigest
	// SumOtherGroups lists what the processes of all groups but the named one have there.
	SumOtherGroups(group string) *rockwindpb.LoadDigest
	// Heard tells whether a digest of the named process came lately.
	Heard(name string) bool
	// DropPriority tells when the entry of a hash is left out of a digest that is too long, as far
	// as this process knows what it is of.
	DropPriority(hash uint32) DropPriority
	// Take takes the digest of another process or group.
	Take(digest *rockwindpb.LoadDigest)
}

// Sharer sends this process's digests and receives those of others.
type Sharer struct {
	started time.Time
	socket  *net.UDPConn
	nudges  chan struct{}
	// layout is the one in force. It is set by callers who may hold locks that the source
	// takes, so it is not guarded by the mutex.
	layout atomic.Pointer[Layout]

	// mutex guards the protocol. It is held while the source is called.
	mutex    sync.Mutex
	protocol *Protocol

	datagrams, bytes, otherZones, unsent atomic.Uint64
	// unsentAt is when it was last written that datagrams were too long. Only Run uses it.
	unsentAt time.Time
	// missed is what was written last of the relays. Only Run uses it.
	missed       bool
	relaysMissed atomic.Bool
}

// Traffic counts what a process has sent since its start.
type Traffic struct {
	// Datagrams is how many were sent, and Bytes how many bytes they carried.
	Datagrams uint64
	Bytes     uint64
	// CrossZoneBytes is how many of the bytes went to other groups.
	CrossZoneBytes uint64
	// Oversized is how many datagrams were not sent as they were too long.
	Oversized uint64
	// RelaysSilent tells that this process hears no relay of its zone now.
	RelaysSilent bool
}

// Open binds the address for the digests of the named machine.
func Open(name, address string) (*Sharer, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "the address for load digests")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(err, "listen for load digests")
	}
	started := time.Now()
	created := &Sharer{
		started: started, socket: socket, nudges: make(chan struct{}, 1),
		protocol: NewProtocol(name, started.UnixMilli()),
	}
	created.SetLayout(NewLayout(nil, name))
	return created, nil
}

// SetLayout replaces the processes that digests go to.
func (s *Sharer) SetLayout(layout *Layout) { s.layout.Store(layout) }

// TriggerSend has the digests sent out of turn, soon: others wait for what has changed. It never
// blocks.
func (s *Sharer) TriggerSend() {
	select {
	case s.nudges <- struct{}{}:
	default:
	}
}

// TriggerForward has the digests sent out of turn if this process may be its group's delegate:
// it was told something that others wait for. It never blocks.
func (s *Sharer) TriggerForward() {
	if s.layout.Load().IsRelay() {
		s.TriggerSend()
	}
}

// Traffic tells what was sent since the start.
func (s *Sharer) Traffic() Traffic {
	return Traffic{Datagrams: s.datagrams.Load(), Bytes: s.bytes.Load(), CrossZoneBytes: s.otherZones.Load(), Oversized: s.unsent.Load(), RelaysSilent: s.relaysMissed.Load()}
}

// intervals are the time between digests now, and the least time between those that are
// sent out of turn.
func (s *Sharer) intervals() (turn, spacing time.Duration) {
	layout := s.layout.Load()
	turn, spacing = layout.Interval(), nudgeSpacing
	if !layout.Mesh() {
		spacing = groupNudgeSpacing
	}
	return turn, spacing
}

// Run sends what the source tells whenever it has changed, and hands over the
// digests of others, until the context ends.
func (s *Sharer) Run(ctx context.Context, source Source) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	go s.receive(source)
	timer := time.NewTimer(shortestInterval)
	defer timer.Stop()
	var sent time.Time
	for {
		turn, spacing := s.intervals()
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.nudges:
			retry.Pause(ctx, spacing-time.Since(sent))
		}
		timer.Reset(turn)
		sent = time.Now()
		s.takeTurn(source)
	}
}

// takeTurn sends what the protocol has to send now.
func (s *Sharer) takeTurn(source Source) {
	s.mutex.Lock()
	s.protocol.SetLayout(s.layout.Load())
	datagrams := s.protocol.Tick(source, time.Since(s.started))
	missed, standby := s.protocol.RelayStatus()
	s.mutex.Unlock()
	s.recordRelays(missed, standby)
	for _, datagram := range datagrams {
		s.send(datagram)
	}
}

// recordRelays writes that the relays of this zone fell silent, or are heard again.
func (s *Sharer) recordRelays(missed, standby bool) {
	if missed == s.missed {
		return
	}
	s.missed = missed
	s.relaysMissed.Store(missed)
	line := log.WithField("standby", standby).WithField("zone", s.layout.Load().Group())
	if missed {
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
	if len(encoded) > maximumBytes {
		s.tooLong(len(encoded))
		return
	}
	for _, receiver := range datagram.Receivers {
		// What cannot be sent is lost, like what is lost on its way.
		_, _ = s.socket.WriteToUDPAddrPort(encoded, receiver)
	}
	s.count(datagram, uint64(len(encoded)))
}

// tooLong counts a datagram that is not sent, and writes so now and then.
func (s *Sharer) tooLong(size int) {
	unsent := s.unsent.Add(1)
	if !s.unsentAt.IsZero() && time.Since(s.unsentAt) < unsentInterval {
		return
	}
	s.unsentAt = time.Now()
	log.WithField("bytes", size).WithField("unsent", unsent).Warn("a load digest is too long for a datagram and is not sent")
}

// count adds a datagram of the given size to the traffic.
func (s *Sharer) count(datagram Datagram, size uint64) {
	receivers := uint64(len(datagram.Receivers))
	s.datagrams.Add(receivers)
	s.bytes.Add(receivers * size)
	if datagram.CrossZone {
		s.otherZones.Add(receivers * size)
	}
}

// receive takes digests until the socket is closed. Datagrams that are none are
// passed over.
func (s *Sharer) receive(source Source) {
	buffer := make([]byte, maximumBytes+1)
	for {
		n, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maximumBytes {
			continue
		}
		received := &rockwindpb.LoadBundle{}
		if proto.Unmarshal(buffer[:n], received) != nil {
			continue
		}
		s.mutex.Lock()
		s.protocol.SetLayout(s.layout.Load())
		s.protocol.Receive(source, received, time.Since(s.started))
		s.mutex.Unlock()
	}
}
