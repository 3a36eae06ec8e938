package loadshare_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/traffic"
)

// countingSource has one load that a test changes, and passes on the digests it receives.
type countingSource struct {
	inflight atomic.Uint32
	received chan *rockwindpb.LoadDigest
}

func (s *countingSource) digest() *rockwindpb.LoadDigest {
	return &rockwindpb.LoadDigest{Servers: []uint32{1}, Inflight: []uint32{s.inflight.Load()}, Unread: []uint32{0}, Batch: []uint32{0}, Suspects: []uint32{0}}
}

func (s *countingSource) Own() *rockwindpb.LoadDigest         { return s.digest() }
func (s *countingSource) Sum([]string) *rockwindpb.LoadDigest { return s.digest() }
func (s *countingSource) SumOtherGroups(string) *rockwindpb.LoadDigest {
	return &rockwindpb.LoadDigest{}
}
func (s *countingSource) SumRegion(_, _ []string) *rockwindpb.LoadDigest {
	return s.digest()
}
func (s *countingSource) RecentlySeen(string) bool           { return true }
func (s *countingSource) Take(digest *rockwindpb.LoadDigest) { s.received <- digest }

func open(t *testing.T, name string) (*loadshare.Sharer, netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	_ = socket.Close()
	sharer, err := loadshare.Open(name, address)
	if err != nil {
		t.Fatal(err)
	}
	return sharer, netip.MustParseAddrPort(address)
}

// TestTriggeredDigestDoesNotWaitForTheInterval guards against triggered digests that wait for the long
// interval of a large site.
func TestTriggeredDigestDoesNotWaitForTheInterval(t *testing.T) {
	sender, from := open(t, "sender")
	receiver, to := open(t, "receiver")
	members := []loadshare.Member{loadshare.NewMember("sender", "z", from, 1), loadshare.NewMember("receiver", "z", to, 0)}
	// Unreachable members make the interval longer than the test's time limit.
	const others = 20_000
	for i := range others {
		nowhere := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 9)
		members = append(members, loadshare.NewMember(fmt.Sprint("other-", i), "z", nowhere, 9))
	}
	sender.SetLayout(loadshare.NewLayout(members, "sender", topology.Map{}))
	senderSource := &countingSource{received: make(chan *rockwindpb.LoadDigest, 16)}
	receiverSource := &countingSource{received: make(chan *rockwindpb.LoadDigest, 16)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = sender.Run(ctx, senderSource) }()
	go func() { _ = receiver.Run(ctx, receiverSource) }()
	for want := uint32(1); want <= 3; want++ {
		senderSource.inflight.Store(want)
		sender.TriggerSend()
		limit := time.After(2 * time.Second)
		for got := uint32(0); got != want; {
			select {
			case digest := <-receiverSource.received:
				got = digest.GetInflight()[0]
			case <-limit:
				t.Fatalf("the triggered digest with load %d was not received", want)
			}
		}
	}
}

// DropPriority implements loadshare.Source.
func (*countingSource) DropPriority(uint32) loadshare.DropPriority { return loadshare.NeverDrop }

// Guards against datagrams that are not counted by distance at one of both ends.
func TestDatagramsAreCountedAtBothEnds(t *testing.T) {
	sender, from := open(t, "sender")
	receiver, to := open(t, "receiver")
	members := []loadshare.Member{loadshare.NewMember("sender", "a", from, 1), loadshare.NewMember("receiver", "b", to, 0)}
	sites := topology.New(map[string]string{"a": "north", "b": "south"})
	zones := map[string]string{from.String(): "a", to.String(): "b"}
	counters := map[string]*traffic.Counter{"a": traffic.NewCounter("a", sites), "b": traffic.NewCounter("b", sites)}
	for i, sharer := range []*loadshare.Sharer{sender, receiver} {
		counter := counters[members[i].Zone()]
		counter.SetPeers(zones)
		sharer.CountTraffic(counter)
		sharer.SetLayout(loadshare.NewLayout(members, members[i].Name(), sites))
	}
	receiverSource := &countingSource{received: make(chan *rockwindpb.LoadDigest, 16)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = receiver.Run(ctx, receiverSource) }()
	go func() { _ = sender.Run(ctx, &countingSource{received: make(chan *rockwindpb.LoadDigest, 64)}) }()
	select {
	case <-receiverSource.received:
	case <-time.After(2 * time.Second):
		t.Fatal("no digest was received")
	}
	count := func(zone string, wanted traffic.Direction) (bytes uint64) {
		counters[zone].Visit(func(direction traffic.Direction, distance, call string, counted uint64) {
			if direction == wanted && distance == "other_region" && call == "load_digests" {
				bytes = counted
			}
		})
		return bytes
	}
	if sent, received := count("a", traffic.Sent), count("b", traffic.Received); received == 0 || sent < received {
		t.Errorf("%d bytes are counted as sent, %d as received", sent, received)
	}
}
