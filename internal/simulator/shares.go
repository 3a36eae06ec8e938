package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// ServiceSample is what happened in one sampling period.
type ServiceSample struct {
	// At is the end of the period.
	At time.Duration
	// Cost is the batch service that each group received, in cost units.
	Cost []float64
	// Backlogged tells which groups had items that waited at the end of the period.
	Backlogged []bool
	// Slots counts the batch items that budgets allowed, and FreeSlots those of them
	// that were not taken, summed over the servers.
	Slots, FreeSlots int
}

// sampling follows the service that groups receive.
type sampling struct {
	samples []ServiceSample
	// running is the cost of the items in progress that was counted.
	running map[*item]float64
	current []float64
}

// startSampling schedules samples.
func (f *fleet) startSampling() {
	f.sampling = &sampling{running: make(map[*item]float64), current: make([]float64, len(f.scenario.Batch))}
	f.clock.Every(f.scenario.SampleEvery, f.scenario.SampleEvery, f.sample)
}

// sample takes one sample.
func (f *fleet) sample() {
	taken := ServiceSample{At: f.clock.Now(), Backlogged: make([]bool, len(f.scenario.Batch))}
	for server := range f.nodes {
		owner := f.nodes[server].owner
		lane := &owner.lanes[server]
		for _, entry := range lane.running {
			f.sampleItem(entry, server)
		}
		for _, entry := range lane.paused {
			f.sampleItem(entry, server)
		}
		budget, _ := f.policy.Budget(owner.state(server), f.clock.Now())
		taken.Slots += budget.Items
		taken.FreeSlots += max(0, budget.Items-len(lane.running))
	}
	for load := range taken.Backlogged {
		taken.Backlogged[load] = f.waits(load)
	}
	taken.Cost = f.sampling.current
	f.sampling.current = make([]float64, len(f.scenario.Batch))
	f.sampling.samples = append(f.sampling.samples, taken)
}

// sampleItem counts the service of an item since the last sample.
func (f *fleet) sampleItem(entry *item, server int) {
	prompt, answer, some := f.nodes[server].engine.Progress(entry.id())
	if !some {
		return
	}
	cost := sharing.Cost(prompt, 0, answer)
	f.sampling.current[entry.load] += cost - f.sampling.running[entry]
	f.sampling.running[entry] = cost
}

// sampleDone counts the rest of an item that is done.
func (f *fleet) sampleDone(entry *item) {
	if f.sampling == nil {
		return
	}
	f.sampling.current[entry.load] += entry.cost() - f.sampling.running[entry]
	delete(f.sampling.running, entry)
}

// waits tells whether a group has items that wait in control or in a gateway.
func (f *fleet) waits(load int) bool {
	for _, job := range f.ledger.jobs[load] {
		if len(job.waiting) > 0 {
			return true
		}
	}
	for _, gateway := range f.gateways {
		if len(gateway.queues[load].items) > 0 {
			return true
		}
	}
	return false
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
	run.clock.After(controlDelay/2, func() { run.ledger.settle(g, used) })
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
	l.fleet.clock.After(controlDelay/2, func() { from.picker.SetAllowances(l.parts) })
	period := l.fleet.clock.Now() - l.settled
	if period < l.fleet.scenario.ExchangeInterval {
		return
	}
	for load := range l.uses {
		l.uses[load].Demand += l.waitingCost(load)
	}
	l.parts = l.account.Allowances(l.uses, period)
	l.settled = l.fleet.clock.Now()
	for load := range l.uses {
		l.uses[load].BatchCost = 0
		l.uses[load].Demand = 0
	}
}
