package exchange

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// tenantTotals is the demand of a tenant summed over gateways.
type tenantTotals struct {
	requests    float64
	tokens      float64
	concurrency float64
	// gateways is the number of gateways at which the tenant is active.
	gateways int
}

// tenantAllowances returns the caller's parts of the limits of the tenants that are
// active there.
func (f *FleetState) tenantAllowances(now time.Time, caller *gateway) []*rockwindpb.TenantAllowance {
	var allowances []*rockwindpb.TenantAllowance
	for _, name := range slices.Sorted(maps.Keys(caller.tenants)) {
		tenant, known := f.index.Tenant(name)
		limits := tenant.GetLimits()
		if !known || unlimited(limits) {
			continue
		}
		rates := caller.tenants[name]
		total := f.tenantTotals(now, name)
		allowances = append(allowances, &rockwindpb.TenantAllowance{
			Tenant:            name,
			RequestsPerSecond: limitPart(limits.GetRequestsPerSecond(), rates.requests.current(now), total.requests, total.gateways),
			TokensPerSecond:   limitPart(limits.GetTokensPerSecond(), rates.tokens.current(now), total.tokens, total.gateways),
			Concurrency:       uint32(limitPart(float64(limits.GetConcurrency()), float64(rates.concurrency), total.concurrency, total.gateways)),
		})
	}
	return allowances
}

func unlimited(limits *rockwindpb.Limits) bool {
	return limits.GetRequestsPerSecond() == 0 && limits.GetConcurrency() == 0 && limits.GetTokensPerSecond() == 0
}

// limitPart returns a gateway's part of a limit. If the total demand is below the
// limit, each gateway gets its demand and an equal part of the rest, otherwise a
// part proportional to its demand. The parts add up to the limit.
func limitPart(limit, demand, total float64, gateways int) float64 {
	gateways = max(gateways, 1)
	total = max(total, demand)
	if total <= limit {
		return demand + (limit-total)/float64(gateways)
	}
	return limit * demand / total
}

// tenantTotals sums a tenant's demand over all gateways of the fleet.
func (f *FleetState) tenantTotals(now time.Time, name string) tenantTotals {
	total := f.localTenantTotals(now, name)
	for _, other := range f.others {
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

// localTenantTotals sums a tenant's demand over the live gateways of this machine.
func (f *FleetState) localTenantTotals(now time.Time, name string) tenantTotals {
	total := tenantTotals{}
	for _, gw := range f.gateways {
		rates, active := gw.tenants[name]
		if !active || !gw.live(now) {
			continue
		}
		total.requests += rates.requests.current(now)
		total.tokens += rates.tokens.current(now)
		total.concurrency += float64(rates.concurrency)
		total.gateways++
	}
	return total
}

// tenantDemands returns the demands of the active tenants for the other machines.
func (f *FleetState) tenantDemands(now time.Time) []*rockwindpb.TenantDemand {
	names := make(map[string]struct{})
	for _, gw := range f.gateways {
		if !gw.live(now) {
			continue
		}
		for name := range gw.tenants {
			names[name] = struct{}{}
		}
	}
	var demands []*rockwindpb.TenantDemand
	for _, name := range slices.Sorted(maps.Keys(names)) {
		total := f.localTenantTotals(now, name)
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
