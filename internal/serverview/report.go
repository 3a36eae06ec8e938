package serverview

import (
	"slices"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/ownership"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
)

// loadReport is the response of an engine or a service to GET /load.
type loadReport struct {
	Sequence       uint64   `json:"sequence"`
	AtMs           int64    `json:"at_ms"`
	RunningOnline  uint32   `json:"running_online"`
	RunningBatch   uint32   `json:"running_batch"`
	Waiting        uint32   `json:"waiting"`
	WaitingOnline  *uint32  `json:"waiting_online"`
	KVUsedPermille uint32   `json:"kv_used_permille"`
	StepUs         uint32   `json:"step_us"`
	Loaded         []string `json:"loaded"`
	Draining       bool     `json:"draining"`
}

// onlineWaiting is the number of waiting online requests, or of all waiting
// requests if the server doesn't report them separately.
func (r *loadReport) onlineWaiting() uint32 {
	if r.WaitingOnline != nil {
		return *r.WaitingOnline
	}
	return r.Waiting
}

// maxClockSkew is the maximum plausible age of a report by the server's clock.
// A report that claims to be older counts as taken when the poll was sent.
const maxClockSkew = 10 * time.Second

// mergePolledReport merges a polled report. Its time is taken from the server's
// clock if that is plausible.
func (v *View) mergePolledReport(server string, report loadReport, askedAt time.Duration, wall time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[server]
	if e == nil {
		return
	}
	now := v.now()
	age := wall.Sub(time.UnixMilli(report.AtMs))
	takenAt := now - age
	if age < 0 || age > maxClockSkew {
		takenAt = askedAt
	}
	if e.reportedAt > takenAt {
		return
	}
	e.lagging = age > laggingAge
	before := e.leaving.draining
	e.leaving.setDraining(report.Draining, takenAt)
	if e.leaving.draining && !before {
		v.requestExchange()
	}
	v.setReport(e, report, takenAt)
}

// setReport stores a report. The caller holds the lock.
func (v *View) setReport(e *entry, report loadReport, takenAt time.Duration) {
	e.report = report
	e.reportedAt = takenAt
	if report.Loaded != nil {
		e.loaded = report.Loaded
	}
	v.routing.ApplyReport(e.index, routing.Report{
		TakenAt:       takenAt,
		RunningOnline: float32(report.RunningOnline),
		RunningBatch:  float32(report.RunningBatch),
		Waiting:       float32(report.onlineWaiting()),
		KVUsed:        float32(report.KVUsedPermille) / permille,
		Step:          time.Duration(report.StepUs) * time.Microsecond,
	}, e.history.sent.countAfter(takenAt), e.history.ended.countAfter(takenAt))
	v.publish(e)
}

const permille = 1000

// Digests returns the digests of the servers owned by this gateway, for the
// exchange.
func (v *View) Digests() []*rockwindpb.ServerDigest {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var digests []*rockwindpb.ServerDigest
	for _, e := range v.owned {
		if e.reportedAt > 0 {
			digests = append(digests, v.digest(e))
		}
	}
	return digests
}

func (v *View) digest(e *entry) *rockwindpb.ServerDigest {
	state := rockwindpb.HealthState_HEALTH_STATE_HEALTHY
	switch v.routing.Servers[e.index].Health {
	case routing.Suspect:
		state = rockwindpb.HealthState_HEALTH_STATE_SUSPECT
	case routing.Ejected:
		state = rockwindpb.HealthState_HEALTH_STATE_EJECTED
	}
	return &rockwindpb.ServerDigest{
		Name: e.name, RunningOnline: e.report.RunningOnline, RunningBatch: e.report.RunningBatch,
		Waiting: e.report.onlineWaiting(), KvUsedPermille: e.report.KVUsedPermille,
		StepMicroseconds: e.report.StepUs, AgeMs: uint32((v.now() - e.reportedAt).Milliseconds()),
		Health: state, Leaving: e.leaving.excluded(), Loaded: e.loadedForDigest(),
		NothingLoaded: e.loaded != nil && len(e.loaded) == 0,
	}
}

// loadedForDigest returns the loaded names if they changed since the last
// digest, and periodically if they didn't.
func (e *entry) loadedForDigest() []string {
	if slices.Equal(e.sentLoaded, e.loaded) && e.sentCount%digestsPerLoadedList != 0 {
		e.sentCount++
		return nil
	}
	e.sentLoaded = e.loaded
	e.sentCount++
	return e.loaded
}

// digestsPerLoadedList is the number of digests after which an unchanged list
// of loaded names is sent again, for control machines that restarted.
const digestsPerLoadedList = 16

// ApplyExchange merges a response of the control machines.
func (v *View) ApplyExchange(response *rockwindpb.ExchangeResponse) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.exchangedAt = v.now()
	if peers := response.GetPeers(); len(peers) > 0 {
		v.setPeers(peers)
	}
	for _, digest := range response.GetServers() {
		if e := v.byName[digest.GetName()]; e != nil && !e.owned {
			v.mergeDigest(e, digest)
		}
	}
	for _, zone := range response.GetZones() {
		v.mergeZoneDigest(zone)
	}
	v.mergeLeaving(response)
}

// setPeers sets the live gateways of the zone. The caller holds the lock.
func (v *View) setPeers(peers []string) {
	if slices.Equal(v.peers, peers) {
		return
	}
	v.peers = slices.Clone(peers)
	v.assignOwners()
}

// mergeDigest merges the digest of a server that another gateway polls. The
// caller holds the lock.
func (v *View) mergeDigest(e *entry, digest *rockwindpb.ServerDigest) {
	takenAt := v.now() - time.Duration(digest.GetAgeMs())*time.Millisecond
	if e.reportedAt > takenAt {
		return
	}
	e.leaving.setDigest(digest.GetLeaving())
	e.digestHealth = digest.GetHealth()
	report := loadReport{
		RunningOnline: digest.GetRunningOnline(), RunningBatch: digest.GetRunningBatch(),
		Waiting: digest.GetWaiting(), KVUsedPermille: digest.GetKvUsedPermille(), StepUs: digest.GetStepMicroseconds(),
	}
	if digest.GetNothingLoaded() {
		report.Loaded = []string{}
	}
	if len(digest.GetLoaded()) > 0 {
		report.Loaded = digest.GetLoaded()
	}
	v.setReport(e, report, takenAt)
}

// mergeZoneDigest spreads the load totals of another zone evenly over its
// servers. The caller holds the lock.
func (v *View) mergeZoneDigest(zone *rockwindpb.ZoneDigest) {
	if zone.GetZone() == v.options.Zone || zone.GetServers() == 0 {
		return
	}
	servers := float32(zone.GetServers())
	report := routing.Report{
		TakenAt:       v.now(),
		RunningOnline: float32(zone.GetRunningOnline()) / servers,
		RunningBatch:  float32(zone.GetRunningBatch()) / servers,
		Waiting:       float32(zone.GetWaiting()) / servers,
	}
	for _, e := range v.entries {
		if e.zone == zone.GetZone() && slices.Contains(e.serves, zone.GetModel()) {
			v.routing.ApplyReport(e.index, report, e.history.sent.countAfter(report.TakenAt), e.history.ended.countAfter(report.TakenAt))
		}
	}
}

// assignOwners determines which servers this gateway polls and assigns batch
// work to. Without peers it owns all servers of its zone. The caller holds the
// lock.
func (v *View) assignOwners() {
	var names []string
	for _, e := range v.entries {
		if e.zone == v.options.Zone {
			names = append(names, e.name)
		}
	}
	owners := ownership.Assign(v.peers, names)
	v.owned = v.owned[:0]
	for _, e := range v.entries {
		owner, assigned := owners[e.name]
		alone := len(v.peers) == 0 && e.zone == v.options.Zone
		e.owned = alone || assigned && owner == v.options.Gateway
		if e.owned {
			v.owned = append(v.owned, e)
		}
	}
	v.rebuildOwnedFirst()
}

// rebuildOwnedFirst rebuilds the OwnedFirst policy from the servers of the
// local zone.
func (v *View) rebuildOwnedFirst() {
	v.ownedFirst = routing.OwnedFirst{Margin: routing.OwnedMargin, Fallback: routing.Default, Backlog: v.promptBacklog}
	for index, e := range v.entries {
		switch {
		case e.zone != v.options.Zone:
		case e.owned:
			v.ownedFirst.Owned = append(v.ownedFirst.Owned, int32(index))
		default:
			v.ownedFirst.Others = append(v.ownedFirst.Others, int32(index))
		}
	}
}

// promptBacklog returns the number of prompt tokens of this gateway's online
// requests that are waiting on a server. The caller holds the lock.
func (v *View) promptBacklog(server int) int {
	return v.entries[server].batch.online.PromptTokens()
}

// batchState is the batch scheduling state of one server.
type batchState struct {
	// online tracks the online requests that this gateway sent to the server.
	online sharing.OnlineTracker
	// sampled is the ID of the online attempt whose tokens are sampled; zero
	// for none.
	sampled atomic.Uint64
	// running counts the batch items that this gateway is running on the
	// server, not including paused ones.
	running int
	paused  int
}

// publishSampled makes the sampled attempt visible to Attempt.IsSampled, which
// takes no lock.
func (b *batchState) publishSampled() {
	b.sampled.Store(b.online.SampledRequest())
}
