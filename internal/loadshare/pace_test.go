package loadshare_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// busyPace is the reported pace of a server that many processes used.
var busyPace = balance.SharedPace{ReportedSum: 900, ReportedCount: 6, ObservedSum: 2400, ObservedCount: 20}

// TestDigestWithoutPaces checks that digests carry no paces where none are known, and
// that digests of processes which do not support paces are accepted.
func TestDigestWithoutPaces(t *testing.T) {
	loads := map[uint32]balance.SharedLoad{1: {Inflight: 2}, 2: {Unread: 30, Suspects: 1}}
	digest := loadshare.NewDigest(loads)
	if len(digest.GetToldPaces()) > 0 || len(digest.GetSeenVoices()) > 0 {
		t.Errorf("digest carries paces: %v", digest)
	}
	got := loadshare.Loads(digest)
	if len(got) != len(loads) || got[1] != loads[1] || got[2] != loads[2] {
		t.Errorf("loads are %+v, want those of the digest", got)
	}
}

// TestInconsistentPaceListsAreRejected guards against pace lists of other lengths than
// the list of servers.
func TestInconsistentPaceListsAreRejected(t *testing.T) {
	members := site([]string{"a"}, 0, 2)
	for _, spoil := range []func(digest *rockwindpb.LoadDigest){
		func(digest *rockwindpb.LoadDigest) { digest.ToldPaces = digest.GetToldPaces()[:1] },
		func(digest *rockwindpb.LoadDigest) { digest.SeenVoices = nil },
	} {
		w := newWorld(1, members)
		receiver := w.processes[0]
		digest := loadshare.NewDigest(map[uint32]balance.SharedLoad{1: {Inflight: 1, Pace: busyPace}, 2: {Inflight: 1}})
		spoil(digest)
		digest.Sender, digest.Sequence, digest.StartedUnixMs = members[1].Name(), 1, 1
		receiver.protocol.Receive(receiver, &rockwindpb.LoadBundle{Digests: []*rockwindpb.LoadDigest{digest}}, 0)
		if got := receiver.shares.At(1); got != (balance.SharedLoad{}) {
			t.Errorf("inconsistent digest was accepted: %+v", got)
		}
	}
}

// TestTwoSumsWithPacesFitInADatagram checks this for any number of servers.
func TestTwoSumsWithPacesFitInADatagram(t *testing.T) {
	const maxDatagramBytes = 16 << 10
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
		if len(encoded) > maxDatagramBytes {
			t.Errorf("%d servers take %d bytes", servers, len(encoded))
		}
	}
}

// TestPacesStayInTheBudgetBetweenZones runs processes that report the paces of twenty servers
// besides three requests of their own.
func TestPacesStayInTheBudgetBetweenZones(t *testing.T) {
	t.Parallel()
	const (
		seconds, watched = 2, 20
		// budget is the mean number of bytes a second that a process may send to other zones.
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
					w.addPaces(size.servers, watched)
				}
			}
			w.run(t, time.Second, redraw)
			for _, s := range w.processes {
				s.outside = 0
			}
			w.run(t, seconds*time.Second, redraw)
			for _, s := range w.processes {
				bytes[paced] += s.outside
			}
			bytes[paced] /= len(members) * seconds
		}
		t.Logf("%d processes: %d bytes a second to other zones per process, %d with paces", len(members), bytes[0], bytes[1])
		if bytes[1] > budget {
			t.Errorf("%d processes: %d bytes a second to other zones per process, more than %d", len(members), bytes[1], budget)
		}
	}
}

// addPaces has one process in ten report the paces of that many servers.
func (w *world) addPaces(servers, watched int) {
	for _, s := range w.processes {
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
