package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTick is the time between two plans.
const testTick = 10 * time.Second

// world executes plans: loads take a time drawn by the test.
type world struct {
	t       *rapid.T
	policy  Policy
	planner *Planner
	now     time.Duration
	servers []*worldServer
	models  []Model
	// loadTime is how long a version loads.
	loadTime time.Duration
	loadedAt []time.Duration
	changes  []Change
}

type worldServer struct {
	Server
	doneAt time.Duration
}

func (w *world) view() View {
	view := View{Now: w.now, Models: w.models}
	for _, server := range w.servers {
		view.Servers = append(view.Servers, server.Server)
	}
	return view
}

// step lets a tick pass, ends loads that are due, plans, checks the plan and
// executes it.
func (w *world) step() []Change {
	w.now += testTick
	for _, server := range w.servers {
		if server.Busy && w.now >= server.doneAt {
			server.Versions = append(server.Versions, server.LoadingVersions...)
			server.Adapters = append(server.Adapters, server.LoadingAdapters...)
			server.LoadingVersions, server.LoadingAdapters = nil, nil
			server.Busy = false
		}
	}
	changes := w.planner.Plan(w.view())
	seen := make(map[string]bool)
	for _, change := range changes {
		server := w.server(change.Server)
		if seen[change.Server] || server.Busy || !server.Usable || len(change.Orders) == 0 {
			w.t.Fatalf("change %+v of a server that can't take it: %+v", change, server)
		}
		seen[change.Server] = true
	}
	for _, change := range changes {
		w.execute(change)
	}
	w.changes = append(w.changes, changes...)
	w.checkBounds()
	return changes
}

func (w *world) server(name string) *worldServer {
	index := slices.IndexFunc(w.servers, func(server *worldServer) bool { return server.Name == name })
	return w.servers[index]
}

func (w *world) execute(change Change) {
	server := w.server(change.Server)
	server.Busy, server.ChangedAt, server.doneAt = true, w.now, w.now+testTick
	for _, order := range change.Orders {
		server.apply(order)
		if order.Action == ActionLoadModel {
			server.doneAt = w.now + w.loadTime
			w.loadedAt = append(w.loadedAt, w.now)
			if !server.mayHold(order.Version.Model) {
				w.t.Fatalf("%s may not hold %s", server.Name, order.Version)
			}
		}
	}
	if len(server.Versions)+len(server.LoadingVersions) > server.Slots {
		w.t.Fatalf("%s holds more than its %d slots: %+v", server.Name, server.Slots, server)
	}
}

// checkBounds checks the bounds on changes and loads at once and the pace that
// the weight store sets.
func (w *world) checkBounds() {
	busy, loading := 0, 0
	for _, server := range w.servers {
		if server.Busy {
			busy++
		}
		if len(server.LoadingVersions)+len(server.LoadingAdapters) > 0 {
			loading++
		}
	}
	if busy > w.policy.ChangesAtOnce || loading > w.policy.LoadsAtOnce {
		w.t.Fatalf("%d changes and %d loads at once", busy, loading)
	}
	// Over any span the store can deliver what was ordered, but for one load and
	// what may be ordered ahead.
	delivery := time.Duration(w.policy.WeightsBytes / w.policy.WeightStoreRate * float64(time.Second))
	last := len(w.loadedAt) - 1
	for first := range w.loadedAt {
		span := w.loadedAt[last] - w.loadedAt[first]
		if time.Duration(last-first)*delivery > span+w.policy.LoadAhead {
			w.t.Fatalf("loads at %v are faster than the weight store", w.loadedAt)
		}
	}
}

// answering returns the servers and zones that answer for a model, counted apart
// from the planner.
func (w *world) answering(model Model) (servers, zones int) {
	found := make(map[string]bool)
	for _, server := range w.servers {
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

// newWorld draws a fleet of two to four models over three zones, whose servers
// may hold any model, spread evenly at first.
func newWorld(t *rapid.T) *world {
	w := &world{t: t, policy: DefaultPolicy(), loadTime: time.Duration(rapid.IntRange(6, 40).Draw(t, "load seconds")) * time.Second}
	w.policy.WeightStoreRate = 1e9
	w.policy.WeightsBytes = float64(rapid.IntRange(1, 20).Draw(t, "weights")) * 1e9
	w.planner = NewPlanner(w.policy)
	count := rapid.IntRange(2, 4).Draw(t, "models")
	names := make([]string, count)
	for index := range count {
		names[index] = fmt.Sprintf("model-%d", index)
		w.models = append(w.models, Model{
			Name: names[index], Versions: []Version{{Name: "v1", Weight: 1}},
			Demand: float64(rapid.IntRange(200, 20_000).Draw(t, "demand")),
		})
	}
	slots := rapid.IntRange(1, 2).Draw(t, "slots")
	perModel := rapid.IntRange(3, 5).Draw(t, "servers of a model")
	for index := range count * perModel {
		w.servers = append(w.servers, &worldServer{Server: Server{
			Name: fmt.Sprintf("server-%02d", index), Zone: fmt.Sprintf("zone-%d", index/count%3),
			AllowedModels: names, Slots: slots, Role: RoleMixed, Usable: true,
			Versions:  []VersionName{{Model: names[index%count], Version: "v1"}},
			ChangedAt: -time.Hour,
		}})
	}
	return w
}

// noisy redraws each demand around its mean, within a part of it.
func (w *world) noisy(means []float64, part float64, random *rand.Rand) {
	for index := range w.models {
		w.models[index].Demand = means[index] * (1 + part*(2*random.Float64()-1))
	}
}

func (w *world) means() []float64 {
	var means []float64
	for _, model := range w.models {
		means = append(means, model.Demand)
	}
	return means
}

// TestNoisyDemandDoesNotFlap: once placement has settled, demand that varies by a
// seventh around its mean moves nothing.
func TestNoisyDemandDoesNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		means := w.means()
		for range 150 {
			w.step()
		}
		settled := len(w.changes)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "noise"), 0))
		for range 100 {
			w.noisy(means, 1.0/7, random)
			w.step()
		}
		// Noise may settle a model that stood just below the margin: a model gains
		// or gives servers, but never both.
		gains := make(map[string]int)
		gives := make(map[string]int)
		for _, change := range w.changes[settled:] {
			for _, order := range change.Orders {
				switch order.Action {
				case ActionLoadModel:
					gains[order.Version.Model]++
				case ActionUnloadModel:
					gives[order.Version.Model]++
				}
			}
		}
		for model := range gains {
			if gives[model] > 0 {
				t.Fatalf("%s gained %d servers and gave %d under noise", model, gains[model], gives[model])
			}
		}
	})
}

// TestSettledPlanIsEmpty: under constant demand the plan becomes empty, and each
// model has its floor.
func TestSettledPlanIsEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 150 {
			w.step()
		}
		for range 25 {
			if changes := w.step(); len(changes) > 0 {
				t.Fatalf("still changing: %+v", changes)
			}
		}
	})
}

// TestFloorsHoldWhileDemandAndVersionsChange: shifts of demand, new versions,
// weights and ended versions never take a model below two answering servers in
// two zones.
func TestFloorsHoldWhileDemandAndVersionsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 4).Draw(t, "acts") {
			model := &w.models[rapid.IntRange(0, len(w.models)-1).Draw(t, "model")]
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				model.Demand = float64(rapid.IntRange(0, 100_000).Draw(t, "demand"))
			case 1:
				model.Versions = []Version{{Name: "v1", Weight: 3}, {Name: "v2", Weight: uint32(rapid.IntRange(1, 9).Draw(t, "weight"))}}
			case 2:
				// An operator ends a version once the other one answers in two zones.
				next := Model{Name: model.Name, Versions: []Version{{Name: "v2", Weight: 1}}}
				if servers, zones := w.answering(next); servers >= 2 && zones >= 2 {
					model.Versions = []Version{{Name: "v2", Weight: 1}}
				}
			}
			before := make([]int, len(w.models))
			for index, model := range w.models {
				before[index], _ = w.answering(model)
			}
			for range 60 {
				w.step()
				for index, model := range w.models {
					servers, zones := w.answering(model)
					if before[index] >= 2 && (servers < 2 || zones < 2) {
						t.Fatalf("%s has %d servers in %d zones after %+v", model.Name, servers, zones, w.changes)
					}
					before[index] = servers
				}
			}
		}
	})
}

// TestDemandIsFollowed: when nearly all demand goes to one model, it gets all
// servers but the floors of the others.
func TestDemandIsFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for index := range w.models {
			w.models[index].Demand = 1
		}
		busy := rapid.IntRange(0, len(w.models)-1).Draw(t, "busy")
		w.models[busy].Demand = 1e6
		for range 300 {
			w.step()
		}
		servers, _ := w.answering(w.models[busy])
		others := len(w.models) - 1
		if w.servers[0].Slots == 1 && servers < len(w.servers)-others*(w.policy.FloorReplicas+1) {
			t.Fatalf("%d of %d servers for all the demand", servers, len(w.servers))
		}
		if w.servers[0].Slots == 2 && servers != len(w.servers) {
			t.Fatalf("%d of %d servers for all the demand", servers, len(w.servers))
		}
	})
}

// TestLostServersAreReplaced: when servers are lost, each model gets its floor
// back from models that can give.
func TestLostServersAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		lost := w.models[0].Name
		left := 0
		for _, server := range w.servers {
			server.Usable = server.Versions[0].Model != lost
			if server.Usable {
				left++
			}
		}
		if left < w.policy.FloorReplicas*len(w.models) {
			t.Skip("the servers left are fewer than the floors")
		}
		for range 60 {
			w.step()
		}
		if servers, zones := w.answering(w.models[0]); servers < 2 || zones < 2 {
			t.Fatalf("%d servers in %d zones answer for the lost model", servers, zones)
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
			t.Fatal("a later order of the term has no higher fence")
		}
		if Fence(later, rapid.Uint32().Draw(t, "other")) <= fence {
			t.Fatal("a later term has no higher fence")
		}
	})
}

func TestAdaptersFollowTheirModelAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		model := &w.models[0]
		model.Adapters = []Adapter{{Name: "hot", Demand: model.Demand}, {Name: "cold"}}
		count := func(name string) (held int) {
			for _, server := range w.servers {
				if slices.Contains(server.Adapters, AdapterName{Model: model.Name, Adapter: name}) {
					held++
				}
			}
			return held
		}
		for range 150 {
			w.step()
		}
		servers, _ := w.answering(*model)
		if count("hot") != servers || count("cold") < 2 {
			t.Fatalf("hot on %d, cold on %d of %d", count("hot"), count("cold"), servers)
		}
		model.Adapters = model.Adapters[:1]
		for range 25 {
			w.step()
		}
		if count("cold") != 0 {
			t.Fatalf("an ended adapter stays on %d servers", count("cold"))
		}
	})
}

// BenchmarkPlan makes one plan for the target size.
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
