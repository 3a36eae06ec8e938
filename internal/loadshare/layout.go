package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/topology"
)

const (
	// meshSize is the largest site in which all processes exchange loads directly. Larger sites
	// are divided into one group per zone.
	meshSize = 16
	// relayCount is the number of relays of a group. The first one that is alive is the group's
	// delegate; the others receive the same loads and take over when it fails.
	relayCount = 3
	// standbyCount is the number of members that replace the relays when all of them are silent.
	standbyCount = 3
	// standbyQuorumDivisor is the part of the members, as a divisor, that must send a standby their
	// loads before it acts as delegate. Members do so while they receive no sums, so the quorum keeps
	// a standby that has lost its own connection from acting. A third allows for a zone that has
	// also lost two thirds of its routers.
	standbyQuorumDivisor = 3
	// meshInterval is the time between digests in a mesh. Urgent changes are sent at once.
	meshInterval = 80 * time.Millisecond
	// minGroupInterval is the time between digests in a small group. intervalPerMember lengthens
	// it in larger groups, so that a delegate's cost does not grow with the number of members: a
	// zone of 50 members has an interval of 100 ms, and a load is known in it within 200 ms.
	minGroupInterval  = 40 * time.Millisecond
	intervalPerMember = 2 * time.Millisecond
	// intervalPerGroup is the time between digests to other groups, for each of these groups. It
	// bounds the traffic of a delegate to other zones.
	intervalPerGroup = 20 * time.Millisecond
	// minRegionInterval is the least time between digests to other regions, intervalPerRegion lengthens it for
	// many regions, and maxRegionInterval bounds it, so that a receiver that loses two of them keeps the loads.
	minRegionInterval = 250 * time.Millisecond
	intervalPerRegion = 20 * time.Millisecond
	maxRegionInterval = 400 * time.Millisecond
)

// Member is a process that shares its load.
type Member struct {
	name    string
	zone    string
	address netip.AddrPort
	rank    int
}

// NewMember describes a process. The members of a group with the lowest ranks are its relays.
func NewMember(name, zone string, address netip.AddrPort, rank int) Member {
	return Member{name: name, zone: zone, address: address, rank: rank}
}

// Name returns the machine's name.
func (m Member) Name() string { return m.name }

// Zone returns the machine's zone.
func (m Member) Zone() string { return m.zone }

// Address returns the address at which the process receives digests.
func (m Member) Address() netip.AddrPort { return m.address }

// Layout determines to which processes one process sends loads. It is immutable.
//
// On a small site all processes send loads to each other, as a mesh. On a larger site the
// processes of a zone form a group. Members send their loads to the relays of the group. The
// delegate, which is the first relay that is alive, sends the members the sum of the group and
// the sum of all other groups, and sends the sum of its group to the delegates of the other
// groups. So the traffic of a process does not grow with the number of processes, and only
// delegates send to other zones.
//
// On a site of several regions, a group sends its sum to the groups of its region only. The region's
// delegate, which is the delegate of its first group that is alive, sends the sum of the region to the
// delegates of the other regions, which forward it to the groups of theirs.
//
// Relays have the lowest ranks and may all fail at once. Standbys, selected from the other
// members by hashes of their names, replace them while a process receives no sums from them.
type Layout struct {
	self    string
	group   string
	members []Member
	relays  []Member
	// standbys replace silent relays, in order of preference.
	standbys    []Member
	otherGroups []Group
	// region, nearGroups (the other groups of the region) and otherRegions are set on sites of several regions
	// if that of this process is known.
	sites        topology.Map
	region       string
	nearGroups   []Group
	otherRegions []Region
}

// Group is a group other than the process's own.
type Group struct {
	name     string
	region   string
	size     int
	relays   []Member
	standbys []Member
}

// Region is a region other than the process's own.
type Region struct {
	name   string
	groups []Group
}

// candidates returns the members that may be the group's delegate.
func (g Group) candidates() []Member { return slices.Concat(g.relays, g.standbys) }

// candidateAddresses returns the addresses of all candidates.
func (g Group) candidateAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, candidate := range g.candidates() {
		addresses = append(addresses, candidate.address)
	}
	return addresses
}

// candidate returns the named candidate.
func (g Group) candidate(name string) (Member, bool) {
	for _, each := range g.candidates() {
		if each.name == name {
			return each, true
		}
	}
	return Member{}, false
}

// NewLayout returns the layout of the named process among the members of a site. Processes with
// the same list of members compute the same groups. Processes with regions and without exchange
// loads as all did before there were regions, and so do those in zones without a region.
func NewLayout(members []Member, self string, sites topology.Map) *Layout {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	layout := &Layout{self: self, sites: sites}
	if len(sorted) <= meshSize {
		layout.members = sorted
		return layout
	}
	for len(sorted) > 0 {
		zone := sorted[0].zone
		size := slices.IndexFunc(sorted, func(m Member) bool { return m.zone != zone })
		if size < 0 {
			size = len(sorted)
		}
		layout.addZone(zone, sorted[:size])
		sorted = sorted[size:]
	}
	layout.findRegions()
	return layout
}

// findRegions sets the region of this process and the other ones.
func (l *Layout) findRegions() {
	region := l.sites.Region(l.group)
	if region == "" {
		return
	}
	byName := make(map[string]int)
	for _, group := range l.otherGroups {
		switch group.region {
		case region:
			l.nearGroups = append(l.nearGroups, group)
			continue
		case "":
			continue
		}
		index, found := byName[group.region]
		if !found {
			index = len(l.otherRegions)
			byName[group.region] = index
			l.otherRegions = append(l.otherRegions, Region{name: group.region})
		}
		l.otherRegions[index].groups = append(l.otherRegions[index].groups, group)
	}
	if len(l.otherRegions) > 0 {
		l.region = region
		return
	}
	l.nearGroups = nil
}

// Regional reports whether the site has several regions and that of this process is known.
func (l *Layout) Regional() bool { return l.region != "" }

// addZone adds the members of a zone as the process's own group or as another one.
func (l *Layout) addZone(zone string, members []Member) {
	relays := members[:min(relayCount, len(members))]
	standbys := selectStandbys(members[len(relays):])
	if slices.ContainsFunc(members, l.isSelf) {
		l.group, l.members, l.relays, l.standbys = zone, members, relays, standbys
		return
	}
	l.otherGroups = append(l.otherGroups, Group{name: zone, region: l.sites.Region(zone), size: len(members), relays: relays, standbys: standbys})
}

// selectStandbys selects the standbys of a group from its members other than relays, by hashes of
// their names. All processes select the same ones, and a member that joins or leaves changes at
// most one of them.
func selectStandbys(members []Member) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)), cmp.Compare(a.name, b.name))
	})
	return ordered[:min(standbyCount, len(ordered))]
}

func (l *Layout) isSelf(member Member) bool { return member.name == l.self }

// Mesh reports whether all processes send to each other directly.
func (l *Layout) Mesh() bool { return len(l.relays) == 0 }

// Group returns the name of this process's group. It is empty in a mesh.
func (l *Layout) Group() string { return l.group }

// Members returns the names of the group's members by rank, including this process.
func (l *Layout) Members() []string {
	names := make([]string, 0, len(l.members))
	for _, member := range l.members {
		names = append(names, member.name)
	}
	return names
}

// Receivers returns the addresses to which this process sends its own load: the relays of its
// group, and also the standbys while the relays are silent.
func (l *Layout) Receivers(relaysSilent bool) []netip.AddrPort {
	switch {
	case l.Mesh():
		return l.except(l.members)
	case relaysSilent:
		return l.except(slices.Concat(l.relays, l.standbys))
	}
	return l.except(l.relays)
}

// MemberAddresses returns the addresses of the other members of the group, to which the delegate
// sends all loads.
func (l *Layout) MemberAddresses() []netip.AddrPort { return l.except(l.members) }

// OtherGroups returns all groups but this process's own.
func (l *Layout) OtherGroups() []Group { return l.otherGroups }

// except returns the addresses of the given members without this process.
func (l *Layout) except(members []Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		if !l.isSelf(member) {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}

// IsRelay reports whether this process is a relay of its group.
func (l *Layout) IsRelay() bool { return slices.ContainsFunc(l.relays, l.isSelf) }

// IsDelegate reports whether this process is a relay of its group and no preferred relay is alive.
func (l *Layout) IsDelegate(seen func(name string) bool) bool {
	for _, relay := range l.relays {
		if l.isSelf(relay) {
			return true
		}
		if seen(relay.name) {
			return false
		}
	}
	return false
}

// IsStandby reports whether this process is a standby of its group.
func (l *Layout) IsStandby() bool { return slices.ContainsFunc(l.standbys, l.isSelf) }

// HasStandby reports whether the named process is a standby of this group.
func (l *Layout) HasStandby(name string) bool {
	return slices.ContainsFunc(l.standbys, func(m Member) bool { return m.name == name })
}

// IsActingDelegate reports whether this process replaces the silent relays of its group: no
// preferred standby is alive, and a quorum of members sends it loads.
func (l *Layout) IsActingDelegate(seen func(name string) bool) bool {
	for _, standby := range l.standbys {
		if l.isSelf(standby) {
			return l.hasQuorum(seen)
		}
		if seen(standby.name) {
			return false
		}
	}
	return false
}

// hasQuorum reports whether enough members other than relays are alive.
func (l *Layout) hasQuorum(seen func(name string) bool) bool {
	others := l.members[len(l.relays):]
	alive := 0
	for _, member := range others {
		if l.isSelf(member) || seen(member.name) {
			alive++
		}
	}
	return alive*standbyQuorumDivisor >= len(others)
}

// Interval returns the time between digests within the group or mesh.
func (l *Layout) Interval() time.Duration {
	if l.Mesh() {
		return meshInterval
	}
	return max(minGroupInterval, time.Duration(len(l.members))*intervalPerMember)
}

// GroupInterval returns the time between digests to the other groups.
func (l *Layout) GroupInterval() time.Duration {
	return max(l.Interval(), time.Duration(len(l.otherGroups))*intervalPerGroup)
}

// RegionInterval returns the time between digests to the other regions.
func (l *Layout) RegionInterval() time.Duration {
	return min(max(minRegionInterval, time.Duration(len(l.otherRegions))*intervalPerRegion), maxRegionInterval)
}

// MaxRegionAge returns how old the loads of processes in other regions may be: those of a digest to
// other groups and of one to other regions, and five intervals within groups: from the member to
// its delegate, until the next tick of this delegate, of that of the region, of the one that forwards
// the digest, and of the one that sends it to its members. It is MaxAge on sites of one region.
func (l *Layout) MaxRegionAge() time.Duration {
	if !l.Regional() {
		return l.MaxAge()
	}
	return 5*l.Interval() + l.GroupInterval() + l.RegionInterval()
}

// MaxAge returns how old the loads of other processes of the region may be: one interval from a member to the
// delegate, one from there to the other members, and half an interval between groups. It is zero
// in a mesh, where urgent changes are sent at once.
func (l *Layout) MaxAge() time.Duration {
	if l.Mesh() {
		return 0
	}
	return 2*l.Interval() + l.GroupInterval()/2
}
