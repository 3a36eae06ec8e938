package configuration

import (
	"maps"
	"slices"
	"strings"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// CheckRegions returns the problems of the regions that a configuration names, on a site with the
// given topology. If the settings name no regions, or on a fleet, the configuration must not name any.
func CheckRegions(configuration *rockwindpb.Configuration, zones topology.Map) []Problem {
	problems := newProblemList("")
	existing := zones.Regions()
	check := func(owner string, regions []string) {
		for _, region := range regions {
			switch {
			case len(existing) == 0:
				problems.addf(Position{}, "list the region of each zone as 'zone_regions' in the settings of all machines, or name no regions",
					"%s names region %q, but the settings name no regions", owner, abbreviate(region))
			case !zones.HasRegion(region):
				problems.addf(Position{}, "name regions of the settings: "+strings.Join(existing, ", "),
					"%s names region %q, which does not exist", owner, abbreviate(region))
			}
		}
	}
	for _, tenant := range configuration.GetTenants() {
		check("tenant "+abbreviate(tenant.GetName()), tenant.GetRegions())
	}
	for _, route := range configuration.GetRoutes() {
		check("route "+abbreviate(route.GetName()), route.GetRegions())
	}
	return problems.result()
}

// checkCommonRegions reports pairs of a route and a tenant without a common region, whose requests
// would all be refused. Public routes are left out, since their requests need no tenant.
func (c *checker) checkCommonRegions() {
	for i, route := range c.configuration.GetRoutes() {
		if route.GetPublic() || len(route.GetRegions()) == 0 {
			continue
		}
		for _, tenant := range c.configuration.GetTenants() {
			if allowedRegions(route, tenant).Empty() {
				c.problems.addf(c.at([]Step{element("routes", i)}, field("regions")), "give the route and the tenant a region in common",
					"route %q and tenant %q have no region in common", abbreviate(route.GetName()), abbreviate(tenant.GetName()))
			}
		}
	}
}

// allowedRegions returns the regions that both a route and a tenant allow.
func allowedRegions(route *rockwindpb.Route, tenant *rockwindpb.Tenant) topology.RegionSet {
	return topology.NewRegionSet(route.GetRegions()).Intersect(topology.NewRegionSet(tenant.GetRegions()))
}

// AllowedRegions returns the regions in which requests of a tenant on a route may be served, cached
// and stored. Either may be nil. The set is empty, not unrestricted, if they have no region in
// common, which is possible on public routes.
func (x *Index) AllowedRegions(route *rockwindpb.Route, tenant *rockwindpb.Tenant) topology.RegionSet {
	return allowedRegions(route, tenant)
}

// RegionSets returns the sets of regions to which the configuration may restrict requests, each once and
// in a fixed order.
func (x *Index) RegionSets() []topology.RegionSet {
	byKey := make(map[string]topology.RegionSet)
	add := func(regions topology.RegionSet) {
		if regions.Restricted() && !regions.Empty() {
			byKey[regions.Key()] = regions
		}
	}
	for _, tenant := range x.Tenants() {
		add(allowedRegions(nil, tenant))
	}
	for _, route := range x.Routes() {
		add(allowedRegions(route, nil))
		if len(route.GetRegions()) == 0 {
			continue
		}
		for _, tenant := range x.Tenants() {
			add(allowedRegions(route, tenant))
		}
	}
	var sets []topology.RegionSet
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		sets = append(sets, byKey[key])
	}
	return sets
}
