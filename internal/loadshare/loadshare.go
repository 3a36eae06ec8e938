// Package loadshare carries load digests between the routers and stores of a
// site. Each process tells all others, several times a second, how many requests
// it has at which server; the sum is the load of the servers, newer than what the
// servers tell with their answers. A digest is a hint: it may be lost, and nothing
// waits for it.
package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// shortestInterval is the time between digests among few processes, and
	// intervalPerPeer lengthens it among many, so that a process spends the same on
	// digests however many there are.
	shortestInterval = 80 * time.Millisecond
	intervalPerPeer  = 7 * time.Millisecond
	// repeatInterval is the time after which a digest is sent although nothing has
	// changed: receivers forget a sender that is silent for long.
	repeatInterval = 400 * time.Millisecond
	// maximumBytes bounds a digest; longer datagrams are passed over.
	maximumBytes = 8 << 10
)

// Sharer sends this process's digests and receives those of others.
type Sharer struct {
	name    string
	started time.Time
	socket  *net.UDPConn
	peers   atomic.Pointer[[]netip.AddrPort]
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
	created := &Sharer{name: name, started: time.Now(), socket: socket}
	created.SetPeers(nil)
	return created, nil
}

// SetPeers replaces the processes that digests go to.
func (s *Sharer) SetPeers(peers []netip.AddrPort) { s.peers.Store(&peers) }

// interval is the time between digests now.
func (s *Sharer) interval() time.Duration {
	return max(shortestInterval, time.Duration(len(*s.peers.Load()))*intervalPerPeer)
}

// Run sends what the function returns whenever it has changed, and takes the
// digests of others, until the context ends.
func (s *Sharer) Run(ctx context.Context, digest func() *rockwindpb.LoadDigest, take func(*rockwindpb.LoadDigest)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	go s.receive(take)
	timer := time.NewTimer(s.interval())
	defer timer.Stop()
	var last *rockwindpb.LoadDigest
	var sentAt time.Time
	for sequence := uint64(1); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(s.interval())
		}
		next := digest()
		if last != nil && proto.Equal(last, next) && time.Since(sentAt) < repeatInterval {
			continue
		}
		last, sentAt = proto.CloneOf(next), time.Now()
		next.Sender, next.Sequence, next.StartedUnixMs = s.name, sequence, s.started.UnixMilli()
		sequence++
		s.send(next)
	}
}

func (s *Sharer) send(digest *rockwindpb.LoadDigest) {
	encoded, err := proto.Marshal(digest)
	if err != nil || len(encoded) > maximumBytes {
		return
	}
	for _, peer := range *s.peers.Load() {
		// What cannot be sent is lost, like what is lost on its way.
		_, _ = s.socket.WriteToUDPAddrPort(encoded, peer)
	}
}

// receive takes digests until the socket is closed. Datagrams that are none are
// passed over.
func (s *Sharer) receive(take func(*rockwindpb.LoadDigest)) {
	buffer := make([]byte, maximumBytes+1)
	for {
		n, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maximumBytes {
			continue
		}
		received := &rockwindpb.LoadDigest{}
		if proto.Unmarshal(buffer[:n], received) != nil || received.GetSender() == "" || received.GetSender() == s.name {
			continue
		}
		if len(received.GetInflight()) == len(received.GetServers()) && len(received.GetUnread()) == len(received.GetServers()) {
			take(received)
		}
	}
}
