package loadshare_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// dropRegions removes the fields that the version before regions ignores.
func dropRegions(bundle *rockwindpb.LoadBundle) {
	bundle.Regions = nil
	for _, digest := range bundle.GetDigests() {
		digest.Far, digest.Region, digest.Zones = nil, "", nil
	}
}

// regionalMembers returns the members of a site of regions with two zones each.
func regionalMembers(routers, stores []int) ([]loadshare.Member, topology.Map) {
	return regionsOf(2, routers, stores)
}

// regionsOf returns the members of a site of regions with the given number of zones each.
func regionsOf(zonesEach int, routers, stores []int) ([]loadshare.Member, topology.Map) {
	var members []loadshare.Member
	zones := make(map[string]string)
	for i := range routers {
		zone := fmt.Sprintf("zone-%d", i)
		zones[zone] = fmt.Sprintf("region-%d", i/zonesEach)
		for number := range stores[i] + routers[i] {
			rank, name := 0, fmt.Sprintf("%s-0-%02d", zone, number)
			if number >= stores[i] {
				rank, name = 1, fmt.Sprintf("%s-1-%02d", zone, number)
			}
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, byte(number)}), 80)
			members = append(members, loadshare.NewMember(name, zone, address, rank))
		}
	}
	return members, topology.New(zones)
}

// threeRegions returns a site of the size of deployment B: 58 processes in six zones of three regions.
func threeRegions() ([]loadshare.Member, topology.Map) {
	return regionalMembers([]int{9, 9, 9, 7, 7, 8}, []int{2, 1, 2, 1, 2, 1})
}

// newThreeRegions returns a world of three regions that has settled. If previous is set, all processes have the
// version before regions.
func newThreeRegions(t *testing.T, previous bool) *world {
	t.Helper()
	members, sites := threeRegions()
	given := sites
	if previous {
		given = topology.Map{}
	}
	w := newRegionalWorld(1, members, given)
	w.run(t, time.Second, func() { w.redraw(90) })
	w.sites = sites
	return w
}

// region returns the region of a process.
func (w *world) region(s *simProcess) string { return w.sites.Region(s.member.Zone()) }

// inRegion returns a filter for the processes of a region, other than those of a zone.
func (w *world) inRegion(region, exceptZone string) func(s *simProcess) bool {
	return func(s *simProcess) bool { return w.region(s) == region && s.member.Zone() != exceptZone }
}

// find returns the processes that match a filter.
func (w *world) find(wanted func(s *simProcess) bool) []*simProcess {
	return slices.DeleteFunc(slices.Clone(w.processes), func(s *simProcess) bool { return !wanted(s) })
}

// checkInterval is the time between checks of all loads, which take long.
const checkInterval = 4 * step

// checkNoneCountedTwice fails if a process counts more load at a server than all processes have there, including
// stopped ones, whose loads count until they expire. The loads must not change. A process that has just restarted is
// left out: it keeps its load here, and can't subtract it from a sum of its group that was made before the restart.
func (w *world) checkNoneCountedTwice(t rapid.TB, servers int) {
	t.Helper()
	if w.now%checkInterval != 0 {
		return
	}
	all := make([]int, servers)
	for _, s := range w.processes {
		for server, load := range s.own {
			if int(server) < servers {
				all[server] += load.Inflight
			}
		}
	}
	for _, s := range w.processes {
		if s.silent || w.now-s.startedAt < time.Second {
			continue
		}
		for server, want := range all {
			if got := s.shares.At(uint32(server)).Inflight + s.own[uint32(server)].Inflight; got > want {
				t.Fatalf("at %v %s counts %d requests at server %d of %d", w.now, s.member.Name(), got, server, want)
			}
		}
	}
}

// checkNoneMissing fails if a process counts less load at a server than those that are not silent have there.
func (w *world) checkNoneMissing(t rapid.TB, servers int, of func(s *simProcess) bool) {
	t.Helper()
	if w.now%checkInterval != 0 {
		return
	}
	for server := range uint32(servers) {
		want := w.total(server).Inflight
		for _, s := range w.processes {
			if got := s.shares.At(server).Inflight + s.own[server].Inflight; !s.silent && of(s) && got < want {
				t.Fatalf("at %v %s counts %d requests at server %d of %d", w.now, s.member.Name(), got, server, want)
			}
		}
	}
}

// busyLoads gives each process loads like those of deployment B at work: 3 online requests and 8 batch items, some
// paces, ten tenants and two queues. They change a tenth at a time.
func (w *world) busyLoads() {
	const servers, tenants = 90, 10
	for _, s := range w.processes {
		if w.random.IntN(10) > 0 {
			continue
		}
		s.own = map[uint32]balance.SharedLoad{}
		requests, batch := 3, 0
		if isStore(s.member) {
			requests, batch = 16, 1
		}
		for range requests {
			pace := balance.SharedPace{ReportedSum: 90 + w.random.IntN(20), ReportedCount: 1, ObservedSum: 180 + w.random.IntN(60), ObservedCount: 2}
			server := uint32(w.random.IntN(servers))
			if server%10 == 0 {
				pace.ReportedSum *= 2
			}
			s.own[server] = balance.SharedLoad{Inflight: 1, Unread: w.random.IntN(2000), Batch: batch, Pace: pace}
		}
		for range 3 {
			s.own[firstTenant+uint32(w.random.IntN(tenants))] = balance.SharedLoad{Unread: w.random.IntN(20_000)}
		}
		s.own[1<<20+uint32(w.random.IntN(2))] = balance.SharedLoad{Inflight: w.random.IntN(3), Unread: w.random.IntN(5)}
	}
}

// Guards against an exchange between regions that sends as many bytes as that of zones, and against loads that are
// older than balance assumes, at the size of deployment B. Logs both figures for the previous and this version.
func TestRegionsCostLessAndKnowLoadsInTime(t *testing.T) {
	t.Parallel()
	const seconds = 5
	members, sites := threeRegions()
	var between [2]int
	for i, previous := range []bool{true, false} {
		w := newThreeRegions(t, previous)
		measuring, zones, largest := false, 0, 0
		w.observe = func(from *simProcess, datagram loadshare.Datagram, encoded []byte) {
			for _, receiver := range datagram.Receivers {
				to := w.byAddress[receiver]
				switch {
				case !measuring || to.member.Zone() == from.member.Zone():
				case w.region(to) == w.region(from):
					zones += len(encoded) + headerBytes
				default:
					between[i] += len(encoded) + headerBytes
					largest = max(largest, len(encoded))
				}
			}
		}
		w.run(t, 2*time.Second, w.busyLoads)
		measuring = true
		w.run(t, seconds*time.Second, w.busyLoads)
		measuring = false
		of := w.processes[len(w.processes)-1]
		layout := loadshare.NewLayout(members, of.member.Name(), sites)
		var known [3]time.Duration
		for range 20 {
			w.run(t, time.Duration(w.random.IntN(300))*time.Millisecond, w.busyLoads)
			delays := [3]time.Duration{
				w.delay(t, of, 5*time.Second, inZone(of.member.Zone())),
				w.delay(t, of, 5*time.Second, w.inRegion(w.region(of), of.member.Zone())),
				w.delay(t, of, 5*time.Second, func(s *simProcess) bool { return w.region(s) != w.region(of) }),
			}
			for j, delay := range delays {
				known[j] = max(known[j], delay)
			}
		}
		name := map[bool]string{true: "before", false: "after"}[previous]
		t.Logf("%s: %d bytes a second between regions per process (largest digest %d bytes), %d between zones of a region; a load is known after at most %v in its zone, %v in its region, %v in other regions",
			name, between[i]/len(members)/seconds, largest, zones/len(members)/seconds, known[0], known[1], known[2])
		if previous {
			continue
		}
		if known[0] > layout.MaxAge() || known[1] > layout.MaxAge()+layout.GroupInterval() || known[2] > layout.MaxRegionAge() {
			t.Errorf("loads are known too late: the bounds are %v and %v", layout.MaxAge(), layout.MaxRegionAge())
		}
		for _, s := range w.processes {
			for server, load := range s.own {
				load.Pace = balance.SharedPace{} // usual paces are not sent to other regions
				s.own[server] = load
			}
		}
		w.run(t, settleTime, func() {})
		w.checkLoads(t, 90)
	}
	if 8*between[1] > between[0] {
		t.Errorf("%d bytes between regions after, %d before", between[1], between[0])
	}
}

// Guards against loads of a region that are lost, late or counted twice when a delegate of a region or of a zone
// stops, or all relays of a zone do.
func TestRegionsSurviveTheLossOfDelegates(t *testing.T) {
	t.Parallel()
	// The standbys of a zone without relays send after 0.8 s; the next group replaces a region's delegate after 0.7 s.
	const bound = 1500 * time.Millisecond
	for _, each := range []struct {
		name string
		lost func(s *simProcess) bool
		// kept is set if other regions must not miss any load meanwhile.
		kept bool
	}{
		{"the delegate of a region", func(s *simProcess) bool { return s.member.Name() == "zone-0-0-00" }, true},
		{"the delegate of the region's other zone", func(s *simProcess) bool { return s.member.Name() == "zone-1-0-00" }, true},
		{"all relays of the first zone", func(s *simProcess) bool {
			return s.member.Zone() == "zone-0" && s.protocol.Layout().IsRelay()
		}, false},
		{"the first zone", inZone("zone-0"), false},
		{"the delegates of all regions", func(s *simProcess) bool {
			return slices.Contains([]string{"zone-0-0-00", "zone-2-0-00", "zone-4-0-00"}, s.member.Name())
		}, false},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			w := newThreeRegions(t, false)
			w.run(t, settleTime, func() {})
			w.checkLoads(t, 90)
			members, _ := threeRegions()
			lost := w.find(each.lost)
			for _, s := range lost {
				s.silent = true
			}
			elsewhere := func(s *simProcess) bool { return w.region(s) != "region-0" }
			w.check = func() {
				w.checkNoneCountedTwice(t, 90)
				if each.kept {
					w.checkNoneMissing(t, 90, elsewhere)
				}
			}
			of, there := w.find(inZone("zone-1"))[3], w.find(inZone("zone-4"))[3]
			delays := w.delays(t, []*simProcess{of, there}, []func(s *simProcess) bool{
				elsewhere, w.inRegion("region-0", ""),
			})
			w.run(t, settleTime, func() {})
			w.checkLoads(t, 90)
			t.Logf("a load of the region is known in the others after %v, one of another region there after %v", delays[0], delays[1])
			if max(delays[0], delays[1]) > bound {
				t.Errorf("too late: %v", delays)
			}
			w.check = func() { w.checkNoneCountedTwice(t, 90) }
			for _, s := range lost {
				s.silent = false
				w.start(s, members)
			}
			w.run(t, settleTime, func() {})
			w.checkLoads(t, 90)
		})
	}
}

// delays returns the time until a new load of each of some processes has arrived at the wanted others, at most five
// seconds. All loads change at the same time.
func (w *world) delays(t *testing.T, of []*simProcess, wanted []func(s *simProcess) bool) []time.Duration {
	t.Helper()
	const limit, firstMarked = 5 * time.Second, 1 << 21
	found := slices.Repeat([]time.Duration{limit}, len(of))
	for i, s := range of {
		s.own[uint32(firstMarked+i)] = balance.SharedLoad{Inflight: 1}
	}
	for began := w.now; w.now-began < limit && slices.Contains(found, limit); {
		w.run(t, step, func() {})
		for i := range of {
			known := !slices.ContainsFunc(w.processes, func(s *simProcess) bool {
				return s != of[i] && !s.silent && wanted[i](s) && s.shares.At(uint32(firstMarked+i)).Inflight != 1
			})
			if known && found[i] == limit {
				found[i] = w.now - began
			}
		}
	}
	return found
}

// Guards against loads that are missing in other regions if the zones of a region do not receive each other's
// digests.
func TestZonesOfARegionDoNotHearEachOther(t *testing.T) {
	t.Parallel()
	w := newThreeRegions(t, false)
	w.run(t, settleTime, func() {})
	w.check = func() { w.checkNoneCountedTwice(t, 90) }
	w.cut = func(from, to *simProcess) bool {
		return from.member.Zone() != to.member.Zone() && w.region(from) == "region-0" && w.region(to) == "region-0"
	}
	w.run(t, 2*settleTime, func() {})
	for _, s := range w.find(func(s *simProcess) bool { return w.region(s) != "region-0" }) {
		for server := range uint32(90) {
			if got, want := s.shares.At(server).Plus(s.own[server]), w.total(server); got.Inflight != want.Inflight {
				t.Fatalf("%s counts %d requests at server %d of %d", s.member.Name(), got.Inflight, server, want.Inflight)
			}
		}
	}
	w.cut = nil
	w.run(t, settleTime, func() {})
	w.checkLoads(t, 90)
}

// Guards against loads of a partitioned region that do not expire, and against a region whose digests are not used
// after the partition.
func TestRegionIsPartitionedAndComesBack(t *testing.T) {
	t.Parallel()
	w := newThreeRegions(t, false)
	w.run(t, settleTime, func() {})
	w.cut = func(from, to *simProcess) bool { return (w.region(from) == "region-1") != (w.region(to) == "region-1") }
	w.run(t, 10*time.Second, func() { w.checkNoneCountedTwice(t, 90) })
	for _, s := range w.processes {
		for server := range uint32(90) {
			var want balance.SharedLoad
			for _, other := range w.processes {
				if (w.region(other) == "region-1") == (w.region(s) == "region-1") {
					want = want.Plus(other.own[server])
				}
			}
			if got := s.shares.At(server).Plus(s.own[server]); got.Inflight != want.Inflight {
				t.Fatalf("%s counts %d requests at server %d, its side has %d", s.member.Name(), got.Inflight, server, want.Inflight)
			}
		}
	}
	w.cut = nil
	of := w.find(inZone("zone-2"))[4]
	back := w.delay(t, of, 5*time.Second, func(*simProcess) bool { return true })
	t.Logf("a load of the region is known everywhere %v after its return", back)
	if back > time.Second {
		t.Errorf("the region is known again only after %v", back)
	}
	w.run(t, settleTime, func() { w.checkNoneCountedTwice(t, 90) })
	w.checkLoads(t, 90)
}

// Guards against loads that are lost or counted twice while processes of the version before regions take part, and
// during an upgrade.
func TestPreviousVersionTakesPart(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const servers = 6
		members, sites := regionalMembers([]int{4, 3, 3, 4, 3, 3}, []int{2, 1, 0, 1, 2, 1})
		w := newRegionalWorld(rapid.Uint64().Draw(t, "seed"), members, sites)
		for _, s := range w.processes {
			s.own = map[uint32]balance.SharedLoad{}
			for range rapid.IntRange(0, 3).Draw(t, "loads") {
				s.own[uint32(rapid.IntRange(0, servers-1).Draw(t, "server"))] = balance.SharedLoad{Inflight: rapid.IntRange(1, 9).Draw(t, "inflight"), Batch: 1}
			}
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			for _, s := range w.processes {
				previous := rapid.IntRange(0, 2).Draw(t, "previous") > 0
				if previous != s.previous {
					s.previous = previous
					w.start(s, members)
				}
			}
			w.run(t, settleTime, func() { w.checkNoneCountedTwice(t, servers) })
			w.checkLoads(t, servers)
		}
	})
}

// Guards against settings that name other regions on some machines, or none, as while they change.
func TestDifferingRegionsCountNothingTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const servers = 6
		members, sites := regionalMembers([]int{4, 3, 3, 4}, []int{1, 1, 1, 1})
		w := newRegionalWorld(rapid.Uint64().Draw(t, "seed"), members, sites)
		for i, s := range w.processes {
			zones := make(map[string]string)
			for zone := range 4 {
				if region := rapid.IntRange(0, 2).Draw(t, "region"); region > 0 {
					zones[fmt.Sprintf("zone-%d", zone)] = fmt.Sprintf("region-%d", region)
				}
			}
			s.protocol.SetLayout(loadshare.NewLayout(members, s.member.Name(), topology.New(zones)))
			s.own = map[uint32]balance.SharedLoad{uint32(i % servers): {Inflight: 1 + i}}
		}
		w.run(t, settleTime, func() { w.checkNoneCountedTwice(t, servers) })
		w.run(t, settleTime, func() { w.checkNoneCountedTwice(t, servers) })
	})
}

// Guards against loads of regions that are lost or counted twice with silent and restarted processes, changing loads
// and datagram loss.
func TestRegionsCountEachProcessOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const servers = 6
		count := rapid.IntRange(3, 6).Draw(t, "zones")
		var routers, stores []int
		for range count {
			routers = append(routers, rapid.IntRange(4, 7).Draw(t, "routers"))
			stores = append(stores, rapid.IntRange(0, 2).Draw(t, "stores"))
		}
		members, sites := regionalMembers(routers, stores)
		w := newRegionalWorld(rapid.Uint64().Draw(t, "seed"), members, sites)
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			w.lossRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss")
			kept := keptRelays(members, rapid.IntRange(0, 2).Draw(t, "kept"))
			for _, s := range w.processes {
				was := s.silent
				s.silent = s.member.Name() != kept[s.member.Zone()] && rapid.IntRange(0, 5).Draw(t, "silent") == 5
				if was && !s.silent && rapid.Bool().Draw(t, "restart") {
					w.start(s, members)
				}
				s.own = map[uint32]balance.SharedLoad{}
				for range rapid.IntRange(0, 3).Draw(t, "loads") {
					server := uint32(rapid.IntRange(0, servers-1).Draw(t, "server"))
					s.own[server] = balance.SharedLoad{Inflight: rapid.IntRange(1, 9).Draw(t, "inflight"), Batch: 1, Suspects: rapid.IntRange(0, 1).Draw(t, "suspects")}
				}
			}
			w.run(t, settleTime, func() {})
			w.lossRate = 0
			w.run(t, settleTime, func() {})
			w.checkLoads(t, servers)
		}
	})
}

// Guards against a mesh or a site of one region that sends regions, and against a site whose map names a single
// region that is treated as several.
func TestOneRegionSendsTheSameAsNoRegions(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{2, 8} {
		var sent [2][]string
		for i, region := range []string{"", "north"} {
			members := largeSite(3, 2, routers)
			zones := make(map[string]string)
			for _, member := range members {
				zones[member.Zone()] = region
			}
			w := newRegionalWorld(1, members, topology.New(zones))
			w.observe = func(from *simProcess, datagram loadshare.Datagram, encoded []byte) {
				sent[i] = append(sent[i], fmt.Sprint(from.member.Name(), datagram.Receivers, encoded))
			}
			w.run(t, 2*time.Second, func() { w.redraw(30) })
		}
		if len(sent[0]) < 100 || !slices.Equal(sent[0], sent[1]) {
			t.Errorf("%d routers a zone: %d datagrams without regions and %d in one region differ", routers, len(sent[0]), len(sent[1]))
		}
	}
}

// Guards against receivers that can't distinguish the loads of other regions, which are older, from those of their own.
func TestLoadsOfOtherRegionsAreMarked(t *testing.T) {
	t.Parallel()
	w := newThreeRegions(t, false)
	for _, s := range w.processes {
		s.own = map[uint32]balance.SharedLoad{0: {Inflight: 1}}
	}
	w.run(t, settleTime, func() {})
	for _, s := range w.processes {
		far := len(w.find(func(other *simProcess) bool { return w.region(other) != w.region(s) }))
		if got := s.shares.At(0).Far; got != far {
			t.Errorf("%s: %d requests of other regions are marked, want %d", s.member.Name(), got, far)
		}
	}
}

// Guards against digests of regions that carry what other regions need not know, or lack what they do.
func TestRegionsSendWhatIsSignificant(t *testing.T) {
	t.Parallel()
	usual := balance.SharedPace{ReportedSum: 210, ReportedCount: 2, ObservedSum: 90, ObservedCount: 1}
	slow := balance.SharedPace{ReportedSum: 400, ReportedCount: 2, ObservedSum: 110, ObservedCount: 1}
	w := newThreeRegions(t, false)
	for _, s := range w.processes {
		s.own = nil
	}
	w.processes[1].own = map[uint32]balance.SharedLoad{
		1: {Inflight: 2, Unread: 300, Batch: 1, Pace: usual}, 2: {Pace: usual}, 3: {Pace: slow}, 4: {Inflight: 1}, 5: {Suspects: 1},
		firstTenant: {Unread: 10_000}, firstTenant + 1: {Unread: 10}, firstTenant + 2: {Inflight: 1, Unread: 10},
	}
	w.run(t, settleTime, func() {})
	for _, s := range w.find(func(s *simProcess) bool { return w.region(s) != w.region(w.processes[1]) }) {
		for hash, want := range map[uint32]balance.SharedLoad{
			1: {Inflight: 2, Unread: 300, Batch: 1, Far: 2}, 2: {}, 3: {Pace: balance.SharedPace{ReportedSum: 400, ReportedCount: 2}},
			4: {Inflight: 1, Far: 1}, 5: {Suspects: 1},
			firstTenant: {Unread: 10_000}, firstTenant + 1: {}, firstTenant + 2: {Inflight: 1, Unread: 10, Far: 1},
		} {
			if got := s.shares.At(hash); got != want {
				t.Errorf("%s: load of %d is %+v, want %+v", s.member.Name(), hash, got, want)
			}
		}
	}
}

// Guards against invalid digests of regions that end a process or count.
func TestInvalidDigestsOfRegionsAreIgnored(t *testing.T) {
	t.Parallel()
	w := newThreeRegions(t, false)
	receiver := w.processes[0]
	valid := loadshare.NewDigest(map[uint32]balance.SharedLoad{1000: {Inflight: 1}})
	valid.Sender, valid.Sequence, valid.StartedUnixMs, valid.Region = "stranger", 1, 1, "region-9"
	valid.Zones = []uint32{balance.ZoneHash("zone-90")}
	for name, spoil := range map[string]func(digest *rockwindpb.LoadDigest){
		"no zones":     func(digest *rockwindpb.LoadDigest) { digest.Zones = nil },
		"own zone":     func(digest *rockwindpb.LoadDigest) { digest.Zones = append(digest.Zones, balance.ZoneHash("zone-0")) },
		"own region":   func(digest *rockwindpb.LoadDigest) { digest.Region = "region-0" },
		"a long list":  func(digest *rockwindpb.LoadDigest) { digest.Batch = []uint32{1, 2} },
		"no sender":    func(digest *rockwindpb.LoadDigest) { digest.Sender = "" },
		"the receiver": func(digest *rockwindpb.LoadDigest) { digest.Sender = receiver.member.Name() },
	} {
		digest := proto.CloneOf(valid)
		spoil(digest)
		receiver.protocol.Receive(receiver, &rockwindpb.LoadBundle{Regions: []*rockwindpb.LoadDigest{digest}}, w.now)
		if got := receiver.shares.At(1000); got != (balance.SharedLoad{}) {
			t.Errorf("a digest with %s counts: %+v", name, got)
		}
	}
	misplaced := proto.CloneOf(valid)
	receiver.protocol.Receive(receiver, &rockwindpb.LoadBundle{Digests: []*rockwindpb.LoadDigest{misplaced}}, w.now)
	if got := receiver.shares.At(1000); got != (balance.SharedLoad{}) {
		t.Errorf("a digest of a region counts as that of a process: %+v", got)
	}
	receiver.protocol.Receive(receiver, &rockwindpb.LoadBundle{Regions: []*rockwindpb.LoadDigest{valid}}, w.now)
	if got := receiver.shares.At(1000); got.Inflight != 1 {
		t.Errorf("the valid digest does not count: %+v", got)
	}
}

// Guards against traffic between regions that grows with the number of processes, at the target size: 352 processes in
// 32 zones of 8 regions before 1,200 servers.
func TestRegionsCostLessAtTheTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some 20 s")
	}
	t.Parallel()
	const (
		seconds = 2
		// budget is the mean number of bytes a second that a process may send to other regions.
		budget = 600
	)
	members, sites := regionsOf(4, slices.Repeat([]int{8}, 32), slices.Repeat([]int{3}, 32))
	w := newRegionalWorld(1, members, sites)
	between, measuring := 0, false
	w.observe = func(from *simProcess, datagram loadshare.Datagram, encoded []byte) {
		for _, receiver := range datagram.Receivers {
			if to := w.byAddress[receiver]; measuring && w.region(to) != w.region(from) {
				between += len(encoded) + headerBytes
			}
		}
	}
	w.run(t, 1500*time.Millisecond, func() { w.redraw(1200) })
	measuring = true
	w.run(t, seconds*time.Second, func() { w.redraw(1200) })
	measuring = false
	of := w.processes[len(w.processes)-1]
	far := w.delay(t, of, 5*time.Second, func(s *simProcess) bool { return w.region(s) != w.region(of) })
	bound := of.protocol.Layout().MaxRegionAge()
	mean := between / len(members) / seconds
	t.Logf("%d bytes a second between regions per process; a load is known in other regions after %v, the bound is %v", mean, far, bound)
	if mean > budget || far > bound {
		t.Error("too many bytes, or too late")
	}
}
