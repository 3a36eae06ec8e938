package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
)

// latencyTarget returns the online tail latency that batch may not exceed: the
// scenario's target, or else the gateway's own estimate.
func (g *gateway) latencyTarget() sharing.Target {
	if configured := g.fleet.scenario.Target; configured != (sharing.Target{}) {
		return configured
	}
	return g.tail.Target(sharing.DefaultTarget.PerToken)
}

// observer returns the other gateway that is notified of this gateway's online
// requests on a server, or nil.
func (g *gateway) observer(server int) *gateway {
	owner := g.fleet.nodes[server].owner
	if owner == g || !g.fleet.policy.NotifyOwners || (owner.zone != g.zone && !g.fleet.policy.ZeroLag) {
		return nil
	}
	return owner
}

// notify calls a function for the observer of a server, after the network delay.
func (g *gateway) notify(server int, observe func(observer *gateway)) {
	observer := g.observer(server)
	if observer == nil {
		return
	}
	if g.fleet.policy.ZeroLag {
		observe(observer)
		return
	}
	g.fleet.clock.After(g.fleet.scenario.LocalDelay, func() { observe(observer) })
}

// uncachedTokens estimates the prompt tokens that a server must prefill.
func (g *gateway) uncachedTokens(record *onlineRecord, server int) int {
	shape := record.arrival.shape
	for _, hint := range g.hintsFor(shape) {
		if int(hint.Server) == server {
			return shape.prompt - int(hint.CachedTokens)
		}
	}
	return shape.prompt
}

func (g *gateway) trackSent(index, server int) {
	record := &g.fleet.online[index]
	tokens := g.uncachedTokens(record, server)
	g.onlineTrackers[server].RecordSent(uint64(index), tokens, g.fleet.clock.Now())
	g.notify(server, func(observer *gateway) {
		observer.onlineTrackers[server].RecordSent(uint64(index), tokens, observer.fleet.clock.Now())
		observer.applyBudget(server)
	})
}

func (g *gateway) trackFirstToken(record *onlineRecord, server int) {
	g.onlineTrackers[server].RecordFirstToken(uint64(record.index), true, g.fleet.clock.Now())
	g.tail.RecordFirstToken(g.fleet.clock.Now() - record.arrival.at - g.fleet.scenario.ClientDelay)
	g.notify(server, func(observer *gateway) {
		observer.onlineTrackers[server].RecordFirstToken(uint64(record.index), g.fleet.policy.ZeroLag, observer.fleet.clock.Now())
		observer.applyBudget(server)
	})
	g.applyBudget(server)
}

func (g *gateway) trackTokens(record *onlineRecord, server, tokens int) {
	id := uint64(record.index)
	now := g.fleet.clock.Now()
	g.onlineTrackers[server].RecordTokens(id, tokens, g.latencyTarget().PerToken, g.batchStepTime(server), now)
	if g.fleet.policy.ZeroLag {
		g.notify(server, func(observer *gateway) {
			if !observer.onlineTrackers[server].IsSampled(id) {
				return
			}
			observer.onlineTrackers[server].RecordTokens(id, tokens, g.latencyTarget().PerToken, observer.batchStepTime(server), now)
			observer.applyBudget(server)
		})
	}
	if g.onlineTrackers[server].IsSampled(id) {
		g.applyBudget(server)
	}
}

func (g *gateway) trackEnd(record *onlineRecord, server int) {
	if mean, known := g.onlineTrackers[server].RecordEnd(uint64(record.index), g.view.Cost.StepBase, g.fleet.clock.Now()); known {
		g.tail.RecordPerToken(mean)
	}
	g.notify(server, func(observer *gateway) {
		observer.onlineTrackers[server].RecordEnd(uint64(record.index), g.view.Cost.StepBase, observer.fleet.clock.Now())
		observer.applyBudget(server)
	})
}

// routeOwnedFirst sets the default routing policy, which prefers owned servers. The
// owners must be assigned before.
func (g *gateway) routeOwnedFirst() {
	policy := &routing.OwnedFirst{
		Margin:   g.fleet.policy.OwnedMargin,
		Backlog:  func(server int) int { return g.onlineTrackers[server].PromptTokens() },
		Fallback: routing.Default,
	}
	zone := g.view.Zones[0]
	for server := zone.First; server < zone.First+zone.Count; server++ {
		if g.fleet.nodes[server].owner == g {
			policy.Owned = append(policy.Owned, server)
		} else {
			policy.Others = append(policy.Others, server)
		}
	}
	g.routing = policy
}

// batchStepTime returns the step time that batch items currently add on a server.
func (g *gateway) batchStepTime(server int) time.Duration {
	return time.Duration(len(g.batches[server].running)) * g.fleet.policy.PerItem
}
