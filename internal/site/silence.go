package site

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/retry"
)

const (
	// pauseFraction is the pause between watches as a fraction of the time since the last answer.
	// Recovered coordinators are thus found within 8% of their downtime, while the load by
	// hundreds of processes remains bounded.
	pauseFraction = 0.05
	// maxPause bounds the pause between watches. A process whose coordinators are all unreachable
	// makes about two attempts per second, and finds a recovered one of three seeds within three
	// seconds.
	maxPause = 500 * time.Millisecond
	// silenceThreshold is the time without an answer after which the process logs it, several
	// times the duration of an election. It logs it again at silenceLogInterval.
	silenceThreshold   = 3 * time.Second
	silenceLogInterval = 30 * time.Second
	// answerPollInterval is how often awaitAnswer checks for an answer.
	answerPollInterval = 100 * time.Millisecond
)

// watchRetryPause returns the pause before the next watch, given the time since the last answer. A
// random number in [0, 1) spreads it over half to one and a half times its length.
func watchRetryPause(sinceAnswer time.Duration, random float64) time.Duration {
	pause := min(maxPause, time.Duration(pauseFraction*float64(sinceAnswer)))
	if pause <= retryPause {
		return retryPause
	}
	return max(retryPause, time.Duration((0.5+random)*float64(pause)))
}

// SinceLastAnswer returns the time since a coordinator last answered a watch, or since the
// creation of the watcher if none has.
func (w *Watcher) SinceLastAnswer() time.Duration {
	if lastContact := w.lastContact.Load(); lastContact != 0 {
		return time.Since(time.Unix(0, lastContact))
	}
	return time.Since(w.createdAt)
}

// WatchFailures returns SinceLastAnswer and the number of failed watches since the creation of the
// watcher.
func (w *Watcher) WatchFailures() (sinceAnswer time.Duration, failed uint64) {
	return w.SinceLastAnswer(), w.failedWatches.Load()
}

// awaitAnswer waits while no coordinator has answered for longer than silenceThreshold, or until
// the context ends. The watch finds a recovered coordinator, and other calls would only add load.
func (w *Watcher) awaitAnswer(ctx context.Context) {
	for w.SinceLastAnswer() > silenceThreshold && retry.Pause(ctx, answerPollInterval) {
	}
}

// logSilence records at intervals that no coordinator answers and which ones are tried. A process
// whose seeds are all gone cannot find other coordinators by itself.
func (w *Watcher) logSilence(failure error) {
	w.failedWatches.Add(1)
	sinceAnswer := w.SinceLastAnswer()
	if sinceAnswer < silenceThreshold || (!w.silenceLoggedAt.IsZero() && time.Since(w.silenceLoggedAt) < silenceLogInterval) {
		return
	}
	w.silenceLoggedAt = time.Now()
	fields := log.Fields{
		"silent_ms": sinceAnswer.Milliseconds(), "asked": strings.Join(w.Coordinators(), " "),
		"tries": w.failedWatches.Load(), "error": failure.Error(), "known": "the seeds alone",
	}
	if view := w.Directory(); view != nil {
		fields["known"] = "a directory"
	}
	decision.Default.Record(decision.CoordinatorsSilent, w.settings.GetName(), fields)
}
