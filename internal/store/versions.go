package store

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/streamversion"
)

// versionWait is how long an item whose output does not grow waits for servers of the software version that began it.
// Then it may begin anew elsewhere, which costs less than being late: all of its events usually arrive within a few
// seconds.
const versionWait = 2 * time.Second

// outputGrowth says how long an item's output has not grown.
type outputGrowth struct {
	// since is when the executor first saw the output with this number of events; zero if it has not begun.
	since  time.Time
	events int
}

// decideVersion decides which servers may take the next attempt of an item. If servers of the version that began its
// output do not, those of others may, where the item begins anew.
func (e *executor) decideVersion(service string, h *history, now time.Time) streamversion.Decision {
	origin, begun := h.output.Origin()
	if !begun {
		return streamversion.Decision{Verdict: streamversion.Any, Reason: "the output begins here"}
	}
	if events := h.eventCount(); h.growth.since.IsZero() || events != h.growth.events {
		h.growth = outputGrowth{since: now, events: events}
	}
	decided := streamversion.Decide(streamversion.Facts{Begun: true, Origin: origin, Mixed: e.store.dispatcher.Mixed(service)})
	switch {
	case decided.Verdict != streamversion.Same:
	case !e.store.dispatcher.HasVersion(service, decided.Version):
		decided = streamversion.Decision{Verdict: streamversion.Any, Reason: "no server has the version that began the output"}
	case now.Sub(h.growth.since) > versionWait:
		decided = streamversion.Decision{Verdict: streamversion.Any, Reason: "no server of the version that began the output has taken it on"}
	}
	return decided
}

// restartUnlessSame discards the output of an item that goes on at a server of another version. Its caller sees nothing
// of an output before it is whole.
func (e *executor) restartUnlessSame(service string, item jobstore.OpenItem, h *history, lease *router.Lease, decided streamversion.Decision) {
	origin, begun := h.output.Origin()
	mixed := e.store.dispatcher.Mixed(service)
	if !begun || (origin.Known && origin.Version == lease.Version) || (!origin.Known && !mixed) {
		return
	}
	decision.Default.Record(decision.ItemRestarted, item.Job, log.Fields{
		"item": item.Index, "item_id": item.Item.GetId(), "service": service, "server": lease.ID, "version": lease.Version, "events": h.eventCount(),
		"reason": decided.Reason, "origin_known": origin.Known, "origin": origin.Version, "mixed": mixed, "serving": e.store.dispatcher.Versions(service),
	})
	h.output.Restart()
	h.growth = outputGrowth{}
}
