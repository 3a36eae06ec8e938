package store

import "rockwind.example/rockwind/internal/topology"

// siteRegions is the topology of the site. It determines which stores may hold a replica of a regional
// shard.
type siteRegions struct{ topology.Map }

// inRegion reports whether a store is in a region. It is not if its region is not known.
func (s *Store) inRegion(name, region string) bool { return region != "" && s.regionOf(name) == region }

// regionOf returns the region of a store, empty if it is not known. Before the directory is known, and
// for stores that it does not list, only the region of this store is known.
func (s *Store) regionOf(name string) string {
	zone := ""
	if name == s.settings.GetName() {
		zone = s.settings.GetZone()
	} else if view := s.watcher.Directory(); view != nil {
		machine, _ := view.Machine(name)
		zone = machine.GetZone()
	}
	return s.regions.Region(zone)
}
