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
	// silencePart is which part of the time for which no coordinator has answered passes until
	// one is asked again. So coordinators that are back are found within some 8% of the time
	// that they were away, and the tries of hundreds of processes do not add up.
	silencePart = 0.05
	// longestPause bounds that: a process that knows only machines that are gone makes no more than
	// some two tries a second, and with three seeds finds one that is back within three seconds.
	longestPause = 500 * time.Millisecond
	// silenceSaid is after how long without an answer the process says so in its log: five
	// times as long as elections take. It says so again each silenceRepeat.
	silenceSaid   = 3 * time.Second
	silenceRepeat = 30 * time.Second
	// answerRecheck is how often calls that wait for the watch look whether it was answered.
	answerRecheck = 100 * time.Millisecond
)

// pauseBetweenTries is how long a process waits until it asks a coordinator again, where none
// has answered for a time. Chance, of [0, 1), spreads it over half to one and a half times its length.
func pauseBetweenTries(silent time.Duration, chance float64) time.Duration {
	pause := min(longestPause, time.Duration(silencePart*float64(silent)))
	if pause <= retryPause {
		return retryPause
	}
	return max(retryPause, time.Duration((0.5+chance)*float64(pause)))
}

// SinceLastAnswer is how long no coordinator has answered a watch of this process, from its start on
// where none has at all.
func (w *Watcher) SinceLastAnswer() time.Duration {
	if heard := w.heard.Load(); heard != 0 {
		return time.Since(time.Unix(0, heard))
	}
	return time.Since(w.started)
}

// WatchFailures is SilentFor, and how many watches failed since the start.
func (w *Watcher) WatchFailures() (silent time.Duration, failed uint64) {
	return w.SinceLastAnswer(), w.failedTries.Load()
}

// awaitAnswer waits while no coordinator has answered a watch for long: the watch finds the one that is
// back, and other calls would only add to its tries. It ends with the context.
func (w *Watcher) awaitAnswer(ctx context.Context) {
	for w.SinceLastAnswer() > silenceSaid && retry.Pause(ctx, answerRecheck) {
	}
}

// saySilence writes now and then that no coordinator answers, and which ones are asked: a process
// that was given seeds that are gone finds no other ones by itself.
func (w *Watcher) saySilence(failure error) {
	w.failedTries.Add(1)
	silent := w.SinceLastAnswer()
	if silent < silenceSaid || (!w.said.IsZero() && time.Since(w.said) < silenceRepeat) {
		return
	}
	w.said = time.Now()
	fields := log.Fields{
		"silent_ms": silent.Milliseconds(), "asked": strings.Join(w.Coordinators(), " "),
		"tries": w.failedTries.Load(), "error": failure.Error(), "known": "the seeds alone",
	}
	if view := w.Directory(); view != nil {
		fields["known"] = "a directory"
	}
	decision.Default.Record(decision.CoordinatorsSilent, w.settings.GetName(), fields)
}
