package loadshare_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
)

// maxDatagramBytes is the longest datagram that is sent.
const maxDatagramBytes = 16 << 10

// simulateSums runs a site of three zones with the given numbers of servers and tenants per zone
// until loads have spread. It returns the world and the size of the longest datagram.
func simulateSums(t *testing.T, servers, tenants int, pace balance.SharedPace) (*world, int) {
	t.Helper()
	return simulateWorld(t, newWorld(1, largeSite(3, 2, 8)), servers, tenants, pace)
}

// simulateWorld is simulateSums for a world whose processes may have other loads as well.
func simulateWorld(t *testing.T, w *world, servers, tenants int, pace balance.SharedPace) (*world, int) {
	t.Helper()
	for i, s := range w.processes {
		for server := range servers {
			if server%len(w.processes) == i || server%7 == i {
				s.own[uint32(server)] = balance.SharedLoad{Inflight: 3, Unread: 2000, Batch: 1, Pace: pace}
			}
		}
		for tenant := i; tenant < tenants; tenant += len(w.processes) {
			s.own[uint32(firstTenant+tenant)] = balance.SharedLoad{Inflight: 2, Unread: 20_000}
		}
	}
	w.run(t, time.Second, func() {})
	longest := 0
	for range 400 {
		for _, s := range w.processes {
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

// TestLargeSumsFitInDatagrams guards against sums that are silently not sent because
// two of them exceed a datagram.
func TestLargeSumsFitInDatagrams(t *testing.T) {
	t.Parallel()
	const servers, tenants = 1200, 330
	w, longest := simulateSums(t, servers, tenants, balance.SharedPace{})
	t.Logf("the longest datagram has %d bytes", longest)
	if longest > maxDatagramBytes {
		t.Errorf("a datagram has %d bytes", longest)
	}
	w.checkLoads(t, servers)
	w.checkTenants(t, tenants)
}

// checkTenants fails unless each process knows the other processes' load of each tenant.
func (w *world) checkTenants(t *testing.T, tenants int) {
	t.Helper()
	for _, s := range w.processes {
		for tenant := range uint32(tenants) {
			if got, want := s.shares.At(firstTenant+tenant).Plus(s.own[firstTenant+tenant]), w.total(firstTenant+tenant); got != want {
				t.Fatalf("%s: load of tenant %d is %+v, want %+v", s.member.Name(), tenant, got, want)
			}
		}
	}
}

// TestOrphanedIsDroppedBeforeTenants checks the order in which entries are dropped.
func TestOrphanedIsDroppedBeforeTenants(t *testing.T) {
	t.Parallel()
	const servers, tenants, left = 1000, 330, 900
	w := newWorld(1, largeSite(2, 2, 8))
	// Some processes of each zone report all of it.
	for i := 0; i < len(w.processes); i += 10 {
		for server := range left {
			w.processes[i].own[uint32(firstLeft+server)] = balance.SharedLoad{Inflight: 8, Unread: 1}
		}
	}
	_, longest := simulateWorld(t, w, servers, tenants, balance.SharedPace{})
	if longest > maxDatagramBytes {
		t.Errorf("a datagram has %d bytes", longest)
	}
	w.checkLoads(t, servers)
	w.checkTenants(t, tenants)
}

// TestTenantsAreDroppedFromOversizedSums checks that the loads of servers still arrive.
func TestTenantsAreDroppedFromOversizedSums(t *testing.T) {
	t.Parallel()
	const servers = 1200
	w, longest := simulateSums(t, servers, 2000, balance.SharedPace{})
	if longest > maxDatagramBytes {
		t.Errorf("a datagram has %d bytes", longest)
	}
	w.checkLoads(t, servers)
}

// TestPacesAreSentBesideManyTenants checks that tenants don't count toward the limit on paces.
func TestPacesAreSentBesideManyTenants(t *testing.T) {
	loads := map[uint32]balance.SharedLoad{}
	for server := range uint32(300) {
		loads[server] = balance.SharedLoad{Inflight: 1, Pace: busyPace}
		loads[firstTenant+server] = balance.SharedLoad{Unread: 9}
	}
	if digest := loadshare.NewDigest(loads); len(digest.GetToldPaces()) != len(loads) {
		t.Errorf("digest carries %d paces", len(digest.GetToldPaces()))
	}
}
