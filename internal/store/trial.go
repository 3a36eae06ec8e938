package store

import (
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/claims"
)

// failedTrialTime is the longest time that an item loses at a server that does not answer or stops
// answering, including the delays before it is started again. Output received before that is kept.
const failedTrialTime = connectTimeout + firstByteTimeout + idleTimeout + failureDelay + scheduleInterval

// mayTry reports whether an item may be sent to an ejected server as a trial. The server may fail, so an
// item is a trial at most once, and only if
//   - it may fail once more after a failed attempt, and
//   - it has no due time, is overdue, or can be in time after a failed trial. Other items, which a failed
//     trial may make late, and those of services with unknown run times are no trials.
//
// See docs/design/batch-trials.md.
func (e *executor) mayTry(service string, entry backlog.Item, item jobstore.OpenItem, now time.Time) bool {
	route, status := e.route(item)
	if status != routeFound {
		return false
	}
	if !attemptsLeftForTrial(route, item, e.history[claims.NewKey(item.Job, item.Index)]) {
		return false
	}
	return leavesTimeForTrial(dueTime(route, time.UnixMilli(item.SubmittedUnixMs)), entry, e.pace(service).Known(), now)
}

// leavesTimeForTrial reports whether a failed trial does not make an item late that can be in time. The
// expected run time of the item counts only if it is known.
func leavesTimeForTrial(due time.Time, entry backlog.Item, known bool, now time.Time) bool {
	if due.IsZero() || now.After(due) {
		return true
	}
	return known && entry.OnTime(now.Add(failedTrialTime))
}

// attemptsLeftForTrial reports whether the item has not been a trial and may fail once more after a failed
// attempt. The history is nil for an item without one.
func attemptsLeftForTrial(route *rockwindpb.Route, item jobstore.OpenItem, h *history) bool {
	failures := item.Failures
	if h != nil {
		failures = max(failures, h.failures)
	}
	return (h == nil || !h.tried) && failures+1 < int(route.GetAttempts())
}
