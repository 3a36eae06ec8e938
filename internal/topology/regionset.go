package topology

import (
	"slices"
	"strings"
)

// RegionSet is a set of regions to which something is restricted. The zero value is unrestricted. It is
// immutable and safe for concurrent use.
type RegionSet struct {
	restricted bool
	// names are sorted and unique.
	names []string
	key   string
}

// NewRegionSet returns a set of the given regions. No regions means no restriction, as in a
// configuration.
func NewRegionSet(regions []string) RegionSet {
	if len(regions) == 0 {
		return RegionSet{}
	}
	names := slices.Clone(regions)
	slices.Sort(names)
	return restrictedTo(slices.Compact(names))
}

func restrictedTo(names []string) RegionSet {
	return RegionSet{restricted: true, names: names, key: "in " + strings.Join(names, "\x00")}
}

// Restricted reports whether the set restricts anything.
func (s RegionSet) Restricted() bool { return s.restricted }

// Allows reports whether a region is in the set. An unrestricted set allows every region.
func (s RegionSet) Allows(region string) bool {
	return !s.restricted || slices.Contains(s.names, region)
}

// Key returns a text that is the same for equal sets only; empty for an unrestricted one.
func (s RegionSet) Key() string { return s.key }

// Names lists the regions in alphabetical order; empty if the set is unrestricted or allows none.
func (s RegionSet) Names() []string { return slices.Clone(s.names) }

// Within reports whether all regions that the set allows are allowed by another one.
func (s RegionSet) Within(other RegionSet) bool {
	if !other.Restricted() || !s.Restricted() {
		return !other.Restricted()
	}
	return !slices.ContainsFunc(s.names, func(name string) bool { return !other.Allows(name) })
}

// Len returns the number of regions; zero if the set is unrestricted or allows none.
func (s RegionSet) Len() int { return len(s.names) }

// Empty reports whether the set is restricted and allows no region.
func (s RegionSet) Empty() bool { return s.restricted && len(s.names) == 0 }

// Intersect returns the regions that both sets allow. The intersection of disjoint sets is empty, not
// unrestricted.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	var common []string
	for _, name := range s.names {
		if other.Allows(name) {
			common = append(common, name)
		}
	}
	return restrictedTo(common)
}
