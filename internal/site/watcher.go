// Package site maintains what a process knows of its site: the current configuration and the
// directory of servers and machines. It watches the coordinators, of which it knows a few seeds at
// first and the rest from the directory, and keeps the last known state while none of them
// answers.
package site

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/twirphttp"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// watchWait is how long a coordinator may hold a watch without a change. It bounds how long a
	// process stays with an unresponsive coordinator.
	watchWait = time.Second
	// watchGrace is how much longer than the wait an answer may take.
	watchGrace = 500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 50 * time.Millisecond
	// configurationWait is how long a coordinator may hold a call for a newer configuration. The
	// watch of the directory announces new configurations, so the wait only bounds how long the
	// call hangs at a coordinator that becomes unresponsive.
	configurationWait = 3 * time.Second
	// lostCallTimeout is how long a coordinator may take to begin its answer to a configuration call
	// although it announces a newer configuration. Then the call counts as lost. The time doubles
	// with each lost call, because the coordinator may be slow.
	lostCallTimeout = 500 * time.Millisecond
	// maxLostCallDoublings bounds the time to the timeout of a call.
	maxLostCallDoublings = 3
)

// Watcher watches the coordinators. Run owns its state; the other methods may be called by any
// goroutine.
type Watcher struct {
	settings *rockwindpb.SiteSettings
	topology topology.Map
	client   *http.Client
	follower *follower.Follower

	directory   atomic.Pointer[directory.View]
	quarantine  atomic.Pointer[quarantine.List]
	zoneDrains  atomic.Pointer[zonedrain.List]
	coldServers atomic.Pointer[coldstart.List]
	// configurationFirstAt and directoryFirstAt are when there first was a configuration and a
	// directory, in Unix nanoseconds; zero before that.
	configurationFirstAt, directoryFirstAt atomic.Int64
	// lastContact is when a coordinator last answered a watch, minus the age of the answer, in Unix
	// nanoseconds.
	lastContact atomic.Int64
	// announced is the configuration that the last answer named as the newest, nil before the first.
	announced atomic.Pointer[announcedConfiguration]

	// createdAt is when the watcher was created, and failedWatches counts failed watches.
	createdAt     time.Time
	failedWatches atomic.Uint64
	// silenceLoggedAt is when logSilence last wrote a record. Only the watch goroutine uses it.
	silenceLoggedAt time.Time

	// drainsMutex is held while zone drains are replaced by newer ones, directoryMutex while the directory or the cold
	// servers are.
	drainsMutex, directoryMutex sync.Mutex

	confirmations confirmations

	mutex   sync.Mutex
	changed chan struct{}
	// preferred is the coordinator that answered last.
	preferred string
	// configurationCall is the configuration call in progress, nil if there is none.
	configurationCall *configurationCall
	// lostCalls counts the configuration calls that were aborted as lost since the last answer.
	lostCalls int
	// watchFailed is set if the last watch failed. It is true before the first.
	watchFailed bool
	// avoidedUntil holds until when coordinators that did not answer are tried after the others.
	avoidedUntil map[string]time.Time
}

// NewWatcher returns a watcher without a directory. The folder keeps the configuration across
// restarts; it is empty for processes without a disk.
func NewWatcher(settings *rockwindpb.SiteSettings, client *http.Client, folder string) (*Watcher, error) {
	w := &Watcher{createdAt: time.Now(), settings: settings, topology: Topology(settings), client: client, changed: make(chan struct{}), avoidedUntil: make(map[string]time.Time), watchFailed: true}
	configurationFollower, err := follower.New(follower.Options{
		Sources: []rockwindpb.ConfigurationService{configurationSource{w}},
		Folder:  folder,
		Wait:    configurationWait,
		Retry:   retryPause,
		// After a failure another coordinator is tried at once.
		MaximumRetry: retryPause,
		Log:          log.Log,
	})
	if err != nil {
		return nil, err
	}
	w.follower = configurationFollower
	return w, nil
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { _ = w.follower.Run(ctx); return nil })
	group.Go(func() error { w.watch(ctx); return nil })
	group.Go(func() error { w.relayConfigurationChanges(ctx); return nil })
	return group.Wait()
}

// relayConfigurationChanges records each new configuration and notifies the callers of Changed.
func (w *Watcher) relayConfigurationChanges(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.follower.Changed()
		w.recordConfiguration()
		w.notifyChanged()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recordConfiguration writes a decision record about the current configuration.
func (w *Watcher) recordConfiguration() {
	current := w.Configuration()
	if current.Number() == 0 {
		return
	}
	w.configurationFirstAt.CompareAndSwap(0, time.Now().UnixNano())
	decision.Default.Record(decision.ConfigurationInForce, strconv.FormatUint(current.Number(), 10), log.Fields{
		"routes": len(current.Routes()), "checksum": fmt.Sprintf("%x", current.Checksum()[:4]),
	})
}

// recordDependency writes a decision record if a coordinator stops answering or one answers again.
func (w *Watcher) recordDependency(address string, failure error) {
	w.mutex.Lock()
	failedBefore := w.watchFailed
	w.watchFailed = failure != nil
	w.mutex.Unlock()
	if failedBefore == (failure != nil) {
		return
	}
	fields := log.Fields{"directory": uint64(0), "heard_ms_ago": int64(-1)}
	if w.lastContact.Load() != 0 {
		fields["heard_ms_ago"] = time.Since(w.LastContact()).Milliseconds()
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

// lastWatchFailed reports whether the last watch failed or there was none.
func (w *Watcher) lastWatchFailed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.watchFailed
}

// Configuration returns the current configuration. It has number zero before the first.
func (w *Watcher) Configuration() *configuration.Index { return w.follower.Current() }

// MaxConfigurationAge is how long after a coordinator confirmed that a configuration is the newest a
// process may conclude from it that a route or a key does not exist. Watches are answered once a second.
const MaxConfigurationAge = 2500 * time.Millisecond

// announcedConfiguration is the configuration that a coordinator named as the newest at a time.
type announcedConfiguration struct {
	number uint64
	at     time.Time
}

// ConfigurationAge returns the time since a coordinator confirmed that the current configuration is the
// newest. It is math.MaxInt64 if none has or if the last answer named a newer one.
func (w *Watcher) ConfigurationAge() time.Duration {
	announced := w.announced.Load()
	if announced == nil || announced.number > w.Configuration().Number() {
		return math.MaxInt64
	}
	return time.Since(announced.at)
}

// Directory returns the latest known directory, nil before the first.
func (w *Watcher) Directory() *directory.View { return w.directory.Load() }

// Quarantine returns the list of request contents under which servers ended, nil before the first
// directory.
func (w *Watcher) Quarantine() *quarantine.List { return w.quarantine.Load() }

// ZoneDrains returns the list of drained zones, whose servers get no new work, nil before the
// first directory.
func (w *Watcher) ZoneDrains() *zonedrain.List { return w.zoneDrains.Load() }

// ColdServers returns the list of servers that have reported that they are cold since their registration,
// nil before the first directory.
func (w *Watcher) ColdServers() *coldstart.List { return w.coldServers.Load() }

// Initialized reports whether the watcher has a directory and a configuration, which may have been
// read from disk.
func (w *Watcher) Initialized() bool {
	return w.directory.Load() != nil && w.configurationFirstAt.Load() > 0
}

// InitializedAt returns when the watcher first had a configuration, which may have been read from
// disk, and a directory; the Unix epoch before that.
func (w *Watcher) InitializedAt() (configuration, directory time.Time) {
	return time.Unix(0, w.configurationFirstAt.Load()), time.Unix(0, w.directoryFirstAt.Load())
}

// AwaitInitialized waits until the watcher is initialized. It returns false if the context ends
// before.
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

// LastContact returns when a coordinator that is in contact with its leader last answered.
func (w *Watcher) LastContact() time.Time { return time.Unix(0, w.lastContact.Load()) }

// Changed returns a channel that is closed when the configuration, the directory, the quarantine,
// the zone drains or the cold servers change after the call.
func (w *Watcher) Changed() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changed
}

// notifyChanged wakes the callers of Changed.
func (w *Watcher) notifyChanged() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// watch watches one coordinator after the other until the context ends.
func (w *Watcher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := w.Coordinators()
		if len(addresses) == 0 {
			retry.Pause(ctx, retryPause)
			continue
		}
		address := addresses[0]
		if err := w.watchAt(ctx, address); err != nil {
			w.avoid(address)
			if ctx.Err() == nil {
				w.recordDependency(address, err)
				w.logSilence(err)
			}
		}
		if w.Directory() == nil || w.SinceLastAnswer() > watchWait {
			retry.Pause(ctx, watchRetryPause(w.SinceLastAnswer(), rand.Float64()))
		}
	}
}

// watchAt watches one coordinator until a call fails or a nearer coordinator answers.
func (w *Watcher) watchAt(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nearer := w.searchNearer(ctx, address)
	service := w.directoryAt(address)
	for ctx.Err() == nil {
		if err := w.watchOnce(ctx, address, service); err != nil {
			return err
		}
		select {
		case <-nearer:
			w.clearPreferred()
			return nil
		default:
		}
	}
	return nil
}

// directoryAt returns a client of the directory service at an address.
func (w *Watcher) directoryAt(address string) rockwindpb.DirectoryService {
	return rockwindpb.NewDirectoryServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: w.client})
}

// watchRequest asks for what is newer than the held directory, which may be nil, and than the
// watcher's configuration, quarantine, zone drains and cold servers.
func (w *Watcher) watchRequest(held *directory.View, wait time.Duration) *rockwindpb.WatchDirectoryRequest {
	request := &rockwindpb.WatchDirectoryRequest{
		WaitMs: uint32(wait.Milliseconds()), HaveConfiguration: w.Configuration().Number(), HaveQuarantine: w.Quarantine().Revision(),
		KnowsZoneDrains: true, HaveZoneDrains: w.ZoneDrains().Revision(),
		KnowsColdServers: true, HaveColdServers: w.ColdServers().Revision(),
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
		var release func()
		ctx, release = WithConnectTimeout(ctx, ConnectTimeout)
		defer release()
	}
	wait := watchWait
	if w.lastWatchFailed() {
		// The first answer after a failure shows that the coordinator is reachable, so it must not
		// wait for a change.
		wait = 0
	}
	response, err := service.Watch(ctx, w.watchRequest(held, wait))
	if err != nil {
		return fault.From(err)
	}
	w.recordDependency(address, nil)
	age := time.Duration(response.GetAgeMs()) * time.Millisecond
	answeredAt := time.Now().Add(-age)
	w.lastContact.Store(answeredAt.UnixNano())
	w.announced.Store(&announcedConfiguration{number: response.GetConfigurationNumber(), at: answeredAt})
	w.requestConfiguration(address, response.GetConfigurationNumber())
	w.updateQuarantine(response)
	w.updateZoneDrains(address, response)
	w.updateColdServers(response)
	w.updateDirectory(response)
	if response.GetConfigurationNumber() > w.Configuration().Number() {
		// The follower is fetching the configuration. Until it has it, the next watch would return at
		// once.
		select {
		case <-w.follower.Changed():
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return nil
}

// updateDirectory applies the directory of a response. Watches and confirmations may be answered in any order.
func (w *Watcher) updateDirectory(response *rockwindpb.WatchDirectoryResponse) {
	w.directoryMutex.Lock()
	defer w.directoryMutex.Unlock()
	held := w.Directory()
	merged := directory.Merge(held, response)
	if merged == held {
		return
	}
	w.directory.Store(merged)
	w.directoryFirstAt.CompareAndSwap(0, time.Now().UnixNano())
	w.notifyChanged()
}

// requestConfiguration has the follower ask for the configuration that a coordinator announced, if it
// is newer than the current one. Hints and redirects abort a call in progress and ask the preferred
// coordinator. A recent call at the announcing coordinator is about to be answered and is not aborted.
func (w *Watcher) requestConfiguration(address string, number uint64) {
	changed := w.setPreferred(address)
	if number <= w.Configuration().Number() {
		return
	}
	switch inProgress, lost := w.configurationCallAt(address); {
	case lost || (changed && !inProgress):
		w.follower.Redirect(number)
	case !inProgress:
		w.follower.Hint(number)
	}
}

// updateQuarantine stores the quarantine list of a response if it is newer.
func (w *Watcher) updateQuarantine(response *rockwindpb.WatchDirectoryResponse) {
	if response.GetQuarantineRevision() <= w.Quarantine().Revision() {
		return
	}
	w.quarantine.Store(quarantine.NewList(response.GetQuarantineRevision(), response.GetSuspects(), time.Now()))
	w.notifyChanged()
}

// updateZoneDrains stores the zone drains of a coordinator's response if they are newer. It runs before
// the directory of the same response is stored.
func (w *Watcher) updateZoneDrains(address string, response *rockwindpb.WatchDirectoryResponse) {
	w.drainsMutex.Lock()
	defer w.drainsMutex.Unlock()
	if response.GetZoneDrainsRevision() <= w.ZoneDrains().Revision() {
		return
	}
	drains := zonedrain.NewList(response.GetZoneDrainsRevision(), response.GetZoneDrains())
	w.zoneDrains.Store(drains)
	w.notifyChanged()
	zones := make([]string, 0, len(drains.Drains()))
	for _, drain := range drains.Drains() {
		zones = append(zones, drain.GetZone())
	}
	decision.Default.Record(decision.ZoneDrainsInForce, strconv.FormatUint(drains.Revision(), 10), log.Fields{
		"zones": zones, "coordinator": address, "age_ms": response.GetAgeMs(),
	})
}

// confirmAttemptTimeout bounds the call to one coordinator in ConfirmZoneDrains.
const confirmAttemptTimeout = 100 * time.Millisecond

// ConfirmZoneDrains asks one coordinator after the other which zones are drained, until one answers or the context ends.
func (w *Watcher) ConfirmZoneDrains(ctx context.Context) error {
	var lastErr error = fault.New(fault.Unavailable, "no coordinator is known", "check the seeds of the settings")
	for _, address := range w.Coordinators() {
		callCtx, cancel := context.WithTimeout(ctx, confirmAttemptTimeout)
		response, err := w.directoryAt(address).Watch(callCtx, w.watchRequest(w.Directory(), 0))
		cancel()
		if err == nil {
			w.updateZoneDrains(address, response)
			return nil
		}
		if lastErr = fault.From(err); ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

// updateColdServers stores the cold servers of a response if they are newer. It is called before the
// directory of the same response is stored, so that a server is not used as warm in between.
func (w *Watcher) updateColdServers(response *rockwindpb.WatchDirectoryResponse) {
	w.directoryMutex.Lock()
	defer w.directoryMutex.Unlock()
	if response.GetColdServersRevision() <= w.ColdServers().Revision() {
		return
	}
	cold := coldstart.NewList(response.GetColdServersRevision(), response.GetColdServers())
	w.coldServers.Store(cold)
	w.notifyChanged()
	servers := make([]string, 0, len(cold.Servers()))
	for _, server := range cold.Servers() {
		servers = append(servers, server.GetId())
	}
	decision.Default.Record(decision.ColdServersInForce, strconv.FormatUint(cold.Revision(), 10), log.Fields{"servers": servers})
}

// Stores lists the machines of the directory that run a store, by name.
func (w *Watcher) Stores() []*rockwindpb.Machine {
	return w.Directory().WithRole(rockwindpb.SiteRole_SITE_ROLE_STORE)
}

// Announce announces this machine to the directory. If wantStoreCluster is set it returns the
// founding of the stores' cluster, nil until that is decided. It waits while no coordinator
// answers.
func (w *Watcher) Announce(ctx context.Context, machine *rockwindpb.Machine, wantStoreCluster bool) (*rockwindpb.FoundRequest, error) {
	var founding *rockwindpb.FoundRequest
	w.awaitAnswer(ctx)
	err := w.callCoordinators(ctx, func(callCtx context.Context, address string) error {
		response, err := w.directoryAt(address).Announce(callCtx, &rockwindpb.AnnounceMachineRequest{Machine: machine, WantStoreCluster: wantStoreCluster})
		founding = response.GetStoreCluster()
		return err
	})
	return founding, err
}

// callCoordinators makes a call at one coordinator after the other until one accepts it.
func (w *Watcher) callCoordinators(ctx context.Context, call func(ctx context.Context, address string) error) error {
	var lastErr error
	for _, address := range w.Coordinators() {
		callCtx, cancel := context.WithTimeout(ctx, watchWait)
		err := call(callCtx, address)
		cancel()
		if err == nil {
			return nil
		}
		lastErr = fault.From(err)
	}
	return lastErr
}
