package site

import (
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
)

const (
	// directoryAttemptTimeout bounds the call to one coordinator in ConfirmDirectory. It covers the way to a leader in
	// another region.
	directoryAttemptTimeout = 200 * time.Millisecond
	// maxConfirmationDelay is how long a confirmation waits for the end of the one before. Longer waits would have it
	// wait for a coordinator that does not answer.
	maxConfirmationDelay = 100 * time.Millisecond
)

// confirmation is a confirmation of the directory, shared by the callers that came before it began. It ends early once
// none of them waits.
type confirmation struct {
	ctx    context.Context
	cancel context.CancelFunc
	// callers is the number of those that wait.
	callers int
	// done is closed at its end.
	done     chan struct{}
	revision uint64
	err      error
}

// confirmations shares confirmations among callers. One that has begun is of no use to a later caller, since it may have
// been answered before. The zero value is ready to use.
type confirmations struct {
	mutex sync.Mutex
	// begun is the last one that has begun, and waiting one that begins soon; nil if there is none.
	begun, waiting *confirmation
}

// join returns a confirmation that begins after the call.
func (c *confirmations) join(confirm func(ctx context.Context) (revision uint64, err error)) *confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == nil {
		ctx, cancel := context.WithCancel(context.Background())
		c.waiting = &confirmation{ctx: ctx, cancel: cancel, done: make(chan struct{})}
		go c.run(c.waiting, c.begun, confirm)
	}
	c.waiting.callers++
	return c.waiting
}

// leave records that a caller no longer waits for a confirmation.
func (c *confirmations) leave(left *confirmation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if left.callers--; left.callers == 0 && left != c.waiting {
		left.cancel()
	}
}

// run makes a confirmation after an earlier one, which may be nil.
func (c *confirmations) run(joined, earlier *confirmation, confirm func(ctx context.Context) (revision uint64, err error)) {
	defer joined.cancel()
	defer close(joined.done)
	if earlier != nil {
		delay := time.NewTimer(maxConfirmationDelay)
		defer delay.Stop()
		select {
		case <-earlier.done:
		case <-delay.C:
		}
	}
	c.mutex.Lock()
	c.begun, c.waiting = joined, nil
	if joined.callers == 0 {
		joined.cancel()
	}
	c.mutex.Unlock()
	joined.revision, joined.err = confirm(joined.ctx)
}

// ConfirmDirectory makes sure that Directory has everything that was committed before the call, and returns the revision
// as of which it does. Otherwise the fault says why no leader of the coordinators confirmed it.
func (w *Watcher) ConfirmDirectory(ctx context.Context) (revision uint64, err error) {
	joined := w.confirmations.join(w.confirmDirectory)
	defer w.confirmations.leave(joined)
	select {
	case <-joined.done:
		return joined.revision, joined.err
	case <-ctx.Done():
		return 0, fault.New(fault.Unavailable, "no coordinator has confirmed the directory in time", "try again")
	}
}

// confirmDirectory asks one coordinator after the other until a leader has answered or the context ends.
func (w *Watcher) confirmDirectory(ctx context.Context) (revision uint64, err error) {
	lastErr := error(fault.New(fault.Unavailable, "no coordinator is known", "check the seeds of the settings"))
	for {
		for _, address := range w.Coordinators() {
			if revision, err = w.confirmDirectoryAt(ctx, address); err == nil {
				return revision, nil
			}
			if lastErr = err; ctx.Err() != nil {
				return 0, lastErr
			}
		}
		if !retry.Pause(ctx, retryPause) {
			return 0, lastErr
		}
	}
}

// confirmDirectoryAt asks one coordinator for a linearizable answer and applies it.
func (w *Watcher) confirmDirectoryAt(ctx context.Context, address string) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, directoryAttemptTimeout)
	defer cancel()
	request := w.watchRequest(w.Directory(), 0)
	request.Linearizable = true
	response, err := w.directoryAt(address).Watch(ctx, request)
	if err != nil {
		return 0, fault.From(err)
	}
	if !response.GetLinearizable() {
		return 0, fault.Newf(fault.Unavailable, "upgrade it", "the coordinator at %s is of a version that does not confirm directories", address)
	}
	w.updateZoneDrains(address, response)
	w.updateColdServers(response)
	w.updateDirectory(response)
	return response.GetRevision(), nil
}
