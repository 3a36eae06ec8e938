package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
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
