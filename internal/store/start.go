package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/topology"
)

// process starts an item, gives it up or skips it. It returns false if no server has a slot for
// batch work.
func (e *executor) process(ctx context.Context, item jobstore.OpenItem, now time.Time) bool {
	h := e.historyOf(item)
	if now.Before(h.retryAt) {
		return true
	}
	route, status := e.route(item)
	h.updateRoute(status, now)
	if reason := giveUpReason(item, route, h, now); reason != "" {
		e.giveUp(item, h, reason)
		return true
	}
	if status != routeFound || e.quarantined(item, route, h, now) {
		return true
	}
	return e.start(ctx, item, route, h, now)
}

// historyOf returns the history of an item with the recorded failures.
func (e *executor) historyOf(item jobstore.OpenItem) *history {
	key := claims.NewKey(item.Job, item.Index)
	h := e.history[key]
	if h == nil {
		h = e.newHistory(item)
		e.history[key] = h
	}
	h.mergeFailures(item)
	return h
}

// giveUp records an item as failed.
func (e *executor) giveUp(item jobstore.OpenItem, h *history, reason string) {
	claim, ok := e.claims.Acquire(claims.NewKey(item.Job, item.Index), func() {})
	if !ok {
		return
	}
	e.finish(attemptResult{
		claim: claim, outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD, history: h, reason: reason, item: item.Item.GetId(),
		configuration: e.store.watcher.Configuration().Number(),
	})
}

// start starts an attempt of an item. It returns false if no server has a slot for batch work,
// for this or any other tenant.
func (e *executor) start(ctx context.Context, item jobstore.OpenItem, route *rockwindpb.Route, h *history, now time.Time) bool {
	key := claims.NewKey(item.Job, item.Index)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	claim, ok := e.claims.Acquire(key, func() { cancel(nil) })
	if !ok {
		cancel(nil)
		return true
	}
	service := router.ChooseService(route, item.Item.GetId())
	decided := e.decideVersion(service, h, now)
	lease, tryNext := e.acquire(service, item, decided, now)
	if lease == nil {
		cancel(nil)
		e.claims.Release(claim)
		return tryNext
	}
	h.tried = h.tried || lease.Trial
	e.trialStarted(item, h.parts)
	permission := e.takeRetrial(item, h)
	e.restartUnlessSame(service, item, h, lease, decided)
	e.active[key] = &activeAttempt{
		tenant: item.Tenant, service: service, server: lease.ID, route: route, submitted: time.UnixMilli(item.SubmittedUnixMs),
		began: now, eventsBefore: h.eventCount(), choice: lease.Choice, cancel: cancel,
	}
	logStart(item, h, lease, e.allowedRegions(item), now)
	attempt := &itemAttempt{
		store: e.store, item: item, history: h, writer: h.output.NewWriterAt(h.failures, lease.Version),
		lease: lease, parts: e.partFingerprints(item, h, service), route: route.GetName(), maxAttempts: max(1, int(route.GetAttempts())),
	}
	go func() {
		r := attempt.run(attemptCtx)
		cancel(nil)
		if permission != nil {
			e.store.retrials.end(permission, lease.ID, attempt.retrialOutcome(r))
		}
		r.claim, r.item, r.server, r.content, r.parts = claim, item.Item.GetId(), lease.ID, attempt.content(), attempt.parts
		e.sendResult(ctx, r)
	}()
	return true
}

// promptParts returns the parts of the item's prompt, or nil if the headers are invalid, which
// the server will report.
func (e *executor) promptParts(item jobstore.OpenItem) []balance.Part {
	facts, err := e.store.protocol.ParseRequest(itemHeader(item))
	if err != nil {
		return nil
	}
	return facts.Parts
}

// partFingerprints returns the fingerprints of the parts of the item's prompt that other requests
// to its service may share.
func (e *executor) partFingerprints(item jobstore.OpenItem, h *history, service string) []fingerprint.Fingerprint {
	if h.partsService == service {
		return h.parts
	}
	h.partsService, h.parts = service, nil
	if facts, err := e.store.protocol.ParseRequest(itemHeader(item)); err == nil {
		h.parts = fingerprint.OfParts(service, facts.PartIDs)
	}
	return h.parts
}

// sendResult sends the result of an attempt to the executor's goroutine.
func (e *executor) sendResult(ctx context.Context, r attemptResult) {
	select {
	case e.ended <- r:
	case <-ctx.Done():
	}
}

// logStart logs the start of an item.
func logStart(item jobstore.OpenItem, h *history, lease *router.Lease, allowed topology.RegionSet, now time.Time) {
	if !decision.Enabled(decision.ItemStarted, item.Job) {
		decision.Default.Skip(decision.ItemStarted)
		return
	}
	fields := log.Fields{
		"item": item.Index, "item_id": item.Item.GetId(), "server": lease.ID, "version": lease.Version, "distance": lease.Distance.String(), "load": lease.Load, "slots": lease.Slots, "pace": lease.Slowness(),
		"failures": h.failures, "after_event": h.output.LastEvent(), "age_ms": now.UnixMilli() - item.SubmittedUnixMs,
		"tenant": item.Tenant,
	}
	if allowed.Restricted() {
		fields["regions"], fields["server_region"] = allowed.Names(), lease.Region
	}
	decision.Default.Record(decision.ItemStarted, item.Job, fields)
}
