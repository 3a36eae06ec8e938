package placementcontroller

import (
	"slices"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// engineState is the state of one engine in this term.
type engineState struct {
	name    string
	address string
	// claimed is whether the engine has accepted a fence of this term.
	claimed bool
	// known is whether report is up to date.
	known  bool
	report engineReport
	// pending is the change in progress; nil if none.
	pending   *pendingChange
	changedAt time.Duration
}

// pendingChange is a change whose orders were accepted or may have been.
type pendingChange struct {
	versions  []placement.VersionName
	adapters  []placement.AdapterName
	unloaded  []string
	expiresAt time.Duration
}

// loadTimeout is how long a change may take before the engine counts as idle again.
const loadTimeout = 10 * time.Minute

func newPending(orders []placement.Order, now time.Duration) *pendingChange {
	pending := &pendingChange{expiresAt: now + loadTimeout}
	for _, order := range orders {
		switch order.Action {
		case placement.ActionLoadModel:
			pending.versions = append(pending.versions, order.Version)
		case placement.ActionLoadAdapter:
			pending.adapters = append(pending.adapters, order.Adapter)
		case placement.ActionUnloadModel:
			pending.unloaded = append(pending.unloaded, order.Version.String())
		case placement.ActionUnloadAdapter:
			pending.unloaded = append(pending.unloaded, order.Adapter.String())
		}
	}
	return pending
}

// isComplete reports whether the change is complete according to what the engine has loaded.
func (p *pendingChange) isComplete(loaded []string) bool {
	for _, version := range p.versions {
		if !slices.Contains(loaded, version.String()) {
			return false
		}
	}
	for _, adapter := range p.adapters {
		if !slices.Contains(loaded, adapter.String()) {
			return false
		}
	}
	return !slices.ContainsFunc(p.unloaded, func(name string) bool { return slices.Contains(loaded, name) })
}

// observe records a report of the engine.
func (e *engineState) observe(report engineReport, now time.Duration) {
	e.report, e.known = report, true
	if e.pending == nil {
		return
	}
	if e.pending.isComplete(report.Loaded) {
		e.pending = nil
		return
	}
	if now >= e.pending.expiresAt {
		e.pending, e.changedAt = nil, now
	}
}

// differsFrom reports whether a gateway observed another set of loaded names than the last report.
// An empty list in a digest means that the list has not changed, unless the digest says that
// nothing is loaded.
func (e *engineState) differsFrom(digest *rockwindpb.ServerDigest) bool {
	observed := digest.GetLoaded()
	if len(observed) == 0 {
		return digest.GetNothingLoaded() && len(e.report.Loaded) > 0
	}
	return !slices.Equal(slices.Sorted(slices.Values(observed)), slices.Sorted(slices.Values(e.report.Loaded)))
}

// isManaged reports whether placement may send orders to the engine: it is claimed, and reports
// versions and adapters by name instead of accepting every model.
func (e *engineState) isManaged() bool {
	if !e.known || !e.claimed || e.report.Loaded == nil {
		return false
	}
	return !slices.ContainsFunc(e.report.Loaded, func(name string) bool { return !strings.ContainsAny(name, "@:") })
}

// server converts the state for the planner.
func (e *engineState) server() placement.Server {
	server := placement.Server{
		Name: e.name, Role: e.report.Role, Busy: e.pending != nil, ChangedAt: e.changedAt, Usable: e.isManaged(),
	}
	for _, name := range e.report.Loaded {
		if e.pending != nil && slices.Contains(e.pending.unloaded, name) {
			continue
		}
		if model, version, found := strings.Cut(name, "@"); found {
			server.Versions = append(server.Versions, placement.VersionName{Model: model, Version: version})
		} else if model, adapter, found := strings.Cut(name, ":"); found {
			server.Adapters = append(server.Adapters, placement.AdapterName{Model: model, Adapter: adapter})
		}
	}
	if e.pending == nil {
		return server
	}
	for _, version := range e.pending.versions {
		if !slices.Contains(server.Versions, version) {
			server.LoadingVersions = append(server.LoadingVersions, version)
		}
	}
	for _, adapter := range e.pending.adapters {
		if !slices.Contains(server.Adapters, adapter) {
			server.LoadingAdapters = append(server.LoadingAdapters, adapter)
		}
	}
	return server
}
