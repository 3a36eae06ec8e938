package placementcontroller

import (
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Survey is the state of the fleet as known to the control machines.
type Survey struct {
	// Index is the current configuration.
	Index *configuration.Index
	// Digests are the newest digests of each server.
	Digests []*rockwindpb.ServerDigest
	// Demands are the demands of the whole fleet. Several entries for one model are added up.
	Demands []*rockwindpb.ModelDemand
}

const (
	// digestMaximumAge is the age of a digest from which its server gets no orders.
	digestMaximumAge = 30 * time.Second
	// itemCost is the assumed cost of a waiting batch item, in cost units, and waitingItemHorizon
	// the time within which waiting items are to be processed.
	itemCost           = 200
	waitingItemHorizon = 10 * time.Minute
)

// MergeDigests returns the newest digest of each server.
func MergeDigests(digests []*rockwindpb.ServerDigest) []*rockwindpb.ServerDigest {
	newest := make(map[string]*rockwindpb.ServerDigest, len(digests))
	var names []string
	for _, digest := range digests {
		current, known := newest[digest.GetName()]
		if !known {
			names = append(names, digest.GetName())
		}
		if !known || digest.GetAgeMs() < current.GetAgeMs() {
			newest[digest.GetName()] = digest
		}
	}
	merged := make([]*rockwindpb.ServerDigest, 0, len(names))
	for _, name := range names {
		merged = append(merged, newest[name])
	}
	return merged
}

// demands returns the total demands by the names of models and adapters.
func (s *Survey) demands() map[string]float64 {
	sums := make(map[string]float64)
	for _, demand := range s.Demands {
		waiting := float64(demand.GetWaitingItems()) * itemCost / waitingItemHorizon.Seconds()
		sums[demand.GetModel()] += demand.GetCostPerSecond() + waiting
	}
	return sums
}

// models converts the declared models for the planner. The demand of an adapter is included in its
// model's.
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

// healthy reports whether a server may get orders according to its digest.
func healthy(digest *rockwindpb.ServerDigest) bool {
	return digest != nil && !digest.GetLeaving() &&
		digest.GetHealth() != rockwindpb.HealthState_HEALTH_STATE_EJECTED &&
		time.Duration(digest.GetAgeMs())*time.Millisecond < digestMaximumAge
}

// engines returns the engines of the configuration.
func (s *Survey) engines() []*rockwindpb.BackEnd {
	var engines []*rockwindpb.BackEnd
	for _, backEnd := range s.Index.BackEnds() {
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_ENGINE {
			engines = append(engines, backEnd)
		}
	}
	return engines
}
