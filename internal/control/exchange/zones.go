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

// machineView is what another control machine passed on last.
type machineView struct {
	heard   time.Time
	zones   []*rockwindpb.ZoneDigest
	groups  []*rockwindpb.GroupRate
	tenants map[string]*rockwindpb.TenantDemand
	daemons []*rockwindpb.DaemonStatus
	leaving []string
}

// ApplyAggregates takes what another control machine passed on.
func (b *FleetState) ApplyAggregates(now time.Time, shared *rockwindpb.ShareAggregatesRequest) {
	view := &machineView{
		heard:   now,
		zones:   shared.GetZones(),
		groups:  shared.GetGroups(),
		tenants: make(map[string]*rockwindpb.TenantDemand, len(shared.GetTenants())),
		daemons: shared.GetDaemons(),
		leaving: shared.GetLeaving(),
	}
	for _, demand := range shared.GetTenants() {
		view.tenants[demand.GetTenant()] = demand
	}
	b.others[shared.GetMachine()] = view
}

// Aggregates returns what this machine passes on to the others.
func (b *FleetState) Aggregates(now time.Time) *rockwindpb.ShareAggregatesRequest {
	sums := b.groupRates(now)
	shared := &rockwindpb.ShareAggregatesRequest{
		Machine: b.machine,
		Zones:   b.ownZones(now),
		Tenants: b.tenantDemands(now),
		Daemons: b.ownDaemons(now),
		Leaving: b.ownLeaving(now),
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		shared.Groups = append(shared.Groups, sums[name])
	}
	return shared
}

// ownZones sums the servers of the zones that meet at this machine, by model.
func (b *FleetState) ownZones(now time.Time) []*rockwindpb.ZoneDigest {
	var digests []*rockwindpb.ZoneDigest
	for _, name := range slices.Sorted(maps.Keys(b.zones)) {
		digests = append(digests, b.zones[name].sums(now, name)...)
	}
	return digests
}

// sums adds up the healthy servers of a zone by the models that they hold.
func (z *zone) sums(now time.Time, name string) []*rockwindpb.ZoneDigest {
	byModel := make(map[string]*rockwindpb.ZoneDigest)
	for _, known := range z.servers {
		unusable := known.digest.GetLeaving() || known.digest.GetHealth() == rockwindpb.HealthState_HEALTH_STATE_EJECTED
		if unusable || now.Sub(known.received) >= liveFor {
			continue
		}
		for _, model := range modelsOf(known.digest.GetLoaded()) {
			sum, found := byModel[model]
			if !found {
				sum = &rockwindpb.ZoneDigest{Zone: name, Model: model}
				byModel[model] = sum
			}
			sum.Servers++
			sum.RunningOnline += known.digest.GetRunningOnline()
			sum.RunningBatch += known.digest.GetRunningBatch()
			sum.Waiting += known.digest.GetWaiting()
		}
	}
	var digests []*rockwindpb.ZoneDigest
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		digests = append(digests, byModel[model])
	}
	return digests
}

// modelsOf returns the models in a list of "model@version" and "model:adapter".
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

// otherZones returns sums of the zones other than the caller's: all of them at
// first, and then each zone once in zoneTurns exchanges, because the sums of 31
// zones and 12 models in each exchange would use up a daemon's traffic.
func (b *FleetState) otherZones(now time.Time, caller *gateway, all bool) []*rockwindpb.ZoneDigest {
	var digests []*rockwindpb.ZoneDigest
	for _, digest := range b.allZones(now) {
		turn := int(xxhash.Sum64String(digest.GetZone()) % zoneTurns)
		due := all || turn == caller.turn%zoneTurns
		if due && digest.GetZone() != caller.zone {
			digests = append(digests, digest)
		}
	}
	return digests
}

func (b *FleetState) allZones(now time.Time) []*rockwindpb.ZoneDigest {
	digests := b.ownZones(now)
	for _, name := range slices.Sorted(maps.Keys(b.others)) {
		digests = append(digests, b.others[name].zones...)
	}
	return digests
}

// Status describes all daemons that are known, and the servers whose zones meet
// at this machine.
func (b *FleetState) Status(now time.Time) *rockwindpb.FleetStatusResponse {
	response := &rockwindpb.FleetStatusResponse{
		Daemons:             b.ownDaemons(now),
		LatestConfiguration: b.index.Number(),
		Models:              b.ModelDemands(now),
	}
	for _, name := range slices.Sorted(maps.Keys(b.others)) {
		response.Daemons = append(response.Daemons, b.others[name].daemons...)
	}
	response.Daemons = newestOfEach(response.Daemons)
	for _, known := range b.zones {
		for _, held := range known.servers {
			response.Servers = append(response.Servers, held.describe(now, true))
		}
	}
	slices.SortFunc(response.Servers, byName)
	return response
}

// newestOfEach keeps the newest word of each daemon, which may have moved from
// one control machine to another.
func newestOfEach(daemons []*rockwindpb.DaemonStatus) []*rockwindpb.DaemonStatus {
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

func (b *FleetState) ownDaemons(now time.Time) []*rockwindpb.DaemonStatus {
	var daemons []*rockwindpb.DaemonStatus
	for _, name := range slices.Sorted(maps.Keys(b.gateways)) {
		known := b.gateways[name]
		if now.Sub(known.heard) >= forgetAfter {
			continue
		}
		daemons = append(daemons, &rockwindpb.DaemonStatus{
			Name:                known.name,
			Role:                "gateway",
			Zone:                known.zone,
			Address:             known.address,
			ConfigurationNumber: known.configuration,
			LastHeardUnixMs:     known.heard.UnixMilli(),
			Draining:            known.draining,
		})
	}
	return daemons
}

func byName(left, right *rockwindpb.ServerDigest) int {
	return compareNames(left.GetName(), right.GetName())
}

func compareNames(left, right string) int { return cmp.Compare(left, right) }

// mix draws 32 bits that tell one board from another.
func mix(machine string, epoch uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(machine)
	_, _ = digest.Write([]byte{
		byte(epoch), byte(epoch >> 8), byte(epoch >> 16), byte(epoch >> 24),
		byte(epoch >> 32), byte(epoch >> 40), byte(epoch >> 48), byte(epoch >> 56),
	})
	return max(digest.Sum64()>>versionBits, 1)
}
