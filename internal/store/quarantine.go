package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/store/retrial"
)

const (
	// grantedTrialLifetime is how long an item may wait for a server after its trial was granted.
	grantedTrialLifetime = 15 * time.Second
	// claimInterval is how long after a claim that was not granted the next one is made.
	claimInterval = 2 * time.Second
)

// itemTrial is the claim of an item to run once although parts of its prompt are held.
type itemTrial struct {
	key     claims.Key
	began   time.Time
	granted atomic.Bool
}

// quarantined reports whether the item must wait because servers failed while running the same
// content, or others with a part of its prompt. It logs the start of a quarantine.
func (e *executor) quarantined(item jobstore.OpenItem, route *rockwindpb.Route, h *history, now time.Time) bool {
	remaining := e.store.crashReporter.QuarantinedFor(func() fingerprint.Fingerprint { return h.content(item) })
	parts := e.partFingerprints(item, h, router.ChooseService(route, item.Item.GetId()))
	held := e.store.crashReporter.HeldParts(parts)
	if remaining == 0 && held.For > 0 && e.mayTryHeld(item, held, now) {
		held = quarantine.HeldParts{}
	}
	remaining = max(remaining, held.For)
	if remaining > 0 && e.mayRetry(item, h, held, now) {
		remaining = 0
	}
	if remaining == 0 {
		h.quarantined, h.quarantinedUntil = false, time.Time{}
		return false
	}
	if !h.quarantined {
		fields := log.Fields{
			"item": item.Index, "item_id": item.Item.GetId(), "content": h.content(item).String(), "held_ms": remaining.Milliseconds(),
		}
		if len(held.Parts) > 0 {
			fields["held_parts"] = fingerprint.Strings(held.Parts)
		}
		decision.Default.Record(decision.ItemHeld, item.Job, fields)
	}
	h.quarantined, h.quarantinedUntil = true, now.Add(remaining)
	return true
}

// mayRetry reports whether a held item may run once, because no server has crashed for a while.
func (e *executor) mayRetry(item jobstore.OpenItem, h *history, held quarantine.HeldParts, now time.Time) bool {
	h.retrial = e.store.retrials.grant(h.retrial, e.store.watcher.Directory(), append([]fingerprint.Fingerprint{h.content(item)}, held.Parts...), now)
	return h.retrial != nil
}

// takeRetrial returns the permission by which a held item has started, nil if it was not held.
func (e *executor) takeRetrial(item jobstore.OpenItem, h *history) *retrial.Trial {
	permission := h.retrial
	h.retrial = nil
	if permission != nil {
		e.store.retrials.start(permission)
		decision.Default.Record(decision.RequestTried, item.Job, log.Fields{"item": item.Index, "item_id": item.Item.GetId(), "content": h.content(item).String()})
	}
	return permission
}

// retrialOutcome returns how an attempt ended for a trial.
func (a *itemAttempt) retrialOutcome(r attemptResult) retrial.Outcome {
	switch {
	case a.broken:
		return retrial.Crashed
	case r.outcome != rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED || r.failed:
		return retrial.Succeeded
	}
	return retrial.NotRun
}

// itemRetrials is a retrial.Tracker for the executors of all shards.
type itemRetrials struct {
	mutex   sync.Mutex
	tracker *retrial.Tracker
}

func newItemRetrials() *itemRetrials {
	return &itemRetrials{tracker: retrial.NewTracker(rand.Float64())}
}

// grant returns the trial of an item if it is still valid, otherwise a new one, or nil.
func (r *itemRetrials) grant(current *retrial.Trial, view *directory.View, keys []fingerprint.Fingerprint, now time.Time) *retrial.Trial {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tracker.Observe(view, now)
	if r.tracker.Valid(current, now) {
		return current
	}
	r.tracker.Withdraw(current)
	return r.tracker.Grant(keys, now)
}

// serverCrashed notes that a server of this store's items has crashed.
func (r *itemRetrials) serverCrashed(server string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tracker.ServerCrashed(server, time.Now())
}

func (r *itemRetrials) start(trial *retrial.Trial) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tracker.Start(trial)
}

func (r *itemRetrials) end(trial *retrial.Trial, server string, outcome retrial.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tracker.End(trial, server, outcome, time.Now())
}

// mayTryHeld reports whether an item may run as a trial of its held parts. It claims the trial in the background
// if that is due.
func (e *executor) mayTryHeld(item jobstore.OpenItem, held quarantine.HeldParts, now time.Time) bool {
	key := claims.NewKey(item.Job, item.Index)
	if trial := e.trial; trial != nil {
		granted, age := trial.granted.Load(), now.Sub(trial.began)
		if granted && age < grantedTrialLifetime {
			return trial.key == key
		}
		if age < claimInterval {
			return false
		}
	}
	e.trial = nil
	if !held.TrialDue {
		return false
	}
	claimed := &itemTrial{key: key, began: now}
	e.trial = claimed
	go func() {
		claimed.granted.Store(e.store.crashReporter.ClaimTrial(context.Background(), held, item.Item.GetId()))
	}()
	return false
}

// trialStarted ends the trial of an item that has started, if there is one.
func (e *executor) trialStarted(item jobstore.OpenItem, parts []fingerprint.Fingerprint) {
	if e.trial == nil || e.trial.key != claims.NewKey(item.Job, item.Index) || !e.trial.granted.Load() {
		return
	}
	e.trial = nil
	decision.Default.Record(decision.RequestTried, item.Job, log.Fields{
		"item": item.Index, "item_id": item.Item.GetId(), "parts": fingerprint.Strings(parts),
	})
}
