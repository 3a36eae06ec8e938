package placementcontroller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/standin"
)

// testRound is the time between two rounds.
const testRound = 10 * time.Second

// fleet runs appliers with simulated engines behind HTTP servers. The applier uses the fleet's
// clock; engines load instantly.
type fleet struct {
	t       *testing.T
	now     time.Duration
	index   *configuration.Index
	config  *rockwindpb.Configuration
	servers []*httptest.Server
	engines []*standin.Engine
	demand  map[string]float64
	// unhealthy lists the engines that are ejected in all digests.
	unhealthy map[string]bool
}

// newFleet starts one engine per name, which it holds, in three zones in turn.
func newFleet(t *testing.T, held ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, demand: make(map[string]float64), unhealthy: make(map[string]bool)}
	f.config = &rockwindpb.Configuration{Number: 1, Models: []*rockwindpb.Model{model("large", "v1"), model("small", "v1")}}
	for number, name := range held {
		config := engine.FastConfig()
		config.ReportLag = 0
		config.WeightsRate = 1e12
		config.WeightsBytes = 1
		config.Loaded = []string{name}
		created, err := standin.NewEngine(standin.EngineOptions{Config: config})
		if err != nil {
			t.Fatal(err)
		}
		listener := httptest.NewServer(created.Handler())
		t.Cleanup(func() {
			listener.Close()
			_ = created.Close()
		})
		f.servers = append(f.servers, listener)
		f.engines = append(f.engines, created)
		f.config.BackEnds = append(f.config.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", number), Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
			Address: listener.Listener.Addr().String(), Zone: fmt.Sprintf("zone-%d", number%3),
			Serves: []string{"large", "small"},
		})
	}
	f.configure()
	return f
}

func model(name string, versions ...string) *rockwindpb.Model {
	declared := &rockwindpb.Model{Name: name}
	for _, version := range versions {
		declared.Versions = append(declared.Versions, &rockwindpb.Version{Name: version, Weight: 1, WeightsId: name + "-" + version})
	}
	return declared
}

// configure applies the fleet's configuration.
func (f *fleet) configure() {
	f.t.Helper()
	var err error
	if f.index, err = configuration.NewIndex(f.config); err != nil {
		f.t.Fatal(err)
	}
}

// newApplier returns an applier that leads in a term while leading is true.
func (f *fleet) newApplier(term uint64, leading *bool) *Controller {
	policy := placement.DefaultPolicy()
	policy.SmoothingHalfLife = testRound
	return New(Options{
		Leading: func() (uint64, bool) { return term, *leading },
		Survey:  f.survey, Client: http.DefaultClient, Policy: policy, WarmUp: testRound,
		Now: func() time.Duration { return f.now },
		Log: &log.Logger{Handler: logring.New(64, io.Discard), Level: log.InfoLevel},
	})
}

func (f *fleet) survey(context.Context) (Survey, error) {
	survey := Survey{Index: f.index}
	for number, backEnd := range f.config.GetBackEnds() {
		health := rockwindpb.HealthState_HEALTH_STATE_HEALTHY
		if f.unhealthy[backEnd.GetName()] {
			health = rockwindpb.HealthState_HEALTH_STATE_EJECTED
		}
		survey.Digests = append(survey.Digests, &rockwindpb.ServerDigest{Name: backEnd.GetName(), Health: health, Loaded: f.loaded(number)})
	}
	for name, cost := range f.demand {
		survey.Demands = append(survey.Demands, &rockwindpb.ModelDemand{Model: name, CostPerSecond: cost})
	}
	return survey, nil
}

// loaded returns what an engine reports as loaded.
func (f *fleet) loaded(number int) []string {
	f.t.Helper()
	report, err := engineClient{client: http.DefaultClient}.load(f.t.Context(), f.servers[number].Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	return report.Loaded
}

// holding returns the number of engines that hold a name.
func (f *fleet) holding(name string) int {
	f.t.Helper()
	count := 0
	for number := range f.engines {
		if slices.Contains(f.loaded(number), name) {
			count++
		}
	}
	return count
}

func (f *fleet) rounds(applier *Controller, count int) {
	for range count {
		f.now += testRound
		applier.Round(f.t.Context())
	}
}

var sixEngines = []string{"large@v1", "large@v1", "large@v1", "large@v1", "small@v1", "small@v1"}

// TestDemandShiftLoadsEngines checks that engines follow demand from one model to another, down to
// the minimum of replicas, without moving back.
func TestDemandShiftLoadsEngines(t *testing.T) {
	f := newFleet(t, sixEngines...)
	leading := true
	applier := f.newApplier(1, &leading)
	f.demand["large"], f.demand["small"] = 4000, 2000
	f.rounds(applier, 40)
	if len(applier.Totals().Changes) != 0 || applier.Totals().Orders != len(sixEngines) {
		t.Fatalf("balanced demand changed engines: %+v", applier.Totals())
	}
	f.demand["large"], f.demand["small"] = 500, 8000
	f.rounds(applier, 60)
	if large, small := f.holding("large@v1"), f.holding("small@v1"); large != 2 || small != 4 {
		t.Fatalf("%d engines hold large and %d small", large, small)
	}
	if moved := applier.Totals().Changes[placement.ReasonDemand]; moved != 2 {
		t.Fatalf("%d moves for two engines: %+v", moved, applier.Totals())
	}
}

// TestOrdersOfADeposedLeaderAreRefused checks that engines refuse the orders of a leader that still
// believes it leads, once a later leader has claimed them.
func TestOrdersOfADeposedLeaderAreRefused(t *testing.T) {
	f := newFleet(t, sixEngines...)
	leading := true
	old, next := f.newApplier(1, &leading), f.newApplier(2, &leading)
	f.demand["large"], f.demand["small"] = 4000, 2000
	f.rounds(old, 30)
	f.rounds(next, 1)
	if next.Totals().Orders != len(sixEngines) {
		t.Fatalf("the new leader claimed %d engines", next.Totals().Orders)
	}
	f.demand["large"], f.demand["small"] = 500, 8000
	f.rounds(old, 60)
	if !old.Deposed() || old.Totals().Refused == 0 || len(old.Totals().Changes) != 0 {
		t.Fatalf("the deposed leader still changes engines: %+v", old.Totals())
	}
	if small := f.holding("small@v1"); small != 2 {
		t.Fatalf("an order of the deposed leader was accepted: %d engines hold small", small)
	}
	f.rounds(next, 60)
	if small := f.holding("small@v1"); small != 4 || next.Deposed() {
		t.Fatalf("the new leader placed small on %d engines", small)
	}
}

// TestVersionsRunSideBySideUntilOneIsEnded checks that a new version is loaded beside the old one
// by weight, and that the old one is unloaded only when the operator ends it.
func TestVersionsRunSideBySideUntilOneIsEnded(t *testing.T) {
	f := newFleet(t, sixEngines...)
	leading := true
	applier := f.newApplier(1, &leading)
	f.demand["large"], f.demand["small"] = 4000, 2000
	f.config.Models[0] = model("large", "v1", "v2")
	f.configure()
	f.rounds(applier, 60)
	if old, next := f.holding("large@v1"), f.holding("large@v2"); old != 2 || next != 2 {
		t.Fatalf("%d engines hold the old version and %d the new one", old, next)
	}
	f.config.Models[0] = model("large", "v2")
	f.configure()
	f.rounds(applier, 60)
	if old, next := f.holding("large@v1"), f.holding("large@v2"); old != 0 || next != 4 {
		t.Fatalf("%d engines hold the ended version and %d the other", old, next)
	}
}

// TestUnmanagedEnginesGetNoOrders checks that an engine that accepts every model and one that
// gateways eject get no order except the claim, and that an applier that does not lead sends none.
func TestUnmanagedEnginesGetNoOrders(t *testing.T) {
	f := newFleet(t, append([]string{"large"}, sixEngines...)...)
	leading := true
	applier := f.newApplier(1, &leading)
	f.unhealthy["engine-1"] = true
	f.demand["large"], f.demand["small"] = 1, 1e6
	f.rounds(applier, 100)
	if first, second := f.loaded(0), f.loaded(1); !slices.Equal(first, []string{"large"}) || !slices.Equal(second, []string{"large@v1"}) {
		t.Fatalf("unmanaged engines were changed: they hold %v and %v", first, second)
	}
	leading = false
	before := applier.Totals().Orders
	f.demand["large"], f.demand["small"] = 1e6, 1
	f.rounds(applier, 100)
	if applier.Totals().Orders != before {
		t.Fatal("an applier that does not lead sent orders")
	}
}
