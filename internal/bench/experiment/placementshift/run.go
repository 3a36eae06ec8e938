// Package placementshift simulates a shift of demand between two models. It measures how
// fast placement follows and how many moves it makes, compared with placement without
// hysteresis and with a static fleet.
package placementshift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/placement"
)

// Parameters of all trials.
const (
	zones = 3
	// step is the interval at which demand is drawn and a plan is made.
	step = 10 * time.Second
	// serverRate is the capacity of a server in cost units per second.
	serverRate = 1000
	// majorityFraction is the fraction of demand for the first model before the shift
	// and for the second after it.
	majorityFraction = 0.75
	// noiseCorrelation is the autocorrelation of the noise of consecutive steps.
	noiseCorrelation = 0.5
)

// The two models; demand shifts from the first to the second.
const (
	modelBefore = "model-a"
	modelAfter  = "model-b"
	version     = "v1"
)

// Trial holds the parameters of one run.
type Trial struct {
	Servers int
	// Load is the demand as a fraction of the capacity of all servers.
	Load float64
	// Noise is the standard deviation of the logarithm of demand around its mean.
	Noise float64
	// Settle is the time before the shift and Follow the time after it.
	Settle, Follow time.Duration
	// WeightsBytes is the size of a version's weights, StoreRate the rate of the weight
	// store in bytes per second, shared by concurrent loads.
	WeightsBytes, StoreRate float64
	// LoadsAtOnce bounds concurrent loads; twice as many servers may be changing.
	LoadsAtOnce int
}

// Outcome is the result of one run.
type Outcome struct {
	// FollowSeconds is the time from the shift until the second model's servers have
	// capacity for its mean demand, or Trial.Follow if they never do.
	FollowSeconds float64
	// MovesBefore and MovesAfter count changes of a server to the other model.
	MovesBefore, MovesAfter float64
	// UnservedBefore and UnservedAfter are the fractions of demand above capacity.
	UnservedBefore, UnservedAfter float64
}

// engineServer is one simulated engine.
type engineServer struct {
	placement.Server
	// remainingBytes is the part of the weights still to be loaded.
	remainingBytes float64
}

// run is one trial in progress.
type run struct {
	trial   Trial
	planner *placement.Planner
	random  *rand.Rand
	now     time.Duration
	servers []engineServer
	noise   map[string]float64
	moves   int
}

// Simulate runs a trial with a policy; nil never changes the model of a server.
func Simulate(trial Trial, policy *placement.Policy, seed uint64) Outcome {
	r := newRun(trial, policy, seed)
	before := r.phase(trial.Settle, map[string]float64{modelBefore: majorityFraction, modelAfter: 1 - majorityFraction})
	movesBefore := r.moves
	after := r.phase(trial.Follow, map[string]float64{modelBefore: 1 - majorityFraction, modelAfter: majorityFraction})
	return Outcome{
		FollowSeconds: after.followTime.Seconds(),
		MovesBefore:   float64(movesBefore), MovesAfter: float64(r.moves - movesBefore),
		UnservedBefore: before.unserved, UnservedAfter: after.unserved,
	}
}

func newRun(trial Trial, policy *placement.Policy, seed uint64) *run {
	r := &run{trial: trial, random: rand.New(rand.NewPCG(seed, 0)), noise: make(map[string]float64)}
	if policy != nil {
		limited := *policy
		limited.WeightsBytes, limited.WeightStoreRate = trial.WeightsBytes, trial.StoreRate
		limited.LoadsAtOnce, limited.ChangesAtOnce = trial.LoadsAtOnce, 2*trial.LoadsAtOnce
		r.planner = placement.NewPlanner(limited)
	}
	firstOfOther := int(math.Round(majorityFraction * float64(trial.Servers)))
	for index := range trial.Servers {
		model := modelBefore
		if index >= firstOfOther {
			model = modelAfter
		}
		r.servers = append(r.servers, engineServer{Server: placement.Server{
			Name: fmt.Sprintf("engine-%04d", index), Zone: fmt.Sprintf("zone-%d", index%zones),
			AllowedModels: []string{modelBefore, modelAfter}, Slots: 1, Role: placement.RoleMixed, Usable: true,
			Versions:  []placement.VersionName{{Model: model, Version: version}},
			ChangedAt: -time.Hour,
		}})
	}
	return r
}

// phaseResult is the result of one phase.
type phaseResult struct {
	unserved   float64
	followTime time.Duration
}

// phase simulates a period with the given mean fractions of demand by model.
func (r *run) phase(length time.Duration, fractions map[string]float64) phaseResult {
	started := r.now
	result := phaseResult{followTime: length}
	totalDemand, unservedDemand := 0.0, 0.0
	for r.now < started+length {
		demand := r.drawDemand(fractions)
		for model, cost := range demand {
			totalDemand += cost
			unservedDemand += max(0, cost-r.capacity(model))
		}
		if r.capacity(modelAfter) >= fractions[modelAfter]*r.meanDemand() && result.followTime == length {
			result.followTime = r.now - started
		}
		r.planChanges(demand)
		r.now += step
		r.advanceLoads()
	}
	result.unserved = unservedDemand / totalDemand
	return result
}

// meanDemand is the mean demand for both models together.
func (r *run) meanDemand() float64 { return r.trial.Load * serverRate * float64(r.trial.Servers) }

// drawDemand draws the demand of a step: the mean times autocorrelated log-normal noise.
func (r *run) drawDemand(fractions map[string]float64) map[string]float64 {
	demand := make(map[string]float64, len(fractions))
	for _, model := range []string{modelBefore, modelAfter} {
		fresh := r.trial.Noise * math.Sqrt(1-noiseCorrelation*noiseCorrelation) * r.random.NormFloat64()
		r.noise[model] = noiseCorrelation*r.noise[model] + fresh
		demand[model] = fractions[model] * r.meanDemand() * math.Exp(r.noise[model]-r.trial.Noise*r.trial.Noise/2)
	}
	return demand
}

// capacity is the capacity of the servers that hold a model.
func (r *run) capacity(model string) float64 {
	serving := 0
	for index := range r.servers {
		if slices.Contains(r.servers[index].Versions, placement.VersionName{Model: model, Version: version}) {
			serving++
		}
	}
	return float64(serving) * serverRate
}

// planChanges makes a plan and starts its changes.
func (r *run) planChanges(demand map[string]float64) {
	if r.planner == nil {
		return
	}
	view := placement.View{Now: r.now}
	for _, model := range []string{modelBefore, modelAfter} {
		view.Models = append(view.Models, placement.Model{
			Name: model, Demand: demand[model], Versions: []placement.Version{{Name: version, Weight: 1}},
		})
	}
	for index := range r.servers {
		view.Servers = append(view.Servers, r.servers[index].Server)
	}
	for _, change := range r.planner.Plan(view) {
		index := slices.IndexFunc(r.servers, func(server engineServer) bool { return server.Name == change.Server })
		r.startChange(&r.servers[index], change)
	}
}

func (r *run) startChange(server *engineServer, change placement.Change) {
	server.Busy, server.ChangedAt = true, r.now
	for _, order := range change.Orders {
		switch order.Action {
		case placement.ActionUnloadModel:
			server.Versions = nil
		case placement.ActionLoadModel:
			server.LoadingVersions = []placement.VersionName{order.Version}
			server.remainingBytes = r.trial.WeightsBytes
			r.moves++
		}
	}
}

// advanceLoads advances all loads by one step, sharing the store rate equally.
func (r *run) advanceLoads() {
	loading := 0
	for index := range r.servers {
		if len(r.servers[index].LoadingVersions) > 0 {
			loading++
		}
	}
	for index := range r.servers {
		server := &r.servers[index]
		if len(server.LoadingVersions) == 0 {
			continue
		}
		server.remainingBytes -= r.trial.StoreRate * step.Seconds() / float64(loading)
		if server.remainingBytes <= 0 {
			server.Versions, server.LoadingVersions = server.LoadingVersions, nil
			server.Busy = false
		}
	}
}
