package site

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// leaderlessAfter is how long after the last answer of a coordinator there may be no leader: longer
	// than a watch without changes.
	leaderlessAfter = watchWait + 250*time.Millisecond
	// shareInterval is the pause between two exchanges, and shareWait how long a coordinator waits for a
	// change before it answers.
	shareInterval = 50 * time.Millisecond
	shareWait     = 500 * time.Millisecond
	// shareRetryPause is the pause after an exchange that no coordinator answered, or that found a leader.
	shareRetryPause = 300 * time.Millisecond
	// shareTimeout bounds an exchange beyond its wait.
	shareTimeout = 500 * time.Millisecond
	// sharedTTL is how long the shared list is used after the root group has a leader again: the other
	// processes report to it meanwhile.
	sharedTTL = 3 * time.Second
)

// sharedObservations is what one process knows of the others' unreported observations. While the root
// group has no leader, each process sends its unreported observations to all coordinators that it reaches,
// and receives those of all processes from one of them.
type sharedObservations struct {
	mutex sync.Mutex
	list  *quarantine.List
	// version and source are those of list.
	version *rockwindpb.ShareVersion
	source  string
	// confirmedAt is when a coordinator last confirmed that there is no leader.
	confirmedAt time.Time
	// sent holds for each coordinator which observations were sent to it.
	sent map[string]sentObservations
}

// sentObservations is up to which number the pending observations were sent to a coordinator. Its collection
// has an epoch; a collection with another epoch lacks them.
type sentObservations struct{ epoch, upTo uint64 }

// ShareParts turns the sharing of observations on: prompts with parts in common come to this process.
func (r *QuarantineReporter) ShareParts() { r.sharesParts.Store(true) }

// Shared returns what the unreported observations of all processes hold, nil while the root group has a
// leader.
func (r *QuarantineReporter) Shared() *quarantine.List {
	r.shared.mutex.Lock()
	defer r.shared.mutex.Unlock()
	return r.shared.list
}

// runSharing exchanges unreported observations while the root group has no leader, until the context ends.
func (r *QuarantineReporter) runSharing(ctx context.Context) {
	for retry.Pause(ctx, shareInterval) {
		hasLeader := !r.watcher.lastWatchFailed() && r.watcher.SinceLastAnswer() < leaderlessAfter
		if hasLeader || !r.sharesParts.Load() || r.watcher.Directory() == nil {
			r.endSharing(time.Now())
			continue
		}
		addresses := r.watcher.Coordinators()
		var others sync.WaitGroup
		answered := false
		for _, address := range addresses {
			switch {
			case !answered:
				answered = r.exchangeWith(ctx, address, shareWait)
			case r.unsentTo(address) > 0:
				others.Go(func() { r.exchangeWith(ctx, address, 0) })
			}
		}
		others.Wait()
		if !answered {
			retry.Pause(ctx, shareRetryPause)
		}
	}
}

// exchangeWith exchanges observations with one coordinator and reports whether it answered. With a wait, the list
// of this coordinator is used.
func (r *QuarantineReporter) exchangeWith(ctx context.Context, address string, wait time.Duration) bool {
	observations, upTo := r.unsent(address)
	request := &rockwindpb.ShareUnreportedRequest{Report: newReport(observations, time.Now()), WaitMs: uint32(wait.Milliseconds())}
	r.shared.mutex.Lock()
	if r.shared.source == address {
		request.Have = r.shared.version
	}
	r.shared.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+shareTimeout)
	defer cancel()
	if wait > 0 {
		// New observations end the wait: the other coordinators need them at once.
		go func() {
			select {
			case <-r.observed:
				cancel()
			case <-callCtx.Done():
			}
		}()
	}
	service := rockwindpb.NewQuarantineServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: r.watcher.client})
	response, err := service.ShareUnreported(callCtx, request)
	if err != nil {
		if callCtx.Err() == context.Canceled && ctx.Err() == nil {
			return true
		}
		log.WithError(err).WithField("coordinator", address).Debug("failed to share unreported crashes")
		return false
	}
	if response.GetHasLeader() {
		retry.Pause(ctx, shareRetryPause)
		return true
	}
	r.exchanged(address, upTo, response, wait > 0, time.Now())
	return true
}

// exchanged stores the answer of a coordinator.
func (r *QuarantineReporter) exchanged(address string, upTo uint64, response *rockwindpb.ShareUnreportedResponse, used bool, now time.Time) {
	r.shared.mutex.Lock()
	defer r.shared.mutex.Unlock()
	if r.shared.sent == nil {
		r.shared.sent = make(map[string]sentObservations)
	}
	epoch := response.GetVersion().GetEpoch()
	if known := r.shared.sent[address]; known.upTo > 0 && known.epoch != epoch {
		// The coordinator was restarted, or the root group had a leader meanwhile.
		upTo = 0
	}
	r.shared.sent[address] = sentObservations{epoch: epoch, upTo: upTo}
	if !used {
		return
	}
	r.shared.confirmedAt = now
	if r.shared.source != address || response.GetSuspects() != nil || r.shared.version.GetEpoch() != response.GetVersion().GetEpoch() ||
		r.shared.version.GetRevision() != response.GetVersion().GetRevision() {
		r.shared.list = quarantine.NewList(response.GetVersion().GetRevision(), response.GetSuspects(), now)
	}
	r.shared.source, r.shared.version = address, response.GetVersion()
}

// endSharing drops the shared list some time after the root group has a leader again.
func (r *QuarantineReporter) endSharing(now time.Time) {
	r.shared.mutex.Lock()
	defer r.shared.mutex.Unlock()
	if r.shared.list == nil && r.shared.sent == nil || now.Sub(r.shared.confirmedAt) < sharedTTL {
		return
	}
	r.shared.list, r.shared.version, r.shared.source, r.shared.sent = nil, nil, "", nil
}

// unsent returns the pending observations that a coordinator was not told, and the number of the last one.
func (r *QuarantineReporter) unsent(address string) (observations []observation, upTo uint64) {
	r.shared.mutex.Lock()
	sent := r.shared.sent[address].upTo
	r.shared.mutex.Unlock()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := max(sent, r.pendingFrom) - r.pendingFrom
	if first < uint64(len(r.pending)) {
		observations = append(observations, r.pending[first:min(uint64(len(r.pending)), first+maxBatchSize)]...)
	}
	return observations, r.pendingFrom + first + uint64(len(observations))
}

func (r *QuarantineReporter) unsentTo(address string) int {
	observations, _ := r.unsent(address)
	return len(observations)
}
