package loadshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// sentChecksum runs a site through a loss of all relays of a zone and their return, and returns the number of
// datagrams sent and a checksum over their receivers and their contents without the counts of processes, which
// the version before regions did not send.
func sentChecksum(t *testing.T, zones, stores, routers int) (int, uint64) {
	t.Helper()
	members := largeSite(zones, stores, routers)
	w := newWorld(1, members)
	digest, sent := xxhash.New(), 0
	w.observe = func(from *simProcess, datagram loadshare.Datagram, encoded []byte) {
		sent++
		_, _ = fmt.Fprint(digest, from.member.Name(), datagram.Receivers, datagram.CrossZone)
		without := &rockwindpb.LoadBundle{}
		if err := proto.Unmarshal(encoded, without); err != nil {
			t.Fatal(err)
		}
		removeCounts(without, from.protocol.Layout())
		content, err := proto.Marshal(without)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = digest.Write(content)
	}
	redraw := func() {
		w.redraw(30)
		for i, s := range w.processes {
			s.own[uint32(i)] = balance.SharedLoad{Inflight: 2, Pace: busyPace}
			s.own[uint32(firstTenant+i%5)] = balance.SharedLoad{Unread: 100 * i}
		}
	}
	w.run(t, 1500*time.Millisecond, redraw)
	for _, s := range w.processes[:stores] {
		s.silent = true
	}
	w.run(t, 2*time.Second, redraw)
	for _, s := range w.processes[:stores] {
		s.silent = false
		w.start(s, members)
	}
	w.run(t, 1500*time.Millisecond, redraw)
	return sent, digest.Sum64()
}

// Guards against a change of what sites without regions send, other than the counts of processes, which
// TestCountsOfProcessesCostFewBytes bounds. The values are those of the version before
// regions.
func TestSitesWithoutRegionsSendTheSame(t *testing.T) {
	t.Parallel()
	for _, each := range []struct {
		zones, stores, routers, sent int
		checksum                     uint64
	}{{3, 1, 3, 591, 0xccf3834808efe6c2}, {3, 3, 9, 3218, 0x6e74d0d450560097}, {6, 2, 8, 5182, 0x8476b21cc76aeb16}} {
		sent, checksum := sentChecksum(t, each.zones, each.stores, each.routers)
		if sent != each.sent || checksum != each.checksum {
			t.Errorf("%d zones of %d and %d: %d datagrams with checksum %#x, want %d with %#x", each.zones, each.stores, each.routers, sent, checksum, each.sent, each.checksum)
		}
	}
}
