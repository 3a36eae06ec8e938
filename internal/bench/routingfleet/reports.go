package routingfleet

import (
	"maps"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/routing"
)

// zoneTurns is in how many exchanges a gateway hears of every other zone once,
// as the control machines pass sums on.
const zoneTurns = 5

// permille is the unit of a report's part of memory.
const permille = 1000

// board stands for the control machines: the newest digest of every server.
type board struct {
	fleet   *fleet
	digests []digest
	// leaving holds the servers that some gateway found leaving.
	leaving map[int]bool
}

// digest is what a server's owner passed on last.
type digest struct {
	report  routing.Report
	leaving bool
	known   bool
	// ejected tells that the owner ejected the server.
	ejected bool
}

func newBoard(run *fleet) *board {
	return &board{fleet: run, digests: make([]digest, run.scenario.Servers), leaving: make(map[int]bool)}
}

// poll asks the owned engines for their load and cache events.
func (g *gateway) poll() {
	run := g.fleet
	for _, server := range g.owned {
		delay := run.delay(g, server)
		run.queue.After(delay, func() {
			node := &run.nodes[server]
			if !node.answers() {
				run.queue.After(connectTimeout, func() { g.pollFailed(server) })
				return
			}
			load := node.engine.Load(run.queue.Now())
			// The report lags; whether the server takes requests is asked apart.
			load.Draining = node.engine.Draining()
			g.readCacheEvents(server)
			run.queue.After(delay, func() { g.reported(server, load) })
		})
	}
}

func (g *gateway) reported(server int, load engine.Report) {
	if load.Draining && !g.leaving[server].draining {
		g.leaving[server].draining = true
		g.publishLeaving(server)
		g.foundLeaving(server)
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

// exchange passes the digests of the owned servers on, and takes those of the
// zone's other servers and sums of other zones.
func (g *gateway) exchange() {
	run := g.fleet
	digests := make([]digest, len(g.owned))
	for index, server := range g.owned {
		report := g.view.Servers[server].Report
		digests[index] = digest{report: report, leaving: g.leaving[server].out(), known: report.TakenAt > 0}
		digests[index].ejected = g.view.Servers[server].Health == routing.Ejected
	}
	run.queue.After(run.scenario.ZoneDelay, func() {
		for index, server := range g.owned {
			run.board.digests[server] = digests[index]
		}
		run.board.answer(g)
	})
}

// answer sends a gateway what it is to know.
func (b *board) answer(g *gateway) {
	run := b.fleet
	g.turn++
	first, end := run.scenario.zoneServers(g.zone)
	known := append([]digest(nil), b.digests[first:end]...)
	var sums []zoneSum
	for zone := range run.scenario.Zones {
		if zone != g.zone && (zone%zoneTurns == g.turn%zoneTurns || g.turn == 1) {
			sums = append(sums, b.sum(zone))
		}
	}
	leaving := slices.Collect(maps.Keys(b.leaving))
	run.queue.After(run.scenario.ZoneDelay, func() {
		for _, server := range leaving {
			g.leaving[server].digest = true
			g.publishLeaving(server)
		}
		g.learnZone(first, known)
		for _, sum := range sums {
			g.learnSum(sum)
		}
	})
}

// zoneSum is the mean load of a zone's servers.
type zoneSum struct {
	zone   int
	report routing.Report
}

func (b *board) sum(zone int) zoneSum {
	first, end := b.fleet.scenario.zoneServers(zone)
	result := zoneSum{zone: zone}
	count := float32(0)
	for server := first; server < end; server++ {
		held := &b.digests[server]
		if !held.known || held.leaving {
			continue
		}
		count++
		result.report.RunningOnline += held.report.RunningOnline
		result.report.Waiting += held.report.Waiting
	}
	if count > 0 {
		result.report.RunningOnline /= count
		result.report.Waiting /= count
	}
	return result
}

func (g *gateway) learnZone(first int, known []digest) {
	for offset, held := range known {
		server := first + offset
		if !held.known || g.fleet.nodes[server].owner == g {
			continue
		}
		if held.leaving {
			g.leaving[server].digest = true
			g.publishLeaving(server)
		}
		g.leaving[server].ejectedByOwner = held.ejected
		sent, ended := g.recent[server].CountSince(held.report.TakenAt)
		g.view.ApplyReport(server, held.report, sent, ended)
	}
}

func (g *gateway) learnSum(sum zoneSum) {
	sum.report.TakenAt = g.fleet.queue.Now()
	first, end := g.fleet.scenario.zoneServers(sum.zone)
	for server := first; server < end; server++ {
		g.view.ApplyReport(server, sum.report, 0, 0)
	}
}

// refresh gives the view the true load of all engines and hints of their true
// caches, for the oracle.
func (g *gateway) refresh(drawn *arrival) {
	g.hints = g.hints[:0]
	now := g.fleet.queue.Now()
	for server := range g.fleet.nodes {
		node := &g.fleet.nodes[server]
		g.view.ApplyReport(server, reportOf(node.engine.Load(now)), 0, 0)
		if blocks := node.engine.CachedBlocks(drawn.blocks); blocks > 0 {
			g.hints = append(g.hints, routing.Hint{Server: int32(server), CachedTokens: int32(blocks * engine.TokensPerBlock)})
		}
	}
}

// pollFailed counts a poll without an answer as evidence.
func (g *gateway) pollFailed(server int) {
	g.record(server, outcomeOf(failureUnreachable), 0)
}

// platformEvery is how often a gateway reads the platform's list, as the
// daemon's.
const platformEvery = time.Second
