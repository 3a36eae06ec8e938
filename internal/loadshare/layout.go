package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshSize is up to how many processes all tell each other of their loads directly.
	// A site with more of them is divided into the groups of its zones.
	meshSize = 16
	// relayCount is how many members of a group may be its delegate: the first of them
	// that is heard is, and the others know what it knows when it falls silent.
	relayCount = 3
	// standbyCount is how many other members stand in for the relays while all of these are
	// silent: as many, so that a zone bears as many losses among them.
	standbyCount = 3
	// standbyVoices is of how many members one has to tell a standby its load, so that it stands in:
	// members do while they hear no relay. One that alone hears none knows nothing to tell, while in a
	// zone without relays nearly all of those that run tell it. A third of all stands for a zone
	// that has lost two thirds of its routers, too.
	standbyVoices = 3
	// meshInterval is the time between digests in a mesh, where news that others wait for
	// are told at once besides.
	meshInterval = 80 * time.Millisecond
	// shortestInterval is the time between digests in a small group, and intervalPerMember
	// lengthens it in large ones, so that a delegate spends the same on digests however many
	// members there are. 50 members of a zone are told each 100 ms, so that a load is known
	// in its zone within 200 ms.
	shortestInterval  = 40 * time.Millisecond
	intervalPerMember = 2 * time.Millisecond
	// intervalPerGroup is the time between digests of a group to the others, for each of
	// them: it bounds the bytes that a delegate sends to other zones.
	intervalPerGroup = 20 * time.Millisecond
)

// Member is a process that shares its load.
type Member struct {
	name    string
	zone    string
	address netip.AddrPort
	rank    int
}

// NewMember describes a process. Among the members of a group those with the lowest
// rank are its relays.
func NewMember(name, zone string, address netip.AddrPort, rank int) Member {
	return Member{name: name, zone: zone, address: address, rank: rank}
}

// Name is the machine's name.
func (m Member) Name() string { return m.name }

// Zone is the zone that the machine stands in.
func (m Member) Zone() string { return m.zone }

// Address is where the process takes digests.
func (m Member) Address() netip.AddrPort { return m.address }

// Layout says whom one process tells of loads. It is immutable.
//
// On a small site all processes tell each other. On a larger one the processes of a zone
// are a group. Members tell their loads to the relays of the group. The delegate, the
// first relay that is heard, tells the members the sum of the group and the sum of all
// other groups, and tells the delegates of the other groups the sum of its own. What a
// process sends and hears so does not grow with the number of processes, and between
// zones only delegates talk.
//
// Relays have the lowest ranks, and may all be lost at once. Standbys, drawn by hashing from the
// other members, take their part while a process hears none of them.
type Layout struct {
	self    string
	group   string
	members []Member
	relays  []Member
	// standbys stand in for the relays, the first that is heard before the others.
	standbys []Member
	others   []Group
}

// Group is another group than the process's own.
type Group struct {
	name     string
	relays   []Member
	standbys []Member
}

// candidates are the members that may be the group's delegate.
func (g Group) candidates() []Member { return slices.Concat(g.relays, g.standbys) }

// candidate returns the one of a name among those that may be the group's delegate.
func (g Group) candidate(name string) (Member, bool) {
	for _, each := range g.candidates() {
		if each.name == name {
			return each, true
		}
	}
	return Member{}, false
}

// NewLayout returns the layout of the named process among the members of a site. All
// processes with the same members get the same groups.
func NewLayout(members []Member, self string) *Layout {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	layout := &Layout{self: self}
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
	return layout
}

// addZone makes the members of a zone a group: that of the process itself, or another.
func (l *Layout) addZone(zone string, members []Member) {
	relays := members[:min(relayCount, len(members))]
	standbys := drawStandbys(members[len(relays):])
	if slices.ContainsFunc(members, l.isSelf) {
		l.group, l.members, l.relays, l.standbys = zone, members, relays, standbys
		return
	}
	l.others = append(l.others, Group{name: zone, relays: relays, standbys: standbys})
}

// drawStandbys draws the standbys of a group from its members without the relays, by the
// hashes of their names: all processes draw the same, and one that comes or goes changes
// one of them at most.
func drawStandbys(members []Member) []Member {
	drawn := slices.Clone(members)
	slices.SortFunc(drawn, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)), cmp.Compare(a.name, b.name))
	})
	return drawn[:min(standbyCount, len(drawn))]
}

func (l *Layout) isSelf(member Member) bool { return member.name == l.self }

// Mesh tells whether all processes tell each other directly.
func (l *Layout) Mesh() bool { return len(l.relays) == 0 }

// Group names this process's group, empty in a mesh.
func (l *Layout) Group() string { return l.group }

// Members lists the names of the group's members, this process included, by rank.
func (l *Layout) Members() []string {
	names := make([]string, 0, len(l.members))
	for _, member := range l.members {
		names = append(names, member.name)
	}
	return names
}

// Receivers are the addresses of those that this process tells of its own load: the relays of
// its group, and the standbys while the relays are silent.
func (l *Layout) Receivers(relaysSilent bool) []netip.AddrPort {
	switch {
	case l.Mesh():
		return l.except(l.members)
	case relaysSilent:
		return l.except(slices.Concat(l.relays, l.standbys))
	}
	return l.except(l.relays)
}

// MemberAddresses are the addresses of those that the delegate tells of all loads: the other
// members of its group.
func (l *Layout) MemberAddresses() []netip.AddrPort { return l.except(l.members) }

// OtherGroups lists the other groups.
func (l *Layout) OtherGroups() []Group { return l.others }

// except lists the addresses of the given members without this process.
func (l *Layout) except(members []Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		if !l.isSelf(member) {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}

// IsRelay tells whether this process may be the delegate of its group.
func (l *Layout) IsRelay() bool { return slices.ContainsFunc(l.relays, l.isSelf) }

// IsDelegate tells whether this process is the delegate of its group: no relay before it
// is heard.
func (l *Layout) IsDelegate(heard func(name string) bool) bool {
	for _, relay := range l.relays {
		if l.isSelf(relay) {
			return true
		}
		if heard(relay.name) {
			return false
		}
	}
	return false
}

// IsStandby tells whether this process may stand in for the relays of its group.
func (l *Layout) IsStandby() bool { return slices.ContainsFunc(l.standbys, l.isSelf) }

// HasStandby tells whether the named process may stand in for the relays of this group.
func (l *Layout) HasStandby(name string) bool {
	return slices.ContainsFunc(l.standbys, func(m Member) bool { return m.name == name })
}

// IsActingDelegate tells whether this process is the delegate of its group while the relays are
// silent: no standby before it is heard, and enough members tell it their load.
func (l *Layout) IsActingDelegate(heard func(name string) bool) bool {
	for _, standby := range l.standbys {
		if l.isSelf(standby) {
			return l.enoughHeard(heard)
		}
		if heard(standby.name) {
			return false
		}
	}
	return false
}

// enoughHeard tells whether enough members besides the relays are heard.
func (l *Layout) enoughHeard(heard func(name string) bool) bool {
	others := l.members[len(l.relays):]
	voices := 0
	for _, member := range others {
		if l.isSelf(member) || heard(member.name) {
			voices++
		}
	}
	return voices*standbyVoices >= len(others)
}

// Interval is the time between digests within the group, or the mesh.
func (l *Layout) Interval() time.Duration {
	if l.Mesh() {
		return meshInterval
	}
	return max(shortestInterval, time.Duration(len(l.members))*intervalPerMember)
}

// GroupInterval is the time between digests to the other groups.
func (l *Layout) GroupInterval() time.Duration {
	return max(l.Interval(), time.Duration(len(l.others))*intervalPerGroup)
}

// MaxAge is how old the loads of other processes may be: from a member to its delegate, from
// there to the other members, and half of the time between groups. It is zero in a mesh,
// where what others wait for is told at once.
func (l *Layout) MaxAge() time.Duration {
	if l.Mesh() {
		return 0
	}
	return 2*l.Interval() + l.GroupInterval()/2
}
