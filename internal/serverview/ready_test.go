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

// drain changes whether the engine takes requests, past the gateway.
func (f *cacheFixture) drain(body string) {
	f.Helper()
	response, err := http.Post("http://"+f.address+"/drain", "application/json", strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	response.Body.Close()
}

// refuse tells the view that the engine refused a request, and asks the engine.
func (f *cacheFixture) refuse() {
	f.Helper()
	report := upstream.Report{Outcome: upstream.Refused}
	f.view.note(upstream.Target{Name: "engine"}, report)
	f.view.record(<-f.view.outcomes)
	for _, target := range f.view.dueQuestions() {
		f.view.learnReady(f.view.askReady(context.Background(), target))
	}
}

func (f *cacheFixture) leaving() bool {
	f.view.mutex.Lock()
	defer f.view.mutex.Unlock()
	return f.view.routing.Servers[f.view.byName["engine"].index].Leaving
}

func TestRefusalOfADrainingServerTakesItOutAndIsPassedOn(t *testing.T) {
	f := newCacheFixture(t, 0)
	f.refuse()
	if f.leaving() || len(f.view.LeavingServers()) != 0 {
		t.Fatal("a refusal for load took the server out")
	}
	f.drain(`{"draining":true}`)
	f.view.byName["engine"].questionAt = 0
	f.refuse()
	if !f.leaving() || !slices.Equal(f.view.LeavingServers(), []string{"engine"}) {
		t.Fatal("the draining server is still in after it refused a request")
	}
	select {
	case <-f.view.ExchangeRequested():
	default:
		t.Fatal("no exchange was asked for")
	}
}

func TestServersThatOthersFoundLeavingAreOutWhileTheyAreNamed(t *testing.T) {
	f := newCacheFixture(t, 0)
	f.view.ApplyExchange(&rockwindpb.ExchangeResponse{Leaving: []string{"engine"}})
	if !f.leaving() || len(f.view.LeavingServers()) != 0 {
		t.Fatal("a named server is in, or is passed on as found here")
	}
	f.view.ApplyExchange(&rockwindpb.ExchangeResponse{})
	if f.leaving() {
		t.Fatal("the server is out although nobody names it")
	}
}

func TestAServerFoundDrainingIsForgottenWhereNobodyAsksItAgain(t *testing.T) {
	state := leavingState{}
	state.said(true, 1)
	if state.expire(declineHold) || !state.out() {
		t.Fatal("forgotten too early")
	}
	if !state.expire(declineHold+1) || state.out() {
		t.Fatal("out for ever")
	}
}

func TestStatesTellWhyServersGetNoTraffic(t *testing.T) {
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
			t.Errorf("%d servers count as %s", counts[state], state)
		}
	}
	if counts[StateHealthy] != 12-len(set) {
		t.Errorf("%d servers count as healthy", counts[StateHealthy])
	}
}
