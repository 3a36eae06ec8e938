package placer

import (
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Survey is what the control machines know of the fleet at one moment.
type Survey struct {
	// Index is the configuration in force.
	Index *configuration.Index
	// Digests are the newest of each server.
	Digests []*rockwindpb.ServerDigest
	// Demands are those of the whole fleet; several of one model add up.
	Demands []*rockwindpb.ModelDemand
}

const (
	// freshFor is the age of a digest from which its server is left alone.
	freshFor = 30 * time.Second
	// itemCost is assumed for a waiting batch item, in cost units, and horizon is
	// the time over which waiting items are to be done.
	itemCost = 200
	horizon  = 10 * time.Minute
)

// MergeDigests keeps the newest digest of each server.
func MergeDigests(digests []*rockwindpb.ServerDigest) []*rockwindpb.ServerDigest {
	newest := make(map[string]*rockwindpb.ServerDigest, len(digests))
	var names []string
	for _, digest := range digests {
		held, known := newest[digest.GetName()]
		if !known {
			names = append(names, digest.GetName())
		}
		if !known || digest.GetAgeMs() < held.GetAgeMs() {
			newest[digest.GetName()] = digest
		}
	}
	merged := make([]*rockwindpb.ServerDigest, 0, len(names))
	for _, name := range names {
		merged = append(merged, newest[name])
	}
	return merged
}

// demands adds the demand up by model and by adapter.
func (s *Survey) demands() map[string]float64 {
	sums := make(map[string]float64)
	for _, demand := range s.Demands {
		waiting := float64(demand.GetWaitingItems()) * itemCost / horizon.Seconds()
		sums[demand.GetModel()] += demand.GetCostPerSecond() + waiting
	}
	return sums
}

// models turns the declared models into the planner's form. The demand of an
// adapter is part of its model's.
func (s *Survey) models() []placement.Model {
	demands := s.demands()
	var models []placement.Model
	for _, declared := range s.Index.Models() {
		model := placement.Model{Name: declared.GetName(), Demand: demands[declared.GetName()]}
		for _, version := range declared.GetVersions() {
			model.Versions = append(model.Versions, placement.Version{
				Name: version.GetName(), Weight: version.GetWeight(), WeightsID: version.GetWeightsId(),
			})
		}
		for _, adapter := range declared.GetAdapters() {
			name := placement.AdapterName{Model: declared.GetName(), Adapter: adapter}
			demand := demands[name.String()]
			model.Adapters = append(model.Adapters, placement.Adapter{Name: adapter, Demand: demand})
			model.Demand += demand
		}
		models = append(models, model)
	}
	return models
}

// healthy tells whether a server may be ordered about by what gateways say.
func healthy(digest *rockwindpb.ServerDigest) bool {
	return digest != nil && !digest.GetLeaving() &&
		digest.GetHealth() != rockwindpb.HealthState_HEALTH_STATE_EJECTED &&
		time.Duration(digest.GetAgeMs())*time.Millisecond < freshFor
}

// engines lists the engines of the configuration.
func (s *Survey) engines() []*rockwindpb.BackEnd {
	var engines []*rockwindpb.BackEnd
	for _, backEnd := range s.Index.BackEnds() {
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_ENGINE {
			engines = append(engines, backEnd)
		}
	}
	return engines
}
