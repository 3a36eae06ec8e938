package router

import (
	"maps"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/streamversion"
)

// originRetention is for how long after its client's deadline a stream may be resumed, and for how long the versions
// of servers that have left count.
const originRetention = 2 * time.Minute

// versionMemory is for how long a version that has left is known to have existed. Streams may begin at a version that is
// not known at all: another router may have seen its servers earlier.
const versionMemory = 5 * originRetention

// restartRemedy is the remedy for a stream that can't go on.
const restartRemedy = "start the stream again from its beginning"

// versionHistory holds when servers of each version last served. It guards against taking a service for one of a
// single version while streams may be resumed that began at servers of another one.
type versionHistory map[string]time.Duration

// left records that a server of a version served until a time.
func (h versionHistory) left(version string, until time.Duration) {
	if last, known := h[version]; !known || until > last {
		h[version] = until
	}
}

// mixed reports whether servers of several versions serve, or have served within originRetention.
func (h versionHistory) mixed(serving map[string]int, now time.Duration) bool {
	versions := len(serving)
	for version, last := range h {
		switch {
		case now-last > versionMemory:
			delete(h, version)
		case now-last <= originRetention && serving[version] == 0:
			versions++
		}
	}
	return versions > 1
}

// mixed reports whether servers of several versions of the service serve, or have lately. The caller holds the
// dispatcher's mutex.
func (p *servicePool) mixed(now time.Duration) bool { return p.versions.mixed(p.pool.Versions(), now) }

// noVersionFault returns the refusal of a request that continues a stream, or nil if a server of its version may take
// it. Without any such server there is no use in another try: the stream has to begin again.
func (p *servicePool) noVersionFault(request AcquireRequest, elapsed time.Duration) error {
	switch {
	case p.pool.Reachable(request.Demand, request.Tried, elapsed):
		return nil
	case p.pool.HasVersion(request.Demand.Version):
		return fault.Newf(fault.Unavailable, "come back later",
			"no server of service %s with the software version %q, at which the stream began, can be reached", p.name, request.Demand.Version).
			WithRan(fault.NotRun).WithRetryAfter(defaultHoldTime / 4)
	}
	if _, served := p.versions[request.Demand.Version]; !served {
		return fault.Newf(fault.Unavailable, "come back later",
			"the stream began at a server of service %s with the software version %q, which this router does not know yet", p.name, request.Demand.Version).
			WithRan(fault.NotRun).WithRetryAfter(unreachableRetryAfter)
	}
	return fault.Newf(fault.VersionGone, restartRemedy,
		"service %s has no server left with the software version %q, at which the stream began", p.name, request.Demand.Version).
		WithRan(fault.NotRun)
}

// recordVersions records the versions at which a server of the directory served and no longer does. This process may not
// have seen it serve: it may have started since. The caller holds d.mutex.
func (d *Dispatcher) recordVersions(server *rockwindpb.Server) {
	leftAt := func(service, version string, untilUnixMs int64) {
		ago := max(0, time.Since(time.UnixMilli(untilUnixMs)))
		d.poolOf(service).versions.left(version, d.now()-ago)
	}
	for _, earlier := range server.GetEarlierVersions() {
		leftAt(earlier.GetService(), earlier.GetVersion(), earlier.GetUntilUnixMs())
	}
	switch server.GetState() {
	case rockwindpb.ServerState_SERVER_STATE_GONE:
		leftAt(server.GetService(), server.GetVersion(), server.GetChangedUnixMs())
	case rockwindpb.ServerState_SERVER_STATE_DRAINING:
		// Its streams go on, and clients may resume them.
		d.poolOf(server.GetService()).versions.left(server.GetVersion(), d.now())
	}
}

// Mixed reports whether servers of several versions of a service serve, or have lately.
func (d *Dispatcher) Mixed(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poolOf(service).mixed(d.now())
}

// onlyVersion returns the version of a service whose servers have had one version lately. It is not known while the service
// has no servers.
func (d *Dispatcher) onlyVersion(service string) streamversion.Origin {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(service)
	if pool.mixed(d.now()) {
		return streamversion.Origin{}
	}
	for version := range pool.pool.Versions() {
		return streamversion.Origin{Known: true, Version: version}
	}
	return streamversion.Origin{}
}

// Versions returns the number of servers of each version of a service.
func (d *Dispatcher) Versions(service string) map[string]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.poolOf(service).pool.Versions())
}

// HasVersion reports whether a service has a server of a version.
func (d *Dispatcher) HasVersion(service, version string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poolOf(service).pool.HasVersion(version)
}
