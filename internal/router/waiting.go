package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
)

// waitingCheckInterval is the longest time until a waiting request is refused after its content or its
// parts are held by what this process has seen itself. Changes of the coordinators' list are checked at once.
const waitingCheckInterval = 100 * time.Millisecond

// waitingRequests are the requests that wait for a server. Those that are held meanwhile are refused
// at once instead of when a server is free. It is safe for concurrent use; the zero value is empty.
type waitingRequests struct {
	mutex   sync.Mutex
	waiting map[*waitingRequest]context.CancelCauseFunc
}

// waitingRequest is what the check of a waiting request rests on.
type waitingRequest struct {
	parts []fingerprint.Fingerprint
	// content computes the fingerprint of the content.
	content func() fingerprint.Fingerprint
	// trial is set if held parts don't matter.
	trial bool
}

// add adds a request and returns the context of its wait, which is cancelled with the fault if the
// request is held, and the function that ends the wait.
func (w *waitingRequests) add(ctx context.Context, request *waitingRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mutex.Lock()
	if w.waiting == nil {
		w.waiting = make(map[*waitingRequest]context.CancelCauseFunc)
	}
	w.waiting[request] = cancel
	w.mutex.Unlock()
	return ctx, func() {
		w.mutex.Lock()
		delete(w.waiting, request)
		w.mutex.Unlock()
		cancel(nil)
	}
}

// refuseHeld cancels the waits of requests that are held.
func (w *waitingRequests) refuseHeld(crashes *CrashReporter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for request, cancel := range w.waiting {
		if refusal := request.held(crashes); refusal != nil {
			cancel(refusal)
			delete(w.waiting, request)
		}
	}
}

// held returns the refusal of a request that is held, nil if it is not.
func (r *waitingRequest) held(crashes *CrashReporter) *fault.Fault {
	if remaining := crashes.QuarantinedFor(r.content); remaining > 0 {
		return contentFault(r.content(), remaining)
	}
	if r.trial {
		return nil
	}
	if held := crashes.HeldParts(r.parts); held.For > 0 {
		return partFault(held)
	}
	return nil
}

// heldWhileWaiting returns the fault with which a wait was cancelled, nil if it was not.
func heldWhileWaiting(ctx context.Context) *fault.Fault {
	var held *fault.Fault
	if errors.As(context.Cause(ctx), &held) {
		return held
	}
	return nil
}

// refuseHeldWaiting refuses waiting requests that are held, until the context ends.
func (r *Router) refuseHeldWaiting(ctx context.Context) {
	ticker := time.NewTicker(waitingCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.watcher.Changed()
		if r.crashes.QuarantinesAny() {
			r.waiting.refuseHeld(r.crashes)
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
