package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/routing"
)

// poll requests load reports from the owned engines and updates server health.
func (g *gateway) poll() {
	run := g.fleet
	for _, server := range g.owned {
		delay := run.delay(g, server)
		run.clock.After(delay, func() {
			load := run.nodes[server].engine.Load(run.clock.Now())
			dead := run.nodes[server].engine.Dead()
			run.clock.After(delay, func() {
				if !dead {
					g.applyReport(server, load)
				}
			})
		})
	}
	g.health.Evaluate(run.clock.Now(), g.random)
	for server := range g.view.Servers {
		g.sendTrial(server)
		g.publishHealth(server)
	}
}

// sendTrial models a trial request to an ejected server.
func (g *gateway) sendTrial(server int) {
	run := g.fleet
	if !g.health.StartTrial(server, run.clock.Now()) {
		return
	}
	outcome := healthOutcome(run.nodes[server].engine.Dead())
	run.clock.After(2*run.delay(g, server), func() {
		g.health.Record(server, outcome, 0, run.clock.Now(), g.random)
	})
}

func (g *gateway) applyReport(server int, load engine.Report) {
	sent, ended := g.recent[server].CountSince(load.At)
	g.view.ApplyReport(server, toRoutingReport(load), sent, ended)
	g.applyBudget(server)
}

func toRoutingReport(load engine.Report) routing.Report {
	return routing.Report{
		TakenAt:       load.At,
		RunningOnline: float32(load.RunningOnline),
		RunningBatch:  float32(load.RunningBatch),
		Waiting:       float32(load.WaitingOnline),
		KVUsed:        float32(load.KVUsedPermille) / 1000,
		Step:          load.Step,
	}
}

// exchangeDelay is the processing time of a load digest in control.
const exchangeDelay = 5 * time.Millisecond

// exchange sends a digest of the owned servers' load to the other gateways, which
// use individual reports within the zone and the mean in other zones.
func (g *gateway) exchange() {
	run := g.fleet
	reports := make([]routing.Report, len(g.owned))
	for index, server := range g.owned {
		reports[index] = g.view.Servers[server].Report
	}
	mean := meanReport(reports)
	for _, other := range run.gateways {
		if other == g {
			continue
		}
		run.clock.After(2*run.scenario.ZoneDelay+exchangeDelay, func() { other.applyDigest(g, reports, mean) })
	}
	g.reportUse()
}

func meanReport(reports []routing.Report) routing.Report {
	var mean routing.Report
	count := float32(max(1, len(reports)))
	for _, report := range reports {
		mean.TakenAt = max(mean.TakenAt, report.TakenAt)
		mean.RunningOnline += report.RunningOnline / count
		mean.RunningBatch += report.RunningBatch / count
		mean.Waiting += report.Waiting / count
		mean.KVUsed += report.KVUsed / count
		mean.Step += report.Step / time.Duration(count)
	}
	return mean
}

// applyDigest applies a load digest from another gateway.
func (g *gateway) applyDigest(from *gateway, reports []routing.Report, mean routing.Report) {
	for index, server := range from.owned {
		report := mean
		if from.zone == g.zone {
			report = reports[index]
		}
		sent, ended := g.recent[server].CountSince(report.TakenAt)
		g.view.ApplyReport(server, report, sent, ended)
	}
}

// refresh updates the view with the current load of all servers, for Policy.ZeroLag.
func (g *gateway) refresh() {
	for server := range g.fleet.nodes {
		g.refreshOne(server)
	}
}

func (g *gateway) refreshOne(server int) {
	load := g.fleet.nodes[server].engine.Load(g.fleet.clock.Now())
	g.view.ApplyReport(server, toRoutingReport(load), 0, 0)
}
