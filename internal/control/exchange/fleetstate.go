// Package exchange holds the in-memory state of the exchange of load digests among
// gateways. Each gateway reports the servers it owns and receives the changes in
// its zone, the aggregates of other zones, and its parts of limits and of batch
// capacity. The package does no I/O and takes the time as an argument. A FleetState
// is not safe for concurrent use.
package exchange

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharing"
)

const (
	// Period is the interval at which a gateway exchanges.
	Period = 2 * time.Second
	// livenessTimeout is how long gateways, digests and aggregates count after they
	// were received.
	livenessTimeout = 3 * Period
	// discoveryPeriod is how long a zone must be active before its live gateways are
	// named. By then each of them has exchanged once, jitter included.
	discoveryPeriod = Period + Period/4
	// removalTimeout is how long a silent gateway or server is kept.
	removalTimeout = 2 * time.Minute
	// zoneRotation is the number of exchanges in which a gateway receives the
	// aggregates of each other zone once.
	zoneRotation = 5
	// versionCounterBits is the number of low bits of a version that count changes.
	// The high bits identify the FleetState instance.
	versionCounterBits = 32
)

// FleetState is what a control machine knows about the fleet from the gateways that
// exchange with it and from the other control machines.
type FleetState struct {
	machine string
	// versionPrefix holds the high bits of versions.
	versionPrefix uint64
	changes       uint64
	index         *configuration.Index
	gateways      map[string]*gateway
	zones         map[string]*zone
	others        map[string]*peerState

	// leaving maps leaving back ends to the time at which a gateway last reported them.
	leaving      map[string]time.Time
	newlyLeaving bool

	account           *sharing.Account
	allowances        []*rockwindpb.GroupAllowance
	allowancesUpdated time.Time
}

// gateway is a gateway that exchanges with this machine.
type gateway struct {
	name          string
	address       string
	zone          string
	startedUnixMs int64
	configuration uint64
	lastSeen      time.Time
	draining      bool
	exchanges     int
	groups        map[string]*groupRate
	tenants       map[string]*tenantRate
	models        map[string]*rate
}

// zone holds the servers of a zone.
type zone struct {
	servers map[string]*server
	// activeSince is when the zone was first seen, or first seen again after it was
	// silent for livenessTimeout.
	activeSince time.Time
	lastSeen    time.Time
}

// server is the last digest of a back end.
type server struct {
	digest   *rockwindpb.ServerDigest
	reporter string
	received time.Time
	// changed and loadedChanged are the versions at which the digest and its list of
	// loaded models last changed.
	changed       uint64
	loadedChanged uint64
}

// NewFleetState returns an empty state of a machine. The epoch must differ from
// those of earlier instances on the same machine.
func NewFleetState(machine string, epoch uint64) *FleetState {
	return &FleetState{
		machine:       machine,
		versionPrefix: instanceHash(machine, epoch) << versionCounterBits,
		index:         configuration.Empty(),
		gateways:      make(map[string]*gateway),
		zones:         make(map[string]*zone),
		others:        make(map[string]*peerState),
		leaving:       make(map[string]time.Time),
		account:       sharing.NewAccount(sharing.DefaultAccountPolicy),
	}
}

// Configure sets the current configuration.
func (f *FleetState) Configure(index *configuration.Index) {
	f.index = index
}

// Exchange records a gateway's report and returns the response to it.
func (f *FleetState) Exchange(now time.Time, request *rockwindpb.ExchangeRequest) *rockwindpb.ExchangeResponse {
	caller := f.recordCaller(now, request)
	for _, digest := range request.GetOwned() {
		f.updateServer(now, caller, digest)
	}
	f.recordUsage(now, caller, request)
	f.recordLeaving(now, request.GetLeaving())
	caller.recordModelUsage(now, request.GetModels())
	response := &rockwindpb.ExchangeResponse{
		Version:             f.version(),
		Servers:             f.serversChangedSince(now, caller, request.GetSinceVersion()),
		Zones:               f.otherZones(now, caller, request.GetSinceVersion() == 0),
		Tenants:             f.tenantAllowances(now, caller),
		Groups:              f.allowances,
		NextExchangeMs:      uint32(Period.Milliseconds()),
		LatestConfiguration: f.index.Number(),
		Leaving:             f.allLeaving(now),
	}
	response.Peers = f.peerNames(now, caller.zone)
	return response
}

// recordCaller updates the state of the calling gateway. The usage of a gateway that
// restarted is reset.
func (f *FleetState) recordCaller(now time.Time, request *rockwindpb.ExchangeRequest) *gateway {
	caller, known := f.gateways[request.GetGateway()]
	if !known || caller.startedUnixMs != request.GetStartedUnixMs() {
		caller = &gateway{
			name:          request.GetGateway(),
			startedUnixMs: request.GetStartedUnixMs(),
			groups:        make(map[string]*groupRate),
			tenants:       make(map[string]*tenantRate),
			models:        make(map[string]*rate),
		}
		f.gateways[caller.name] = caller
	}
	caller.address = request.GetAddress()
	caller.zone = request.GetZone()
	caller.configuration = request.GetConfigurationNumber()
	caller.draining = request.GetDraining()
	caller.lastSeen = now
	caller.exchanges++
	f.zoneState(caller.zone).recordContact(now)
	return caller
}

// updateServer stores a digest. The server gets a new version if anything but the
// age of the digest changed. A digest without a list of loaded models keeps the last
// list, unless NothingLoaded is set.
func (f *FleetState) updateServer(now time.Time, reporter *gateway, digest *rockwindpb.ServerDigest) {
	servers := f.zoneState(reporter.zone).servers
	srv, found := servers[digest.GetName()]
	if !found {
		srv = &server{digest: &rockwindpb.ServerDigest{}}
		servers[digest.GetName()] = srv
	}
	loaded := srv.digest.GetLoaded()
	if len(digest.GetLoaded()) > 0 && !slices.Equal(loaded, digest.GetLoaded()) {
		loaded = digest.GetLoaded()
		srv.loadedChanged = f.nextVersion()
	}
	if digest.GetNothingLoaded() && len(loaded) > 0 {
		loaded = nil
		srv.loadedChanged = f.nextVersion()
	}
	if !found || loadChanged(srv.digest, digest) || srv.loadedChanged > srv.changed {
		srv.changed = f.nextVersion()
	}
	digest.Loaded = loaded
	srv.digest = digest
	srv.reporter = reporter.name
	srv.received = now
}

// loadChanged compares all fields but the age and the loaded models.
func loadChanged(left, right *rockwindpb.ServerDigest) bool {
	return left.GetRunningOnline() != right.GetRunningOnline() ||
		left.GetRunningBatch() != right.GetRunningBatch() ||
		left.GetWaiting() != right.GetWaiting() ||
		left.GetKvUsedPermille() != right.GetKvUsedPermille() ||
		left.GetStepMicroseconds() != right.GetStepMicroseconds() ||
		left.GetHealth() != right.GetHealth() ||
		left.GetLeaving() != right.GetLeaving()
}

func (f *FleetState) zoneState(name string) *zone {
	state, known := f.zones[name]
	if !known {
		state = &zone{servers: make(map[string]*server)}
		f.zones[name] = state
	}
	return state
}

func (f *FleetState) version() uint64 {
	return f.versionPrefix | f.changes
}

func (f *FleetState) nextVersion() uint64 {
	f.changes++
	return f.version()
}

// serversChangedSince returns the servers of the caller's zone that changed after a
// version, without those that the caller reported itself. It returns all servers if
// the version is from another FleetState.
func (f *FleetState) serversChangedSince(now time.Time, caller *gateway, since uint64) []*rockwindpb.ServerDigest {
	if since>>versionCounterBits != f.versionPrefix>>versionCounterBits {
		since = 0
	}
	var changed []*rockwindpb.ServerDigest
	for _, srv := range f.zoneState(caller.zone).servers {
		if srv.changed <= since || srv.reporter == caller.name {
			continue
		}
		changed = append(changed, srv.describe(now, srv.loadedChanged > since))
	}
	slices.SortFunc(changed, byName)
	return changed
}

// describe returns the digest with its current age.
func (s *server) describe(now time.Time, withLoaded bool) *rockwindpb.ServerDigest {
	digest := &rockwindpb.ServerDigest{
		Name:             s.digest.GetName(),
		RunningOnline:    s.digest.GetRunningOnline(),
		RunningBatch:     s.digest.GetRunningBatch(),
		Waiting:          s.digest.GetWaiting(),
		KvUsedPermille:   s.digest.GetKvUsedPermille(),
		StepMicroseconds: s.digest.GetStepMicroseconds(),
		AgeMs:            s.digest.GetAgeMs() + uint32(now.Sub(s.received).Milliseconds()),
		Health:           s.digest.GetHealth(),
		Leaving:          s.digest.GetLeaving(),
		NothingLoaded:    s.digest.GetNothingLoaded(),
	}
	if withLoaded {
		digest.Loaded = s.digest.GetLoaded()
	}
	return digest
}

// recordContact records that a gateway of the zone exchanged.
func (z *zone) recordContact(now time.Time) {
	if now.Sub(z.lastSeen) >= livenessTimeout {
		z.activeSince = now
	}
	z.lastSeen = now
}

// peerNames returns the live gateways of a zone. It returns none during the
// discovery period, in which the list may be incomplete: gateways would regard the
// missing ones as failed and poll their servers. On an empty list gateways keep the
// last one.
func (f *FleetState) peerNames(now time.Time, zone string) []string {
	if now.Sub(f.zoneState(zone).activeSince) < discoveryPeriod {
		return nil
	}
	var names []string
	for _, peer := range f.peers(now, zone) {
		names = append(names, peer.name)
	}
	return names
}

// peers returns the gateways of a zone that are live and not draining, sorted by
// name.
func (f *FleetState) peers(now time.Time, zone string) []*gateway {
	var live []*gateway
	for _, candidate := range f.gateways {
		if candidate.zone == zone && !candidate.draining && candidate.live(now) {
			live = append(live, candidate)
		}
	}
	slices.SortFunc(live, func(left, right *gateway) int { return compareNames(left.name, right.name) })
	return live
}

func (g *gateway) live(now time.Time) bool {
	return now.Sub(g.lastSeen) < livenessTimeout
}

// Refresh recomputes the batch allowances of groups and removes stale entries. It is
// called once per period.
func (f *FleetState) Refresh(now time.Time) {
	for name, gw := range f.gateways {
		if now.Sub(gw.lastSeen) >= removalTimeout {
			delete(f.gateways, name)
		}
	}
	for _, zone := range f.zones {
		zone.removeStale(now)
	}
	for name, other := range f.others {
		if now.Sub(other.lastSeen) >= livenessTimeout {
			delete(f.others, name)
		}
	}
	f.updateGroupAllowances(now)
}

func (z *zone) removeStale(now time.Time) {
	for name, srv := range z.servers {
		if now.Sub(srv.received) >= removalTimeout {
			delete(z.servers, name)
		}
	}
}
