package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/store/claims"
)

// separableCoordinator answers watches with a configuration without routes. No call is answered while it is
// cut off.
type separableCoordinator struct {
	rockwindpb.DirectoryService
	number atomic.Uint64
	cutOff atomic.Bool
}

func (c *separableCoordinator) Watch(ctx context.Context, request *rockwindpb.WatchDirectoryRequest) (*rockwindpb.WatchDirectoryResponse, error) {
	if request.GetHaveRevision() == 1 && request.GetHaveConfiguration() >= c.number.Load() {
		pause(ctx, time.Duration(request.GetWaitMs())*time.Millisecond)
	}
	return &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, ConfigurationNumber: c.number.Load()}, nil
}

// RoundTrip implements http.RoundTripper.
func (c *separableCoordinator) RoundTrip(request *http.Request) (*http.Response, error) {
	if c.cutOff.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	mux := http.NewServeMux()
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewDirectoryServiceServer(c), rockwindpb.NewConfigurationServiceServer(emptyConfigurations{coordinator: c}),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// emptyConfigurations serves configurations without routes.
type emptyConfigurations struct {
	rockwindpb.ConfigurationService
	coordinator *separableCoordinator
}

func (c emptyConfigurations) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	number := c.coordinator.number.Load()
	if request.GetHaveNumber() >= number {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: number})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.WatchConfigurationResponse{Change: index.FullChange()}, nil
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// routelessItem is an item whose route the configuration of its store lacks.
type routelessItem struct {
	*transferShard
	coordinator *separableCoordinator
}

// newRoutelessItem submits a job by a configuration to a store that has configuration 1.
func newRoutelessItem(t *testing.T, accepted uint64) *routelessItem {
	t.Helper()
	shard := newTransferShard(t)
	coordinator := &separableCoordinator{}
	coordinator.number.Store(1)
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Seeds: []string{"10.0.0.1:1"}}, &http.Client{Transport: coordinator}, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = watcher.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	if !watcher.AwaitInitialized(ctx) {
		t.Fatal("the store has no configuration")
	}
	shard.store.watcher, shard.store.movingJobs, shard.executor.moves = watcher, newMovingJobs(), newJobMoves()
	shard.executor.claims = claims.NewTable()
	command, err := proto.Marshal(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: "accepted", Items: []*rockwindpb.StoredItem{{Id: "item", Path: "/item"}}, SubmittedUnixMs: time.Now().UnixMilli(), Configuration: accepted,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := shard.group.Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
	return &routelessItem{transferShard: shard, coordinator: coordinator}
}

// isOpenAfter runs the executor for a time and reports whether the item has no result then.
func (r *routelessItem) isOpenAfter(duration time.Duration) bool {
	r.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(scheduleInterval) {
		r.executor.schedule(r.t.Context())
		synctest.Wait()
		for len(r.executor.ended) > 0 {
			r.executor.finish(<-r.executor.ended)
		}
	}
	open := false
	if err := r.group.Read(r.t.Context(), func() {
		for _, item := range r.machine.OpenItems(func(string, uint32) bool { return true }) {
			open = open || item.Job == "accepted"
		}
	}); err != nil {
		r.t.Fatal(err)
	}
	return open
}

// Guards against items that are given up by a store that is cut off from the coordinators: a newer
// configuration may have their route.
func TestItemIsKeptWhileTheConfigurationMayBeOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoutelessItem(t, 0)
		r.coordinator.cutOff.Store(true)
		time.Sleep(site.MaxConfigurationAge)
		if !r.isOpenAfter(time.Minute) {
			t.Fatal("given up without a coordinator")
		}
		r.coordinator.cutOff.Store(false)
		if r.isOpenAfter(2 * routeGoneAfter) {
			t.Fatal("kept although its route does not exist")
		}
	})
}

// Guards against items that are given up by a configuration earlier than that by which their job was accepted.
func TestItemIsKeptUntilTheConfigurationOfItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoutelessItem(t, 2)
		if !r.isOpenAfter(time.Minute) {
			t.Fatal("given up by an earlier configuration")
		}
		r.coordinator.number.Store(2)
		if r.isOpenAfter(2 * routeGoneAfter) {
			t.Fatal("kept although its route does not exist")
		}
	})
}

// Guards against the shard of another region that has lost the configuration of a job that was moved there.
func TestConfigurationOfAJobMovesWithIt(t *testing.T) {
	machine := jobstore.New()
	for _, command := range []*rockwindpb.JobStoreCommand{
		{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{Id: "job", Items: []*rockwindpb.StoredItem{{Id: "item"}}, Configuration: 7}}},
		{Command: &rockwindpb.JobStoreCommand_Move{Move: jobstore.BeginMove("job", nil, "north", 8)}},
	} {
		encoded, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		machine.Apply(0, encoded)
	}
	if copied := machine.CopyForMove("job", ""); copied.GetConfiguration() != 7 {
		t.Fatalf("configuration %d in the copy", copied.GetConfiguration())
	}
}
