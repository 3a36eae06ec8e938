// Package follower keeps a daemon on the newest configuration. It asks the
// control replicas in turn, verifies the checksum of the whole, syncs the
// configuration to disk and only then puts it in force. It never moves to a lower
// number, and goes on with the last configuration while control is away.
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
	// DefaultWait is how long a replica may hold a call without news. It also
	// bounds how long a replica that is cut off can keep a daemon behind.
	DefaultWait = 3 * time.Second
	// firstWait is how long a replica may hold a call of a daemon that has no
	// configuration yet.
	firstWait = 500 * time.Millisecond
	// DefaultGrace is how much longer than the wait an answer may take.
	DefaultGrace = time.Second
	// DefaultRetry is the first pause after a failed call, and the pause after an
	// empty answer that came too early.
	DefaultRetry = 200 * time.Millisecond
	// DefaultMaximumRetry bounds the pause after many failures.
	DefaultMaximumRetry = 3 * time.Second
)

// Options of a follower.
type Options struct {
	// Sources are the control replicas. They are asked in turn, so that one that
	// is cut off or frozen delays a change by one wait at most.
	Sources []rockwindpb.ConfigurationService
	// Folder holds the configurations on disk; it is created. A daemon without a
	// disk leaves it empty and has no configuration after a restart.
	Folder string
	// Log may be nil.
	Log log.Interface
	// Random spreads the retries of many daemons; nil takes a random seed.
	Random *rand.Rand
	// Wait, Grace, Retry and MaximumRetry replace the defaults when above zero.
	Wait         time.Duration
	Grace        time.Duration
	Retry        time.Duration
	MaximumRetry time.Duration
}

// Follower keeps one daemon on the newest configuration. Run owns its state;
// the other methods may be called by any goroutine.
type Follower struct {
	options Options
	store   *store
	current atomic.Pointer[configuration.Index]
	// heard is when a replica last answered, in Unix milliseconds.
	heard atomic.Int64
	// hint wakes Run when a newer number is known to exist.
	hint chan struct{}
	// hinted is the highest number that a hint named.
	hinted atomic.Uint64

	mutex   sync.Mutex
	changed chan struct{}

	// Owned by Run.
	sources []*source
	next    int
	// storeFailures counts the failures to keep a configuration since the last
	// success.
	storeFailures int
	full          bool
	hooks         hooks
}

// hooks let tests break the follower on purpose.
type hooks struct {
	acceptLower bool
	forceFirst  bool
}

// New loads the newest intact configuration from the folder and puts it in
// force; Current is the empty configuration where there is none.
func New(options Options) (*Follower, error) {
	if len(options.Sources) == 0 {
		return nil, fault.New(fault.InvalidArgument, "there is no control replica to follow", "list the control machines in the settings")
	}
	options.complete()
	opened, err := openStore(options.Folder, options.Random)
	if err != nil {
		return nil, err
	}
	follower := &Follower{
		options: options,
		store:   opened,
		hint:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		next:    options.Random.IntN(len(options.Sources)),
	}
	for _, service := range options.Sources {
		follower.sources = append(follower.sources, &source{service: service})
	}
	index, damaged := opened.load()
	for _, err := range damaged {
		options.Log.WithError(err).Warn("a configuration on disk is damaged; an older one is used")
	}
	follower.current.Store(index)
	return follower, nil
}

func (o *Options) complete() {
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

func setDefault(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
}

// Current is the configuration in force. It is never nil.
func (f *Follower) Current() *configuration.Index {
	return f.current.Load()
}

// Changed returns a channel that is closed when the configuration in force
// moves past the one at the time of the call.
func (f *Follower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// LastHeard is when a control replica last answered; zero before the first.
func (f *Follower) LastHeard() time.Time {
	milliseconds := f.heard.Load()
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// Hint tells the follower that a configuration with the number was accepted. If
// it is newer than the one in force, the follower asks the next replica at once.
// It does so once for each number: hints come every few seconds, and a transfer
// that takes longer must not be given up for the same news again.
func (f *Follower) Hint(number uint64) {
	if number > f.Current().Number() && f.firstHint(number) {
		f.wake()
	}
}

// Redirect tells the follower that the replica to ask has changed, and that the new
// one knows a number. A call that hangs at the former one is given up if there is
// something to fetch.
func (f *Follower) Redirect(number uint64) {
	if number <= f.Current().Number() {
		return
	}
	f.firstHint(number)
	f.wake()
}

// wake makes Run ask at once.
func (f *Follower) wake() {
	select {
	case f.hint <- struct{}{}:
	default:
	}
}

// firstHint tells whether no hint named the number or a higher one before.
func (f *Follower) firstHint(number uint64) bool {
	for {
		highest := f.hinted.Load()
		if number <= highest {
			return false
		}
		if f.hinted.CompareAndSwap(highest, number) {
			return true
		}
	}
}

// Run follows until the context ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := f.step(ctx)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-f.hint:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// step asks one replica and returns how long to pause before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	asked := time.Now()
	chosen, due := f.choose(asked)
	if due.After(asked) {
		return due.Sub(asked)
	}
	response, hinted, err := f.watch(ctx, chosen.service)
	if hinted || ctx.Err() != nil {
		return 0
	}
	if err != nil {
		f.options.Log.WithError(err).Debug("a control replica did not answer for configuration")
		f.failed(chosen, fault.From(err))
		return 0
	}
	chosen.answered()
	f.heard.Store(time.Now().UnixMilli())
	if response.GetChange() == nil {
		// An answer without news before the wait is over must not turn into a
		// stream of calls.
		if time.Since(asked) < f.options.Wait/2 {
			return f.jitter(f.options.Retry)
		}
		return 0
	}
	return f.take(response.GetChange())
}

// watch makes one call. It gives up early when a hint says that another replica
// knows more.
func (f *Follower) watch(ctx context.Context, source rockwindpb.ConfigurationService) (response *rockwindpb.WatchConfigurationResponse, hinted bool, err error) {
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
	case <-f.hint:
		cancel()
		<-done
		return response, err != nil, err
	case <-ctx.Done():
		<-done
		return response, false, err
	}
}

// request asks for what comes after the configuration in force. Without any, the
// answer is a whole configuration: the wait is short then, so that most of the
// call's time is left for the transfer.
func (f *Follower) request() *rockwindpb.WatchConfigurationRequest {
	current := f.Current()
	wait := f.options.Wait
	if current.Number() == 0 {
		wait = min(wait, firstWait)
	}
	return &rockwindpb.WatchConfigurationRequest{
		HaveNumber:   current.Number(),
		HaveChecksum: current.Checksum(),
		WaitMs:       uint32(wait.Milliseconds()),
		Full:         f.full,
	}
}

// take puts a change in force, if it is one forward, and returns how long to
// pause.
func (f *Follower) take(change *rockwindpb.ConfigurationChange) time.Duration {
	current := f.Current()
	if !forward(current, change) && !f.hooks.acceptLower {
		// A replica that is behind, or that answered an older call.
		f.full = false
		return f.jitter(f.options.Retry)
	}
	next, err := current.Apply(change)
	if err != nil {
		f.full = true
		f.options.Log.WithError(err).Warn("a change of configuration does not fit; the whole is asked for")
		return f.jitter(f.options.Retry)
	}
	f.full = false
	if err := f.putInForce(change, next); err != nil {
		f.options.Log.WithError(err).Error("the new configuration cannot be kept on disk and is not in force; free or mend the disk")
		return f.backOff()
	}
	f.storeFailures = 0
	if err := f.store.compact(next); err != nil {
		f.options.Log.WithError(err).Warn("the whole configuration cannot be saved; its changes are kept")
	}
	return 0
}

// forward tells whether a change leads to a higher number. A whole configuration
// with the same number and another checksum also counts: control is the
// authority on what was accepted under the number.
func forward(current *configuration.Index, change *rockwindpb.ConfigurationChange) bool {
	if change.GetNumber() != current.Number() {
		return change.GetNumber() > current.Number()
	}
	return change.GetFull() && !bytes.Equal(change.GetChecksum(), current.Checksum())
}

// putInForce syncs the configuration to disk and then makes it current.
func (f *Follower) putInForce(change *rockwindpb.ConfigurationChange, next *configuration.Index) error {
	if f.hooks.forceFirst {
		f.announce(next)
	}
	if err := f.store.save(change, next); err != nil {
		return errors.Wrapf(err, "keep configuration %d", next.Number())
	}
	f.announce(next)
	return nil
}

func (f *Follower) announce(next *configuration.Index) {
	f.current.Store(next)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// backOff is the pause after one more failure of the disk: it doubles, with
// jitter.
func (f *Follower) backOff() time.Duration {
	const maximumDoublings = 16
	pause := f.options.Retry << min(f.storeFailures, maximumDoublings)
	f.storeFailures++
	return f.jitter(min(pause, f.options.MaximumRetry))
}

// jitter spreads a pause over half to one and a half times its length.
func (f *Follower) jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(f.options.Random.Int64N(int64(pause)))
}
