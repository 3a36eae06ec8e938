package store

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// Guards against leadership transfers between regions on a site with one region, and against leaders that
// stay where they are on a site with several.
func TestLeadersPreferARegionOnlyWhereThereAreSeveral(t *testing.T) {
	for name, test := range map[string]struct {
		regions map[string]string
		want    bool
	}{
		"no regions":  {nil, false},
		"one region":  {map[string]string{"a": "north", "b": "north"}, false},
		"two regions": {map[string]string{"a": "north", "b": "south"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := &rockwindpb.SiteSettings{Name: "store-1", Zone: "a"}
			for zone, region := range test.regions {
				settings.ZoneRegions = append(settings.ZoneRegions, &rockwindpb.ZoneRegion{Zone: zone, Region: region})
			}
			s := &Store{settings: settings, regions: siteRegions{site.Topology(settings)}}
			options := s.hostOptions()
			if set := options.RegionOf != nil; set != test.want {
				t.Fatalf("the option is set: %v, want %v", set, test.want)
			}
			if test.want && options.RegionOf("store-1") != "north" {
				t.Errorf("the own region is %q", options.RegionOf("store-1"))
			}
		})
	}
}
