package replica_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

var (
	seriesCount = flag.Int("series", 0, "how many random series of losses to play; zero plays those of the test suite")
	seriesFirst = flag.Uint64("series.first", 1, "the seed of the first series")
)

const (
	// wholeTimeout is how long after a loss a group may be short of members while a sound machine asks to join.
	wholeTimeout = 3 * time.Second
	// catchUpTime passes after each step, as on a site that bears one loss at a time.
	catchUpTime = 4900 * time.Millisecond
	// retireTimeout is how long a machine that must leave may remain a member.
	retireTimeout  = 6 * time.Second
	stepsPerSeries = 14
)

// series is a random series of cuts, returns, losses, additions and retirements on a cluster with the options of
// a site. At most as many members are lost at once as the groups tolerate.
type series struct {
	*testCluster
	target int
	// regional reports whether there are two regions with a group each, that of the north with witnesses in the south.
	regional bool
	mutex    sync.Mutex
	leaving  map[string]bool
	cut      map[*machine]bool
	// away are stopped machines that may return with their disks.
	away  []*machine
	added int
	// acknowledged counts the increments of each group.
	acknowledged [3]int
	steps        []string
}

// runSeries plays one series on groups that any machine may join, or with groups of regions.
func runSeries(t *testing.T, target int, regional bool, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		s := &series{
			testCluster: &testCluster{t: t, links: &replica.Links{}, random: rand.New(rand.NewPCG(seed, uint64(target)))},
			target:      target, regional: regional, leaving: make(map[string]bool), cut: make(map[*machine]bool),
		}
		s.adjust = s.siteOptions
		s.network = &network{handlers: map[string]http.Handler{}}
		s.client = &http.Client{Transport: s.network}
		names := threeEach
		if !regional {
			names = nil
			for number := range target {
				names = append(names, fmt.Sprintf("first-%d", number))
			}
		}
		for _, name := range names {
			s.machines = append(s.machines, &machine{name: name, disk: faultfs.New()})
			s.peers = append(s.peers, &rockwindpb.ControlMachine{Address: name})
		}
		for _, m := range s.machines {
			s.start(m)
		}
		defer func() {
			for _, m := range s.machines {
				s.kill(m)
			}
		}()
		if regional {
			s.foundRegions()
		} else {
			s.found(2)
			s.addSpare("")
		}
		s.awaitWhole(time.Now(), eventuallyTimeout, "after the start")
		for range stepsPerSeries {
			s.write()
			s.step()
			time.Sleep(catchUpTime)
			s.awaitWhole(time.Now(), wholeTimeout, "after the step")
			if t.Failed() {
				break
			}
		}
		for group, want := range s.acknowledged {
			if got := s.read(uint32(group), "a"); got != want {
				t.Errorf("%d increments of group %d were acknowledged, %d are left", want, group, got)
			}
		}
		if t.Failed() {
			t.Logf("target %d, seed %d: %q", target, seed, s.steps)
		}
	})
}

// siteOptions are those of a store or coordinator of a site.
func (s *series) siteOptions(options *replica.Options) {
	options.AdmitNew, options.TargetVoters = true, s.target
	options.Tick, options.HeartbeatTicks, options.ElectionTicks = 30*time.Millisecond, 2, 10
	options.SnapshotEntries = 20
	options.Peers = nil
	options.Discover = func() []*rockwindpb.ControlMachine {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return slices.Clone(s.peers)
	}
	if s.regional {
		options.InRegion = inRegion
		withRegions(options)
	}
	options.MustLeave = func(name string) bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.leaving[name]
	}
}

// write increments a register of each group.
func (s *series) write() {
	s.t.Helper()
	for group := range s.acknowledged {
		for range 3 {
			s.add(uint32(group), "a")
			s.acknowledged[group]++
		}
	}
}

// foundRegions founds a group of three machines of both regions, and one of each region.
func (s *series) foundRegions() {
	s.t.Helper()
	members := func(witness bool, machines ...*machine) []*rockwindpb.Member {
		var list []*rockwindpb.Member
		for _, m := range machines {
			list = append(list, &rockwindpb.Member{Id: m.running().DiskID(), Machine: m.name, Address: m.at(), Witness: witness})
		}
		return list
	}
	m := s.machines
	request := &rockwindpb.FoundRequest{ClusterId: "regional", Groups: []*rockwindpb.FoundingGroup{
		{Group: anywhere, Membership: &rockwindpb.Membership{Members: members(false, m[0], m[1], m[3])}},
		{Group: north, Region: "north", Membership: &rockwindpb.Membership{Members: append(members(false, m[:3]...), members(true, m[3:5]...)...)}},
		{Group: south, Region: "south", Membership: &rockwindpb.Membership{Members: members(false, m[3:]...)}},
	}}
	for _, each := range m {
		if err := each.running().AcceptFounding(s.t.Context(), request); err != nil {
			s.t.Fatal(err)
		}
	}
}

// addSpare starts a machine with an empty disk and a new name, in a region if there are any.
func (s *series) addSpare(region string) *machine {
	s.added++
	s.note("a spare is added")
	added := &machine{name: fmt.Sprintf("%s-%d", cmp.Or(region, "added"), 100+s.added), disk: faultfs.New()}
	s.machines = append(s.machines, added)
	s.start(added)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peers = append(s.peers, &rockwindpb.ControlMachine{Address: added.name})
	return added
}

// sound returns the machines that run, are connected and may stay.
func (s *series) sound() []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.running() != nil && !s.cut[m] && !s.mustLeave(m) {
			found = append(found, m)
		}
	}
	return found
}

func (s *series) mustLeave(m *machine) bool { return s.mustLeaveByName(m.name) }

func (s *series) mustLeaveByName(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving[name]
}

// isWhole reports whether a group has its target of voters on sound machines, and no other member. A group whose region has
// no spare may keep a lost member if it bears as many further losses as without it.
func (s *series) isWhole(group uint32) bool {
	leader := s.leaderNow(group)
	if leader == nil || leader.group(group).Status().GetMembership() == nil {
		return false
	}
	members := leader.group(group).Status().GetMembership().GetMembers()
	voters, lost := 0, 0
	for _, member := range members {
		isSound := slices.ContainsFunc(s.sound(), func(m *machine) bool { return m.running().DiskID() == member.GetId() })
		switch {
		case isSound && !member.GetLearner():
			voters++
		case !isSound && !member.GetLearner() && !member.GetWitness() && !s.mustLeaveByName(member.GetMachine()) && s.regional && group != anywhere:
			lost++
		default:
			return false
		}
	}
	if voters != s.targetOf(group) {
		return false
	}
	if lost == 0 {
		return leader.group(group).Status().GetRepaired()
	}
	quorum := (voters+lost)/2 + 1
	return voters-quorum == (voters-1)/2
}

// targetOf returns how many members a group shall have: one of a region has all sound machines there, up to five, and the
// one with witnesses two of these.
func (s *series) targetOf(group uint32) int {
	if !s.regional || group == anywhere {
		return s.target
	}
	region, witnesses := "north", 2
	if group == south {
		region, witnesses = "south", 0
	}
	return min(5, s.soundIn(region)) + witnesses
}

func (s *series) soundIn(region string) int {
	count := 0
	for _, m := range s.sound() {
		if inRegion(m.name, region) {
			count++
		}
	}
	return count
}

// anyRegion returns a random region, or none.
func (s *series) anyRegion() string {
	if !s.regional {
		return ""
	}
	return []string{"north", "south"}[s.random.IntN(2)]
}

// regionOf returns the region of a machine, or none.
func (s *series) regionOf(m *machine) string {
	if !s.regional {
		return ""
	}
	region, _, _ := strings.Cut(m.name, "-")
	return region
}

// awaitWhole fails the test if a group is not whole within a time after an event.
func (s *series) awaitWhole(since time.Time, timeout time.Duration, what string) {
	s.t.Helper()
	for group := range s.acknowledged {
		for !s.isWhole(uint32(group)) {
			if time.Since(since) > timeout {
				s.t.Errorf("%s: group %d is not whole %v after %v: %s", what, group, time.Since(since), s.steps[max(0, len(s.steps)-1):], s.describe(uint32(group)))
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (s *series) describe(group uint32) string {
	leader := s.leaderNow(group)
	if leader == nil {
		return "no leader"
	}
	return fmt.Sprintf("leader %s, members %v, shortage %+v", leader.name, leader.group(group).Status().GetMembership().GetMembers(), s.shortage(group))
}

// between returns a random duration.
func (s *series) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// note records a step.
func (s *series) note(format string, arguments ...any) {
	s.steps = append(s.steps, fmt.Sprintf(format, arguments...))
}

// victims chooses sound machines to be lost at once: as many as the groups tolerate at most.
func (s *series) victims() []*machine {
	sound := s.sound()
	s.random.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	return sound[:1+s.random.IntN(s.target/2)]
}

// step plays one step and checks that the groups are whole in time.
func (s *series) step() {
	s.t.Helper()
	if len(s.sound()) > s.target+2 && s.random.IntN(2) == 0 {
		s.retire()
		return
	}
	switch s.random.IntN(6) {
	case 0:
		s.addSpare(s.anyRegion())
	case 1:
		s.retire()
	default:
		s.lose()
	}
}

// lose lets machines disappear one shortly after the other, and return, or others come in their place.
func (s *series) lose() {
	s.t.Helper()
	victims := s.victims()
	spares := len(s.sound()) - len(victims)
	var returns []func()
	for _, victim := range victims {
		returns = append(returns, s.loseOne(victim))
		time.Sleep(s.between(0, time.Second))
	}
	lastLoss := time.Now()
	spared := spares >= s.target && !s.regional // A region may have no machine that is no member.
	if spared {
		s.awaitWhole(lastLoss, wholeTimeout, "after the loss")
	}
	for _, comeBack := range returns {
		comeBack()
	}
	for _, region := range []string{"north", "south"} {
		if s.regional && s.soundIn(region) < 3 {
			s.addSpare(region)
		}
	}
	if len(s.sound()) < s.target+1 {
		s.addSpare(s.anyRegion())
	}
	if !spared {
		s.awaitWhole(time.Now(), wholeTimeout, "after the return")
	}
}

// loseOne lets a machine disappear. The returned function ends that.
func (s *series) loseOne(victim *machine) func() {
	kind := s.random.IntN(6)
	away := s.between(200*time.Millisecond, 4500*time.Millisecond)
	until := time.Now().Add(away)
	wait := func() { time.Sleep(time.Until(until)) }
	switch kind {
	case 0:
		s.note("%s is cut off for %v", victim.name, away)
		s.setCut(victim, true)
		return func() { wait(); s.setCut(victim, false) }
	case 1:
		s.note("%s is stopped for %v", victim.name, away)
		s.crash(victim)
		return func() { wait(); s.start(victim) }
	case 2:
		s.note("%s loses its disk, and is back after %v", victim.name, away)
		s.loseDisk(victim)
		return func() { wait(); s.start(victim) }
	case 3:
		s.note("%s is stopped for %v, and has another address then", victim.name, away)
		s.crash(victim)
		return func() { wait(); s.move(victim); s.start(victim) }
	case 4:
		s.note("%s is gone until a later step", victim.name)
		s.crash(victim)
		s.away = append(s.away, victim)
	default:
		s.note("%s is gone for good", victim.name)
		s.loseDisk(victim)
	}
	return func() {
		wait()
		if len(s.away) > 0 && s.random.IntN(2) == 0 && s.away[0] != victim {
			s.note("%s is back", s.away[0].name)
			s.start(s.away[0])
			s.away = s.away[1:]
			return
		}
		s.addSpare(s.regionOf(victim))
	}
}

// setCut cuts a machine off from all others, or ends that.
func (s *series) setCut(victim *machine, cut bool) {
	if !cut {
		delete(s.cut, victim)
		s.links.Heal()
		for m := range s.cut {
			s.setCut(m, true)
		}
		return
	}
	s.cut[victim] = true
	for _, other := range s.machines {
		if other != victim {
			s.links.CutBoth(victim.name, other.name)
		}
	}
}

// move gives a stopped machine another address, which all others come to know.
func (s *series) move(m *machine) {
	former := m.at()
	m.address = former + "-moved"
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for position, peer := range s.peers {
		if peer.GetAddress() == former {
			s.peers[position] = &rockwindpb.ControlMachine{Address: m.address}
		}
	}
}

// retire lets a member leave if enough other machines are sound, and stops it once it has left.
func (s *series) retire() {
	s.t.Helper()
	sound := s.sound()
	victim := sound[s.random.IntN(len(sound))]
	if len(sound) <= s.target || s.regional && s.soundIn(s.regionOf(victim)) <= 3 {
		s.addSpare(s.regionOf(victim))
		return
	}
	s.note("%s retires", victim.name)
	s.mutex.Lock()
	s.leaving[victim.name] = true
	s.mutex.Unlock()
	s.awaitWhole(time.Now(), retireTimeout, "after the retirement")
	s.kill(victim)
	if s.random.IntN(2) == 0 {
		s.note("%s is a spare again", victim.name)
		s.mutex.Lock()
		delete(s.leaving, victim.name)
		s.mutex.Unlock()
		s.start(victim)
	}
}

// TestGroupsAreWholeSoonAfterEachLossOfASeries guards against groups that stay short of members after some series of
// cuts, returns, losses, additions and retirements, although a sound machine asks to join.
func TestGroupsAreWholeSoonAfterEachLossOfASeries(t *testing.T) {
	count := countSeries()
	for seed := *seriesFirst; seed < *seriesFirst+uint64(count); seed++ {
		for _, target := range []int{3, 5} {
			t.Run(fmt.Sprintf("%d members, seed %d", target, seed), func(t *testing.T) { runSeries(t, target, false, seed) })
		}
	}
}

// TestRegionalGroupsAreWholeSoonAfterEachLossOfASeries is the same with groups of two regions, one of them with witnesses.
func TestRegionalGroupsAreWholeSoonAfterEachLossOfASeries(t *testing.T) {
	for seed := *seriesFirst; seed < *seriesFirst+uint64(countSeries()); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeries(t, 3, true, seed) })
	}
}

// countSeries returns how many series to play.
func countSeries() int {
	count := *seriesCount
	if count == 0 {
		count = 4
		if testing.Short() {
			count = 1
		}
	}
	return count
}
