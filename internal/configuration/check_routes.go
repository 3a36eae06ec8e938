package configuration

import (
	"strings"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// routeMatch is what a route matches requests by; no two routes may have the same.
type routeMatch struct {
	host   string
	prefix string
}

func (c *checker) checkRoutes() {
	names := c.newNameChecker("route")
	owners := make(map[routeMatch]string)
	for i, route := range c.configuration.GetRoutes() {
		path := []Step{element("routes", i)}
		names.check(route.GetName(), c.at(path, field("name")))
		c.checkRouteMatch(route, path, owners)
		c.checkSplit(route, path)
		c.checkRouteKindAndTimeout(route, path)
	}
}

func (c *checker) checkRouteMatch(route *rockwindpb.Route, path []Step, owners map[routeMatch]string) {
	name := abbreviate(route.GetName())
	if route.GetHost() == "" {
		c.problems.addf(c.at(path, field("host")), "name the host that the requests are for", "route %q has no host", name)
	}
	prefix := route.GetPathPrefix()
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		c.problems.addf(c.at(path, field("path_prefix")), "write a prefix that begins and ends with a slash, for example /drafts/",
			"the path prefix %q of route %q does not begin and end with a slash", abbreviate(prefix), name)
	}
	match := routeMatch{host: strings.ToLower(route.GetHost()), prefix: prefix}
	if owner, taken := owners[match]; taken {
		c.problems.addf(c.at(path, field("path_prefix")), "give each route a host and prefix of its own",
			"route %q has the same host and prefix as route %q", name, abbreviate(owner))
		return
	}
	owners[match] = route.GetName()
}

// checkSplit reports unknown services, and a split in which no service has a weight.
func (c *checker) checkSplit(route *rockwindpb.Route, path []Step) {
	name := abbreviate(route.GetName())
	total := uint64(0)
	for j, share := range route.GetSplit() {
		below := append(path[:len(path):len(path)], element("split", j))
		if c.services[share.GetService()] == nil {
			c.problems.addf(c.at(below, field("service")), "add the service, or name one that the file has",
				"route %q names service %q, which does not exist", name, abbreviate(share.GetService()))
		}
		if share.GetWeight() > maximumWeight {
			c.problems.addf(c.at(below, field("weight")), "write a weight of at most 1000000", "the weight is %d", share.GetWeight())
		}
		total += uint64(share.GetWeight())
	}
	if total == 0 {
		c.problems.addf(c.at(path, field("split")), "give at least one service a weight above 0",
			"the weights of route %q sum to 0, so that no service would get its requests", name)
	}
}

func (c *checker) checkRouteKindAndTimeout(route *rockwindpb.Route, path []Step) {
	name := abbreviate(route.GetName())
	if _, known := rockwindpb.RouteKind_name[int32(route.GetKind())]; !known || route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_UNSPECIFIED {
		c.problems.addf(c.at(path, field("kind")), "write safe, at_most_once, stream or batch", "route %q has no known kind", name)
	}
	missing := route.TimeoutMs == nil && route.GetKind() != rockwindpb.RouteKind_ROUTE_KIND_BATCH
	if missing || (route.TimeoutMs != nil && route.GetTimeoutMs() == 0) {
		c.problems.addf(c.at(path, field("timeout_ms")), "set the longest time that a request may be held, above 0",
			"the timeout of route %q is 0", name)
	}
}
