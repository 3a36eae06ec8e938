package exchange

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharing"
)

// rateWindow is the time constant of the moving averages.
const rateWindow = 2 * Period

// rate is an exponentially weighted moving average of an amount per second.
type rate struct {
	value   float64
	updated time.Time
}

// add records the amount used since the last call.
func (r *rate) add(now time.Time, amount float64) {
	if r.updated.IsZero() {
		r.updated = now
		r.value = amount / Period.Seconds()
		return
	}
	elapsed := now.Sub(r.updated).Seconds()
	if elapsed <= 0 {
		r.value += amount / rateWindow.Seconds()
		return
	}
	decay := math.Exp(-elapsed / rateWindow.Seconds())
	r.value = r.value*decay + amount/elapsed*(1-decay)
	r.updated = now
}

// current returns the rate, which decays if no amount is added for longer than a
// period.
func (r *rate) current(now time.Time) float64 {
	elapsed := max(now.Sub(r.updated)-Period, 0).Seconds()
	return r.value * math.Exp(-elapsed/rateWindow.Seconds())
}

// groupRate is the usage of a group through one gateway.
type groupRate struct {
	online rate
	batch  rate
	demand float64
}

// tenantRate is the usage of a tenant through one gateway.
type tenantRate struct {
	requests    rate
	tokens      rate
	concurrency uint32
}

// recordUsage adds the usage since the gateway's last exchange. A group or tenant
// that the report leaves out has no demand.
func (f *FleetState) recordUsage(now time.Time, caller *gateway, request *rockwindpb.ExchangeRequest) {
	for _, rates := range caller.groups {
		rates.demand = 0
	}
	for _, usage := range request.GetGroups() {
		rates, known := caller.groups[usage.GetGroup()]
		if !known {
			rates = &groupRate{}
			caller.groups[usage.GetGroup()] = rates
		}
		rates.online.add(now, usage.GetOnlineCost())
		rates.batch.add(now, usage.GetBatchCost())
		rates.demand = usage.GetDemand()
	}
	for _, rates := range caller.tenants {
		rates.concurrency = 0
	}
	for _, usage := range request.GetTenants() {
		rates, known := caller.tenants[usage.GetTenant()]
		if !known {
			rates = &tenantRate{}
			caller.tenants[usage.GetTenant()] = rates
		}
		rates.requests.add(now, usage.GetRequests())
		rates.tokens.add(now, usage.GetTokens())
		rates.concurrency = usage.GetConcurrency()
	}
	caller.removeIdle(now)
}

// negligibleRate is the rate below which an entry is removed.
const negligibleRate = 1e-3

func (g *gateway) removeIdle(now time.Time) {
	for name, rates := range g.tenants {
		if rates.concurrency == 0 && rates.requests.current(now) < negligibleRate && rates.tokens.current(now) < negligibleRate {
			delete(g.tenants, name)
		}
	}
	for name, rates := range g.groups {
		if rates.demand == 0 && rates.online.current(now) < negligibleRate && rates.batch.current(now) < negligibleRate {
			delete(g.groups, name)
		}
	}
}

// groupRates sums the usage of groups over the live gateways of this machine.
func (f *FleetState) groupRates(now time.Time) map[string]*rockwindpb.GroupRate {
	sums := make(map[string]*rockwindpb.GroupRate)
	for _, gw := range f.gateways {
		if !gw.live(now) {
			continue
		}
		for name, rates := range gw.groups {
			sum, found := sums[name]
			if !found {
				sum = &rockwindpb.GroupRate{Group: name}
				sums[name] = sum
			}
			sum.OnlineCostPerSecond += rates.online.current(now)
			sum.BatchCostPerSecond += rates.batch.current(now)
			sum.Demand += rates.demand
		}
	}
	return sums
}

// updateGroupAllowances computes each group's part of the batch capacity from the
// usage of the whole fleet since the last call.
func (f *FleetState) updateGroupAllowances(now time.Time) {
	period := now.Sub(f.allowancesUpdated)
	if f.allowancesUpdated.IsZero() {
		period = Period
	}
	f.allowancesUpdated = now
	sums := f.groupRates(now)
	for _, other := range f.others {
		for _, groupRate := range other.groups {
			sum, found := sums[groupRate.GetGroup()]
			if !found {
				sum = &rockwindpb.GroupRate{}
				sums[groupRate.GetGroup()] = sum
			}
			sum.OnlineCostPerSecond += groupRate.GetOnlineCostPerSecond()
			sum.BatchCostPerSecond += groupRate.GetBatchCostPerSecond()
			sum.Demand += groupRate.GetDemand()
		}
	}
	var uses []sharing.GroupUse
	for _, group := range f.index.Groups() {
		sum := sums[group.GetName()]
		uses = append(uses, sharing.GroupUse{
			Group:      group.GetName(),
			Share:      group.GetShare(),
			OnlineCost: sum.GetOnlineCostPerSecond() * period.Seconds(),
			BatchCost:  sum.GetBatchCostPerSecond() * period.Seconds(),
			Demand:     sum.GetDemand(),
		})
	}
	f.allowances = nil
	for _, allowance := range f.account.Allowances(uses, period) {
		f.allowances = append(f.allowances, &rockwindpb.GroupAllowance{Group: allowance.Group, BatchPart: allowance.BatchFraction})
	}
}
