package site

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

const (
	// firstSearchDelay is the delay of the first search for a coordinator nearer than the watched
	// one. During a start, coordinators become known one after the other.
	firstSearchDelay = time.Second
	// searchInterval is the time between later searches.
	searchInterval = 5 * time.Second
	// MaxStartupHold bounds how long a coordinator holds calls after its start until it is up to
	// date with its leader. It covers an election; a partitioned coordinator delays its callers by
	// no more than that.
	MaxStartupHold = 600 * time.Millisecond
	// probeTimeout bounds the call that probes a coordinator. It exceeds MaxStartupHold, because a
	// coordinator that holds the call has not failed.
	probeTimeout = MaxStartupHold + 200*time.Millisecond
	// searchJitter is the largest fraction of an interval that is randomly added to it, so that
	// watchers do not return to a recovered coordinator all at once.
	searchJitter = 0.5
)

// searchNearer searches for a coordinator that is nearer than the given one and answers, until the
// context ends. It closes the returned channel when it has found one. The watch continues
// meanwhile, so that coordinators that do not answer delay nothing.
func (w *Watcher) searchNearer(ctx context.Context, address string) <-chan struct{} {
	found := make(chan struct{})
	go func() {
		pause := firstSearchDelay
		for retry.Pause(ctx, addJitter(pause)) {
			pause = searchInterval
			for _, candidate := range w.nearerThan(address) {
				if w.probe(ctx, candidate) {
					w.clearAvoided(candidate)
					close(found)
					return
				}
				w.avoid(candidate)
			}
		}
	}()
	return found
}

func addJitter(pause time.Duration) time.Duration {
	return pause + time.Duration(searchJitter*rand.Float64()*float64(pause))
}

// nearerThan lists the coordinators that are nearer than the given one.
func (w *Watcher) nearerThan(address string) []string {
	known := w.byDistance()
	if position := slices.Index(known, address); position >= 0 {
		return known[:position]
	}
	return known
}

// probe reports whether a coordinator is in contact with its leader and at least as up to date as
// this watcher.
func (w *Watcher) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	held := w.Directory()
	response, err := w.directoryAt(address).Watch(ctx, w.watchRequest(held, 0))
	return err == nil && response.GetRevision() >= held.Revision() &&
		response.GetConfigurationNumber() >= w.Configuration().Number()
}
