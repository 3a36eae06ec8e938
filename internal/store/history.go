package store

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/store/retrial"
)

// history is what this leader knows of an item's attempts. After a change of leader it starts
// from the recorded failures and events.
type history struct {
	// failures is the number of failed attempts.
	failures int
	// output is the output received so far.
	output *output.Output
	// invalid reports whether the item can't be sent as one request. Stores of an earlier version took such items.
	invalid bool
	// routeAbsentSince is the time since which the item's route has been absent; zero if it
	// exists.
	routeAbsentSince time.Time
	// retryAt is the earliest time of the next attempt.
	retryAt time.Time
	// growth bounds the wait for servers of the version of the output.
	growth outputGrowth
	// tried reports whether an attempt was a trial of an ejected server.
	tried bool
	// quarantined reports whether the item's content was quarantined at the last check, and
	// quarantinedUntil is the latest end of the quarantine.
	quarantined      bool
	quarantinedUntil time.Time
	// retrial is the permission to run once although the item is held, nil if there is none.
	retrial *retrial.Trial
	// fingerprint is the fingerprint of the item's request, computed on first use.
	fingerprint *fingerprint.Fingerprint
	// parts are the fingerprints of the parts of the item's prompt at partsService.
	parts        []fingerprint.Fingerprint
	partsService string
}

// newHistory returns the history of an item without attempts by this leader.
func (e *executor) newHistory(item jobstore.OpenItem) *history {
	received := item.PartialOutput
	if !e.store.gates.On(featuregate.ItemProgress) {
		received = jobstore.PartialOutput{}
	}
	return &history{output: output.New(&e.runs, received), invalid: router.CheckItem(item.Item) != nil}
}

// content returns the fingerprint of the item's request.
func (h *history) content(item jobstore.OpenItem) fingerprint.Fingerprint {
	if h.fingerprint == nil {
		computed := fingerprint.Of(fingerprint.Content{
			Tenant: item.Tenant, Method: http.MethodPost, Host: item.Host, Target: item.Item.GetPath(), Body: item.Body,
		})
		h.fingerprint = &computed
	}
	return *h.fingerprint
}

// eventCount returns the number of events received of the item's output.
func (h *history) eventCount() int {
	if h.output == nil {
		return 0
	}
	return int(h.output.LastEvent())
}

// updateHistory discards the histories unless no other store can have led the shard since. A
// term has one leader, so after a lapsed lease is renewed in the same term the received output
// is still valid. The term is zero while this store does not lead.
func (e *executor) updateHistory(term uint64) {
	switch {
	case term == 0:
		if len(e.history) > 0 && e.group.Status().GetTerm() != e.historyTerm {
			clear(e.history)
		}
	case term != e.historyTerm:
		clear(e.history)
		e.historyTerm = term
	}
}

// revokeWriters stops canceled attempts from adding output. They may still use their histories,
// so the items get new ones.
func (e *executor) revokeWriters() {
	for key, h := range e.history {
		h.output.RevokeWriter()
		e.history[key] = &history{output: h.output}
	}
}

// dropEndedItems deletes the histories of items that may no longer run.
func (e *executor) dropEndedItems() {
	for key := range e.history {
		if !e.machine.Runnable(key.Job(), key.Index()) && !e.claims.Held(key) {
			delete(e.history, key)
		}
	}
}
