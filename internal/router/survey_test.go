package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
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

func (plainInquiry) Question(header http.Header, serverID string) string {
	header.Set("Server", serverID)
	return "/load"
}

func (plainInquiry) Report(status int, body []byte) (requests int, err error) {
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	err = json.Unmarshal(body, &requests)
	return requests, err
}

// surveyed is a dispatcher that has just started before servers that answer as told, by name,
// and how many questions there were.
func surveyed(t *testing.T, answers map[string]http.HandlerFunc) (dispatcher *router.Dispatcher, run func(ctx context.Context), questions *atomic.Int64) {
	t.Helper()
	questions = &atomic.Int64{}
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: &rockwindpb.Machine{
		Name: "store", Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "127.0.0.1:1",
	}}})
	for name, answer := range answers {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			questions.Add(1)
			answer(writer, request)
		}))
		t.Cleanup(server.Close)
		register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
			Id: name, Service: "app", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4,
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
	client := router.NewUpstream()
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

// TestServersThatAreFullOfRunsLeftBehindGetNoRequests until those are over, over real
// connections: one server tells that, one is empty, one hangs and one answers nonsense.
func TestServersThatAreFullOfRunsLeftBehindGetNoRequests(t *testing.T) {
	release := make(chan struct{})
	var load atomic.Int64
	load.Store(4)
	dispatcher, run, questions := surveyed(t, map[string]http.HandlerFunc{
		"full": func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, load.Load()) }, "empty": tells("0"),
		"hangs": func(http.ResponseWriter, *http.Request) { <-release }, "mad": tells("much"),
	})
	defer close(release)
	ended := make(chan struct{})
	go func() { run(t.Context()); close(ended) }()
	await(t, "the load of the full server is counted", func() bool { return leftBehind(dispatcher) == 4 })
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
	await(t, "the server is asked again", func() bool { return leftBehind(dispatcher) == 0 })
	<-ended
	if lease, err := acquire(dispatcher, 100*time.Millisecond); err != nil || lease.ID != "full" {
		t.Errorf("the server that is empty now is not used: %v", err)
	}
	if asked := questions.Load(); asked != 5 {
		t.Errorf("%d questions, want one for each server and one more", asked)
	}
}

// TestBatchWorkKeepsOffServersFullOfRunsLeftBehind: its items are started anew after a loss.
func TestBatchWorkKeepsOffServersFullOfRunsLeftBehind(t *testing.T) {
	dispatcher, run, _ := surveyed(t, map[string]http.HandlerFunc{"full": tells("4")})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { run(ctx); close(ended) }()
	await(t, "the load is counted", func() bool { return leftBehind(dispatcher) == 4 })
	if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease != nil {
		t.Error("batch work goes to a server that is full")
	}
	cancel()
	<-ended
}

// await waits until a check holds.
func await(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !check(); {
		if time.Now().After(deadline) {
			t.Fatal(what + ": not so within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
