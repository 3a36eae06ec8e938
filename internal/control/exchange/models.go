package exchange

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// countModels takes what was asked of models since the gateway's last exchange.
// What the report leaves out was not asked for.
func (g *gateway) countModels(now time.Time, usages []*rockwindpb.ModelUsage) {
	for _, usage := range usages {
		held, known := g.models[usage.GetModel()]
		if !known {
			held = &rate{}
			g.models[usage.GetModel()] = held
		}
		held.add(now, usage.GetOnlineCost()+usage.GetBatchCost()+usage.GetRefusedCost())
	}
	for name, held := range g.models {
		if held.current(now) < negligible {
			delete(g.models, name)
		}
	}
}

// ModelDemands sums what is asked of models through the live gateways of this
// machine.
func (b *FleetState) ModelDemands(now time.Time) []*rockwindpb.ModelDemand {
	sums := make(map[string]float64)
	for _, known := range b.gateways {
		if !known.live(now) {
			continue
		}
		for name, held := range known.models {
			sums[name] += held.current(now)
		}
	}
	var demands []*rockwindpb.ModelDemand
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		demands = append(demands, &rockwindpb.ModelDemand{Model: name, CostPerSecond: sums[name]})
	}
	return demands
}
