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
)

// begin starts an item, gives it up or passes it over. It returns false where no
// server has room for batch work.
func (e *executor) begin(ctx context.Context, item jobstore.OpenItem, now time.Time) bool {
	known := e.known(item)
	if now.Before(known.after) {
		return true
	}
	route, standing := e.route(item)
	known.noteRoute(standing, now)
	if reason := giveUpReason(item, route, known, now); reason != "" {
		e.giveUp(item, known, reason)
		return true
	}
	if standing != routeFound || e.held(item, known, now) {
		return true
	}
	return e.start(ctx, item, route, known, now)
}

// known is what is known of an item's tries.
func (e *executor) known(item jobstore.OpenItem) *history {
	key := claims.NewKey(item.Job, item.Index)
	known := e.history[key]
	if known == nil {
		known = e.newHistory(item)
		e.history[key] = known
	}
	known.noteFailures(item)
	return known
}

// giveUp ends an item that gets no result.
func (e *executor) giveUp(item jobstore.OpenItem, known *history, reason string) {
	claim, made := e.claims.Acquire(claims.NewKey(item.Job, item.Index), func() {})
	if !made {
		return
	}
	e.finish(itemEnd{
		claim: claim, outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD, history: known, reason: reason, item: item.Item.GetId(),
	})
}

// start tries an item at a server. It returns false where none has room for batch work, also not
// for an item of another tenant.
func (e *executor) start(ctx context.Context, item jobstore.OpenItem, route *rockwindpb.Route, known *history, now time.Time) bool {
	key := claims.NewKey(item.Job, item.Index)
	running, cancel := context.WithCancelCause(ctx)
	claim, made := e.claims.Acquire(key, func() { cancel(nil) })
	if !made {
		cancel(nil)
		return true
	}
	service := router.ChooseService(route, item.Item.GetId())
	lease, goOn := e.acquire(service, item)
	if lease == nil {
		cancel(nil)
		e.claims.Release(claim)
		return goOn
	}
	e.active[key] = &activeTry{
		tenant: item.Tenant, service: service, server: lease.ID, route: route, submitted: time.UnixMilli(item.SubmittedUnixMs),
		began: now, madeBefore: known.made(), choice: lease.Choice, cancel: cancel,
	}
	recordStart(item, known, lease, now)
	try := &itemTry{
		store: e.store, item: item, history: known, writer: known.output.NewWriter(known.failures),
		lease: lease, route: route.GetName(), attempts: max(1, int(route.GetAttempts())),
	}
	go func() {
		end := try.run(running)
		cancel(nil)
		end.claim, end.item, end.server, end.content = claim, item.Item.GetId(), lease.ID, try.content()
		e.report(ctx, end)
	}()
	return true
}

// parts are those of the item's prompt, none where its headers cannot be read: the server
// answers for them.
func (e *executor) parts(item jobstore.OpenItem) []balance.Part {
	facts, err := e.store.protocol.ParseRequest(itemHeader(item))
	if err != nil {
		return nil
	}
	return facts.Parts
}

// report hands the end of a try to the executor's own goroutine.
func (e *executor) report(ctx context.Context, end itemEnd) {
	select {
	case e.ended <- end:
	case <-ctx.Done():
	}
}

// recordStart writes that an item was started.
func recordStart(item jobstore.OpenItem, known *history, lease *router.Lease, now time.Time) {
	if !decision.Wanted(decision.ItemStarted, item.Job) {
		decision.Default.Skip(decision.ItemStarted)
		return
	}
	decision.Default.Record(decision.ItemStarted, item.Job, log.Fields{
		"item": item.Index, "item_id": item.Item.GetId(), "server": lease.ID, "load": lease.Load, "slots": lease.Slots, "pace": lease.Slowness(),
		"failures": known.failures, "after_event": known.output.LastEvent(), "age_ms": now.UnixMilli() - item.SubmittedUnixMs,
		"tenant": item.Tenant,
	})
}

// held tells whether an item must not be started since servers ended under its content. The
// first time that it is held back by this is written.
func (e *executor) held(item jobstore.OpenItem, known *history, now time.Time) bool {
	remaining := e.store.witness.QuarantinedFor(func() fingerprint.Fingerprint { return known.content(item) })
	if remaining == 0 {
		known.held, known.heldUntil = false, time.Time{}
		return false
	}
	if !known.held {
		decision.Default.Record(decision.ItemHeld, item.Job, log.Fields{
			"item": item.Index, "item_id": item.Item.GetId(), "content": known.content(item).String(), "held_ms": remaining.Milliseconds(),
		})
	}
	known.held, known.heldUntil = true, now.Add(remaining)
	return true
}
