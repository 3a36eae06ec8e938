package exchange

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// recordModelUsage adds the demand for models since the gateway's last exchange.
func (g *gateway) recordModelUsage(now time.Time, usages []*rockwindpb.ModelUsage) {
	for _, usage := range usages {
		modelRate, known := g.models[usage.GetModel()]
		if !known {
			modelRate = &rate{}
			g.models[usage.GetModel()] = modelRate
		}
		modelRate.add(now, usage.GetOnlineCost()+usage.GetBatchCost()+usage.GetRefusedCost())
	}
	for name, modelRate := range g.models {
		if modelRate.current(now) < negligibleRate {
			delete(g.models, name)
		}
	}
}

// ModelDemands sums the demand for each model over the live gateways of this
// machine.
func (f *FleetState) ModelDemands(now time.Time) []*rockwindpb.ModelDemand {
	sums := make(map[string]float64)
	for _, gw := range f.gateways {
		if !gw.live(now) {
			continue
		}
		for name, modelRate := range gw.models {
			sums[name] += modelRate.current(now)
		}
	}
	var demands []*rockwindpb.ModelDemand
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		demands = append(demands, &rockwindpb.ModelDemand{Model: name, CostPerSecond: sums[name]})
	}
	return demands
}
