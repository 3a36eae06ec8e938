package store

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/store/output"
)

// history is what this leader knows of an item's tries. A new leader starts with the failures
// and the events that the shard holds.
type history struct {
	// failures counts answers that say that the item failed.
	failures int
	// output is what was received of the item's output so far.
	output *output.Output
	// absentSince is since when the item's route is absent; zero while it is not.
	absentSince time.Time
	// after is when the item may be tried again.
	after time.Time
	// held tells that the item was not started when last looked at since its content is held, and
	// heldUntil is when that ends at the latest, as known then.
	held      bool
	heldUntil time.Time
	// fingerprint is that of the item's content, nil before it was needed.
	fingerprint *fingerprint.Fingerprint
}

// newHistory is that of an item of which this leader knows nothing.
func (e *executor) newHistory(item jobstore.OpenItem) *history {
	part := item.PartialOutput
	if !e.store.gates.On(gate.ItemProgress) {
		part = jobstore.PartialOutput{}
	}
	return &history{output: output.New(&e.runs, part)}
}

// content identifies the item by the content of its request.
func (h *history) content(item jobstore.OpenItem) fingerprint.Fingerprint {
	if h.fingerprint == nil {
		computed := fingerprint.Of(fingerprint.Content{
			Tenant: item.Tenant, Method: http.MethodPost, Host: item.Host, Target: item.Item.GetPath(), Body: item.Body,
		})
		h.fingerprint = &computed
	}
	return *h.fingerprint
}

// made is how many events of the item's output were received.
func (h *history) made() int {
	if h.output == nil {
		return 0
	}
	return int(h.output.LastEvent())
}

// keepHistory keeps the histories while no other store may have led the shard since: a term has
// one leader, so one whose lease lapsed and holds again in the same term goes on with what it
// received. The term is zero while the lease does not hold.
func (e *executor) keepHistory(term uint64) {
	switch {
	case term == 0:
		if len(e.history) > 0 && e.group.Status().GetTerm() != e.historyTerm {
			clear(e.history)
		}
		e.closeOutputs()
	case term != e.historyTerm:
		clear(e.history)
		e.historyTerm = term
	}
}

// closeOutputs has the tries that were dropped add nothing more. They may still use their
// histories, so what goes on gets new ones.
func (e *executor) closeOutputs() {
	for key, known := range e.history {
		known.output.RevokeWriter()
		e.history[key] = &history{output: known.output}
	}
}

// forgetEnded forgets the items that may not run any more.
func (e *executor) forgetEnded() {
	for key := range e.history {
		if !e.machine.Runnable(key.Job(), key.Index()) && !e.claims.Held(key) {
			delete(e.history, key)
		}
	}
}
