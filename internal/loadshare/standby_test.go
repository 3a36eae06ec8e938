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
)

// known is how long it takes until a new load of one process is known to the wanted others,
// within a limit.
func (w *world) known(t *testing.T, of *station, limit time.Duration, wanted func(s *station) bool) time.Duration {
	t.Helper()
	marked := uint32(1<<20 + slices.Index(w.stations, of))
	was := of.own[marked]
	of.own[marked] = balance.SharedLoad{Inflight: was.Inflight + 1}
	began := w.now
	for w.now-began < limit {
		w.run(t, step, func() {})
		unknown := slices.ContainsFunc(w.stations, func(s *station) bool {
			return s != of && !s.silent && wanted(s) && s.shares.At(marked).Inflight != was.Inflight+1
		})
		if !unknown {
			break
		}
	}
	return w.now - began
}

// inZone tells whether processes stand in a zone.
func inZone(zone string) func(s *station) bool {
	return func(s *station) bool { return s.member.Zone() == zone }
}

// isStore tells the stores of largeSite from its routers.
func isStore(member loadshare.Member) bool { return strings.Contains(member.Name(), "-0-") }

// TestRoutersStandInWhileAllRelaysOfAZoneAreDown: the stores of one zone fall silent, and all its
// relays with them. Within a second the routers there know of each other and of other zones
// again, and these of them, and loads are as old as before; when the stores are back, they are the
// relays again.
func TestRoutersStandInWhileAllRelaysOfAZoneAreDown(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ zones, stores, routers int }{{3, 3, 9}, {6, 8, 42}} {
		members := largeSite(size.zones, size.stores, size.routers)
		t.Run(fmt.Sprint(len(members)), func(t *testing.T) {
			w := newWorld(1, members)
			w.run(t, 2*time.Second, func() { w.redraw(30) })
			here, there := w.stations[size.stores], w.stations[len(w.stations)-1]
			zone := inZone(here.member.Zone())
			before := w.known(t, here, 5*time.Second, zone)
			for _, s := range w.stations[:size.stores] {
				s.silent = true
			}
			down := w.known(t, here, 5*time.Second, func(*station) bool { return true })
			inward := w.known(t, there, 5*time.Second, zone)
			w.run(t, settled, func() {})
			w.agree(t, 30)
			inside, outside := w.known(t, here, 5*time.Second, zone), w.known(t, there, 5*time.Second, zone)
			t.Logf("a load is known in the zone after %v; as its stores fall silent after %v everywhere, one of other zones there after %v; later %v and %v",
				before, down, inward, inside, outside)
			if down > 1200*time.Millisecond || inward > time.Second || inside > 250*time.Millisecond || outside > 450*time.Millisecond {
				t.Errorf("loads of a zone without its stores are not known in time")
			}
			for _, s := range w.stations[:size.stores] {
				s.silent = false
				w.start(s, members)
			}
			w.run(t, settled, func() {})
			w.agree(t, 30)
			for _, s := range w.stations {
				s.datagrams = 0
			}
			w.run(t, time.Second, func() { w.redraw(30) })
			for _, s := range w.stations {
				// A router tells three relays, at most once an interval.
				if most := 3 * (int(time.Second/s.protocol.Layout().Interval()) + 1); !isStore(s.member) && s.datagrams > most {
					t.Errorf("%s still sends %d datagrams a second, more than %d", s.member.Name(), s.datagrams, most)
				}
			}
		})
	}
}

// TestProcessThatMissesItsRelaysAloneDoesNotStandIn: what the relays tell one standby is lost,
// and all others hear them. It knows little then, and must tell nobody the sum of that.
func TestProcessThatMissesItsRelaysAloneDoesNotStandIn(t *testing.T) {
	members := largeSite(3, 3, 20)
	w := newWorld(1, members)
	w.run(t, 2*time.Second, func() { w.redraw(30) })
	w.run(t, settled, func() {})
	for _, s := range w.stations[3:23] {
		if !s.protocol.Layout().IsStandby() {
			continue
		}
		s.deaf = true
		w.run(t, 2*time.Second, func() {
			for _, other := range w.stations {
				if other.deaf {
					continue
				}
				for server := range uint32(3) {
					if got, want := other.shares.At(server).Plus(other.own[server]), w.total(server); got != want {
						t.Fatalf("while %s hears nothing, %s takes server %d to have %+v, not %+v", s.member.Name(), other.member.Name(), server, got, want)
					}
				}
			}
		})
		s.deaf = false
		w.run(t, settled, func() {})
		w.agree(t, 30)
	}
}

// TestEveryProcessHearsOfEachOtherOnceWithoutRelays: in zones that lose all their relays, and get
// them back, each process counts the load of every other one exactly once, while others fall
// silent, start anew and change their loads.
func TestEveryProcessHearsOfEachOtherOnceWithoutRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 6
		zones := []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "zones")]
		members := site(zones, rapid.IntRange(0, 4).Draw(t, "stores"), rapid.IntRange(6, 9).Draw(t, "routers"))
		w := newWorld(rapid.Uint64().Draw(t, "seed"), members)
		for range rapid.IntRange(1, 2).Draw(t, "rounds") {
			w.silenceRelays(t, members)
			for _, s := range w.stations {
				s.own = map[uint32]balance.SharedLoad{}
				for range rapid.IntRange(0, 3).Draw(t, "loads") {
					server := uint32(rapid.IntRange(0, servers-1).Draw(t, "server"))
					s.own[server] = balance.SharedLoad{Inflight: rapid.IntRange(1, 9).Draw(t, "inflight"), Batch: 1, Pace: drawPace(t)}
				}
			}
			w.run(t, settled, func() {})
			w.agree(t, servers)
		}
	})
}

// silenceRelays draws the zones that have no relays from now on, and one other process in each
// zone that is silent besides. Those that were silent come back, some of them anew.
func (w *world) silenceRelays(t *rapid.T, members []loadshare.Member) {
	headless, besides := make(map[string]bool), make(map[string]int)
	for _, s := range w.stations {
		zone := s.member.Zone()
		if _, drawn := headless[zone]; !drawn {
			headless[zone] = rapid.Bool().Draw(t, "headless")
			besides[zone] = rapid.IntRange(0, 12).Draw(t, "besides")
		}
		layout := loadshare.NewLayout(members, s.member.Name())
		was := s.silent
		s.silent = layout.IsRelay() && headless[zone] || besides[zone] == 0
		besides[zone]--
		if was && !s.silent && rapid.Bool().Draw(t, "anew") {
			w.start(s, members)
		}
	}
}
