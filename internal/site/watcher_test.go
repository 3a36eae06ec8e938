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

// fakeCoordinator answers watches with one state, or hangs.
type fakeCoordinator struct {
	number  atomic.Uint64
	hanging atomic.Bool
	// withholding makes calls for the configuration hang, although the watch of the
	// directory tells its number.
	withholding atomic.Bool
	// lostCalls is how many calls for the configuration are never answered.
	lostCalls atomic.Int64
	// hold is how long calls for the directory are held, in nanoseconds.
	hold atomic.Int64
	// machines are those of the directory. They are set before the start.
	machines []*rockwindpb.Machine
	// watches counts the calls for the directory, and configurationCalls those for the
	// configuration.
	watches, configurationCalls atomic.Int64
}

func newFakeCoordinator(number uint64) *fakeCoordinator {
	made := &fakeCoordinator{}
	made.number.Store(number)
	return made
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
	f.watches.Add(1)
	if err := f.hang(ctx); err != nil {
		return nil, err
	}
	select {
	case <-time.After(time.Duration(f.hold.Load())):
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
	if f.lostCalls.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := f.hang(ctx); err != nil {
		return nil, err
	}
	if request.GetHaveNumber() >= f.number.Load() || f.withholding.Load() {
		// A coordinator holds the call while it has nothing new, and hangs with it
		// when it falls silent meanwhile.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: f.number.Load()})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.WatchConfigurationResponse{Change: index.Full()}, nil
}

// TestConfigurationArrivesAfterTheWatchedCoordinatorFellSilent: the call for a
// newer configuration hangs at a coordinator that has lost its power. News of
// another coordinator must end it, and be fetched from that other one.
func TestConfigurationArrivesAfterTheWatchedCoordinatorFellSilent(t *testing.T) {
	first, second := newFakeCoordinator(1), newFakeCoordinator(2)
	second.hanging.Store(true)
	watcher := follow(t, first.start(t), second.start(t))
	awaitNumber(t, watcher, 1, 10*time.Second)
	first.hanging.Store(true)
	second.hanging.Store(false)
	// One watch of the silent coordinator, and what follows.
	awaitNumber(t, watcher, 2, site.WatchWait+site.WatchGrace+time.Second)
}

// TestNewsOfTheSilentCoordinatorIsFetchedElsewhere: the coordinator tells of a newer
// configuration and loses its power before it hands it over. The call for it hangs
// there; the next coordinator tells the same news, which must end that call.
func TestNewsOfTheSilentCoordinatorIsFetchedElsewhere(t *testing.T) {
	first, second := newFakeCoordinator(1), newFakeCoordinator(2)
	second.hanging.Store(true)
	watcher := follow(t, first.start(t), second.start(t))
	awaitNumber(t, watcher, 1, 10*time.Second)
	first.withholding.Store(true)
	first.number.Store(2)
	// Long enough for the news to arrive.
	time.Sleep(200 * time.Millisecond)
	first.hanging.Store(true)
	second.hanging.Store(false)
	awaitNumber(t, watcher, 2, site.WatchWait+site.WatchGrace+500*time.Millisecond)
}

// TestLostCallAtTheCoordinatorThatAnswersIsMadeAgain: a process that starts asks one
// coordinator for the directory and the configuration. The latter call is lost; it is made
// again long before its time is over.
func TestLostCallAtTheCoordinatorThatAnswersIsMadeAgain(t *testing.T) {
	only := newFakeCoordinator(1)
	only.lostCalls.Store(1)
	watcher := follow(t, only.start(t))
	awaitNumber(t, watcher, 1, site.WatchWait)
}

// TestCallThatHangsIsGivenUpThoughItsCoordinatorIsPreferredAnew: the call for a newer
// configuration hangs at the coordinator that tells of it, whose number was hinted before. The
// coordinator's first answer leaves the call alone, since it waits at the right place; the
// next one ends it.
func TestCallThatHangsIsGivenUpThoughItsCoordinatorIsPreferredAnew(t *testing.T) {
	only := newFakeCoordinator(1)
	watcher := follow(t, only.start(t))
	awaitNumber(t, watcher, 1, 10*time.Second)
	awaitCall := func(before int64) {
		for deadline := time.Now().Add(10 * time.Second); only.configurationCalls.Load() == before; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the configuration is not asked for")
			}
		}
	}
	awaitCall(1)
	watcher.Hint(2)
	awaitCall(2)
	only.number.Store(2)
	watcher.PreferNearest()
	awaitNumber(t, watcher, 2, site.WatchWait)
}

// follow runs a watcher of the given seeds until the end of the test.
func follow(t *testing.T, seeds ...string) *site.Watcher {
	t.Helper()
	return followFrom(t, "", seeds...)
}

func awaitNumber(t *testing.T, watcher *site.Watcher, number uint64, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); watcher.Configuration().Number() != number; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("configuration %d is in force after %v, not %d", watcher.Configuration().Number(), limit, number)
		}
	}
}

// TestWatcherReachesTheOnlyCoordinatorThatAnswers: two of three hang. Each of them
// is tried once, not the two by turns for ever.
func TestWatcherReachesTheOnlyCoordinatorThatAnswers(t *testing.T) {
	var seeds []string
	for range 2 {
		silent := newFakeCoordinator(1)
		silent.hanging.Store(true)
		seeds = append(seeds, silent.start(t))
	}
	seeds = append(seeds, newFakeCoordinator(3).start(t))
	awaitNumber(t, follow(t, seeds...), 3, 3*(site.WatchWait+site.WatchGrace))
}
