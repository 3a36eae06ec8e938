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

// loadReport is the answer to GET /load of an engine or a service.
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

// onlineWaiting is the part of the queue that is online, where it is told.
func (r *loadReport) onlineWaiting() uint32 {
	if r.WaitingOnline != nil {
		return *r.WaitingOnline
	}
	return r.Waiting
}

// maximumClockSkew bounds how far a server's clock is trusted: a report that
// claims to be older counts as taken when it was asked for.
const maximumClockSkew = 10 * time.Second

// polled merges a report that this gateway asked for. The report counts as
// taken by the server's clock, as far as that is plausible.
func (v *View) polled(server string, report loadReport, askedAt time.Duration, wall time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[server]
	if e == nil {
		return
	}
	now := v.now()
	age := wall.Sub(time.UnixMilli(report.AtMs))
	takenAt := now - age
	if age < 0 || age > maximumClockSkew {
		takenAt = askedAt
	}
	if e.reportedAt > takenAt {
		return
	}
	e.lagging = age > laggingAge
	before := e.leaving.draining
	e.leaving.said(report.Draining, takenAt)
	if e.leaving.draining && !before {
		v.announce()
	}
	v.merge(e, report, takenAt)
}

// merge puts a report in place. The caller holds the lock.
func (v *View) merge(e *entry, report loadReport, takenAt time.Duration) {
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
	}, e.history.sent.after(takenAt), e.history.ended.after(takenAt))
	v.publish(e)
}

const permille = 1000

// Digests describes the servers that this gateway owns, for the exchange.
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
		Health: state, Leaving: e.leaving.out(), Loaded: e.digestLoaded(),
		NothingLoaded: e.loaded != nil && len(e.loaded) == 0,
	}
}

// digestLoaded is the list of what is loaded, only where it changed since the
// last digest.
func (e *entry) digestLoaded() []string {
	if slices.Equal(e.sentLoaded, e.loaded) && e.sentCount%loadedEvery != 0 {
		e.sentCount++
		return nil
	}
	e.sentLoaded = e.loaded
	e.sentCount++
	return e.loaded
}

// loadedEvery is after how many digests the unchanged list is sent again, for
// control machines that restarted.
const loadedEvery = 16

// ApplyExchange merges what the control machines passed on.
func (v *View) ApplyExchange(response *rockwindpb.ExchangeResponse) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.exchangedAt = v.now()
	if peers := response.GetPeers(); len(peers) > 0 {
		v.setPeers(peers)
	}
	for _, digest := range response.GetServers() {
		if e := v.byName[digest.GetName()]; e != nil && !e.own {
			v.passedOn(e, digest)
		}
	}
	for _, zone := range response.GetZones() {
		v.summed(zone)
	}
	v.named(response)
}

// setPeers takes the live gateways of the zone.
func (v *View) setPeers(peers []string) {
	if slices.Equal(v.peers, peers) {
		return
	}
	v.peers = slices.Clone(peers)
	v.assignOwners()
}

// passedOn merges the digest of a server that another gateway polls.
func (v *View) passedOn(e *entry, digest *rockwindpb.ServerDigest) {
	takenAt := v.now() - time.Duration(digest.GetAgeMs())*time.Millisecond
	if e.reportedAt > takenAt {
		return
	}
	e.leaving.passedOn(digest.GetLeaving())
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
	v.merge(e, report, takenAt)
}

// summed spreads the sums of another zone evenly over its servers.
func (v *View) summed(zone *rockwindpb.ZoneDigest) {
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
			v.routing.ApplyReport(e.index, report, e.history.sent.after(report.TakenAt), e.history.ended.after(report.TakenAt))
		}
	}
}

// assignOwners notes which servers this gateway polls and feeds batch. Without
// peers it owns all servers of its zone.
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
		e.own = alone || assigned && owner == v.options.Gateway
		if e.own {
			v.owned = append(v.owned, e)
		}
	}
	v.preferOwned()
}

// preferOwned lists the servers of the own zone for routing.
func (v *View) preferOwned() {
	v.ownedFirst = routing.OwnedFirst{Margin: routing.OwnedMargin, Fallback: routing.Default, Backlog: v.promptBacklog}
	for index, e := range v.entries {
		switch {
		case e.zone != v.options.Zone:
		case e.own:
			v.ownedFirst.Owned = append(v.ownedFirst.Owned, int32(index))
		default:
			v.ownedFirst.Others = append(v.ownedFirst.Others, int32(index))
		}
	}
}

// promptBacklog is the number of prompt tokens of this gateway's online requests
// that wait on a server. The caller holds the lock.
func (v *View) promptBacklog(server int) int {
	return v.entries[server].batch.pace.PromptTokens()
}

// batchState is what is known for batch on one server.
type batchState struct {
	// pace follows the online requests that this gateway sent there.
	pace sharing.Pace
	// leader is the ticket of the pace's leader; zero for none.
	leader atomic.Uint64
	// running counts the batch items that this gateway runs there now; paused
	// ones are counted apart.
	running int
	paused  int
}

// publishLeader makes the leader known to the requests, which look without the
// lock.
func (b *batchState) publishLeader() {
	b.leader.Store(b.pace.Leader())
}
