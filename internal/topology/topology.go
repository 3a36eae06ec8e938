// Package topology describes where the machines of a site are: zones, which are grouped into regions.
// It is pure and immutable.
package topology

import (
	"maps"
	"slices"
)

// Distance classifies how far apart two zones are. Greater values are farther.
type Distance int

const (
	// SameZone is the distance within a zone.
	SameZone Distance = iota
	// SameRegion is the distance between two zones of one region.
	SameRegion
	// OtherRegion is the distance between zones of different regions.
	OtherRegion
)

// Distances lists all distances, the nearest first.
func Distances() []Distance { return []Distance{SameZone, SameRegion, OtherRegion} }

// String returns the name used for metric labels.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "same_zone"
	case SameRegion:
		return "same_region"
	}
	return "other_region"
}

// Map assigns zones to regions. All zones that it does not list, and all zones of the zero value, are
// in one region without a name. A Map is safe for concurrent use.
type Map struct {
	regions map[string]string
}

// New returns a map from the region of each zone, by zone.
func New(zoneRegions map[string]string) Map { return Map{regions: maps.Clone(zoneRegions)} }

// Region returns the region of a zone; empty if the zone is not listed.
func (m Map) Region(zone string) string { return m.regions[zone] }

// Regions lists the names of all regions in alphabetical order.
func (m Map) Regions() []string {
	names := make(map[string]struct{})
	for _, region := range m.regions {
		names[region] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}

// HasRegion reports whether a zone of the region is listed.
func (m Map) HasRegion(region string) bool { return slices.Contains(m.Regions(), region) }

// MultiRegion reports whether the site has more than one region.
func (m Map) MultiRegion() bool { return len(m.Regions()) > 1 }

// Distance returns how far apart two zones are. Two zones that are not listed count as one region.
func (m Map) Distance(from, to string) Distance {
	switch {
	case from == to:
		return SameZone
	case m.Region(from) == m.Region(to):
		return SameRegion
	}
	return OtherRegion
}
