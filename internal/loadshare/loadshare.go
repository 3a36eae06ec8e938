// Package loadshare carries load digests between the routers and stores of a
// site. Each process tells the others of its group, several times a second, how
// many requests it has at which server, and a delegate of each group tells the
// other groups the sum; all together are the load of the servers, newer than what
// the servers tell with their answers. A digest is a hint: it may be lost, and
// nothing waits for it.
package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// shortestInterval is the time between digests among few processes, and
	// intervalPerSender lengthens it among many, so that a process spends the same on
	// digests however many there are.
	shortestInterval  = 80 * time.Millisecond
	intervalPerSender = 5 * time.Millisecond
	// repeatInterval is the time after which a digest is sent although nothing has
	// changed: receivers forget a sender that is silent for long.
	repeatInterval = 400 * time.Millisecond
	// nudgeSpacing is the least time between digests that are sent out of turn.
	nudgeSpacing = 10 * time.Millisecond
	// maximumBytes bounds a digest; longer datagrams are passed over.
	maximumBytes = 8 << 10
)

// Source tells the loads that a process shares, and takes those of others. Its
// methods may be called by any goroutine.
type Source interface {
	// Own lists what this process has at servers.
	Own() *rockwindpb.LoadDigest
	// Sum lists what the named processes, this one included, have there.
	Sum(names []string) *rockwindpb.LoadDigest
	// Heard tells whether a digest of the named process came lately.
	Heard(name string) bool
	// Take takes the digest of another process or group.
	Take(digest *rockwindpb.LoadDigest)
}

// Sharer sends this process's digests and receives those of others.
type Sharer struct {
	name    string
	started time.Time
	socket  *net.UDPConn
	layout  atomic.Pointer[Layout]
	nudges  chan struct{}
	// sequence is that of the last digest; only Run uses it.
	sequence uint64
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
	created := &Sharer{name: name, started: time.Now(), socket: socket, nudges: make(chan struct{}, 1)}
	created.SetLayout(NewLayout(nil, name))
	return created, nil
}

// SetLayout replaces the processes that digests go to.
func (s *Sharer) SetLayout(layout *Layout) { s.layout.Store(layout) }

// Nudge has the digests sent out of turn, soon: others wait for what has changed. It never
// blocks.
func (s *Sharer) Nudge() {
	select {
	case s.nudges <- struct{}{}:
	default:
	}
}

// interval is the time between digests now.
func (s *Sharer) interval() time.Duration {
	return max(shortestInterval, time.Duration(s.layout.Load().senders())*intervalPerSender)
}

// Run sends what the source tells whenever it has changed, and hands over the
// digests of others, until the context ends.
func (s *Sharer) Run(ctx context.Context, source Source) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	go s.receive(source.Take)
	timer := time.NewTimer(s.interval())
	defer timer.Stop()
	var own, sum sending
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.nudges:
			retry.Pause(ctx, nudgeSpacing-time.Since(sent))
		}
		timer.Reset(s.interval())
		sent = time.Now()
		layout := s.layout.Load()
		if next := source.Own(); own.due(next) {
			s.send(next, layout.Peers())
		}
		if !layout.Delegate(source.Heard) {
			continue
		}
		next := source.Sum(layout.Members())
		next.Group, next.Members = layout.Group(), uint32(len(layout.Members()))
		if sum.due(next) {
			s.send(next, layout.Outsiders())
		}
	}
}

// sending remembers the digest that was sent last.
type sending struct {
	last *rockwindpb.LoadDigest
	at   time.Time
}

// due tells whether a digest has to be sent: it differs from the last one, or that
// one was sent long ago. It counts as sent then.
func (s *sending) due(next *rockwindpb.LoadDigest) bool {
	if s.last != nil && proto.Equal(s.last, next) && time.Since(s.at) < repeatInterval {
		return false
	}
	s.last, s.at = proto.CloneOf(next), time.Now()
	return true
}

func (s *Sharer) send(digest *rockwindpb.LoadDigest, receivers []netip.AddrPort) {
	s.sequence++
	digest.Sender, digest.Sequence, digest.StartedUnixMs = s.name, s.sequence, s.started.UnixMilli()
	encoded, err := proto.Marshal(digest)
	if err != nil || len(encoded) > maximumBytes {
		return
	}
	for _, receiver := range receivers {
		// What cannot be sent is lost, like what is lost on its way.
		_, _ = s.socket.WriteToUDPAddrPort(encoded, receiver)
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
		if consistent(received) {
			take(received)
		}
	}
}

// consistent tells whether the lists of a digest run beside each other.
func consistent(digest *rockwindpb.LoadDigest) bool {
	servers := len(digest.GetServers())
	return len(digest.GetInflight()) == servers && len(digest.GetUnread()) == servers && len(digest.GetBatch()) == servers
}
