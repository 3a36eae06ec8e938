package serverview

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// drain posts a drain request directly to the engine.
func (f *engineFixture) drain(body string) {
	f.Helper()
	response, err := http.Post("http://"+f.address+"/drain", "application/json", strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	response.Body.Close()
}

// refuse reports a refused request to the view and runs the readiness checks
// that are due.
func (f *engineFixture) refuse() {
	f.Helper()
	report := upstream.Report{Outcome: upstream.Refused}
	f.view.reportOutcome(upstream.Target{Name: "engine"}, report)
	f.view.recordOutcome(<-f.view.outcomes)
	for _, target := range f.view.dueReadinessChecks() {
		f.view.mergeReadiness(f.view.checkReadiness(context.Background(), target))
	}
}

func (f *engineFixture) leaving() bool {
	f.view.mutex.Lock()
	defer f.view.mutex.Unlock()
	return f.view.routing.Servers[f.view.byName["engine"].index].Leaving
}

func TestRefusalByDrainingServerExcludesItAndRequestsExchange(t *testing.T) {
	f := newEngineFixture(t, 0)
	f.refuse()
	if f.leaving() || len(f.view.LeavingServers()) != 0 {
		t.Fatal("a server that refused a request because of load was excluded")
	}
	f.drain(`{"draining":true}`)
	f.view.byName["engine"].readinessCheckedAt = 0
	f.refuse()
	if !f.leaving() || !slices.Equal(f.view.LeavingServers(), []string{"engine"}) {
		t.Fatal("the draining server is not excluded after it refused a request")
	}
	select {
	case <-f.view.ExchangeRequested():
	default:
		t.Fatal("no exchange was requested")
	}
}

func TestServersReportedLeavingByPeersAreExcluded(t *testing.T) {
	f := newEngineFixture(t, 0)
	f.view.ApplyExchange(&rockwindpb.ExchangeResponse{Leaving: []string{"engine"}})
	if !f.leaving() || len(f.view.LeavingServers()) != 0 {
		t.Fatal("a server reported as leaving by a peer is not excluded, or is reported as leaving by this gateway")
	}
	f.view.ApplyExchange(&rockwindpb.ExchangeResponse{})
	if f.leaving() {
		t.Fatal("the server is still excluded after no peer reports it as leaving")
	}
}

func TestDrainingStateExpires(t *testing.T) {
	state := leavingState{}
	state.setDraining(true, 1)
	if state.expireDraining(drainingTTL) || !state.excluded() {
		t.Fatal("draining state expired too early")
	}
	if !state.expireDraining(drainingTTL+1) || state.excluded() {
		t.Fatal("draining state did not expire")
	}
}

func TestCountStates(t *testing.T) {
	view := loadedView(12)
	set := []func(server *routing.Server){
		func(server *routing.Server) { server.Leaving, server.Health = true, routing.Ejected },
		func(server *routing.Server) { server.Health = routing.Ejected },
		func(server *routing.Server) { server.Loaded = routing.Set{} },
		func(server *routing.Server) { server.Health, server.SlowStart = routing.Suspect, 0.5 },
		func(server *routing.Server) { server.SlowStart = 0.5 },
	}
	for index, change := range set {
		change(&view.routing.Servers[index])
	}
	counts := view.CountStates()
	for _, state := range []State{StateLeaving, StateEjected, StateNotLoaded, StateSuspect, StateSlowStart} {
		if counts[state] != 1 {
			t.Errorf("%d servers counted as %s, want 1", counts[state], state)
		}
	}
	if counts[StateHealthy] != 12-len(set) {
		t.Errorf("%d servers counted as healthy", counts[StateHealthy])
	}
}
