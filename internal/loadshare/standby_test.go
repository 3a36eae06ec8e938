package loadshare_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/topology"
)

// delay returns how long it takes until a new load of one process is known to the wanted others, at
// most limit.
func (w *world) delay(t *testing.T, of *simProcess, limit time.Duration, wanted func(s *simProcess) bool) time.Duration {
	t.Helper()
	marked := uint32(1<<20 + slices.Index(w.processes, of))
	was := of.own[marked]
	of.own[marked] = balance.SharedLoad{Inflight: was.Inflight + 1}
	began := w.now
	for w.now-began < limit {
		w.run(t, step, func() {})
		unknown := slices.ContainsFunc(w.processes, func(s *simProcess) bool {
			return s != of && !s.silent && wanted(s) && s.shares.At(marked).Inflight != was.Inflight+1
		})
		if !unknown {
			break
		}
	}
	return w.now - began
}

// inZone returns a filter for the processes of a zone.
func inZone(zone string) func(s *simProcess) bool {
	return func(s *simProcess) bool { return s.member.Zone() == zone }
}

// isStore reports whether a member of largeSite is a store.
func isStore(member loadshare.Member) bool { return strings.Contains(member.Name(), "-0-") }

// TestRoutersStandInWhileAllRelaysOfAZoneAreDown silences all stores of a zone, and so its relays.
// Loads must spread within the zone and to and from other zones again within about a second, and
// the restarted stores must become the relays again.
func TestRoutersStandInWhileAllRelaysOfAZoneAreDown(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ zones, stores, routers int }{{3, 3, 9}, {6, 8, 42}} {
		members := largeSite(size.zones, size.stores, size.routers)
		t.Run(fmt.Sprint(len(members)), func(t *testing.T) {
			w := newWorld(1, members)
			w.run(t, 2*time.Second, func() { w.redraw(30) })
			here, there := w.processes[size.stores], w.processes[len(w.processes)-1]
			zone := inZone(here.member.Zone())
			before := w.delay(t, here, 5*time.Second, zone)
			for _, s := range w.processes[:size.stores] {
				s.silent = true
			}
			down := w.delay(t, here, 5*time.Second, func(*simProcess) bool { return true })
			inward := w.delay(t, there, 5*time.Second, zone)
			w.run(t, settleTime, func() {})
			w.checkLoads(t, 30)
			inside, outside := w.delay(t, here, 5*time.Second, zone), w.delay(t, there, 5*time.Second, zone)
			t.Logf("a load spreads within the zone in %v; once its stores are silent, everywhere in %v and from another zone in %v; later in %v and %v",
				before, down, inward, inside, outside)
			if down > 1200*time.Millisecond || inward > time.Second || inside > 250*time.Millisecond || outside > 450*time.Millisecond {
				t.Errorf("loads of a zone without its stores spread too slowly")
			}
			for _, s := range w.processes[:size.stores] {
				s.silent = false
				w.start(s, members)
			}
			w.run(t, settleTime, func() {})
			w.checkLoads(t, 30)
			for _, s := range w.processes {
				s.datagrams = 0
			}
			w.run(t, time.Second, func() { w.redraw(30) })
			for _, s := range w.processes {
				// A router sends to three relays, at most once per interval.
				if most := 3 * (int(time.Second/s.protocol.Layout().Interval()) + 1); !isStore(s.member) && s.datagrams > most {
					t.Errorf("%s still sends %d datagrams a second, more than %d", s.member.Name(), s.datagrams, most)
				}
			}
		})
	}
}

// TestProcessThatMissesItsRelaysAloneDoesNotStandIn guards against a standby that alone receives
// nothing and sends the others an incomplete sum.
func TestProcessThatMissesItsRelaysAloneDoesNotStandIn(t *testing.T) {
	members := largeSite(3, 3, 20)
	w := newWorld(1, members)
	w.run(t, 2*time.Second, func() { w.redraw(30) })
	w.run(t, settleTime, func() {})
	for _, s := range w.processes[3:23] {
		if !s.protocol.Layout().IsStandby() {
			continue
		}
		s.deaf = true
		w.run(t, 2*time.Second, func() {
			for _, other := range w.processes {
				if other.deaf {
					continue
				}
				for server := range uint32(3) {
					if got, want := other.shares.At(server).Plus(other.own[server]), w.total(server); got != want {
						t.Fatalf("while %s receives nothing, %s: load of server %d is %+v, want %+v", s.member.Name(), other.member.Name(), server, got, want)
					}
				}
			}
		})
		s.deaf = false
		w.run(t, settleTime, func() {})
		w.checkLoads(t, 30)
	}
}

// TestEveryProcessHearsOfEachOtherOnceWithoutRelays checks that each process counts the load of
// every other one exactly once while zones lose and regain all their relays and other processes
// fall silent, restart and change their loads.
func TestEveryProcessHearsOfEachOtherOnceWithoutRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 6
		zones := []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "zones")]
		members := site(zones, rapid.IntRange(0, 4).Draw(t, "stores"), rapid.IntRange(6, 9).Draw(t, "routers"))
		w := newWorld(rapid.Uint64().Draw(t, "seed"), members)
		for range rapid.IntRange(1, 2).Draw(t, "rounds") {
			w.silenceRelays(t, members)
			for _, s := range w.processes {
				s.own = map[uint32]balance.SharedLoad{}
				for range rapid.IntRange(0, 3).Draw(t, "loads") {
					server := uint32(rapid.IntRange(0, servers-1).Draw(t, "server"))
					s.own[server] = balance.SharedLoad{Inflight: rapid.IntRange(1, 9).Draw(t, "inflight"), Batch: 1, Pace: drawPace(t)}
				}
			}
			w.run(t, settleTime, func() {})
			w.checkLoads(t, servers)
		}
	})
}

// silenceRelays draws the zones that lose all relays, and one more silent process per zone. Processes
// that were silent return, some of them restarted.
func (w *world) silenceRelays(t *rapid.T, members []loadshare.Member) {
	withoutRelays, extra := make(map[string]bool), make(map[string]int)
	for _, s := range w.processes {
		zone := s.member.Zone()
		if _, drawn := withoutRelays[zone]; !drawn {
			withoutRelays[zone] = rapid.Bool().Draw(t, "without relays")
			extra[zone] = rapid.IntRange(0, 12).Draw(t, "extra")
		}
		layout := loadshare.NewLayout(members, s.member.Name(), topology.Map{})
		was := s.silent
		s.silent = layout.IsRelay() && withoutRelays[zone] || extra[zone] == 0
		extra[zone]--
		if was && !s.silent && rapid.Bool().Draw(t, "restart") {
			w.start(s, members)
		}
	}
}
