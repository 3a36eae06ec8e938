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

// placementCluster is a cluster that places two models on fake engines.
type placementCluster struct {
	*cluster
	engines []string
	started int64
}

// engineCount is the number of engines, each in its own zone.
const engineCount = 4

func startPlacementCluster(t *testing.T) *placementCluster {
	t.Helper()
	p := &placementCluster{started: time.Now().UnixMilli()}
	for range engineCount {
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
	p.cluster = startClusterWithPlacement(t, &rockwindpb.PlacementSettings{
		Enabled: true, Interval: durationpb.New(100 * time.Millisecond), WarmUp: durationpb.New(500 * time.Millisecond),
		Dwell: durationpb.New(0), Sustain: durationpb.New(0), FloorReplicas: 1, FloorZones: 1,
	})
	return p
}

func (p *placementCluster) apply(ctx context.Context) {
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

// exchange reports the engines and the demand to the running machines, as a gateway
// in each zone does.
func (p *placementCluster) exchange(ctx context.Context, model string) {
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

// awaitLoaded exchanges until the given number of engines has loaded a model.
func (p *placementCluster) awaitLoaded(ctx context.Context, model string, wanted int) {
	p.t.Helper()
	for {
		p.exchange(ctx, model)
		loaded := 0
		for _, address := range p.engines {
			if slices.Contains(p.load(ctx, address).Loaded, model+"@v1") {
				loaded++
			}
		}
		if loaded == wanted {
			return
		}
		if ctx.Err() != nil {
			p.t.Fatalf("%d engines have loaded %s, want %d", loaded, model, wanted)
		}
		time.Sleep(testTick)
	}
}

func (p *placementCluster) load(ctx context.Context, address string) standin.LoadReport {
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

// fence returns the last fence that an engine accepted, and the status of an order
// with the offered fence.
func (p *placementCluster) fence(ctx context.Context, address string, offered uint64) (uint64, int) {
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
func (p *placementCluster) rootLeader(ctx context.Context) int {
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
	p.t.Fatal("the root group has no leader")
	return 0
}

// Placement must follow the demand, continue under a new leader, and engines must
// refuse orders of the old one.
func TestPlacementContinuesUnderNewLeader(t *testing.T) {
	p := startPlacementCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	p.apply(ctx)
	p.awaitLoaded(ctx, "small", engineCount-1)
	before, status := p.fence(ctx, p.engines[0], 0)
	if status != http.StatusConflict || placement.FenceTerm(before) == 0 {
		t.Fatalf("an order without a fence returned status %d and fence %d", status, before)
	}
	p.stop(p.rootLeader(ctx))
	p.awaitLoaded(ctx, "large", engineCount-1)
	after, status := p.fence(ctx, p.engines[0], before+1)
	if status != http.StatusConflict || placement.FenceTerm(after) <= placement.FenceTerm(before) {
		t.Fatalf("an order of the previous leader returned status %d; terms %d and %d", status, placement.FenceTerm(before), placement.FenceTerm(after))
	}
}
