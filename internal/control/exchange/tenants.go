package exchange

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// tenantTotal is the demand for a tenant's limits over the whole fleet.
type tenantTotal struct {
	requests    float64
	tokens      float64
	concurrency float64
	// gateways counts those at which the tenant is active.
	gateways int
}

// tenantAllowances divides the limits of the tenants that are active at the
// caller.
func (b *FleetState) tenantAllowances(now time.Time, caller *gateway) []*rockwindpb.TenantAllowance {
	var allowances []*rockwindpb.TenantAllowance
	for _, name := range slices.Sorted(maps.Keys(caller.tenants)) {
		tenant, known := b.index.Tenant(name)
		limits := tenant.GetLimits()
		if !known || unlimited(limits) {
			continue
		}
		held := caller.tenants[name]
		total := b.tenantTotal(now, name)
		allowances = append(allowances, &rockwindpb.TenantAllowance{
			Tenant:            name,
			RequestsPerSecond: part(limits.GetRequestsPerSecond(), held.requests.current(now), total.requests, total.gateways),
			TokensPerSecond:   part(limits.GetTokensPerSecond(), held.tokens.current(now), total.tokens, total.gateways),
			Concurrency:       uint32(part(float64(limits.GetConcurrency()), float64(held.concurrency), total.concurrency, total.gateways)),
		})
	}
	return allowances
}

func unlimited(limits *rockwindpb.Limits) bool {
	return limits.GetRequestsPerSecond() == 0 && limits.GetConcurrency() == 0 && limits.GetTokensPerSecond() == 0
}

// part divides a limit over the gateways. While the demand is below the limit
// each gets its demand and an equal part of what is left; above it each gets a
// part in proportion to its demand. The parts sum to the limit.
func part(limit, demand, total float64, gateways int) float64 {
	gateways = max(gateways, 1)
	total = max(total, demand)
	if total <= limit {
		return demand + (limit-total)/float64(gateways)
	}
	return limit * demand / total
}

// tenantTotal sums a tenant's demand over this machine's gateways and those of
// the others.
func (b *FleetState) tenantTotal(now time.Time, name string) tenantTotal {
	total := b.ownTenantTotal(now, name)
	for _, other := range b.others {
		demand, found := other.tenants[name]
		if !found {
			continue
		}
		total.requests += demand.GetRequestsPerSecond()
		total.tokens += demand.GetTokensPerSecond()
		total.concurrency += float64(demand.GetConcurrency())
		total.gateways += int(demand.GetGateways())
	}
	return total
}

func (b *FleetState) ownTenantTotal(now time.Time, name string) tenantTotal {
	total := tenantTotal{}
	for _, known := range b.gateways {
		held, active := known.tenants[name]
		if !active || !known.live(now) {
			continue
		}
		total.requests += held.requests.current(now)
		total.tokens += held.tokens.current(now)
		total.concurrency += float64(held.concurrency)
		total.gateways++
	}
	return total
}

// tenantDemands describes the active tenants of this machine's gateways.
func (b *FleetState) tenantDemands(now time.Time) []*rockwindpb.TenantDemand {
	names := make(map[string]struct{})
	for _, known := range b.gateways {
		if !known.live(now) {
			continue
		}
		for name := range known.tenants {
			names[name] = struct{}{}
		}
	}
	var demands []*rockwindpb.TenantDemand
	for _, name := range slices.Sorted(maps.Keys(names)) {
		total := b.ownTenantTotal(now, name)
		demands = append(demands, &rockwindpb.TenantDemand{
			Tenant:            name,
			RequestsPerSecond: total.requests,
			TokensPerSecond:   total.tokens,
			Concurrency:       uint32(total.concurrency),
			Gateways:          uint32(total.gateways),
		})
	}
	return demands
}
