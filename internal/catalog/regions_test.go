package catalog_test

import (
	"context"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// Guards against accepting regions that the settings of the site do not name.
func TestRegionsAreCheckedAgainstTheSite(t *testing.T) {
	for _, each := range []struct {
		zones    topology.Map
		region   string
		accepted bool
	}{
		{topology.Map{}, "", true},
		{topology.Map{}, "north", false},
		{topology.New(map[string]string{"n": "north"}), "north", true},
		{topology.New(map[string]string{"n": "north"}), "south", false},
	} {
		machine := catalog.New()
		service := catalog.NewService(replica.NewInMemoryGroup(machine), machine, time.Now).WithTopology(each.zones)
		tenant := &rockwindpb.Tenant{Name: "one"}
		if each.region != "" {
			tenant.Regions = []string{each.region}
		}
		_, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{
			Configuration: &rockwindpb.Configuration{Number: 1, Tenants: []*rockwindpb.Tenant{tenant}},
		})
		if each.accepted && err != nil || !each.accepted && !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("region %q on a site with %v: %v", each.region, each.zones.Regions(), err)
		}
	}
}
