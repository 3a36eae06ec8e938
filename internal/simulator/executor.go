package simulator

import (
	"slices"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/sharing"
)

// budgetInterval is the interval at which a gateway applies the budgets of all its
// servers, in addition to the events that trigger it.
const budgetInterval = 100 * time.Millisecond

// item is one batch item.
type item struct {
	index int
	// group is the index of the item's group in Scenario.Batch.
	group    int
	job      *job
	shape    shape
	leasedBy *gateway
	// startedAt is when the item was last sent.
	startedAt time.Duration
	// attempts is the number of times the item was sent.
	attempts int
}

func (i *item) id() string {
	return "b" + strconv.Itoa(i.index) + "-" + strconv.Itoa(i.attempts)
}

// serverBatch holds the batch items of a gateway on a server that it owns.
type serverBatch struct {
	// running and paused are ordered by when the items were started or paused.
	running []*item
	paused  []*item
}

// itemQueue holds the leased items of one group that have not been sent.
type itemQueue struct {
	items []*item
}

// state returns the state of an owned server from which its budget is computed.
func (g *gateway) state(server int) sharing.ServerState {
	if g.fleet.policy.ZeroLag {
		g.refreshOne(server)
	}
	entry := &g.view.Servers[server]
	now := g.fleet.clock.Now()
	return sharing.ServerState{
		Online:       float64(entry.OnlineRequests()),
		Tracker:      &g.onlineTrackers[server],
		Target:       g.latencyTarget(),
		BatchRunning: len(g.batches[server].running),
		KVUsed:       float64(entry.Report.KVUsed),
		ReportAge:    now - entry.Report.TakenAt,
	}
}

func (g *gateway) applyBudgets() {
	for _, server := range g.owned {
		g.applyBudget(server)
	}
}

// applyBudget pauses, resumes or starts batch items of a server according to its
// budget. It does nothing for servers of other gateways.
func (g *gateway) applyBudget(server int) {
	run := g.fleet
	if !run.policy.Batch || run.nodes[server].owner != g || !g.acceptsBatch(server) {
		return
	}
	budget, yield := run.policy.Budget(g.state(server), run.clock.Now())
	batch := &g.batches[server]
	for range yield {
		g.pauseNewest(server)
	}
	for yield == 0 && len(batch.running) < budget.Items && g.startNext(server, budget) {
	}
	if yield == 0 {
		g.reclaim(server, budget)
	}
}

func (g *gateway) acceptsBatch(server int) bool {
	if g.view.Servers[server].Health == 2 {
		return false
	}
	reserved := g.fleet.policy.OnlineOnly
	zoneIndex := server % g.fleet.scenario.EnginesPerZone
	return reserved == nil || !reserved(zoneIndex, g.fleet.scenario.EnginesPerZone)
}

func (g *gateway) pauseNewest(server int) {
	if last := len(g.batches[server].running) - 1; last >= 0 {
		g.pause(server, last)
	}
}

// pause pauses the running item at the given index.
func (g *gateway) pause(server, index int) {
	run := g.fleet
	batch := &g.batches[server]
	last := batch.running[index]
	batch.running = slices.Delete(batch.running, index, index+1)
	batch.paused = append(batch.paused, last)
	run.totals.pauses++
	id := last.id()
	run.clock.After(run.delay(g, server), func() {
		run.nodes[server].engine.Pause(run.clock.Now(), id)
		run.schedule(server)
	})
}

// startNext starts or resumes an item of the group that the picker selects. It
// returns false if there is none.
func (g *gateway) startNext(server int, budget sharing.Budget) bool {
	candidates, groups := g.candidates(server)
	chosen, found := g.picker.Pick(candidates, g.fleet.clock.Now())
	if !found {
		g.requestLeases()
		return false
	}
	g.startOrResume(server, groups[chosen], &candidates[chosen], budget)
	return true
}

// startOrResume resumes the item of a group that was paused last on the server, or
// starts a new one.
func (g *gateway) startOrResume(server, group int, candidate *sharing.Candidate, budget sharing.Budget) {
	batch := &g.batches[server]
	if last := batch.lastPaused(group); last >= 0 {
		paused := batch.paused[last]
		batch.paused = slices.Delete(batch.paused, last, last+1)
		g.unpause(server, paused)
		return
	}
	g.submit(server, g.take(group, candidate), budget)
}

// lastPaused returns the index of the most recently paused item of a group, or -1.
func (b *serverBatch) lastPaused(group int) int {
	for index := len(b.paused) - 1; index >= 0; index-- {
		if b.paused[index].group == group {
			return index
		}
	}
	return -1
}

func (g *gateway) unpause(server int, paused *item) {
	run := g.fleet
	g.batches[server].running = append(g.batches[server].running, paused)
	id := paused.id()
	run.clock.After(run.delay(g, server), func() {
		run.nodes[server].engine.Unpause(run.clock.Now(), id)
		run.schedule(server)
	})
}

func (g *gateway) submit(server int, next *item, budget sharing.Budget) {
	run := g.fleet
	next.attempts++
	next.startedAt = run.clock.Now()
	g.batches[server].running = append(g.batches[server].running, next)
	g.view.RecordSent(server, next.shape.prompt, true)
	request := engine.Request{
		ID:               next.id(),
		Tag:              tagBatch | uint64(next.index),
		Priority:         run.policy.BatchPriority,
		BatchTokenBudget: budget.TokensPerStep,
		PromptTokens:     next.shape.prompt,
		MaxTokens:        next.shape.output,
		Blocks:           next.shape.blocks,
	}
	run.clock.After(run.delay(g, server), func() {
		_, accepted := run.nodes[server].engine.Submit(run.clock.Now(), request)
		run.schedule(server)
		if !accepted {
			run.clock.After(run.delay(g, server), func() { g.itemFailed(next, server) })
		}
	})
}

// removeItem removes an item from a server.
func (g *gateway) removeItem(entry *item, server int) {
	batch := &g.batches[server]
	g.view.RecordEnd(server, true)
	if index := slices.Index(batch.running, entry); index >= 0 {
		batch.running = slices.Delete(batch.running, index, index+1)
	}
	if index := slices.Index(batch.paused, entry); index >= 0 {
		batch.paused = slices.Delete(batch.paused, index, index+1)
	}
}

func (g *gateway) itemCompleted(entry *item, server int) {
	g.removeItem(entry, server)
	g.fleet.recordCompleted(entry)
	g.used[entry.group].BatchCost += entry.cost()
	g.applyBudget(server)
}

// itemFailed returns an item to the ledger after a failure.
func (g *gateway) itemFailed(entry *item, server int) {
	g.removeItem(entry, server)
	g.view.RecordFirstToken(server, entry.shape.prompt)
	g.health.Record(server, health.Failure, 0, g.fleet.clock.Now(), g.random)
	g.publishHealth(server)
	g.fleet.ledger.requeue(entry)
}

func healthOutcome(dead bool) health.Outcome {
	if dead {
		return health.Failure
	}
	return health.Success
}
