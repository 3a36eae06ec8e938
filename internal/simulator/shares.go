package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// servedSample is the batch service of each group in one exchange period.
type servedSample struct {
	At   time.Duration
	Cost []float64
	// Wanted tells which groups had work waiting.
	Wanted []bool
}

// shareUse reports the use since the last exchange to control, which answers
// with allowances.
func (g *gateway) shareUse() {
	run := g.fleet
	used := make([]sharing.GroupUse, len(g.used))
	copy(used, g.used)
	for load := range g.used {
		used[load].Demand = g.queuedCost(load)
		g.used[load].BatchCost = 0
	}
	run.clock.after(controlDelay/2, func() { run.ledger.settle(g, used) })
}

func (g *gateway) queuedCost(load int) float64 {
	cost := 0.0
	for _, entry := range g.queues[load].items {
		cost += entry.cost()
	}
	return cost
}

// settle books the use that a gateway reports and answers with allowances.
func (l *ledger) settle(from *gateway, used []sharing.GroupUse) {
	for load := range used {
		l.uses[load].BatchCost += used[load].BatchCost
		l.uses[load].Demand += used[load].Demand
	}
	l.fleet.clock.after(controlDelay/2, func() { from.picker.SetAllowances(l.parts) })
	period := l.fleet.clock.now - l.settled
	if period < l.fleet.scenario.ExchangeInterval {
		return
	}
	for load := range l.uses {
		l.uses[load].Demand += l.waitingCost(load)
	}
	l.parts = l.account.Allowances(l.uses, period)
	l.settled = l.fleet.clock.now
	for load := range l.uses {
		l.uses[load].BatchCost = 0
		l.uses[load].Demand = 0
	}
}
