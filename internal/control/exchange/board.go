// Package exchange is the soft state behind the exchange of load digests among
// gateways. Each gateway reports the servers that it owns, and gets what changed
// of its zone, sums of the other zones, and the parts of limits and of batch
// capacity that it may use. The package is pure: time is an argument, and one
// goroutine owns a board.
package exchange

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharing"
)

const (
	// Period is the time between two exchanges of a gateway.
	Period = 2 * time.Second
	// liveFor is how long a gateway counts as live after it was heard.
	liveFor = 3 * Period
	// gathering is how long a board hears a zone before it names the zone's live
	// gateways: by then each of them has exchanged once, jitter included.
	gathering = Period + Period/4
	// forgetAfter is when a silent gateway or server is forgotten.
	forgetAfter = 2 * time.Minute
	// zoneTurns is in how many exchanges a gateway gets every other zone once.
	zoneTurns = 5
	// versionBits is how many bits of a version count changes; those above tell
	// one board from another.
	versionBits = 32
)

// FleetState is what one control machine knows from the gateways that exchange with
// it, and from the other control machines.
type FleetState struct {
	machine string
	// epoch stands in the upper bits of versions.
	epoch    uint64
	changes  uint64
	index    *configuration.Index
	gateways map[string]*gateway
	zones    map[string]*zone
	others   map[string]*machineView

	// leaving holds when gateways last found a back end leaving.
	leaving       map[string]time.Time
	newsOfLeaving bool

	account    *sharing.Account
	allowances []*rockwindpb.GroupAllowance
	settled    time.Time
}

// gateway is one gateway that exchanges with this machine.
type gateway struct {
	name          string
	address       string
	zone          string
	startedUnixMs int64
	configuration uint64
	heard         time.Time
	draining      bool
	turn          int
	groups        map[string]*groupRate
	tenants       map[string]*tenantRate
	models        map[string]*rate
}

// zone holds the servers of one zone.
type zone struct {
	servers map[string]*server
	// since is when this board heard the zone first.
	since time.Time
	// heard is when it heard the zone last.
	heard time.Time
}

// server is the last digest of one back end.
type server struct {
	digest   *rockwindpb.ServerDigest
	reporter string
	received time.Time
	// changed and loadedChanged are the versions of the last changes.
	changed       uint64
	loadedChanged uint64
}

// NewFleetState returns an empty board of a machine. The epoch must differ from those
// of the boards before it.
func NewFleetState(machine string, epoch uint64) *FleetState {
	return &FleetState{
		machine:  machine,
		epoch:    mix(machine, epoch) << versionBits,
		index:    configuration.Empty(),
		gateways: make(map[string]*gateway),
		zones:    make(map[string]*zone),
		others:   make(map[string]*machineView),
		leaving:  make(map[string]time.Time),
		account:  sharing.NewAccount(sharing.DefaultAccountPolicy),
	}
}

// Configure sets the configuration in force.
func (b *FleetState) Configure(index *configuration.Index) {
	b.index = index
}

// Exchange takes a gateway's report and answers what it needs to know.
func (b *FleetState) Exchange(now time.Time, request *rockwindpb.ExchangeRequest) *rockwindpb.ExchangeResponse {
	caller := b.hear(now, request)
	for _, digest := range request.GetOwned() {
		b.update(now, caller, digest)
	}
	b.countUsage(now, caller, request)
	b.hearLeaving(now, request.GetLeaving())
	caller.countModels(now, request.GetModels())
	response := &rockwindpb.ExchangeResponse{
		Version:             b.version(),
		Servers:             b.changedServers(now, caller, request.GetSinceVersion()),
		Zones:               b.otherZones(now, caller, request.GetSinceVersion() == 0),
		Tenants:             b.tenantAllowances(now, caller),
		Groups:              b.allowances,
		NextExchangeMs:      uint32(Period.Milliseconds()),
		LatestConfiguration: b.index.Number(),
		Leaving:             b.allLeaving(now),
	}
	response.Peers = b.namedPeers(now, caller.zone)
	return response
}

// hear notes that a gateway was heard. A gateway that restarted starts afresh.
func (b *FleetState) hear(now time.Time, request *rockwindpb.ExchangeRequest) *gateway {
	caller, known := b.gateways[request.GetGateway()]
	if !known || caller.startedUnixMs != request.GetStartedUnixMs() {
		caller = &gateway{
			name:          request.GetGateway(),
			startedUnixMs: request.GetStartedUnixMs(),
			groups:        make(map[string]*groupRate),
			tenants:       make(map[string]*tenantRate),
			models:        make(map[string]*rate),
		}
		b.gateways[caller.name] = caller
	}
	caller.address = request.GetAddress()
	caller.zone = request.GetZone()
	caller.configuration = request.GetConfigurationNumber()
	caller.draining = request.GetDraining()
	caller.heard = now
	caller.turn++
	b.zoneOf(caller.zone).hear(now)
	return caller
}

// update takes a digest; it counts as changed where more than its age changed.
func (b *FleetState) update(now time.Time, reporter *gateway, digest *rockwindpb.ServerDigest) {
	held := b.zoneOf(reporter.zone).servers
	known, found := held[digest.GetName()]
	if !found {
		known = &server{digest: &rockwindpb.ServerDigest{}}
		held[digest.GetName()] = known
	}
	loaded := known.digest.GetLoaded()
	if len(digest.GetLoaded()) > 0 && !slices.Equal(loaded, digest.GetLoaded()) {
		loaded = digest.GetLoaded()
		known.loadedChanged = b.nextVersion()
	}
	if digest.GetNothingLoaded() && len(loaded) > 0 {
		loaded = nil
		known.loadedChanged = b.nextVersion()
	}
	if !found || differs(known.digest, digest) || known.loadedChanged > known.changed {
		known.changed = b.nextVersion()
	}
	digest.Loaded = loaded
	known.digest = digest
	known.reporter = reporter.name
	known.received = now
}

func differs(left, right *rockwindpb.ServerDigest) bool {
	return left.GetRunningOnline() != right.GetRunningOnline() ||
		left.GetRunningBatch() != right.GetRunningBatch() ||
		left.GetWaiting() != right.GetWaiting() ||
		left.GetKvUsedPermille() != right.GetKvUsedPermille() ||
		left.GetStepMicroseconds() != right.GetStepMicroseconds() ||
		left.GetHealth() != right.GetHealth() ||
		left.GetLeaving() != right.GetLeaving()
}

func (b *FleetState) zoneOf(name string) *zone {
	found, known := b.zones[name]
	if !known {
		found = &zone{servers: make(map[string]*server)}
		b.zones[name] = found
	}
	return found
}

func (b *FleetState) version() uint64 {
	return b.epoch | b.changes
}

func (b *FleetState) nextVersion() uint64 {
	b.changes++
	return b.version()
}

// changedServers returns the zone's servers that changed after a version, but
// for those that the caller reported itself. A version of another board counts
// as none.
func (b *FleetState) changedServers(now time.Time, caller *gateway, since uint64) []*rockwindpb.ServerDigest {
	if since>>versionBits != b.epoch>>versionBits {
		since = 0
	}
	var changed []*rockwindpb.ServerDigest
	for _, known := range b.zoneOf(caller.zone).servers {
		if known.changed <= since || known.reporter == caller.name {
			continue
		}
		changed = append(changed, known.describe(now, known.loadedChanged > since))
	}
	slices.SortFunc(changed, byName)
	return changed
}

// describe returns the digest with its age now.
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

// hear notes that a gateway of the zone was heard. A zone that was away meets
// afresh.
func (z *zone) hear(now time.Time) {
	if now.Sub(z.heard) >= liveFor {
		z.since = now
	}
	z.heard = now
}

// namedPeers names the live gateways of a zone. It names none while it may not
// have heard them all, because each gateway would take the others for lost and
// poll their servers; the gateways go on with the names that they have.
func (b *FleetState) namedPeers(now time.Time, zone string) []string {
	if now.Sub(b.zoneOf(zone).since) < gathering {
		return nil
	}
	var names []string
	for _, peer := range b.peers(now, zone) {
		names = append(names, peer.name)
	}
	return names
}

// peers returns the gateways of a zone that are live and not draining, by name.
func (b *FleetState) peers(now time.Time, zone string) []*gateway {
	var live []*gateway
	for _, candidate := range b.gateways {
		if candidate.zone == zone && !candidate.draining && candidate.live(now) {
			live = append(live, candidate)
		}
	}
	slices.SortFunc(live, func(left, right *gateway) int { return compareNames(left.name, right.name) })
	return live
}

func (g *gateway) live(now time.Time) bool {
	return now.Sub(g.heard) < liveFor
}

// Refresh computes the allowances of groups anew and forgets what is gone. The
// owner calls it once a period.
func (b *FleetState) Refresh(now time.Time) {
	for name, known := range b.gateways {
		if now.Sub(known.heard) >= forgetAfter {
			delete(b.gateways, name)
		}
	}
	for _, known := range b.zones {
		known.forget(now)
	}
	for name, other := range b.others {
		if now.Sub(other.heard) >= liveFor {
			delete(b.others, name)
		}
	}
	b.settleGroups(now)
}

func (z *zone) forget(now time.Time) {
	for name, known := range z.servers {
		if now.Sub(known.received) >= forgetAfter {
			delete(z.servers, name)
		}
	}
}
