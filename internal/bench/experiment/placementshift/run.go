// Package placementshift measures in virtual time how placement follows a
// shift of demand between two models, and how many moves it makes, against
// placement without hysteresis and against none.
package placementshift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/placement"
)

// Shape of the trial.
const (
	zones = 3
	// step is the time between two plans, and between two draws of demand.
	step = 10 * time.Second
	// serverRate is what a server serves, in cost units a second.
	serverRate = 1000
	// majority is the part of the demand that one model has before the shift and
	// the other after it.
	majority = 0.75
	// noiseMemory is how much of the noise of a step stays in the next.
	noiseMemory = 0.5
)

// The two models; demand moves from the first to the second.
const (
	modelBefore = "model-a"
	modelAfter  = "model-b"
	version     = "v1"
)

// Trial is the size of one run.
type Trial struct {
	Servers int
	// Load is the demand as a part of what all servers serve.
	Load float64
	// Noise is the standard deviation of the logarithm of demand around its mean.
	Noise float64
	// Settle is the time before the shift and Follow the time after it.
	Settle, Follow time.Duration
	// WeightsBytes and StoreRate give the time that the weight store needs for a
	// version; loads at the same time share the rate.
	WeightsBytes, StoreRate float64
	// LoadsAtOnce bounds the servers that load at a time; twice as many may have a
	// change under way.
	LoadsAtOnce int
}

// Outcome is what one run gave.
type Outcome struct {
	// FollowSeconds is the time from the shift until the second model's servers
	// carry its mean demand; the whole time after the shift where they never do.
	FollowSeconds float64
	// MovesBefore and MovesAfter count servers that changed their model.
	MovesBefore, MovesAfter float64
	// UnservedBefore and UnservedAfter are the parts of the demand that found no
	// server.
	UnservedBefore, UnservedAfter float64
}

// engineServer is one simulated engine.
type engineServer struct {
	placement.Server
	// left is what the weight store has still to deliver, in bytes.
	left float64
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

// Simulate runs a trial with a policy; nil never moves a server.
func Simulate(trial Trial, policy *placement.Policy, seed uint64) Outcome {
	r := newRun(trial, policy, seed)
	before := r.phase(trial.Settle, map[string]float64{modelBefore: majority, modelAfter: 1 - majority})
	moved := r.moves
	after := r.phase(trial.Follow, map[string]float64{modelBefore: 1 - majority, modelAfter: majority})
	return Outcome{
		FollowSeconds: after.carried.Seconds(),
		MovesBefore:   float64(moved), MovesAfter: float64(r.moves - moved),
		UnservedBefore: before.unserved, UnservedAfter: after.unserved,
	}
}

func newRun(trial Trial, policy *placement.Policy, seed uint64) *run {
	r := &run{trial: trial, random: rand.New(rand.NewPCG(seed, 0)), noise: make(map[string]float64)}
	if policy != nil {
		bounded := *policy
		bounded.WeightsBytes, bounded.WeightStoreRate = trial.WeightsBytes, trial.StoreRate
		bounded.LoadsAtOnce, bounded.ChangesAtOnce = trial.LoadsAtOnce, 2*trial.LoadsAtOnce
		r.planner = placement.NewPlanner(bounded)
	}
	first := int(math.Round(majority * float64(trial.Servers)))
	for index := range trial.Servers {
		held := modelBefore
		if index >= first {
			held = modelAfter
		}
		r.servers = append(r.servers, engineServer{Server: placement.Server{
			Name: fmt.Sprintf("engine-%04d", index), Zone: fmt.Sprintf("zone-%d", index%zones),
			AllowedModels: []string{modelBefore, modelAfter}, Slots: 1, Role: placement.RoleMixed, Usable: true,
			Versions:  []placement.VersionName{{Model: held, Version: version}},
			ChangedAt: -time.Hour,
		}})
	}
	return r
}

// phaseFigures is what a phase gave.
type phaseFigures struct {
	unserved float64
	carried  time.Duration
}

// phase lets time pass under demand with the given mean parts.
func (r *run) phase(length time.Duration, parts map[string]float64) phaseFigures {
	begin := r.now
	figures := phaseFigures{carried: length}
	asked, lost := 0.0, 0.0
	for r.now < begin+length {
		demand := r.draw(parts)
		for model, cost := range demand {
			asked += cost
			lost += max(0, cost-r.capacity(model))
		}
		if r.capacity(modelAfter) >= parts[modelAfter]*r.total() && figures.carried == length {
			figures.carried = r.now - begin
		}
		r.plan(demand)
		r.now += step
		r.deliver()
	}
	figures.unserved = lost / asked
	return figures
}

// total is the mean demand of both models.
func (r *run) total() float64 { return r.trial.Load * serverRate * float64(r.trial.Servers) }

// draw gives the demand of a step: the mean times noise that lasts a few steps.
func (r *run) draw(parts map[string]float64) map[string]float64 {
	demand := make(map[string]float64, len(parts))
	for _, model := range []string{modelBefore, modelAfter} {
		fresh := r.trial.Noise * math.Sqrt(1-noiseMemory*noiseMemory) * r.random.NormFloat64()
		r.noise[model] = noiseMemory*r.noise[model] + fresh
		demand[model] = parts[model] * r.total() * math.Exp(r.noise[model]-r.trial.Noise*r.trial.Noise/2)
	}
	return demand
}

// capacity is what the servers that hold a model serve.
func (r *run) capacity(model string) float64 {
	serving := 0
	for index := range r.servers {
		if slices.Contains(r.servers[index].Versions, placement.VersionName{Model: model, Version: version}) {
			serving++
		}
	}
	return float64(serving) * serverRate
}

// plan makes a plan and orders it.
func (r *run) plan(demand map[string]float64) {
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
		r.order(&r.servers[index], change)
	}
}

func (r *run) order(server *engineServer, change placement.Change) {
	server.Busy, server.ChangedAt = true, r.now
	for _, order := range change.Orders {
		switch order.Action {
		case placement.ActionUnloadModel:
			server.Versions = nil
		case placement.ActionLoadModel:
			server.LoadingVersions = []placement.VersionName{order.Version}
			server.left = r.trial.WeightsBytes
			r.moves++
		}
	}
}

// deliver lets the weight store deliver for a step, to all loads alike.
func (r *run) deliver() {
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
		server.left -= r.trial.StoreRate * step.Seconds() / float64(loading)
		if server.left <= 0 {
			server.Versions, server.LoadingVersions = server.LoadingVersions, nil
			server.Busy = false
		}
	}
}
