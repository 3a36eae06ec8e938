package site_test

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
	"rockwind.example/rockwind/internal/site"
)

// fakeCoordinator answers watches with a fixed directory and a configuration number, or hangs.
type fakeCoordinator struct {
	number  atomic.Uint64
	hanging atomic.Bool
	// hangingConfiguration makes configuration calls hang, although the directory watch reports a
	// newer number.
	hangingConfiguration atomic.Bool
	// droppedCalls is how many configuration calls are never answered.
	droppedCalls atomic.Int64
	// watchDelay is how long directory calls are held, in nanoseconds.
	watchDelay atomic.Int64
	// machines are those of the directory. They must be set before the start.
	machines []*rockwindpb.Machine
	// watches counts the directory calls, and configurationCalls the configuration calls.
	watches, configurationCalls atomic.Int64
}

func newFakeCoordinator(number uint64) *fakeCoordinator {
	created := &fakeCoordinator{}
	created.number.Store(number)
	return created
}

func (f *fakeCoordinator) waitIfHanging(ctx context.Context) error {
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
	f.watches.Add(1)
	if err := f.waitIfHanging(ctx); err != nil {
		return nil, err
	}
	select {
	case <-time.After(time.Duration(f.watchDelay.Load())):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if request.GetHaveRevision() == 1 && request.GetHaveConfiguration() >= f.number.Load() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, ConfigurationNumber: f.number.Load(), Machines: f.machines}, nil
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
	f.configurationCalls.Add(1)
	if f.droppedCalls.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := f.waitIfHanging(ctx); err != nil {
		return nil, err
	}
	if request.GetHaveNumber() >= f.number.Load() || f.hangingConfiguration.Load() {
		// A coordinator holds the call while it has no change.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: f.number.Load()})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.WatchConfigurationResponse{Change: index.FullChange()}, nil
}

// TestConfigurationArrivesAfterTheWatchedCoordinatorHangs: the configuration call hangs at an
// unresponsive coordinator. A change announced by another coordinator must abort it and be fetched
// from that one.
func TestConfigurationArrivesAfterTheWatchedCoordinatorHangs(t *testing.T) {
	first, second := newFakeCoordinator(1), newFakeCoordinator(2)
	second.hanging.Store(true)
	watcher := startWatcher(t, first.start(t), second.start(t))
	awaitConfiguration(t, watcher, 1, 10*time.Second)
	first.hanging.Store(true)
	second.hanging.Store(false)
	// The watch of the unresponsive coordinator must time out first.
	awaitConfiguration(t, watcher, 2, site.WatchWait+site.WatchGrace+time.Second)
}

// TestHangingConfigurationCallIsAbortedByNextCoordinator: a coordinator announces a newer configuration
// and hangs before it delivers it. The same announcement by the next coordinator must abort the call.
func TestHangingConfigurationCallIsAbortedByNextCoordinator(t *testing.T) {
	first, second := newFakeCoordinator(1), newFakeCoordinator(2)
	second.hanging.Store(true)
	watcher := startWatcher(t, first.start(t), second.start(t))
	awaitConfiguration(t, watcher, 1, 10*time.Second)
	first.hangingConfiguration.Store(true)
	first.number.Store(2)
	// Long enough for the watcher to receive the announcement.
	time.Sleep(200 * time.Millisecond)
	first.hanging.Store(true)
	second.hanging.Store(false)
	awaitConfiguration(t, watcher, 2, site.WatchWait+site.WatchGrace+500*time.Millisecond)
}

// TestLostConfigurationCallIsRetriedAtTheSameCoordinator verifies that a lost configuration call
// is retried long before its timeout if the directory watch is answered.
func TestLostConfigurationCallIsRetriedAtTheSameCoordinator(t *testing.T) {
	only := newFakeCoordinator(1)
	only.droppedCalls.Store(1)
	watcher := startWatcher(t, only.start(t))
	awaitConfiguration(t, watcher, 1, site.WatchWait)
}

// TestHangingConfigurationCallIsAbortedAtAReselectedCoordinator: the configuration call hangs at
// the coordinator that announces the configuration, whose number was hinted before. After the
// coordinator is preferred again, its first answer leaves the call alone and the next one aborts
// it.
func TestHangingConfigurationCallIsAbortedAtAReselectedCoordinator(t *testing.T) {
	only := newFakeCoordinator(1)
	watcher := startWatcher(t, only.start(t))
	awaitConfiguration(t, watcher, 1, 10*time.Second)
	awaitCall := func(before int64) {
		for deadline := time.Now().Add(10 * time.Second); only.configurationCalls.Load() == before; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the configuration is not requested")
			}
		}
	}
	awaitCall(1)
	watcher.Hint(2)
	awaitCall(2)
	only.number.Store(2)
	watcher.PreferNearest()
	awaitConfiguration(t, watcher, 2, site.WatchWait)
}

// startWatcher runs a watcher with the given seeds until the end of the test.
func startWatcher(t *testing.T, seeds ...string) *site.Watcher {
	t.Helper()
	return startWatcherInZone(t, "", seeds...)
}

func awaitConfiguration(t *testing.T, watcher *site.Watcher, number uint64, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); watcher.Configuration().Number() != number; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("configuration %d is current after %v, not %d", watcher.Configuration().Number(), limit, number)
		}
	}
}

// TestWatcherReachesTheOnlyCoordinatorThatAnswers guards against alternating between two
// unresponsive coordinators out of three.
func TestWatcherReachesTheOnlyCoordinatorThatAnswers(t *testing.T) {
	var seeds []string
	for range 2 {
		unresponsive := newFakeCoordinator(1)
		unresponsive.hanging.Store(true)
		seeds = append(seeds, unresponsive.start(t))
	}
	seeds = append(seeds, newFakeCoordinator(3).start(t))
	awaitConfiguration(t, startWatcher(t, seeds...), 3, 3*(site.WatchWait+site.WatchGrace))
}
