package exchange

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// peerState holds the last aggregates of another control machine.
type peerState struct {
	lastSeen time.Time
	zones    []*rockwindpb.ZoneDigest
	groups   []*rockwindpb.GroupRate
	tenants  map[string]*rockwindpb.TenantDemand
	daemons  []*rockwindpb.DaemonStatus
	leaving  []string
}

// ApplyAggregates replaces the aggregates of another control machine.
func (f *FleetState) ApplyAggregates(now time.Time, shared *rockwindpb.ShareAggregatesRequest) {
	view := &peerState{
		lastSeen: now,
		zones:    shared.GetZones(),
		groups:   shared.GetGroups(),
		tenants:  make(map[string]*rockwindpb.TenantDemand, len(shared.GetTenants())),
		daemons:  shared.GetDaemons(),
		leaving:  shared.GetLeaving(),
	}
	for _, demand := range shared.GetTenants() {
		view.tenants[demand.GetTenant()] = demand
	}
	f.others[shared.GetMachine()] = view
}

// Aggregates returns the aggregates of this machine for the others.
func (f *FleetState) Aggregates(now time.Time) *rockwindpb.ShareAggregatesRequest {
	sums := f.groupRates(now)
	shared := &rockwindpb.ShareAggregatesRequest{
		Machine: f.machine,
		Zones:   f.localZones(now),
		Tenants: f.tenantDemands(now),
		Daemons: f.localDaemons(now),
		Leaving: f.localLeaving(now),
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		shared.Groups = append(shared.Groups, sums[name])
	}
	return shared
}

// localZones aggregates the zones whose gateways exchange with this machine.
func (f *FleetState) localZones(now time.Time) []*rockwindpb.ZoneDigest {
	var digests []*rockwindpb.ZoneDigest
	for _, name := range slices.Sorted(maps.Keys(f.zones)) {
		digests = append(digests, f.zones[name].loadByModel(now, name)...)
	}
	return digests
}

// loadByModel sums the load of the usable servers of a zone by loaded model.
func (z *zone) loadByModel(now time.Time, name string) []*rockwindpb.ZoneDigest {
	byModel := make(map[string]*rockwindpb.ZoneDigest)
	for _, srv := range z.servers {
		unusable := srv.digest.GetLeaving() || srv.digest.GetHealth() == rockwindpb.HealthState_HEALTH_STATE_EJECTED
		if unusable || now.Sub(srv.received) >= livenessTimeout {
			continue
		}
		for _, model := range modelsOf(srv.digest.GetLoaded()) {
			sum, found := byModel[model]
			if !found {
				sum = &rockwindpb.ZoneDigest{Zone: name, Model: model}
				byModel[model] = sum
			}
			sum.Servers++
			sum.RunningOnline += srv.digest.GetRunningOnline()
			sum.RunningBatch += srv.digest.GetRunningBatch()
			sum.Waiting += srv.digest.GetWaiting()
		}
	}
	var digests []*rockwindpb.ZoneDigest
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		digests = append(digests, byModel[model])
	}
	return digests
}

// modelsOf returns the models in a list of "model@version" and "model:adapter"
// entries.
func modelsOf(loaded []string) []string {
	var models []string
	for _, entry := range loaded {
		model, _, versioned := strings.Cut(entry, "@")
		if versioned && !slices.Contains(models, model) {
			models = append(models, model)
		}
	}
	return models
}

// otherZones returns the aggregates of the zones other than the caller's. With all
// unset it returns only the zones whose turn it is: the aggregates of 31 zones and 12
// models in each exchange would exceed the traffic limit of a daemon.
func (f *FleetState) otherZones(now time.Time, caller *gateway, all bool) []*rockwindpb.ZoneDigest {
	var digests []*rockwindpb.ZoneDigest
	for _, digest := range f.allZones(now) {
		turn := int(xxhash.Sum64String(digest.GetZone()) % zoneRotation)
		due := all || turn == caller.exchanges%zoneRotation
		if due && digest.GetZone() != caller.zone {
			digests = append(digests, digest)
		}
	}
	return digests
}

func (f *FleetState) allZones(now time.Time) []*rockwindpb.ZoneDigest {
	digests := f.localZones(now)
	for _, name := range slices.Sorted(maps.Keys(f.others)) {
		digests = append(digests, f.others[name].zones...)
	}
	return digests
}

// Status returns all known daemons and the servers in the zones of this machine.
func (f *FleetState) Status(now time.Time) *rockwindpb.FleetStatusResponse {
	response := &rockwindpb.FleetStatusResponse{
		Daemons:             f.localDaemons(now),
		LatestConfiguration: f.index.Number(),
		Models:              f.ModelDemands(now),
	}
	for _, name := range slices.Sorted(maps.Keys(f.others)) {
		response.Daemons = append(response.Daemons, f.others[name].daemons...)
	}
	response.Daemons = latestByName(response.Daemons)
	for _, zone := range f.zones {
		for _, srv := range zone.servers {
			response.Servers = append(response.Servers, srv.describe(now, true))
		}
	}
	slices.SortFunc(response.Servers, byName)
	return response
}

// latestByName keeps the latest status of each daemon. A daemon may have moved from
// one control machine to another.
func latestByName(daemons []*rockwindpb.DaemonStatus) []*rockwindpb.DaemonStatus {
	slices.SortFunc(daemons, func(left, right *rockwindpb.DaemonStatus) int {
		return cmp.Or(
			compareNames(left.GetName(), right.GetName()),
			cmp.Compare(right.GetLastHeardUnixMs(), left.GetLastHeardUnixMs()),
		)
	})
	return slices.CompactFunc(daemons, func(left, right *rockwindpb.DaemonStatus) bool {
		return left.GetName() == right.GetName()
	})
}

func (f *FleetState) localDaemons(now time.Time) []*rockwindpb.DaemonStatus {
	var daemons []*rockwindpb.DaemonStatus
	for _, name := range slices.Sorted(maps.Keys(f.gateways)) {
		gw := f.gateways[name]
		if now.Sub(gw.lastSeen) >= removalTimeout {
			continue
		}
		daemons = append(daemons, &rockwindpb.DaemonStatus{
			Name:                gw.name,
			Role:                "gateway",
			Zone:                gw.zone,
			Address:             gw.address,
			ConfigurationNumber: gw.configuration,
			LastHeardUnixMs:     gw.lastSeen.UnixMilli(),
			Draining:            gw.draining,
		})
	}
	return daemons
}

func byName(left, right *rockwindpb.ServerDigest) int {
	return compareNames(left.GetName(), right.GetName())
}

func compareNames(left, right string) int { return cmp.Compare(left, right) }

// instanceHash returns a non-zero 32-bit ID of a FleetState.
func instanceHash(machine string, epoch uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(machine)
	_, _ = digest.Write([]byte{
		byte(epoch), byte(epoch >> 8), byte(epoch >> 16), byte(epoch >> 24),
		byte(epoch >> 32), byte(epoch >> 40), byte(epoch >> 48), byte(epoch >> 56),
	})
	return max(digest.Sum64()>>versionCounterBits, 1)
}
