// Package site keeps what a process knows of its site: the configuration in
// force and the directory of servers and machines. It follows the coordinators,
// of which it knows a few seeds at first and the rest from the directory, and it
// goes on with what it knows while none of them answers.
package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// watchWait is how long a coordinator may hold a call without news. It bounds
	// how long a process goes on with a coordinator that has fallen silent.
	watchWait = time.Second
	// watchGrace is how much longer than the wait an answer may take.
	watchGrace = 500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 50 * time.Millisecond
	// configurationWait is how long a coordinator may hold a call for a newer
	// configuration; the watch of the directory tells at once that there is one. It
	// bounds how long the call hangs at a coordinator that falls silent under it.
	configurationWait = 3 * time.Second
)

// Watcher follows the coordinators. Run owns its state; the other methods may be
// called by any goroutine.
type Watcher struct {
	settings *rockwindpb.SiteSettings
	client   *http.Client
	follower *follower.Follower

	directory  atomic.Pointer[directory.View]
	quarantine atomic.Pointer[quarantine.List]
	zoneDrains atomic.Pointer[zonedrain.List]
	// configurationSince and directorySince are when the first of each was known, in Unix
	// nanoseconds; zero before that.
	configurationSince, directorySince atomic.Int64
	// heard is when a coordinator last answered a watch, in Unix nanoseconds.
	heard atomic.Int64

	// started is when this watcher was made, and failedTries counts the watches that failed.
	started     time.Time
	failedTries atomic.Uint64
	// said is when it was written last that no coordinator answers; the watch's own.
	said time.Time

	// spared is the coordinator whose last answer left a call there alone, empty otherwise;
	// the watch's own.
	spared string

	mutex   sync.Mutex
	changed chan struct{}
	// preferred is the coordinator that answered last.
	preferred string
	// asked is the coordinator that was asked for the configuration last.
	asked string
	// lost tells that the last watch failed; it is true before the first.
	lost bool
	// avoided holds until when coordinators that did not answer come after the
	// others.
	avoided map[string]time.Time
}

// NewWatcher returns a watcher that knows nothing yet. The folder keeps the
// configuration over restarts; it is empty at processes without a disk.
func NewWatcher(settings *rockwindpb.SiteSettings, client *http.Client, folder string) (*Watcher, error) {
	w := &Watcher{started: time.Now(), settings: settings, client: client, changed: make(chan struct{}), avoided: make(map[string]time.Time), lost: true}
	following, err := follower.New(follower.Options{
		Sources: []rockwindpb.ConfigurationService{configurationSource{w}},
		Folder:  folder,
		Wait:    configurationWait,
		Retry:   retryPause,
		// A coordinator that fails is left for the next one at once.
		MaximumRetry: retryPause,
		Log:          log.Log,
	})
	if err != nil {
		return nil, err
	}
	w.follower = following
	return w, nil
}

// Run follows until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { _ = w.follower.Run(ctx); return nil })
	group.Go(func() error { w.watch(ctx); return nil })
	group.Go(func() error { w.passOn(ctx); return nil })
	return group.Wait()
}

// passOn announces each new configuration to those who wait for changes.
func (w *Watcher) passOn(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.follower.Changed()
		w.recordConfiguration()
		w.announce()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recordConfiguration writes which configuration is in force here.
func (w *Watcher) recordConfiguration() {
	current := w.Configuration()
	if current.Number() == 0 {
		return
	}
	w.configurationSince.CompareAndSwap(0, time.Now().UnixNano())
	decision.Default.Record(decision.ConfigurationInForce, strconv.FormatUint(current.Number(), 10), log.Fields{
		"routes": len(current.Routes()), "checksum": fmt.Sprintf("%x", current.Checksum()[:4]),
	})
}

// recordDependency writes that a coordinator was lost, or that one is heard again.
func (w *Watcher) recordDependency(address string, failure error) {
	w.mutex.Lock()
	lost := w.lost
	w.lost = failure != nil
	w.mutex.Unlock()
	if lost == (failure != nil) {
		return
	}
	fields := log.Fields{"directory": uint64(0), "heard_ms_ago": int64(-1)}
	if w.heard.Load() != 0 {
		fields["heard_ms_ago"] = time.Since(w.LastHeard()).Milliseconds()
	}
	if view := w.Directory(); view != nil {
		fields["directory"] = view.Revision()
	}
	if failure != nil {
		fields["error"] = failure.Error()
		decision.Default.Record(decision.DependencyLost, address, fields)
		return
	}
	decision.Default.Record(decision.DependencyRegained, address, fields)
}

// isLost tells whether the last watch failed, or there was none.
func (w *Watcher) isLost() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lost
}

// Configuration is the one in force; it has number zero before the first.
func (w *Watcher) Configuration() *configuration.Index { return w.follower.Current() }

// Directory is the newest directory that is known, nil before the first.
func (w *Watcher) Directory() *directory.View { return w.directory.Load() }

// Quarantine lists the requests under which servers ended, nil before the first directory.
func (w *Watcher) Quarantine() *quarantine.List { return w.quarantine.Load() }

// ZoneDrains lists the zones whose servers get nothing new, nil before the first directory.
func (w *Watcher) ZoneDrains() *zonedrain.List { return w.zoneDrains.Load() }

// Initialized tells whether a configuration and a directory have been heard from a
// coordinator since the start.
func (w *Watcher) Initialized() bool {
	return w.directory.Load() != nil && w.configurationSince.Load() > 0
}

// InitializedAt is when the first configuration and the first directory were known here, with
// those that were read from disk; the Unix epoch before that.
func (w *Watcher) InitializedAt() (configuration, directory time.Time) {
	return time.Unix(0, w.configurationSince.Load()), time.Unix(0, w.directorySince.Load())
}

// AwaitInitialized waits until Known, and returns false where the context ends before.
func (w *Watcher) AwaitInitialized(ctx context.Context) bool {
	for {
		changed := w.Changed()
		if w.Initialized() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// LastHeard is when a coordinator that hears its leader last answered.
func (w *Watcher) LastHeard() time.Time { return time.Unix(0, w.heard.Load()) }

// Changed returns a channel that is closed when the configuration or the
// directory moves past what it was at the call.
func (w *Watcher) Changed() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changed
}

func (w *Watcher) announce() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		known := w.Coordinators()
		if len(known) == 0 {
			retry.Pause(ctx, retryPause)
			continue
		}
		address := known[0]
		if err := w.watchAt(ctx, address); err != nil {
			w.avoid(address)
			if ctx.Err() == nil {
				w.recordDependency(address, err)
				w.saySilence(err)
			}
		}
		if w.Directory() == nil || w.SinceLastAnswer() > watchWait {
			retry.Pause(ctx, pauseBetweenTries(w.SinceLastAnswer(), rand.Float64()))
		}
	}
}

// watchAt makes calls to one coordinator for as long as it answers, or until a nearer
// one answers too.
func (w *Watcher) watchAt(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nearer := w.seekNearer(ctx, address)
	service := w.directoryAt(address)
	for ctx.Err() == nil {
		if err := w.watchOnce(ctx, address, service); err != nil {
			return err
		}
		select {
		case <-nearer:
			w.preferNearest()
			return nil
		default:
		}
	}
	return nil
}

// directoryAt is the directory as the coordinator at an address serves it.
func (w *Watcher) directoryAt(address string) rockwindpb.DirectoryService {
	return rockwindpb.NewDirectoryServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: w.client})
}

// watchRequest asks for what is newer than the held directory, nil for none, and than the
// configuration, the quarantine and the zone drains known here.
func (w *Watcher) watchRequest(held *directory.View, wait time.Duration) *rockwindpb.WatchDirectoryRequest {
	request := &rockwindpb.WatchDirectoryRequest{
		WaitMs: uint32(wait.Milliseconds()), HaveConfiguration: w.Configuration().Number(), HaveQuarantine: w.Quarantine().Revision(),
		KnowsZoneDrains: true, HaveZoneDrains: w.ZoneDrains().Revision(),
	}
	if held != nil {
		request.HaveRevision = held.Revision()
		request.HaveStoreCluster = held.StoreCluster().GetClusterId()
	}
	return request
}

func (w *Watcher) watchOnce(ctx context.Context, address string, service rockwindpb.DirectoryService) error {
	held := w.Directory()
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	if held == nil {
		var disarm func()
		ctx, disarm = WithConnectTimeout(ctx, ConnectTimeout)
		defer disarm()
	}
	wait := watchWait
	if w.isLost() {
		// Nothing may be new; that the coordinator answers is.
		wait = 0
	}
	response, err := service.Watch(ctx, w.watchRequest(held, wait))
	if err != nil {
		return fault.From(err)
	}
	w.recordDependency(address, nil)
	age := time.Duration(response.GetAgeMs()) * time.Millisecond
	w.heard.Store(time.Now().Add(-age).UnixNano())
	// The hint makes the follower ask the preferred coordinator, which must be the
	// one that has the news. A call that waits there already is about to be answered, and
	// is not cut. Where the next answer shows that it was not, it hangs: a hint would not
	// end it, as the number may have been hinted before.
	spared := w.spared == address
	w.spared = ""
	switch changed := w.prefer(address); {
	case changed && w.asks(address):
		w.spared = address
	case changed || spared:
		w.follower.Redirect(response.GetConfigurationNumber())
	default:
		w.follower.Hint(response.GetConfigurationNumber())
	}
	w.takeQuarantine(response)
	w.takeZoneDrains(response)
	merged := directory.Merge(held, response)
	if merged != held {
		w.directory.Store(merged)
		w.directorySince.CompareAndSwap(0, time.Now().UnixNano())
		w.announce()
	}
	if response.GetConfigurationNumber() > w.Configuration().Number() {
		// The follower is fetching it; the next watch would return at once.
		select {
		case <-w.follower.Changed():
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return nil
}

// takeQuarantine takes what a coordinator tells of the quarantine, unless it is known here
// already or older.
func (w *Watcher) takeQuarantine(response *rockwindpb.WatchDirectoryResponse) {
	if response.GetQuarantineRevision() <= w.Quarantine().Revision() {
		return
	}
	w.quarantine.Store(quarantine.NewList(response.GetQuarantineRevision(), response.GetSuspects(), time.Now()))
	w.announce()
}

// takeZoneDrains takes what a coordinator tells of zone drains, unless it is known here already
// or older. It is known before the directory that comes with it.
func (w *Watcher) takeZoneDrains(response *rockwindpb.WatchDirectoryResponse) {
	if response.GetZoneDrainsRevision() <= w.ZoneDrains().Revision() {
		return
	}
	told := zonedrain.NewList(response.GetZoneDrainsRevision(), response.GetZoneDrains())
	w.zoneDrains.Store(told)
	w.announce()
	zones := make([]string, 0, len(told.Drains()))
	for _, drain := range told.Drains() {
		zones = append(zones, drain.GetZone())
	}
	decision.Default.Record(decision.ZoneDrainsInForce, strconv.FormatUint(told.Revision(), 10), log.Fields{"zones": zones})
}

// Stores lists the internal addresses of the stores by name.
func (w *Watcher) Stores() []*rockwindpb.Machine {
	return w.Directory().WithRole(rockwindpb.SiteRole_SITE_ROLE_STORE)
}

// Announce makes this machine known in the directory. Where the founding of the stores'
// cluster is wanted it is returned, nil before it is decided. While no coordinator has
// answered for long it waits for one.
func (w *Watcher) Announce(ctx context.Context, machine *rockwindpb.Machine, wantStoreCluster bool) (*rockwindpb.FoundRequest, error) {
	var founding *rockwindpb.FoundRequest
	w.awaitAnswer(ctx)
	err := w.atCoordinator(ctx, func(calling context.Context, address string) error {
		response, err := w.directoryAt(address).Announce(calling, &rockwindpb.AnnounceMachineRequest{Machine: machine, WantStoreCluster: wantStoreCluster})
		founding = response.GetStoreCluster()
		return err
	})
	return founding, err
}

// atCoordinator makes a call at one coordinator after the other until one takes it.
func (w *Watcher) atCoordinator(ctx context.Context, call func(calling context.Context, address string) error) error {
	var last error
	for _, address := range w.Coordinators() {
		calling, cancel := context.WithTimeout(ctx, watchWait)
		err := call(calling, address)
		cancel()
		if err == nil {
			return nil
		}
		last = fault.From(err)
	}
	return last
}
