package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTick is the interval between two plans.
const testTick = 10 * time.Second

// fleet simulates the servers that carry out plans.
type fleet struct {
	t       *rapid.T
	policy  Policy
	planner *Planner
	now     time.Duration
	servers []*fleetServer
	models  []Model
	// loadTime is how long a version takes to load.
	loadTime time.Duration
	loadedAt []time.Duration
	changes  []Change
}

type fleetServer struct {
	Server
	doneAt time.Duration
}

func (f *fleet) view() View {
	view := View{Now: f.now, Models: f.models}
	for _, server := range f.servers {
		view.Servers = append(view.Servers, server.Server)
	}
	return view
}

// step advances time by a tick, completes loads that are due, makes a plan, checks it and carries
// it out.
func (f *fleet) step() []Change {
	f.now += testTick
	for _, server := range f.servers {
		if server.Busy && f.now >= server.doneAt {
			server.Versions = append(server.Versions, server.LoadingVersions...)
			server.Adapters = append(server.Adapters, server.LoadingAdapters...)
			server.LoadingVersions, server.LoadingAdapters = nil, nil
			server.Busy = false
		}
	}
	changes := f.planner.Plan(f.view())
	seen := make(map[string]bool)
	for _, change := range changes {
		server := f.server(change.Server)
		if seen[change.Server] || server.Busy || !server.Usable || len(change.Orders) == 0 {
			f.t.Fatalf("change %+v for a server that can't be changed: %+v", change, server)
		}
		seen[change.Server] = true
	}
	for _, change := range changes {
		f.execute(change)
	}
	f.changes = append(f.changes, changes...)
	f.checkBounds()
	return changes
}

func (f *fleet) server(name string) *fleetServer {
	index := slices.IndexFunc(f.servers, func(server *fleetServer) bool { return server.Name == name })
	return f.servers[index]
}

func (f *fleet) execute(change Change) {
	server := f.server(change.Server)
	server.Busy, server.ChangedAt, server.doneAt = true, f.now, f.now+testTick
	for _, order := range change.Orders {
		server.apply(order)
		if order.Action == ActionLoadModel {
			server.doneAt = f.now + f.loadTime
			f.loadedAt = append(f.loadedAt, f.now)
			if !server.mayHold(order.Version.Model) {
				f.t.Fatalf("%s is not allowed to hold %s", server.Name, order.Version)
			}
		}
	}
	if len(server.Versions)+len(server.LoadingVersions) > server.Slots {
		f.t.Fatalf("%s holds more than its %d slots: %+v", server.Name, server.Slots, server)
	}
}

// checkBounds checks the limits on concurrent changes and loads and on the rate of the weight
// store.
func (f *fleet) checkBounds() {
	busy, loading := 0, 0
	for _, server := range f.servers {
		if server.Busy {
			busy++
		}
		if len(server.LoadingVersions)+len(server.LoadingAdapters) > 0 {
			loading++
		}
	}
	if busy > f.policy.ChangesAtOnce || loading > f.policy.LoadsAtOnce {
		f.t.Fatalf("%d changes and %d loads at once", busy, loading)
	}
	// In any time span the store can deliver the ordered loads, except for one load and the amount
	// that may be ordered ahead.
	delivery := time.Duration(f.policy.WeightsBytes / f.policy.WeightStoreRate * float64(time.Second))
	last := len(f.loadedAt) - 1
	for first := range f.loadedAt {
		span := f.loadedAt[last] - f.loadedAt[first]
		if time.Duration(last-first)*delivery > span+f.policy.LoadAhead {
			f.t.Fatalf("loads at %v exceed the rate of the weight store", f.loadedAt)
		}
	}
}

// countServing counts the servers and zones that serve a model, independently of the planner.
func (f *fleet) countServing(model Model) (servers, zones int) {
	found := make(map[string]bool)
	for _, server := range f.servers {
		for _, version := range model.Versions {
			held := slices.Contains(server.Versions, VersionName{Model: model.Name, Version: version.Name})
			if held && version.Weight > 0 && server.Usable {
				servers++
				found[server.Zone] = true
				break
			}
		}
	}
	return servers, len(found)
}

// newFleet draws a fleet of two to four models over three zones. Its servers may hold any model,
// and the models are spread evenly at first.
func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, policy: DefaultPolicy(), loadTime: time.Duration(rapid.IntRange(6, 40).Draw(t, "load seconds")) * time.Second}
	f.policy.WeightStoreRate = 1e9
	f.policy.WeightsBytes = float64(rapid.IntRange(1, 20).Draw(t, "weights")) * 1e9
	f.planner = NewPlanner(f.policy)
	count := rapid.IntRange(2, 4).Draw(t, "models")
	names := make([]string, count)
	for index := range count {
		names[index] = fmt.Sprintf("model-%d", index)
		f.models = append(f.models, Model{
			Name: names[index], Versions: []Version{{Name: "v1", Weight: 1}},
			Demand: float64(rapid.IntRange(200, 20_000).Draw(t, "demand")),
		})
	}
	slots := rapid.IntRange(1, 2).Draw(t, "slots")
	perModel := rapid.IntRange(3, 5).Draw(t, "servers of a model")
	for index := range count * perModel {
		f.servers = append(f.servers, &fleetServer{Server: Server{
			Name: fmt.Sprintf("server-%02d", index), Zone: fmt.Sprintf("zone-%d", index/count%3),
			AllowedModels: names, Slots: slots, Role: RoleMixed, Usable: true,
			Versions:  []VersionName{{Model: names[index%count], Version: "v1"}},
			ChangedAt: -time.Hour,
		}})
	}
	return f
}

// addNoise redraws each demand around its mean, within a fraction of it.
func (f *fleet) addNoise(meanDemand []float64, fraction float64, random *rand.Rand) {
	for index := range f.models {
		f.models[index].Demand = meanDemand[index] * (1 + fraction*(2*random.Float64()-1))
	}
}

func (f *fleet) meanDemand() []float64 {
	var meanDemand []float64
	for _, model := range f.models {
		meanDemand = append(meanDemand, model.Demand)
	}
	return meanDemand
}

// TestNoisyDemandDoesNotFlap checks that demand which varies by a seventh around its mean does not
// move models back and forth once placement has settled.
func TestNoisyDemandDoesNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		meanDemand := f.meanDemand()
		for range 150 {
			f.step()
		}
		settled := len(f.changes)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 0))
		for range 100 {
			f.addNoise(meanDemand, 1.0/7, random)
			f.step()
		}
		// Noise may complete a move that was just below the margin: a model may gain or lose
		// servers, but not both.
		gains := make(map[string]int)
		losses := make(map[string]int)
		for _, change := range f.changes[settled:] {
			for _, order := range change.Orders {
				switch order.Action {
				case ActionLoadModel:
					gains[order.Version.Model]++
				case ActionUnloadModel:
					losses[order.Version.Model]++
				}
			}
		}
		for model := range gains {
			if losses[model] > 0 {
				t.Fatalf("%s gained %d servers and lost %d due to noise", model, gains[model], losses[model])
			}
		}
	})
}

// TestSettledPlanIsEmpty checks that plans become empty under constant demand.
func TestSettledPlanIsEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 150 {
			f.step()
		}
		for range 25 {
			if changes := f.step(); len(changes) > 0 {
				t.Fatalf("the plan is not empty: %+v", changes)
			}
		}
	})
}

// TestFloorsHoldWhileDemandAndVersionsChange checks that changes of demand, versions and weights
// never leave a model with fewer than two serving servers in two zones.
func TestFloorsHoldWhileDemandAndVersionsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 4).Draw(t, "acts") {
			model := &f.models[rapid.IntRange(0, len(f.models)-1).Draw(t, "model")]
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				model.Demand = float64(rapid.IntRange(0, 100_000).Draw(t, "demand"))
			case 1:
				model.Versions = []Version{{Name: "v1", Weight: 3}, {Name: "v2", Weight: uint32(rapid.IntRange(1, 9).Draw(t, "weight"))}}
			case 2:
				// An operator ends a version once the other one is served in two zones.
				next := Model{Name: model.Name, Versions: []Version{{Name: "v2", Weight: 1}}}
				if servers, zones := f.countServing(next); servers >= 2 && zones >= 2 {
					model.Versions = []Version{{Name: "v2", Weight: 1}}
				}
			}
			before := make([]int, len(f.models))
			for index, model := range f.models {
				before[index], _ = f.countServing(model)
			}
			for range 60 {
				f.step()
				for index, model := range f.models {
					servers, zones := f.countServing(model)
					if before[index] >= 2 && (servers < 2 || zones < 2) {
						t.Fatalf("%s has %d servers in %d zones after %+v", model.Name, servers, zones, f.changes)
					}
					before[index] = servers
				}
			}
		}
	})
}

// TestDemandIsFollowed checks that a model with nearly all of the demand gets all servers except
// the minimum of the other models.
func TestDemandIsFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for index := range f.models {
			f.models[index].Demand = 1
		}
		busy := rapid.IntRange(0, len(f.models)-1).Draw(t, "busy")
		f.models[busy].Demand = 1e6
		for range 300 {
			f.step()
		}
		servers, _ := f.countServing(f.models[busy])
		others := len(f.models) - 1
		if f.servers[0].Slots == 1 && servers < len(f.servers)-others*(f.policy.FloorReplicas+1) {
			t.Fatalf("%d of %d servers for the model with all of the demand", servers, len(f.servers))
		}
		if f.servers[0].Slots == 2 && servers != len(f.servers) {
			t.Fatalf("%d of %d servers for the model with all of the demand", servers, len(f.servers))
		}
	})
}

// TestLostServersAreReplaced checks that a model that lost all of its servers gets its minimum of
// replicas back from the other models.
func TestLostServersAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		lost := f.models[0].Name
		left := 0
		for _, server := range f.servers {
			server.Usable = server.Versions[0].Model != lost
			if server.Usable {
				left++
			}
		}
		if left < f.policy.FloorReplicas*len(f.models) {
			t.Skip("there are too few servers for the minimum of all models")
		}
		for range 60 {
			f.step()
		}
		if servers, zones := f.countServing(f.models[0]); servers < 2 || zones < 2 {
			t.Fatalf("%d servers in %d zones serve the model that lost its servers", servers, zones)
		}
	})
}

func TestFencesRiseOverTermsAndOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64Range(0, 1<<31).Draw(t, "term")
		sequence := rapid.Uint32().Draw(t, "sequence")
		later := rapid.Uint64Range(term+1, 1<<32-1).Draw(t, "later")
		fence := Fence(term, sequence)
		if FenceTerm(fence) != term || FenceSequence(fence) != sequence {
			t.Fatalf("%d/%d became %d/%d", term, sequence, FenceTerm(fence), FenceSequence(fence))
		}
		if sequence < 1<<32-1 && Fence(term, sequence+1) <= fence {
			t.Fatal("a later order of the term does not have a higher fence")
		}
		if Fence(later, rapid.Uint32().Draw(t, "other")) <= fence {
			t.Fatal("a later term does not have a higher fence")
		}
	})
}

func TestAdaptersFollowTheirModelAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		model := &f.models[0]
		model.Adapters = []Adapter{{Name: "hot", Demand: model.Demand}, {Name: "cold"}}
		count := func(name string) (held int) {
			for _, server := range f.servers {
				if slices.Contains(server.Adapters, AdapterName{Model: model.Name, Adapter: name}) {
					held++
				}
			}
			return held
		}
		for range 150 {
			f.step()
		}
		servers, _ := f.countServing(*model)
		if count("hot") != servers || count("cold") < 2 {
			t.Fatalf("hot on %d, cold on %d of %d", count("hot"), count("cold"), servers)
		}
		model.Adapters = model.Adapters[:1]
		for range 25 {
			f.step()
		}
		if count("cold") != 0 {
			t.Fatalf("an adapter that is no longer declared stays on %d servers", count("cold"))
		}
	})
}

// BenchmarkPlan makes one plan for a fleet of the target size.
func BenchmarkPlan(b *testing.B) {
	var view View
	names := make([]string, 12)
	for index := range names {
		names[index] = fmt.Sprintf("model-%d", index)
		view.Models = append(view.Models, Model{
			Name: names[index], Demand: float64(1000 * (index + 1)),
			Versions: []Version{{Name: "v1", Weight: 9}, {Name: "v2", Weight: 1}},
		})
	}
	for index := range 1200 {
		view.Servers = append(view.Servers, Server{
			Name: fmt.Sprintf("server-%04d", index), Zone: fmt.Sprintf("zone-%d", index%32), AllowedModels: names, Slots: 1,
			Versions: []VersionName{{Model: names[index%12], Version: "v1"}}, Role: RoleMixed, Usable: true, ChangedAt: -time.Hour,
		})
	}
	planner := NewPlanner(DefaultPolicy())
	for b.Loop() {
		view.Now += testTick
		planner.Plan(view)
	}
}
