package placer

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

// testRound is the time between two rounds of a test, in the applier's time.
const testRound = 10 * time.Second

// trial runs appliers over engine stand-ins behind HTTP. Time is the trial's; the
// stand-ins load at once.
type trial struct {
	t       *testing.T
	now     time.Duration
	index   *configuration.Index
	config  *rockwindpb.Configuration
	servers []*httptest.Server
	engines []*standin.Engine
	demand  map[string]float64
	// unhealthy engines are ejected in all digests.
	unhealthy map[string]bool
}

// newTrial starts engines that hold the given names, in three zones in turn.
func newTrial(t *testing.T, held ...string) *trial {
	t.Helper()
	r := &trial{t: t, demand: make(map[string]float64), unhealthy: make(map[string]bool)}
	r.config = &rockwindpb.Configuration{Number: 1, Models: []*rockwindpb.Model{model("large", "v1"), model("small", "v1")}}
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
		r.servers = append(r.servers, listener)
		r.engines = append(r.engines, created)
		r.config.BackEnds = append(r.config.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", number), Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
			Address: listener.Listener.Addr().String(), Zone: fmt.Sprintf("zone-%d", number%3),
			Serves: []string{"large", "small"},
		})
	}
	r.configure()
	return r
}

func model(name string, versions ...string) *rockwindpb.Model {
	declared := &rockwindpb.Model{Name: name}
	for _, version := range versions {
		declared.Versions = append(declared.Versions, &rockwindpb.Version{Name: version, Weight: 1, WeightsId: name + "-" + version})
	}
	return declared
}

// configure puts the trial's configuration in force.
func (r *trial) configure() {
	r.t.Helper()
	var err error
	if r.index, err = configuration.NewIndex(r.config); err != nil {
		r.t.Fatal(err)
	}
}

// leader makes an applier that leads in a term as long as leading says.
func (r *trial) leader(term uint64, leading *bool) *Applier {
	policy := placement.DefaultPolicy()
	policy.SmoothingHalfLife = testRound
	return New(Options{
		Leading: func() (uint64, bool) { return term, *leading },
		Survey:  r.survey, Client: http.DefaultClient, Policy: policy, WarmUp: testRound,
		Now: func() time.Duration { return r.now },
		Log: &log.Logger{Handler: logring.New(64, io.Discard), Level: log.InfoLevel},
	})
}

func (r *trial) survey(context.Context) (Survey, error) {
	survey := Survey{Index: r.index}
	for number, backEnd := range r.config.GetBackEnds() {
		health := rockwindpb.HealthState_HEALTH_STATE_HEALTHY
		if r.unhealthy[backEnd.GetName()] {
			health = rockwindpb.HealthState_HEALTH_STATE_EJECTED
		}
		survey.Digests = append(survey.Digests, &rockwindpb.ServerDigest{Name: backEnd.GetName(), Health: health, Loaded: r.loaded(number)})
	}
	for name, cost := range r.demand {
		survey.Demands = append(survey.Demands, &rockwindpb.ModelDemand{Model: name, CostPerSecond: cost})
	}
	return survey, nil
}

// loaded asks an engine what it holds.
func (r *trial) loaded(number int) []string {
	r.t.Helper()
	report, err := engineClient{client: http.DefaultClient}.load(r.t.Context(), r.servers[number].Listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	return report.Loaded
}

// holding counts the engines that hold a name.
func (r *trial) holding(name string) int {
	r.t.Helper()
	count := 0
	for number := range r.engines {
		if slices.Contains(r.loaded(number), name) {
			count++
		}
	}
	return count
}

func (r *trial) rounds(applier *Applier, count int) {
	for range count {
		r.now += testRound
		applier.Round(r.t.Context())
	}
}

var sixEngines = []string{"large@v1", "large@v1", "large@v1", "large@v1", "small@v1", "small@v1"}

// TestDemandShiftLoadsEngines: demand moves from one model to the other, and
// engines follow down to the floor, without a move back.
func TestDemandShiftLoadsEngines(t *testing.T) {
	r := newTrial(t, sixEngines...)
	leading := true
	applier := r.leader(1, &leading)
	r.demand["large"], r.demand["small"] = 4000, 2000
	r.rounds(applier, 40)
	if len(applier.Totals().Changes) != 0 || applier.Totals().Orders != len(sixEngines) {
		t.Fatalf("balanced demand changed engines: %+v", applier.Totals())
	}
	r.demand["large"], r.demand["small"] = 500, 8000
	r.rounds(applier, 60)
	if large, small := r.holding("large@v1"), r.holding("small@v1"); large != 2 || small != 4 {
		t.Fatalf("%d engines hold large and %d small", large, small)
	}
	if moved := applier.Totals().Changes[placement.ReasonDemand]; moved != 2 {
		t.Fatalf("%d moves for two engines: %+v", moved, applier.Totals())
	}
}

// TestOrdersOfADeposedLeaderAreRefused: a leader that is cut off and believes that
// it leads still is refused by every engine once a later one has claimed them.
func TestOrdersOfADeposedLeaderAreRefused(t *testing.T) {
	r := newTrial(t, sixEngines...)
	leading := true
	old, next := r.leader(1, &leading), r.leader(2, &leading)
	r.demand["large"], r.demand["small"] = 4000, 2000
	r.rounds(old, 30)
	r.rounds(next, 1)
	if next.Totals().Orders != len(sixEngines) {
		t.Fatalf("the new leader claimed %d engines", next.Totals().Orders)
	}
	r.demand["large"], r.demand["small"] = 500, 8000
	r.rounds(old, 60)
	if !old.Deposed() || old.Totals().Refused == 0 || len(old.Totals().Changes) != 0 {
		t.Fatalf("the deposed leader goes on: %+v", old.Totals())
	}
	if small := r.holding("small@v1"); small != 2 {
		t.Fatalf("an order of the deposed leader was accepted: %d engines hold small", small)
	}
	r.rounds(next, 60)
	if small := r.holding("small@v1"); small != 4 || next.Deposed() {
		t.Fatalf("the new leader placed small on %d engines", small)
	}
}

// TestVersionsRunSideBySideUntilOneIsEnded: a new version comes beside the old
// one by weight; the old one goes only when the operator ends it.
func TestVersionsRunSideBySideUntilOneIsEnded(t *testing.T) {
	r := newTrial(t, sixEngines...)
	leading := true
	applier := r.leader(1, &leading)
	r.demand["large"], r.demand["small"] = 4000, 2000
	r.config.Models[0] = model("large", "v1", "v2")
	r.configure()
	r.rounds(applier, 60)
	if old, next := r.holding("large@v1"), r.holding("large@v2"); old != 2 || next != 2 {
		t.Fatalf("%d engines hold the old version and %d the new one", old, next)
	}
	r.config.Models[0] = model("large", "v2")
	r.configure()
	r.rounds(applier, 60)
	if old, next := r.holding("large@v1"), r.holding("large@v2"); old != 0 || next != 4 {
		t.Fatalf("%d engines hold the ended version and %d the other", old, next)
	}
}

// TestUnknownEnginesAreLeftAlone: an engine that accepts every model and one that
// gateways eject get no order but the claim.
func TestUnknownEnginesAreLeftAlone(t *testing.T) {
	r := newTrial(t, append([]string{"large"}, sixEngines...)...)
	leading := true
	applier := r.leader(1, &leading)
	r.unhealthy["engine-1"] = true
	r.demand["large"], r.demand["small"] = 1, 1e6
	r.rounds(applier, 100)
	if first, second := r.loaded(0), r.loaded(1); !slices.Equal(first, []string{"large"}) || !slices.Equal(second, []string{"large@v1"}) {
		t.Fatalf("engines that placement can't judge hold %v and %v", first, second)
	}
	leading = false
	before := applier.Totals().Orders
	r.demand["large"], r.demand["small"] = 1e6, 1
	r.rounds(applier, 100)
	if applier.Totals().Orders != before {
		t.Fatal("an applier that does not lead sent orders")
	}
}
