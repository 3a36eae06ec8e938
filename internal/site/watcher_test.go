package site

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// fakeCoordinator answers watches with one state, or hangs.
type fakeCoordinator struct {
	number  uint64
	hanging atomic.Bool
}

func (f *fakeCoordinator) hang(ctx context.Context) error {
	if !f.hanging.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeCoordinator) start(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewDirectoryServiceServer(fakeDirectory{f}),
		rockwindpb.NewConfigurationServiceServer(fakeConfiguration{f}),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
	started := httptest.NewServer(mux)
	t.Cleanup(started.Close)
	return strings.TrimPrefix(started.URL, "http://")
}

type fakeDirectory struct{ *fakeCoordinator }

func (f fakeDirectory) Watch(ctx context.Context, request *rockwindpb.WatchDirectoryRequest) (*rockwindpb.WatchDirectoryResponse, error) {
	if err := f.hang(ctx); err != nil {
		return nil, err
	}
	if request.GetHaveRevision() == 1 && request.GetHaveConfiguration() >= f.number {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, ConfigurationNumber: f.number}, nil
}

func (fakeDirectory) Report(context.Context, *rockwindpb.ReportServerRequest) (*rockwindpb.ReportServerResponse, error) {
	return &rockwindpb.ReportServerResponse{}, nil
}

func (fakeDirectory) Leave(context.Context, *rockwindpb.LeaveServerRequest) (*rockwindpb.LeaveServerResponse, error) {
	return &rockwindpb.LeaveServerResponse{}, nil
}

func (fakeDirectory) Announce(context.Context, *rockwindpb.AnnounceMachineRequest) (*rockwindpb.AnnounceMachineResponse, error) {
	return &rockwindpb.AnnounceMachineResponse{}, nil
}

func (fakeDirectory) Note(context.Context, *rockwindpb.NoteServersRequest) (*rockwindpb.NoteServersResponse, error) {
	return &rockwindpb.NoteServersResponse{}, nil
}

func (fakeDirectory) Change(context.Context, *rockwindpb.DirectoryCommand) (*rockwindpb.AnnounceMachineResponse, error) {
	return &rockwindpb.AnnounceMachineResponse{}, nil
}

func (fakeDirectory) Retire(context.Context, *rockwindpb.RetireMachine) (*rockwindpb.RetireMachineResponse, error) {
	return &rockwindpb.RetireMachineResponse{}, nil
}

type fakeConfiguration struct{ *fakeCoordinator }

func (fakeConfiguration) Apply(context.Context, *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	return &rockwindpb.ApplyConfigurationResponse{}, nil
}

func (fakeConfiguration) Get(context.Context, *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	return &rockwindpb.GetConfigurationResponse{}, nil
}

func (f fakeConfiguration) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	if err := f.hang(ctx); err != nil {
		return nil, err
	}
	if request.GetHaveNumber() >= f.number {
		// A coordinator holds the call while it has nothing new, and hangs with it
		// when it falls silent meanwhile.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: f.number})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.WatchConfigurationResponse{Change: index.Full()}, nil
}

// TestConfigurationArrivesAfterTheWatchedCoordinatorFellSilent: the call for a
// newer configuration hangs at a coordinator that has lost its power. News of
// another coordinator must end it, and be fetched from that other one.
func TestConfigurationArrivesAfterTheWatchedCoordinatorFellSilent(t *testing.T) {
	first, second := &fakeCoordinator{number: 1}, &fakeCoordinator{number: 2}
	second.hanging.Store(true)
	settings := &rockwindpb.SiteSettings{Name: "front", Seeds: []string{first.start(t), second.start(t)}}
	watcher, err := NewWatcher(settings, &http.Client{Transport: &http.Transport{}}, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	await := func(number uint64, limit time.Duration) {
		t.Helper()
		for deadline := time.Now().Add(limit); watcher.Configuration().Number() != number; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("configuration %d is in force after %v, not %d", watcher.Configuration().Number(), limit, number)
			}
		}
	}
	await(1, 10*time.Second)
	first.hanging.Store(true)
	second.hanging.Store(false)
	// One watch of the silent coordinator, and what follows.
	await(2, watchWait+watchGrace+time.Second)
}

// TestWatcherReachesTheOnlyCoordinatorThatAnswers: two of three hang. Each of them
// is tried once, not the two by turns for ever.
func TestWatcherReachesTheOnlyCoordinatorThatAnswers(t *testing.T) {
	var seeds []string
	for range 2 {
		silent := &fakeCoordinator{number: 1}
		silent.hanging.Store(true)
		seeds = append(seeds, silent.start(t))
	}
	seeds = append(seeds, (&fakeCoordinator{number: 3}).start(t))
	settings := &rockwindpb.SiteSettings{Name: "front", Seeds: seeds}
	watcher, err := NewWatcher(settings, &http.Client{Transport: &http.Transport{}}, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	limit := 3 * (watchWait + watchGrace)
	for deadline := time.Now().Add(limit); watcher.Configuration().Number() != 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the coordinator that answers is not reached in %v", limit)
		}
	}
}
