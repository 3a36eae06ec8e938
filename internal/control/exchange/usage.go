package exchange

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharing"
)

// rateWindow is the time constant over which use is averaged.
const rateWindow = 2 * Period

// rate is an exponentially weighted average, per second.
type rate struct {
	value float64
	at    time.Time
}

// add counts an amount used since the last call.
func (r *rate) add(now time.Time, amount float64) {
	if r.at.IsZero() {
		r.at = now
		r.value = amount / Period.Seconds()
		return
	}
	elapsed := now.Sub(r.at).Seconds()
	if elapsed <= 0 {
		r.value += amount / rateWindow.Seconds()
		return
	}
	kept := math.Exp(-elapsed / rateWindow.Seconds())
	r.value = r.value*kept + amount/elapsed*(1-kept)
	r.at = now
}

// current returns the rate, faded since it was last counted.
func (r *rate) current(now time.Time) float64 {
	elapsed := max(now.Sub(r.at)-Period, 0).Seconds()
	return r.value * math.Exp(-elapsed/rateWindow.Seconds())
}

// groupRate is the service that a group gets through one gateway.
type groupRate struct {
	online rate
	batch  rate
	demand float64
}

// tenantRate is the use of a tenant through one gateway.
type tenantRate struct {
	requests    rate
	tokens      rate
	concurrency uint32
}

// countUsage takes the use since the gateway's last exchange. What the report
// leaves out was not used.
func (b *FleetState) countUsage(now time.Time, caller *gateway, request *rockwindpb.ExchangeRequest) {
	for _, held := range caller.groups {
		held.demand = 0
	}
	for _, usage := range request.GetGroups() {
		held, known := caller.groups[usage.GetGroup()]
		if !known {
			held = &groupRate{}
			caller.groups[usage.GetGroup()] = held
		}
		held.online.add(now, usage.GetOnlineCost())
		held.batch.add(now, usage.GetBatchCost())
		held.demand = usage.GetDemand()
	}
	for _, held := range caller.tenants {
		held.concurrency = 0
	}
	for _, usage := range request.GetTenants() {
		held, known := caller.tenants[usage.GetTenant()]
		if !known {
			held = &tenantRate{}
			caller.tenants[usage.GetTenant()] = held
		}
		held.requests.add(now, usage.GetRequests())
		held.tokens.add(now, usage.GetTokens())
		held.concurrency = usage.GetConcurrency()
	}
	caller.forgetIdle(now)
}

// negligible is a rate that counts as none.
const negligible = 1e-3

func (g *gateway) forgetIdle(now time.Time) {
	for name, held := range g.tenants {
		if held.concurrency == 0 && held.requests.current(now) < negligible && held.tokens.current(now) < negligible {
			delete(g.tenants, name)
		}
	}
	for name, held := range g.groups {
		if held.demand == 0 && held.online.current(now) < negligible && held.batch.current(now) < negligible {
			delete(g.groups, name)
		}
	}
}

// groupRates sums the use of groups over the live gateways of this machine.
func (b *FleetState) groupRates(now time.Time) map[string]*rockwindpb.GroupRate {
	sums := make(map[string]*rockwindpb.GroupRate)
	for _, known := range b.gateways {
		if !known.live(now) {
			continue
		}
		for name, held := range known.groups {
			sum, found := sums[name]
			if !found {
				sum = &rockwindpb.GroupRate{Group: name}
				sums[name] = sum
			}
			sum.OnlineCostPerSecond += held.online.current(now)
			sum.BatchCostPerSecond += held.batch.current(now)
			sum.Demand += held.demand
		}
	}
	return sums
}

// settleGroups computes what each group may use of the batch capacity, from the
// use over the whole fleet since the last call.
func (b *FleetState) settleGroups(now time.Time) {
	period := now.Sub(b.settled)
	if b.settled.IsZero() {
		period = Period
	}
	b.settled = now
	sums := b.groupRates(now)
	for _, other := range b.others {
		for _, part := range other.groups {
			sum, found := sums[part.GetGroup()]
			if !found {
				sum = &rockwindpb.GroupRate{}
				sums[part.GetGroup()] = sum
			}
			sum.OnlineCostPerSecond += part.GetOnlineCostPerSecond()
			sum.BatchCostPerSecond += part.GetBatchCostPerSecond()
			sum.Demand += part.GetDemand()
		}
	}
	var uses []sharing.GroupUse
	for _, group := range b.index.Groups() {
		sum := sums[group.GetName()]
		uses = append(uses, sharing.GroupUse{
			Group:      group.GetName(),
			Share:      group.GetShare(),
			OnlineCost: sum.GetOnlineCostPerSecond() * period.Seconds(),
			BatchCost:  sum.GetBatchCostPerSecond() * period.Seconds(),
			Demand:     sum.GetDemand(),
		})
	}
	b.allowances = nil
	for _, allowance := range b.account.Allowances(uses, period) {
		b.allowances = append(b.allowances, &rockwindpb.GroupAllowance{Group: allowance.Group, BatchPart: allowance.BatchFraction})
	}
}
