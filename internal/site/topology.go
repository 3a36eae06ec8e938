package site

import (
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// Topology returns the zones and regions that the settings list.
func Topology(settings *rockwindpb.SiteSettings) topology.Map {
	regions := make(map[string]string, len(settings.GetZoneRegions()))
	for _, entry := range settings.GetZoneRegions() {
		regions[entry.GetZone()] = entry.GetRegion()
	}
	return topology.New(regions)
}
