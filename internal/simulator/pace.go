package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
)

// target is the tail of online latency to keep: the one that the scenario tells,
// or the gateway's own estimate.
func (g *gateway) target() sharing.Target {
	if told := g.fleet.scenario.Target; told != (sharing.Target{}) {
		return told
	}
	return g.tail.Target(sharing.DefaultTarget.PerToken)
}

// observer is the gateway that hears of an online request of this gateway on a
// server, beside this one; nil where nobody does.
func (g *gateway) observer(server int) *gateway {
	owner := g.fleet.nodes[server].owner
	if owner == g || !g.fleet.policy.NotifyOwners || (owner.zone != g.zone && !g.fleet.policy.ZeroLag) {
		return nil
	}
	return owner
}

// notify tells the observer of a server after the way there.
func (g *gateway) notify(server int, tell func(observer *gateway)) {
	observer := g.observer(server)
	if observer == nil {
		return
	}
	if g.fleet.policy.ZeroLag {
		tell(observer)
		return
	}
	g.fleet.clock.After(g.fleet.scenario.LocalDelay, func() { tell(observer) })
}

// uncached estimates the prompt tokens of a request that a server must process.
func (g *gateway) uncached(record *onlineRecord, server int) int {
	shape := record.arrival.shape
	for _, hint := range g.hintsFor(shape) {
		if int(hint.Server) == server {
			return shape.prompt - int(hint.CachedTokens)
		}
	}
	return shape.prompt
}

func (g *gateway) noteSent(index, server int) {
	record := &g.fleet.online[index]
	tokens := g.uncached(record, server)
	g.paces[server].RecordSent(uint64(index), tokens, g.fleet.clock.Now())
	g.notify(server, func(observer *gateway) {
		observer.paces[server].RecordSent(uint64(index), tokens, observer.fleet.clock.Now())
		observer.balance(server)
	})
}

func (g *gateway) noteFirstToken(record *onlineRecord, server int) {
	g.paces[server].RecordFirstToken(uint64(record.index), true, g.fleet.clock.Now())
	g.tail.RecordFirstToken(g.fleet.clock.Now() - record.arrival.at - g.fleet.scenario.ClientDelay)
	g.notify(server, func(observer *gateway) {
		observer.paces[server].RecordFirstToken(uint64(record.index), g.fleet.policy.ZeroLag, observer.fleet.clock.Now())
		observer.balance(server)
	})
	g.balance(server)
}

func (g *gateway) noteTokens(record *onlineRecord, server, tokens int) {
	id := uint64(record.index)
	now := g.fleet.clock.Now()
	g.paces[server].RecordTokens(id, tokens, g.target().PerToken, g.batchPart(server), now)
	if g.fleet.policy.ZeroLag {
		g.notify(server, func(observer *gateway) {
			if !observer.paces[server].IsSampled(id) {
				return
			}
			observer.paces[server].RecordTokens(id, tokens, g.target().PerToken, observer.batchPart(server), now)
			observer.balance(server)
		})
	}
	if g.paces[server].IsSampled(id) {
		g.balance(server)
	}
}

func (g *gateway) noteEnded(record *onlineRecord, server int) {
	if mean, known := g.paces[server].RecordEnd(uint64(record.index), g.view.Cost.StepBase, g.fleet.clock.Now()); known {
		g.tail.RecordPerToken(mean)
	}
	g.notify(server, func(observer *gateway) {
		observer.paces[server].RecordEnd(uint64(record.index), g.view.Cost.StepBase, observer.fleet.clock.Now())
		observer.balance(server)
	})
}

// routeOwnedFirst sets the routing policy of the gateways up, which needs to
// know the owners.
func (g *gateway) routeOwnedFirst() {
	policy := &routing.OwnedFirst{
		Margin:   g.fleet.policy.OwnedMargin,
		Backlog:  func(server int) int { return g.paces[server].PromptTokens() },
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

// batchPart is the part of a step that batch takes on a server now.
func (g *gateway) batchPart(server int) time.Duration {
	return time.Duration(len(g.lanes[server].running)) * g.fleet.policy.PerItem
}
