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
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// jsonLoadQuery queries the load as a JSON number.
type jsonLoadQuery struct{}

func (jsonLoadQuery) PrepareLoadRequest(header http.Header, serverID string) string {
	header.Set("Server", serverID)
	return "/load"
}

func (jsonLoadQuery) ParseLoad(status int, body []byte) (requests int, err error) {
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	err = json.Unmarshal(body, &requests)
	return requests, err
}

// newSurvey returns a dispatcher that has just started with the given servers by name, a function
// that runs its survey, and the number of load queries. Call it in a synctest bubble.
func newSurvey(t *testing.T, answers map[string]http.HandlerFunc) (dispatcher *router.Dispatcher, run func(ctx context.Context), queries *atomic.Int64) {
	t.Helper()
	queries = &atomic.Int64{}
	register, network := directory.New(), &memoryNetwork{}
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: &rockwindpb.Machine{
		Name: "store", Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "127.0.0.1:1",
	}}})
	for name, answer := range answers {
		network.serve(t, name+":1", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			queries.Add(1)
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
	dispatcher = router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
	dispatcher.Update(register.View())
	client := network.client()
	t.Cleanup(client.Close)
	return dispatcher, func(ctx context.Context) {
		router.RunSurvey(dispatcher, ctx, "store", register.View(), index, jsonLoadQuery{}, client)
	}, queries
}

// reportsLoad responds with a load.
func reportsLoad(load string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(load)) }
}

// orphaned returns how many orphaned requests the dispatcher counts.
func orphaned(dispatcher *router.Dispatcher) int {
	requests, _ := dispatcher.Orphaned()
	return requests
}

// TestServersFullOfOrphanedRunsGetNoRequests uses a full server, an empty one, one that hangs
// and one with an invalid response.
func TestServersFullOfOrphanedRunsGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, release := time.Now(), make(chan struct{})
		var load atomic.Int64
		load.Store(4)
		dispatcher, run, queries := newSurvey(t, map[string]http.HandlerFunc{
			"full": func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, load.Load()) }, "empty": reportsLoad("0"),
			"hangs": func(http.ResponseWriter, *http.Request) { <-release }, "mad": reportsLoad("much"),
		})
		defer close(release)
		ended := make(chan struct{})
		go func() { run(t.Context()); close(ended) }()
		time.Sleep(200 * time.Millisecond)
		if got := orphaned(dispatcher); got != 4 {
			t.Fatalf("%d requests of the full server are counted, want 4", got)
		}
		if own := dispatcher.LoadSource().Own(); len(own.GetServers()) < 2 {
			t.Error("orphaned requests are not shared")
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
		if took := time.Since(began); orphaned(dispatcher) != 0 || took > 1500*time.Millisecond {
			t.Errorf("%d are counted after %v, though the server is asked again after a second", orphaned(dispatcher), took)
		}
		if lease, err := acquire(dispatcher, 100*time.Millisecond); err != nil || lease.ID != "full" {
			t.Errorf("the server that is empty now is not used: %v", err)
		}
		if asked := queries.Load(); asked != 5 {
			t.Errorf("%d load queries, want one for each server and one more", asked)
		}
	})
}

// TestServersFullOfOrphanedRunsGetNoBatchWork covers batch items that are restarted after a
// loss.
func TestServersFullOfOrphanedRunsGetNoBatchWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher, run, _ := newSurvey(t, map[string]http.HandlerFunc{"full": reportsLoad("4")})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { run(ctx); close(ended) }()
		time.Sleep(200 * time.Millisecond)
		if got := orphaned(dispatcher); got != 4 {
			t.Fatalf("%d requests are counted, want 4", got)
		}
		if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease != nil {
			t.Error("batch work goes to a server that is full")
		}
		cancel()
		<-ended
	})
}

// openSurvey returns a dispatcher whose only server responds that it is empty once answer is
// closed. ended is closed at the end of the survey.
func openSurvey(t *testing.T) (dispatcher *router.Dispatcher, answer, ended chan struct{}) {
	t.Helper()
	answer, ended = make(chan struct{}), make(chan struct{})
	dispatcher, run, _ := newSurvey(t, map[string]http.HandlerFunc{"empty": func(writer http.ResponseWriter, request *http.Request) {
		<-answer
		reportsLoad("0")(writer, request)
	}})
	go func() { run(t.Context()); close(ended) }()
	time.Sleep(100 * time.Millisecond)
	return dispatcher, answer, ended
}

// TestBatchWorkWaitsForSurvey checks that batch work waits for the survey and online requests do
// not.
func TestBatchWorkWaitsForSurvey(t *testing.T) {
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
			t.Error("batch work still waits once the server has reported that it is empty")
		}
		<-ended
	})
}

// TestNoNeedIsSharedDuringSurvey guards against other processes reserving capacity that this one
// does not use yet.
func TestNoNeedIsSharedDuringSurvey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher, answer, ended := openSurvey(t)
		dispatcher.SetBatchLoad(1, shardLoadOf(nil, 6, 0))
		other := newDispatcher(4, featuregate.Set{})
		for sequence, wanted := range []int{0, 6} {
			other.LoadSource().Take(digestOf(dispatcher, "store", uint64(sequence+1)))
			if shared := other.ShortItems()[0].Elsewhere; shared != wanted {
				t.Errorf("%d items are shared instead of %d", shared, wanted)
			}
			if wanted == 0 {
				close(answer)
				<-ended
			}
		}
	})
}

// protocolWithLoadQuery is the plain protocol with load queries.
type protocolWithLoadQuery struct {
	router.PlainProtocol
	jsonLoadQuery
}

// TestSurveyIsSkippedWithGateOff checks that there are no load queries and that batch work does
// not wait.
func TestSurveyIsSkippedWithGateOff(t *testing.T) {
	dispatcher := newDispatcher(4, featuregate.NewSet([]string{string(featuregate.Orphans)}))
	// Without a watcher, a survey would panic.
	dispatcher.Survey(t.Context(), &rockwindpb.SiteSettings{Name: "store"}, nil, protocolWithLoadQuery{}, nil)
	if _, asked := dispatcher.Orphaned(); asked != 0 {
		t.Errorf("%d load queries", asked)
	}
	if lease := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); lease == nil {
		t.Error("batch work is held back")
	}
}
