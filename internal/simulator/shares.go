package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// ServiceSample holds the batch service of one sampling period.
type ServiceSample struct {
	// At is the end of the period.
	At time.Duration
	// Cost is the batch service of each group, in cost units.
	Cost []float64
	// Backlogged reports which groups had waiting items at the end of the period.
	Backlogged []bool
	// Slots is the number of batch items that the budgets of all servers allowed at
	// the end of the period, FreeSlots the number of them not in use.
	Slots, FreeSlots int
}

// sampling tracks the batch service of the groups.
type sampling struct {
	samples []ServiceSample
	// running is the cost already counted for items in progress.
	running map[*item]float64
	current []float64
}

func (f *fleet) startSampling() {
	f.sampling = &sampling{running: make(map[*item]float64), current: make([]float64, len(f.scenario.Batch))}
	f.clock.Every(f.scenario.SampleEvery, f.scenario.SampleEvery, f.sample)
}

func (f *fleet) sample() {
	sample := ServiceSample{At: f.clock.Now(), Backlogged: make([]bool, len(f.scenario.Batch))}
	for server := range f.nodes {
		owner := f.nodes[server].owner
		batch := &owner.batches[server]
		for _, entry := range batch.running {
			f.sampleItem(entry, server)
		}
		for _, entry := range batch.paused {
			f.sampleItem(entry, server)
		}
		budget, _ := f.policy.Budget(owner.state(server), f.clock.Now())
		sample.Slots += budget.Items
		sample.FreeSlots += max(0, budget.Items-len(batch.running))
	}
	for group := range sample.Backlogged {
		sample.Backlogged[group] = f.hasWaiting(group)
	}
	sample.Cost = f.sampling.current
	f.sampling.current = make([]float64, len(f.scenario.Batch))
	f.sampling.samples = append(f.sampling.samples, sample)
}

// sampleItem adds the service of an item since the last sample.
func (f *fleet) sampleItem(entry *item, server int) {
	prompt, output, ok := f.nodes[server].engine.Progress(entry.id())
	if !ok {
		return
	}
	cost := sharing.Cost(prompt, 0, output)
	f.sampling.current[entry.group] += cost - f.sampling.running[entry]
	f.sampling.running[entry] = cost
}

// sampleCompleted adds the remaining service of a completed item.
func (f *fleet) sampleCompleted(entry *item) {
	if f.sampling == nil {
		return
	}
	f.sampling.current[entry.group] += entry.cost() - f.sampling.running[entry]
	delete(f.sampling.running, entry)
}

// hasWaiting reports whether a group has waiting items in the ledger or in a gateway.
func (f *fleet) hasWaiting(group int) bool {
	for _, job := range f.ledger.jobs[group] {
		if len(job.waiting) > 0 {
			return true
		}
	}
	for _, gateway := range f.gateways {
		if len(gateway.queues[group].items) > 0 {
			return true
		}
	}
	return false
}

// reportUse reports the batch service and demand since the last report to control,
// which responds with allowances.
func (g *gateway) reportUse() {
	run := g.fleet
	used := make([]sharing.GroupUse, len(g.used))
	copy(used, g.used)
	for group := range g.used {
		used[group].Demand = g.queuedCost(group)
		g.used[group].BatchCost = 0
	}
	run.clock.After(controlDelay/2, func() { run.ledger.recordUse(g, used) })
}

func (g *gateway) queuedCost(group int) float64 {
	cost := 0.0
	for _, entry := range g.queues[group].items {
		cost += entry.cost()
	}
	return cost
}

// recordUse records the use reported by a gateway and responds with allowances,
// which are recomputed once per ExchangeInterval.
func (l *ledger) recordUse(from *gateway, used []sharing.GroupUse) {
	for group := range used {
		l.uses[group].BatchCost += used[group].BatchCost
		l.uses[group].Demand += used[group].Demand
	}
	l.fleet.clock.After(controlDelay/2, func() { from.picker.SetAllowances(l.allowances) })
	period := l.fleet.clock.Now() - l.lastUpdate
	if period < l.fleet.scenario.ExchangeInterval {
		return
	}
	for group := range l.uses {
		l.uses[group].Demand += l.waitingCost(group)
	}
	l.allowances = l.account.Allowances(l.uses, period)
	l.lastUpdate = l.fleet.clock.Now()
	for group := range l.uses {
		l.uses[group].BatchCost = 0
		l.uses[group].Demand = 0
	}
}
