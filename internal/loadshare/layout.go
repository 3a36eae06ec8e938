package loadshare

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
)

// groupSize is how many processes tell each other of their loads directly. A site
// with more of them is divided into groups.
const groupSize = 16

// Member is a process that shares its load.
type Member struct {
	name    string
	zone    string
	address netip.AddrPort
	rank    int
}

// NewMember describes a process. Among the members of a group the one with the
// lowest rank is the delegate.
func NewMember(name, zone string, address netip.AddrPort, rank int) Member {
	return Member{name: name, zone: zone, address: address, rank: rank}
}

// Name is the machine's name.
func (m Member) Name() string { return m.name }

// Layout says whom one process tells of loads. It is immutable.
//
// Members of a group tell each other what they have. The delegate of each group,
// the first member that is heard, tells the members of all other groups the sum of
// its group. A process so hears of a site of n processes from about
// groupSize + n/groupSize senders.
type Layout struct {
	group     string
	ranked    []string
	self      string
	peers     []netip.AddrPort
	outsiders []netip.AddrPort
	groups    int
}

// NewLayout divides the members into groups, zone by zone, and returns the layout
// of the named one. All processes with the same members get the same groups.
func NewLayout(members []Member, self string) *Layout {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	layout := &Layout{self: self}
	if len(sorted) <= groupSize {
		layout.add("all", sorted)
		return layout
	}
	for start := 0; start < len(sorted); {
		end := start
		for end < len(sorted) && sorted[end].zone == sorted[start].zone {
			end++
		}
		layout.addZone(sorted[start:end])
		start = end
	}
	return layout
}

// addZone divides the members of one zone, in their order, so that each group has
// members of every rank.
func (l *Layout) addZone(zone []Member) {
	count := (len(zone) + groupSize - 1) / groupSize
	groups := make([][]Member, count)
	for i, member := range zone {
		groups[i%count] = append(groups[i%count], member)
	}
	for i, group := range groups {
		l.add(fmt.Sprintf("%s/%d", zone[0].zone, i), group)
	}
}

// add places one group: that of the process itself, or one beside it.
func (l *Layout) add(name string, group []Member) {
	l.groups++
	own := slices.ContainsFunc(group, func(m Member) bool { return m.name == l.self })
	if own {
		l.group = name
	}
	for _, member := range group {
		if !own {
			l.outsiders = append(l.outsiders, member.address)
			continue
		}
		l.ranked = append(l.ranked, member.name)
		if member.name != l.self {
			l.peers = append(l.peers, member.address)
		}
	}
}

// Group names this process's group.
func (l *Layout) Group() string { return l.group }

// Members lists the names of the group's members, this process included, by rank.
func (l *Layout) Members() []string { return l.ranked }

// Peers are the addresses of the other members of the group.
func (l *Layout) Peers() []netip.AddrPort { return l.peers }

// Outsiders are the addresses of all processes of other groups.
func (l *Layout) Outsiders() []netip.AddrPort { return l.outsiders }

// senders is from how many processes this one hears.
func (l *Layout) senders() int { return len(l.peers) + max(0, l.groups-1) }

// Delegate tells whether this process tells the other groups of its own: no member
// before it is heard.
func (l *Layout) Delegate(heard func(name string) bool) bool {
	if len(l.outsiders) == 0 {
		return false
	}
	for _, name := range l.ranked {
		if name == l.self {
			return true
		}
		if heard(name) {
			return false
		}
	}
	return false
}
