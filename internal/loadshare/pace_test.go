package loadshare_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// busyPace is what processes tell of a server that many of them saw.
var busyPace = balance.SharedPace{ReportedSum: 900, ReportedCount: 6, ObservedSum: 2400, ObservedCount: 20}

// TestDigestWithoutPacesIsAsBefore: where no server tells its pace, digests are not longer,
// and those of processes that know nothing of paces are taken.
func TestDigestWithoutPacesIsAsBefore(t *testing.T) {
	loads := map[uint32]balance.SharedLoad{1: {Inflight: 2}, 2: {Unread: 30, Suspects: 1}}
	digest := loadshare.NewDigest(loads)
	if len(digest.GetToldPaces()) > 0 || len(digest.GetSeenVoices()) > 0 {
		t.Errorf("it tells paces: %v", digest)
	}
	got := loadshare.Loads(digest)
	if len(got) != len(loads) || got[1] != loads[1] || got[2] != loads[2] {
		t.Errorf("read as %+v", got)
	}
}

// TestDigestWithListsOfPacesThatDoNotFitIsPassedOver.
func TestDigestWithListsOfPacesThatDoNotFitIsPassedOver(t *testing.T) {
	members := site([]string{"a"}, 0, 2)
	for _, spoil := range []func(digest *rockwindpb.LoadDigest){
		func(digest *rockwindpb.LoadDigest) { digest.ToldPaces = digest.GetToldPaces()[:1] },
		func(digest *rockwindpb.LoadDigest) { digest.SeenVoices = nil },
	} {
		w := newWorld(1, members)
		receiver := w.stations[0]
		digest := loadshare.NewDigest(map[uint32]balance.SharedLoad{1: {Inflight: 1, Pace: busyPace}, 2: {Inflight: 1}})
		spoil(digest)
		digest.Sender, digest.Sequence, digest.StartedUnixMs = members[1].Name(), 1, 1
		receiver.protocol.Receive(receiver, &rockwindpb.LoadBundle{Digests: []*rockwindpb.LoadDigest{digest}}, 0)
		if got := receiver.shares.At(1); got != (balance.SharedLoad{}) {
			t.Errorf("it was taken: %+v", got)
		}
	}
}

// TestTwoSumsWithPacesFitInADatagram, whatever the number of servers.
func TestTwoSumsWithPacesFitInADatagram(t *testing.T) {
	const mostBytes = 16 << 10
	for _, servers := range []int{204, 400, 500} {
		loads := make(map[uint32]balance.SharedLoad)
		for server := range servers {
			loads[uint32(server)] = balance.SharedLoad{Inflight: 9, Unread: 2000, Batch: 3, Pace: busyPace}
		}
		sum := loadshare.NewDigest(loads)
		encoded, err := proto.Marshal(&rockwindpb.LoadBundle{Digests: []*rockwindpb.LoadDigest{sum, sum}})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d servers: %d bytes, paces of %d", servers, len(encoded), len(sum.GetToldPaces()))
		if len(encoded) > mostBytes {
			t.Errorf("%d servers take %d bytes", servers, len(encoded))
		}
	}
}

// TestPacesStayInTheBudgetBetweenZones: each process tells what it saw of twenty servers
// within the last seconds, beside three requests that it has.
func TestPacesStayInTheBudgetBetweenZones(t *testing.T) {
	t.Parallel()
	const (
		seconds, watched = 2, 20
		// budget is the bytes a second that a process may send to other zones, in the mean.
		budget = 6000
	)
	sizes := []struct{ zones, stores, routers, servers int }{
		{zones: 3, stores: 2, routers: 8, servers: 24},
		{zones: 3, stores: 5, routers: 26, servers: 90},
		{zones: 6, stores: 8, routers: 42, servers: 204},
	}
	for _, size := range sizes {
		var bytes [2]int
		members := largeSite(size.zones, size.stores, size.routers)
		for paced := range bytes {
			w := newWorld(1, members)
			redraw := func() {
				w.redraw(size.servers)
				if paced == 1 {
					w.watch(size.servers, watched)
				}
			}
			w.run(t, time.Second, redraw)
			for _, s := range w.stations {
				s.outside = 0
			}
			w.run(t, seconds*time.Second, redraw)
			for _, s := range w.stations {
				bytes[paced] += s.outside
			}
			bytes[paced] /= len(members) * seconds
		}
		t.Logf("%d processes: %d bytes a second to other zones a process, %d with paces", len(members), bytes[0], bytes[1])
		if bytes[1] > budget {
			t.Errorf("%d processes: %d bytes a second to other zones a process, more than %d", len(members), bytes[1], budget)
		}
	}
}

// watch has one process of ten tell what it saw of so many servers.
func (w *world) watch(servers, watched int) {
	for _, s := range w.stations {
		if w.random.IntN(10) > 0 {
			continue
		}
		for range watched {
			server := uint32(w.random.IntN(servers))
			load := s.own[server]
			load.Pace = balance.SharedPace{ReportedSum: w.random.IntN(200), ReportedCount: 1, ObservedSum: w.random.IntN(300), ObservedCount: 2}
			s.own[server] = load
		}
	}
}
