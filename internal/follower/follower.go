// Package follower keeps a daemon on the latest configuration. It polls the control replicas in
// turn, verifies the checksum of the full configuration, syncs it to disk and then makes it
// current. It never goes back to a lower number, and keeps the last configuration while control is
// unreachable.
package follower

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Defaults of the options.
const (
	// DefaultWait is how long a replica may hold a call without a change. It also bounds how long a
	// partitioned replica can delay an update.
	DefaultWait = 3 * time.Second
	// initialWait is how long a replica may hold a call of a daemon that has no configuration yet.
	initialWait = 500 * time.Millisecond
	// DefaultGrace is how much longer than the wait an answer may take.
	DefaultGrace = time.Second
	// DefaultRetry is the first pause after a failed call, and the pause after an early answer
	// without a change.
	DefaultRetry = 200 * time.Millisecond
	// DefaultMaximumRetry bounds the pause after repeated failures.
	DefaultMaximumRetry = 3 * time.Second
)

// Options are the options of a follower.
type Options struct {
	// Sources are the control replicas. They are polled in turn, so that a partitioned or hanging
	// one delays an update by one wait at most.
	Sources []rockwindpb.ConfigurationService
	// Folder holds the configurations on disk and is created if needed. If it is empty, nothing is
	// stored and there is no configuration after a restart.
	Folder string
	// Log is the destination of log messages; the default logger if nil.
	Log log.Interface
	// Random adds jitter to retries; a randomly seeded source if nil.
	Random *rand.Rand
	// Wait, Grace, Retry and MaximumRetry override the defaults if they are positive.
	Wait         time.Duration
	Grace        time.Duration
	Retry        time.Duration
	MaximumRetry time.Duration
}

// Follower keeps one daemon on the latest configuration. Run owns its state; the other methods may
// be called by any goroutine.
type Follower struct {
	options Options
	store   *store
	current atomic.Pointer[configuration.Index]
	// lastHeard is when a replica last answered, in Unix milliseconds.
	lastHeard atomic.Int64
	// wakeups wakes Run when a newer configuration is known to exist.
	wakeups chan struct{}
	// highestHint is the highest number passed to Hint or Redirect.
	highestHint atomic.Uint64

	mutex   sync.Mutex
	changed chan struct{}

	// Owned by Run.
	sources    []*source
	nextSource int
	// saveFailures counts the failed attempts to save a configuration since the last success.
	saveFailures int
	// requestFull asks for a full configuration, because a change could not be applied.
	requestFull bool
	hooks       testHooks
}

// testHooks let tests inject defects.
type testHooks struct {
	acceptOlder  bool
	publishFirst bool
}

// New loads the latest intact configuration from the folder. Without one, Current returns the
// empty configuration.
func New(options Options) (*Follower, error) {
	if len(options.Sources) == 0 {
		return nil, fault.New(fault.InvalidArgument, "no control replica is configured", "list the control machines in the settings")
	}
	options.setDefaults()
	store, err := openStore(options.Folder, options.Random)
	if err != nil {
		return nil, err
	}
	follower := &Follower{
		options:    options,
		store:      store,
		wakeups:    make(chan struct{}, 1),
		changed:    make(chan struct{}),
		nextSource: options.Random.IntN(len(options.Sources)),
	}
	for _, service := range options.Sources {
		follower.sources = append(follower.sources, &source{service: service})
	}
	index, loadErrs := store.load()
	for _, err := range loadErrs {
		options.Log.WithError(err).Warn("a configuration on disk is damaged; using an older one")
	}
	follower.current.Store(index)
	return follower, nil
}

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	setDefault(&o.Wait, DefaultWait)
	setDefault(&o.Grace, DefaultGrace)
	setDefault(&o.Retry, DefaultRetry)
	setDefault(&o.MaximumRetry, DefaultMaximumRetry)
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Current returns the current configuration. It is never nil.
func (f *Follower) Current() *configuration.Index {
	return f.current.Load()
}

// Changed returns a channel that is closed when the configuration changes after the call.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// LastHeard returns when a control replica last answered, the zero time if none has.
func (f *Follower) LastHeard() time.Time {
	milliseconds := f.lastHeard.Load()
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// Hint tells the follower that a configuration with the number was accepted. If it is newer than
// the current one, the follower polls the next replica at once. It does so once for each number:
// hints are repeated every few seconds, and must not abort a transfer that takes longer.
func (f *Follower) Hint(number uint64) {
	if number > f.Current().Number() && f.raiseHint(number) {
		f.wake()
	}
}

// Redirect tells the follower that another replica is to be asked now, which has a configuration
// with the number. If it is newer than the current one, a call in progress at the previous replica
// is aborted.
func (f *Follower) Redirect(number uint64) {
	if number <= f.Current().Number() {
		return
	}
	f.raiseHint(number)
	f.wake()
}

// wake makes Run poll at once.
func (f *Follower) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// raiseHint records a hinted number, and reports whether it is higher than all before.
func (f *Follower) raiseHint(number uint64) bool {
	for {
		highest := f.highestHint.Load()
		if number <= highest {
			return false
		}
		if f.highestHint.CompareAndSwap(highest, number) {
			return true
		}
	}
}

// Run follows until the context ends, and returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := f.step(ctx)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-f.wakeups:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// step polls one replica and returns the pause before the next step.
func (f *Follower) step(ctx context.Context) time.Duration {
	startedAt := time.Now()
	selected, retryAt := f.selectSource(startedAt)
	if retryAt.After(startedAt) {
		return retryAt.Sub(startedAt)
	}
	response, interrupted, err := f.watch(ctx, selected.service)
	if interrupted || ctx.Err() != nil {
		return 0
	}
	if err != nil {
		f.options.Log.WithError(err).Debug("a control replica did not answer a configuration watch")
		f.recordFailure(selected, fault.From(err))
		return 0
	}
	selected.recordSuccess()
	f.lastHeard.Store(time.Now().UnixMilli())
	if response.GetChange() == nil {
		// Early answers without a change must not cause a busy loop.
		if time.Since(startedAt) < f.options.Wait/2 {
			return f.jitter(f.options.Retry)
		}
		return 0
	}
	return f.applyChange(response.GetChange())
}

// watch makes one call, which Hint and Redirect interrupt.
func (f *Follower) watch(ctx context.Context, source rockwindpb.ConfigurationService) (response *rockwindpb.WatchConfigurationResponse, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+f.options.Grace)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err = source.Watch(ctx, f.request())
	}()
	select {
	case <-done:
		return response, false, err
	case <-f.wakeups:
		cancel()
		<-done
		return response, err != nil, err
	case <-ctx.Done():
		<-done
		return response, false, err
	}
}

// request returns the request for what is newer than the current configuration. The first answer
// is a full configuration, for which the wait is short to leave most of the timeout for the
// transfer.
func (f *Follower) request() *rockwindpb.WatchConfigurationRequest {
	current := f.Current()
	wait := f.options.Wait
	if current.Number() == 0 {
		wait = min(wait, initialWait)
	}
	return &rockwindpb.WatchConfigurationRequest{
		HaveNumber:   current.Number(),
		HaveChecksum: current.Checksum(),
		WaitMs:       uint32(wait.Milliseconds()),
		Full:         f.requestFull,
	}
}

// applyChange applies a change if it is newer, saves the result and makes it current. It returns
// the pause before the next step.
func (f *Follower) applyChange(change *rockwindpb.ConfigurationChange) time.Duration {
	current := f.Current()
	if !isNewer(current, change) && !f.hooks.acceptOlder {
		// The replica is behind, or the answer belongs to an earlier call.
		f.requestFull = false
		return f.jitter(f.options.Retry)
	}
	next, err := current.Apply(change)
	if err != nil {
		f.requestFull = true
		f.options.Log.WithError(err).Warn("cannot apply a configuration change; requesting the full configuration")
		return f.jitter(f.options.Retry)
	}
	f.requestFull = false
	if err := f.saveAndPublish(change, next); err != nil {
		f.options.Log.WithError(err).Error("cannot save the new configuration, which is not applied; free or repair the disk")
		return f.backOff()
	}
	f.saveFailures = 0
	if err := f.store.compact(next); err != nil {
		f.options.Log.WithError(err).Warn("cannot save the full configuration; keeping its changes")
	}
	return 0
}

// isNewer reports whether a change leads to a higher number. A full configuration with the same
// number and another checksum also counts, because control is the authority on the configurations.
func isNewer(current *configuration.Index, change *rockwindpb.ConfigurationChange) bool {
	if change.GetNumber() != current.Number() {
		return change.GetNumber() > current.Number()
	}
	return change.GetFull() && !bytes.Equal(change.GetChecksum(), current.Checksum())
}

// saveAndPublish syncs the configuration to disk and then makes it current.
func (f *Follower) saveAndPublish(change *rockwindpb.ConfigurationChange, next *configuration.Index) error {
	if f.hooks.publishFirst {
		f.publish(next)
	}
	if err := f.store.save(change, next); err != nil {
		return errors.Wrapf(err, "save configuration %d", next.Number())
	}
	f.publish(next)
	return nil
}

// publish makes a configuration current and notifies the callers of Changed.
func (f *Follower) publish(next *configuration.Index) {
	f.current.Store(next)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// backOff returns the pause after another failure to save: exponential, with jitter.
func (f *Follower) backOff() time.Duration {
	const maximumDoublings = 16
	pause := f.options.Retry << min(f.saveFailures, maximumDoublings)
	f.saveFailures++
	return f.jitter(min(pause, f.options.MaximumRetry))
}

// jitter returns a random pause of half to one and a half times the given one.
func (f *Follower) jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(f.options.Random.Int64N(int64(pause)))
}
