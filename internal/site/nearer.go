package site

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

const (
	// firstSeek is the time until a process that watches a far coordinator first looks
	// for a nearer one: coordinators become known one after the other at a start.
	firstSeek = time.Second
	// seekInterval is the time between later looks. A look costs one call.
	seekInterval = 5 * time.Second
	// MaxStartupHold is how long a coordinator that has just started holds calls until it is up to
	// date with its leader: as long as an election takes at most where all coordinators answer. One
	// that is cut off holds up those who ask it for no longer.
	MaxStartupHold = 600 * time.Millisecond
	// seekTimeout bounds the call that shows whether a coordinator answers: one that holds it
	// has not failed. Beside the hold it leaves time for the way and the answer.
	seekTimeout = MaxStartupHold + 200*time.Millisecond
	// seekSpread is the largest part of an interval that chance adds to it, so that the
	// watchers of a coordinator that is back do not come together.
	seekSpread = 0.5
)

// seekNearer looks for a coordinator that is nearer than the given one and answers, until
// the context ends, and closes the channel when there is one. The watch goes on meanwhile,
// so that a coordinator that does not answer delays nothing.
func (w *Watcher) seekNearer(ctx context.Context, address string) <-chan struct{} {
	found := make(chan struct{})
	go func() {
		pause := firstSeek
		for retry.Pause(ctx, spread(pause)) {
			pause = seekInterval
			for _, candidate := range w.nearerThan(address) {
				if w.answers(ctx, candidate) {
					w.readmit(candidate)
					close(found)
					return
				}
				w.avoid(candidate)
			}
		}
	}()
	return found
}

func spread(pause time.Duration) time.Duration {
	return pause + time.Duration(seekSpread*rand.Float64()*float64(pause))
}

// nearerThan lists the coordinators that come before the given one by distance.
func (w *Watcher) nearerThan(address string) []string {
	known := w.byDistance()
	if place := slices.Index(known, address); place >= 0 {
		return known[:place]
	}
	return known
}

// answers tells whether a coordinator hears its leader and holds what is known here.
func (w *Watcher) answers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, seekTimeout)
	defer cancel()
	held := w.Directory()
	response, err := w.directoryAt(address).Watch(ctx, w.watchRequest(held, 0))
	return err == nil && response.GetRevision() >= held.Revision() &&
		response.GetConfigurationNumber() >= w.Configuration().Number()
}
