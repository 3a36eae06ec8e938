package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/standin"
)

// placed is a cluster that places two models on engine stand-ins.
type placed struct {
	*cluster
	engines []string
	started int64
}

// placingEngines is the number of engines, a zone each.
const placingEngines = 4

func startPlaced(t *testing.T) *placed {
	t.Helper()
	p := &placed{started: time.Now().UnixMilli()}
	for range placingEngines {
		config := engine.FastConfig()
		config.ReportLag, config.WeightsRate, config.WeightsBytes = 0, 1e12, 1
		config.Loaded = []string{"large@v1"}
		created, err := standin.NewEngine(standin.EngineOptions{Config: config})
		if err != nil {
			t.Fatal(err)
		}
		listener := httptest.NewServer(created.Handler())
		t.Cleanup(func() {
			listener.Close()
			_ = created.Close()
		})
		p.engines = append(p.engines, listener.Listener.Addr().String())
	}
	p.cluster = startPlacing(t, &rockwindpb.PlacementSettings{
		Enabled: true, Interval: durationpb.New(100 * time.Millisecond), WarmUp: durationpb.New(500 * time.Millisecond),
		Dwell: durationpb.New(0), Sustain: durationpb.New(0), FloorReplicas: 1, FloorZones: 1,
	})
	return p
}

func (p *placed) apply(ctx context.Context) {
	p.t.Helper()
	declared := &rockwindpb.Configuration{Number: 1, Groups: []*rockwindpb.Group{{Name: "clinic", Share: 1}}}
	for _, name := range []string{"large", "small"} {
		declared.Models = append(declared.Models, &rockwindpb.Model{
			Name: name, ContextTokens: 8192,
			Versions: []*rockwindpb.Version{{Name: "v1", Weight: 1, WeightsId: name + "-v1"}},
		})
	}
	for index, address := range p.engines {
		declared.BackEnds = append(declared.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", index), Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
			Address: address, Zone: fmt.Sprintf("zone-%d", index), Serves: []string{"large", "small"}, Accelerators: 1,
		})
	}
	if _, err := p.client().Configuration().Apply(ctx, &rockwindpb.ApplyConfigurationRequest{Configuration: declared, Operator: "test"}); err != nil {
		p.t.Fatal(err)
	}
}

// exchange reports the engines and the demand as a gateway of each zone does, to
// the machines that run.
func (p *placed) exchange(ctx context.Context, model string) {
	for index := range p.engines {
		for machine, running := range p.running {
			if running == nil {
				continue
			}
			client := rockwindpb.NewFleetServiceProtobufClient("http://"+p.machines[machine].GetAddress(), http.DefaultClient)
			_, _ = client.Exchange(ctx, &rockwindpb.ExchangeRequest{
				Gateway: fmt.Sprintf("gateway-%d", index), Zone: fmt.Sprintf("zone-%d", index), StartedUnixMs: p.started,
				Owned: []*rockwindpb.ServerDigest{{
					Name: fmt.Sprintf("engine-%d", index), Health: rockwindpb.HealthState_HEALTH_STATE_HEALTHY,
				}},
				Models: []*rockwindpb.ModelUsage{{Model: model, RefusedCost: 1e6}},
			})
		}
	}
}

// awaitHolding exchanges until so many engines hold a version.
func (p *placed) awaitHolding(ctx context.Context, model string, wanted int) {
	p.t.Helper()
	for {
		p.exchange(ctx, model)
		holding := 0
		for _, address := range p.engines {
			if slices.Contains(p.load(ctx, address).Loaded, model+"@v1") {
				holding++
			}
		}
		if holding == wanted {
			return
		}
		if ctx.Err() != nil {
			p.t.Fatalf("%d engines hold %s, want %d", holding, model, wanted)
		}
		time.Sleep(testTick)
	}
}

func (p *placed) load(ctx context.Context, address string) standin.LoadReport {
	var report standin.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		defer response.Body.Close()
		_ = json.NewDecoder(response.Body).Decode(&report)
	}
	return report
}

// fence returns the last fence that an engine accepted, from its refusal of an
// order without one.
func (p *placed) fence(ctx context.Context, address string, offered uint64) (uint64, int) {
	p.t.Helper()
	body, err := json.Marshal(engine.Order{Fence: offered, Action: engine.ActionSetRole, Role: engine.RoleBatch})
	if err != nil {
		p.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	defer response.Body.Close()
	var answer standin.FenceResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		p.t.Fatal(err)
	}
	return answer.Fence, response.StatusCode
}

// rootLeader returns the machine that leads the root group.
func (p *placed) rootLeader(ctx context.Context) int {
	for ctx.Err() == nil {
		for _, machine := range p.machines {
			service := rockwindpb.NewReplicaServiceProtobufClient("http://"+machine.GetAddress(), http.DefaultClient)
			identity, err := service.Identity(ctx, &rockwindpb.IdentityRequest{})
			if err != nil || len(identity.GetGroups()) == 0 {
				continue
			}
			for index, candidate := range p.machines {
				if candidate.GetAddress() == identity.GetGroups()[0].GetLeaderAddress() && p.running[index] != nil {
					return index
				}
			}
		}
		time.Sleep(testTick)
	}
	p.t.Fatal("nobody leads the root group")
	return 0
}

// TestPlacementFollowsDemandOverALeadersEnd runs placement in the control daemons:
// demand moves engines, a new leader goes on, and the orders of the leader before
// it are refused.
func TestPlacementFollowsDemandOverALeadersEnd(t *testing.T) {
	p := startPlaced(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	p.apply(ctx)
	p.awaitHolding(ctx, "small", placingEngines-1)
	before, status := p.fence(ctx, p.engines[0], 0)
	if status != http.StatusConflict || placement.FenceTerm(before) == 0 {
		t.Fatalf("an order without a fence got %d and the fence %d", status, before)
	}
	p.stop(p.rootLeader(ctx))
	p.awaitHolding(ctx, "large", placingEngines-1)
	after, status := p.fence(ctx, p.engines[0], before+1)
	if status != http.StatusConflict || placement.FenceTerm(after) <= placement.FenceTerm(before) {
		t.Fatalf("an order of the leader before got %d; terms %d and %d", status, placement.FenceTerm(before), placement.FenceTerm(after))
	}
}
