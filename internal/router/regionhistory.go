package router

import (
	"context"
	"slices"
	"strings"
	"sync"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/topology"
)

// maxPastRegions bounds the earlier configurations whose regions are remembered.
const maxPastRegions = 4

// regionHistory remembers to which regions configurations have restricted jobs since the start of this process:
// a job that is submitted again may have been stored under an earlier one. It is safe for concurrent use.
type regionHistory struct {
	mutex   sync.Mutex
	current *configuration.Index
	// past holds the latest configurations that restricted jobs in another way than their successor.
	past []*configuration.Index
}

// follow observes the configurations of a watcher until the context ends.
func (h *regionHistory) follow(ctx context.Context, watcher *site.Watcher) {
	for ctx.Err() == nil {
		changed := watcher.Changed()
		h.observe(watcher.Configuration())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// observe notes the configuration in force.
func (h *regionHistory) observe(index *configuration.Index) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	previous := h.current
	if previous == index {
		return
	}
	h.current = index
	if previous == nil || len(previous.RegionSets()) == 0 || restrictions(previous) == restrictions(index) {
		return
	}
	h.past = append(h.past, previous)
	if len(h.past) > maxPastRegions {
		h.past = slices.Delete(h.past, 0, len(h.past)-maxPastRegions)
	}
}

// of returns the allowed regions of the jobs of a tenant at an address, by each configuration that has a route
// for them.
func (h *regionHistory) of(host, path, tenantName string) []topology.RegionSet {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var sets []topology.RegionSet
	for _, index := range append(slices.Clone(h.past), h.current) {
		if index == nil {
			continue
		}
		tenant, _ := index.Tenant(tenantName)
		if route, found := index.Route(host, path); found && route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_BATCH {
			sets = append(sets, index.AllowedRegions(route, tenant))
		}
	}
	return sets
}

// ofTenant returns the allowed regions of all jobs of a tenant, by each configuration.
func (h *regionHistory) ofTenant(tenant string) []topology.RegionSet {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var sets []topology.RegionSet
	for _, index := range append(slices.Clone(h.past), h.current) {
		if index != nil {
			sets = append(sets, batchRegions(index, tenant)...)
		}
	}
	return sets
}

// restrictions encodes how a configuration restricts jobs to regions.
func restrictions(index *configuration.Index) string {
	var encoded strings.Builder
	add := func(parts ...string) {
		for _, part := range parts {
			encoded.WriteString(part)
			encoded.WriteByte(0)
		}
	}
	for _, route := range index.Routes() {
		if route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_BATCH {
			add(route.GetHost(), route.GetPathPrefix(), index.AllowedRegions(route, nil).Key())
		}
	}
	for _, tenant := range index.Tenants() {
		if regions := index.AllowedRegions(nil, tenant); regions.Restricted() {
			add(tenant.GetName(), regions.Key())
		}
	}
	return encoded.String()
}
