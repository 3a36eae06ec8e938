package loadshare_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
)

// mostBytes is the longest datagram that is sent.
const mostBytes = 16 << 10

// playSums has a site of three zones with so many servers and entries of tenants in each zone,
// and returns its processes when they have told each other, and the longest datagram.
func playSums(t *testing.T, servers, tenants int, pace balance.SharedPace) (*world, int) {
	t.Helper()
	return playWorld(t, newWorld(1, largeSite(3, 2, 8)), servers, tenants, pace)
}

// playWorld is playSums with a world whose processes may have more to tell.
func playWorld(t *testing.T, w *world, servers, tenants int, pace balance.SharedPace) (*world, int) {
	t.Helper()
	for i, s := range w.stations {
		for server := range servers {
			if server%len(w.stations) == i || server%7 == i {
				s.own[uint32(server)] = balance.SharedLoad{Inflight: 3, Unread: 2000, Batch: 1, Pace: pace}
			}
		}
		for tenant := i; tenant < tenants; tenant += len(w.stations) {
			s.own[uint32(firstTenant+tenant)] = balance.SharedLoad{Inflight: 2, Unread: 20_000}
		}
	}
	w.run(t, time.Second, func() {})
	longest := 0
	for range 400 {
		for _, s := range w.stations {
			s.now = w.now
			for _, datagram := range s.protocol.Tick(s, w.now) {
				longest = max(longest, proto.Size(datagram.Bundle))
				w.deliver(t, s, datagram)
			}
		}
		w.now += step
	}
	return w, longest
}

// TestLargeSumsAreToldInDatagramsThatFit: two sums of 1,200 servers and 330 tenants did not
// fit in one and were not sent, without a word.
func TestLargeSumsAreToldInDatagramsThatFit(t *testing.T) {
	t.Parallel()
	const servers, tenants = 1200, 330
	w, longest := playSums(t, servers, tenants, balance.SharedPace{})
	t.Logf("the longest datagram has %d bytes", longest)
	if longest > mostBytes {
		t.Errorf("a datagram has %d bytes", longest)
	}
	w.agree(t, servers)
	w.agreeOnTenants(t, tenants)
}

// agreeOnTenants checks that all processes are told what the others have of each tenant.
func (w *world) agreeOnTenants(t *testing.T, tenants int) {
	t.Helper()
	for _, s := range w.stations {
		for tenant := range uint32(tenants) {
			if got, want := s.shares.At(firstTenant+tenant).Plus(s.own[firstTenant+tenant]), w.total(firstTenant+tenant); got != want {
				t.Fatalf("%s takes tenant %d to have %+v, not %+v", s.member.Name(), tenant, got, want)
			}
		}
	}
}

// TestWhatWasLeftBehindIsLeftOutBeforeTenants: it is missed for some seconds at most.
func TestWhatWasLeftBehindIsLeftOutBeforeTenants(t *testing.T) {
	t.Parallel()
	const servers, tenants, left = 1000, 330, 900
	w := newWorld(1, largeSite(2, 2, 8))
	// Some of each zone tell of all.
	for i := 0; i < len(w.stations); i += 10 {
		for server := range left {
			w.stations[i].own[uint32(firstLeft+server)] = balance.SharedLoad{Inflight: 8, Unread: 1}
		}
	}
	_, longest := playWorld(t, w, servers, tenants, balance.SharedPace{})
	if longest > mostBytes {
		t.Errorf("a datagram has %d bytes", longest)
	}
	w.agree(t, servers)
	w.agreeOnTenants(t, tenants)
}

// TestTenantsAreLeftOutOfASumThatIsTooLong, and the servers are told.
func TestTenantsAreLeftOutOfASumThatIsTooLong(t *testing.T) {
	t.Parallel()
	const servers = 1200
	w, longest := playSums(t, servers, 2000, balance.SharedPace{})
	if longest > mostBytes {
		t.Errorf("a datagram has %d bytes", longest)
	}
	w.agree(t, servers)
}

// TestPacesOfServersAreToldBesideManyTenants, which have none.
func TestPacesOfServersAreToldBesideManyTenants(t *testing.T) {
	loads := map[uint32]balance.SharedLoad{}
	for server := range uint32(300) {
		loads[server] = balance.SharedLoad{Inflight: 1, Pace: busyPace}
		loads[firstTenant+server] = balance.SharedLoad{Unread: 9}
	}
	if digest := loadshare.NewDigest(loads); len(digest.GetToldPaces()) != len(loads) {
		t.Errorf("it tells %d paces", len(digest.GetToldPaces()))
	}
}
