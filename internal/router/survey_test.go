package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
)

// plainInquiry asks for a number as JSON.
type plainInquiry struct{}

func (plainInquiry) PrepareLoadRequest(header http.Header, serverID string) string {
	header.Set("Server", serverID)
	return "/load"
}

func (plainInquiry) ParseLoad(status int, body []byte) (requests int, err error) {
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	err = json.Unmarshal(body, &requests)
	return requests, err
}

// surveyed is a dispatcher that has just started before servers that answer as told, by name,
// and how many questions there were. Call it in a bubble of virtual time.
func surveyed(t *testing.T, answers map[string]http.HandlerFunc) (dispatcher *router.Dispatcher, run func(ctx context.Context), questions *atomic.Int64) {
	t.Helper()
	questions = &atomic.Int64{}
	register, network := directory.New(), &memoryNetwork{}
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: &rockwindpb.Machine{
		Name: "store", Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "127.0.0.1:1",
	}}})
	for name, answer := range answers {
		network.serve(t, name+":1", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			questions.Add(1)
			answer(writer, request)
		}))
		register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
			Id: name, Service: "app", Address: name + ":1", Slots: 4,
			State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
		}}})
	}
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Services: []*rockwindpb.Service{
		{Name: "app", Engine: &rockwindpb.EngineCapacity{Slots: 4}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher = router.NewDispatcher("zone", gate.Set{})
	dispatcher.Update(register.View())
	client := network.client()
	t.Cleanup(client.Close)
	return dispatcher, func(ctx context.Context) {
		router.RunSurvey(dispatcher, ctx, "store", register.View(), index, plainInquiry{}, client)
	}, questions
}

// tells answers with a load.
func tells(load string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(load)) }
}

// leftBehind is what the dispatcher counts as left behind.
func leftBehind(dispatcher *router.Dispatcher) int {
	requests, _ := dispatcher.LeftBehind()
	return requests
}

// TestServersThatAreFullOfRunsLeftBehindGetNoRequests until those are over: one server tells
// that, one is empty, one hangs and one answers nonsense.
func TestServersThatAreFullOfRunsLeftBehindGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, release := time.Now(), make(chan struct{})
		var load atomic.Int64
		load.Store(4)
		dispatcher, run, questions := surveyed(t, map[string]http.HandlerFunc{
			"full": func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, load.Load()) }, "empty": tells("0"),
			"hangs": func(http.ResponseWriter, *http.Request) { <-release }, "mad": tells("much"),
		})
		defer close(release)
		ended := make(chan struct{})
		go func() { run(t.Context()); close(ended) }()
		time.Sleep(200 * time.Millisecond)
		if got := leftBehind(dispatcher); got != 4 {
			t.Fatalf("%d requests of the full server are counted, want 4", got)
		}
		if heard := dispatcher.LoadSource().Own(); len(heard.GetServers()) < 2 {
			t.Error("nothing of it is told to others")
		}
		for range 12 {
			lease, err := acquire(dispatcher, 100*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			if lease.ID == "full" {
				t.Fatal("a request goes to the full server")
			}
		}
		load.Store(0)
		<-ended
		if took := time.Since(began); leftBehind(dispatcher) != 0 || took > 1500*time.Millisecond {
			t.Errorf("%d are counted after %v, though the server is asked again after a second", leftBehind(dispatcher), took)
		}
		if lease, err := acquire(dispatcher, 100*time.Millisecond); err != nil || lease.ID != "full" {
			t.Errorf("the server that is empty now is not used: %v", err)
		}
		if asked := questions.Load(); asked != 5 {
			t.Errorf("%d questions, want one for each server and one more", asked)
		}
	})
}

// TestBatchWorkKeepsOffServersFullOfRunsLeftBehind: its items are started anew after a loss.
func TestBatchWorkKeepsOffServersFullOfRunsLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher, run, _ := surveyed(t, map[string]http.HandlerFunc{"full": tells("4")})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { run(ctx); close(ended) }()
		time.Sleep(200 * time.Millisecond)
		if got := leftBehind(dispatcher); got != 4 {
			t.Fatalf("%d requests are counted, want 4", got)
		}
		if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease != nil {
			t.Error("batch work goes to a server that is full")
		}
		cancel()
		<-ended
	})
}

// openSurvey is a dispatcher whose only server has not answered yet; it tells that it is empty once
// answer is closed. The survey ends by that, which closes ended.
func openSurvey(t *testing.T) (dispatcher *router.Dispatcher, answer, ended chan struct{}) {
	t.Helper()
	answer, ended = make(chan struct{}), make(chan struct{})
	dispatcher, run, _ := surveyed(t, map[string]http.HandlerFunc{"empty": func(writer http.ResponseWriter, request *http.Request) {
		<-answer
		tells("0")(writer, request)
	}})
	go func() { run(t.Context()); close(ended) }()
	time.Sleep(100 * time.Millisecond)
	return dispatcher, answer, ended
}

// TestBatchWorkWaitsUntilItIsKnownWhatWasLeftBehind, and online work does not.
func TestBatchWorkWaitsUntilItIsKnownWhatWasLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher, answer, ended := openSurvey(t)
		if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease != nil {
			t.Error("batch work starts while the answer is open")
		}
		if lease := dispatcher.TryAcquire("app", balance.Demand{}); lease == nil {
			t.Error("online work waits for the answer")
		}
		close(answer)
		time.Sleep(100 * time.Millisecond)
		if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease == nil {
			t.Error("batch work still waits once the server has told that it is empty")
		}
		<-ended
	})
}

// TestNoNeedIsToldWhileBatchWorkWaitsForAnswers: others would leave room that nobody may take.
func TestNoNeedIsToldWhileBatchWorkWaitsForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher, answer, ended := openSurvey(t)
		dispatcher.SetBatchLoad(1, shortOf(nil, 6, 0))
		other := newDispatcher(4, gate.Set{})
		for sequence, wanted := range []int{0, 6} {
			other.LoadSource().Take(digestOf(dispatcher, "store", uint64(sequence+1)))
			if told := other.ShortItems()[0].Elsewhere; told != wanted {
				t.Errorf("%d items are told of instead of %d", told, wanted)
			}
			if wanted == 0 {
				close(answer)
				<-ended
			}
		}
	})
}

// inquiring is the product's own protocol with a question for loads.
type inquiring struct {
	router.PlainProtocol
	plainInquiry
}

// TestNothingIsAskedOrHeldWithTheGateOff.
func TestNothingIsAskedOrHeldWithTheGateOff(t *testing.T) {
	dispatcher := newDispatcher(4, gate.NewSet([]string{string(gate.LeftBehind)}))
	// There is no watcher: with the gate on it would be looked at.
	dispatcher.Survey(t.Context(), &rockwindpb.SiteSettings{Name: "store"}, nil, inquiring{}, nil)
	if _, asked := dispatcher.LeftBehind(); asked != 0 {
		t.Errorf("%d questions", asked)
	}
	if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease == nil {
		t.Error("batch work is held")
	}
}
