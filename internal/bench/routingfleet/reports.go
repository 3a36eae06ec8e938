package routingfleet

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/routing"
)

// summaryInterval is the number of exchanges in which a gateway receives the
// summary of every other zone once, as from the control plane.
const summaryInterval = 5

// permille is the scale of the KV cache use in an engine's report.
const permille = 1000

// controlPlane models the control plane, which holds the latest digest of every
// server.
type controlPlane struct {
	fleet   *fleet
	digests []digest
	// leaving holds the servers that any gateway reported as leaving.
	leaving map[int]bool
}

// digest is the last state of a server that its owner published.
type digest struct {
	report  routing.Report
	leaving bool
	known   bool
	// ejected reports whether the owner ejected the server.
	ejected bool
}

func newControlPlane(run *fleet) *controlPlane {
	return &controlPlane{fleet: run, digests: make([]digest, run.scenario.Servers), leaving: make(map[int]bool)}
}

// poll requests load and cache events from the owned engines.
func (g *gateway) poll() {
	run := g.fleet
	for _, server := range g.owned {
		delay := run.delay(g, server)
		run.queue.After(delay, func() {
			node := &run.nodes[server]
			if !node.responds() {
				run.queue.After(connectTimeout, func() { g.pollFailed(server) })
				return
			}
			load := node.engine.Load(run.queue.Now())
			// The load report lags; the draining state is current.
			load.Draining = node.engine.Draining()
			g.readCacheEvents(server)
			run.queue.After(delay, func() { g.handleReport(server, load) })
		})
	}
}

func (g *gateway) handleReport(server int, load engine.Report) {
	if load.Draining && !g.leaving[server].draining {
		g.leaving[server].draining = true
		g.publishLeaving(server)
		g.broadcastLeaving(server)
	}
	sent, ended := g.recent[server].CountSince(load.At)
	g.view.ApplyReport(server, reportOf(load), sent, ended)
}

func reportOf(load engine.Report) routing.Report {
	return routing.Report{
		TakenAt:       load.At,
		RunningOnline: float32(load.RunningOnline),
		RunningBatch:  float32(load.RunningBatch),
		Waiting:       float32(load.WaitingOnline),
		KVUsed:        float32(load.KVUsedPermille) / permille,
		Step:          load.Step,
	}
}

// exchange publishes the digests of the owned servers and receives those of the
// zone's other servers and summaries of other zones.
func (g *gateway) exchange() {
	run := g.fleet
	digests := make([]digest, len(g.owned))
	for index, server := range g.owned {
		report := g.view.Servers[server].Report
		digests[index] = digest{report: report, leaving: g.leaving[server].isLeaving(), known: report.TakenAt > 0}
		digests[index].ejected = g.view.Servers[server].Health == routing.Ejected
	}
	run.queue.After(run.scenario.ZoneDelay, func() {
		for index, server := range g.owned {
			run.controlPlane.digests[server] = digests[index]
		}
		run.controlPlane.reply(g)
	})
}

// reply sends a gateway the digests of its zone, the summaries that are due and
// the leaving servers.
func (c *controlPlane) reply(g *gateway) {
	run := c.fleet
	g.exchanges++
	first, end := run.scenario.zoneServers(g.zone)
	known := append([]digest(nil), c.digests[first:end]...)
	var summaries []zoneSummary
	for zone := range run.scenario.Zones {
		if zone != g.zone && (zone%summaryInterval == g.exchanges%summaryInterval || g.exchanges == 1) {
			summaries = append(summaries, c.summarize(zone))
		}
	}
	leaving := slices.Collect(maps.Keys(c.leaving))
	run.queue.After(run.scenario.ZoneDelay, func() {
		for _, server := range leaving {
			g.leaving[server].digest = true
			g.publishLeaving(server)
		}
		g.applyZoneDigests(first, known)
		for _, summary := range summaries {
			g.applyZoneSummary(summary)
		}
	})
}

// zoneSummary is the mean load of a zone's servers.
type zoneSummary struct {
	zone   int
	report routing.Report
}

func (c *controlPlane) summarize(zone int) zoneSummary {
	first, end := c.fleet.scenario.zoneServers(zone)
	result := zoneSummary{zone: zone}
	count := float32(0)
	for server := first; server < end; server++ {
		stored := &c.digests[server]
		if !stored.known || stored.leaving {
			continue
		}
		count++
		result.report.RunningOnline += stored.report.RunningOnline
		result.report.Waiting += stored.report.Waiting
	}
	if count > 0 {
		result.report.RunningOnline /= count
		result.report.Waiting /= count
	}
	return result
}

func (g *gateway) applyZoneDigests(first int, known []digest) {
	for offset, stored := range known {
		server := first + offset
		if !stored.known || g.fleet.nodes[server].owner == g {
			continue
		}
		if stored.leaving {
			g.leaving[server].digest = true
			g.publishLeaving(server)
		}
		g.leaving[server].ejectedByOwner = stored.ejected
		sent, ended := g.recent[server].CountSince(stored.report.TakenAt)
		g.view.ApplyReport(server, stored.report, sent, ended)
	}
}

func (g *gateway) applyZoneSummary(summary zoneSummary) {
	summary.report.TakenAt = g.fleet.queue.Now()
	first, end := g.fleet.scenario.zoneServers(summary.zone)
	for server := first; server < end; server++ {
		g.view.ApplyReport(server, summary.report, 0, 0)
	}
}

// applyExactState updates the view with the current load of all engines and the
// hints with their current caches, for the oracle.
func (g *gateway) applyExactState(spec *arrival) {
	g.hints = g.hints[:0]
	now := g.fleet.queue.Now()
	for server := range g.fleet.nodes {
		node := &g.fleet.nodes[server]
		g.view.ApplyReport(server, reportOf(node.engine.Load(now)), 0, 0)
		if blocks := node.engine.CachedBlocks(spec.blocks); blocks > 0 {
			g.hints = append(g.hints, routing.Hint{Server: int32(server), CachedTokens: int32(blocks * engine.TokensPerBlock)})
		}
	}
}

// pollFailed records an unanswered poll as a failure.
func (g *gateway) pollFailed(server int) {
	g.recordHealth(server, outcomeOf(failureUnreachable), 0)
}

// platformListInterval is how often a gateway reads the platform's list of leaving
// servers, as in the daemon.
const platformListInterval = time.Second
