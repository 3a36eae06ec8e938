package configuration

import (
	"net"
	"slices"
	"strings"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// routeLookup finds the route of a request by host and longest path prefix. It is
// immutable.
type routeLookup struct {
	list   []*rockwindpb.Route
	byHost map[string]hostRoutes
}

// hostRoutes holds the routes of one host by path prefix, and the distinct lengths
// of the prefixes in descending order.
type hostRoutes struct {
	byPrefix map[string]*rockwindpb.Route
	lengths  []int
}

func newRouteLookup(list []*rockwindpb.Route) *routeLookup {
	result := &routeLookup{list: list, byHost: make(map[string]hostRoutes)}
	for _, route := range list {
		host := strings.ToLower(route.GetHost())
		routes, known := result.byHost[host]
		if !known {
			routes.byPrefix = make(map[string]*rockwindpb.Route)
		}
		routes.byPrefix[route.GetPathPrefix()] = route
		if length := len(route.GetPathPrefix()); !slices.Contains(routes.lengths, length) {
			routes.lengths = append(routes.lengths, length)
		}
		result.byHost[host] = routes
	}
	for host, routes := range result.byHost {
		slices.SortFunc(routes.lengths, func(a, b int) int { return b - a })
		result.byHost[host] = routes
	}
	return result
}

// find returns the route of the host with the longest prefix of the path.
func (l *routeLookup) find(host, path string) (*rockwindpb.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes, known := l.byHost[strings.ToLower(host)]
	if !known {
		return nil, false
	}
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}
		if route, found := routes.byPrefix[path[:length]]; found {
			return route, true
		}
	}
	return nil, false
}

// RouteKindName returns the name of a kind in configuration files, for example
// "safe".
func RouteKindName(kind rockwindpb.RouteKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "ROUTE_KIND_"))
}

// Route returns the route of a request by its Host header and path.
func (x *Index) Route(host, path string) (*rockwindpb.Route, bool) { return x.routes.find(host, path) }

// Routes returns the routes, sorted by name.
func (x *Index) Routes() []*rockwindpb.Route { return x.routes.list }

// ClientLimits returns the limits for clients, or nil if there are none.
func (x *Index) ClientLimits() *rockwindpb.ClientLimits { return x.limits }
