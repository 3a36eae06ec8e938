package simulator

import (
	"slices"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/sharing"
)

// balanceInterval is how often a gateway looks at all its lanes without cause.
const balanceInterval = 100 * time.Millisecond

// item is one batch item.
type item struct {
	index  int
	load   int
	job    *job
	shape  shape
	holder *gateway
	// startedAt is when it was sent last.
	startedAt time.Duration
	// attempts counts the times it was sent.
	attempts int
}

func (i *item) id() string {
	return "b" + strconv.Itoa(i.index) + "-" + strconv.Itoa(i.attempts)
}

// lane is the batch work of one gateway on one server that it owns.
type lane struct {
	// running and paused hold items in the order in which they were started.
	running []*item
	paused  []*item
}

// itemQueue holds the items of one group that a gateway has leased.
type itemQueue struct {
	items []*item
}

// state describes an owned server for its budget.
func (g *gateway) state(server int) sharing.ServerState {
	if g.fleet.policy.ZeroLag {
		g.refreshOne(server)
	}
	entry := &g.view.Servers[server]
	now := g.fleet.clock.Now()
	return sharing.ServerState{
		Online:       float64(entry.OnlineRequests()),
		Tracker:      &g.paces[server],
		Target:       g.target(),
		BatchRunning: len(g.lanes[server].running),
		KVUsed:       float64(entry.Report.KVUsed),
		ReportAge:    now - entry.Report.TakenAt,
	}
}

func (g *gateway) balanceAll() {
	for _, server := range g.owned {
		g.balance(server)
	}
}

// balance brings the batch items of a server in line with its budget. Servers
// of other gateways are left alone.
func (g *gateway) balance(server int) {
	run := g.fleet
	if !run.policy.Batch || run.nodes[server].owner != g || !g.mayBatch(server) {
		return
	}
	budget, yield := run.policy.Budget(g.state(server), run.clock.Now())
	lane := &g.lanes[server]
	for range yield {
		g.pauseNewest(server)
	}
	for yield == 0 && len(lane.running) < budget.Items && g.startNext(server, budget) {
	}
	if yield == 0 {
		g.reclaim(server, budget)
	}
}

func (g *gateway) mayBatch(server int) bool {
	if g.view.Servers[server].Health == 2 {
		return false
	}
	reserved := g.fleet.policy.OnlineOnly
	place := server % g.fleet.scenario.EnginesPerZone
	return reserved == nil || !reserved(place, g.fleet.scenario.EnginesPerZone)
}

func (g *gateway) pauseNewest(server int) {
	if last := len(g.lanes[server].running) - 1; last >= 0 {
		g.pause(server, last)
	}
}

// pause pauses the running item at an index.
func (g *gateway) pause(server, index int) {
	run := g.fleet
	lane := &g.lanes[server]
	last := lane.running[index]
	lane.running = slices.Delete(lane.running, index, index+1)
	lane.paused = append(lane.paused, last)
	run.totals.pauses++
	id := last.id()
	run.clock.After(run.delay(g, server), func() {
		run.nodes[server].engine.Pause(run.clock.Now(), id)
		run.schedule(server)
	})
}

// startNext starts an item of the group whose turn it is, or puts back the one
// that it paused last on the server.
func (g *gateway) startNext(server int, budget sharing.Budget) bool {
	candidates, loads := g.candidates(server)
	chosen, found := g.picker.Pick(candidates, g.fleet.clock.Now())
	if !found {
		g.refill()
		return false
	}
	g.startOf(server, loads[chosen], &candidates[chosen], budget)
	return true
}

// startOf puts back or starts an item of a group.
func (g *gateway) startOf(server, load int, candidate *sharing.Candidate, budget sharing.Budget) {
	lane := &g.lanes[server]
	if last := lane.lastPaused(load); last >= 0 {
		paused := lane.paused[last]
		lane.paused = slices.Delete(lane.paused, last, last+1)
		g.unpause(server, paused)
		return
	}
	g.submit(server, g.take(load, candidate), budget)
}

// lastPaused is the index of the item of a group that was paused last.
func (l *lane) lastPaused(load int) int {
	for index := len(l.paused) - 1; index >= 0; index-- {
		if l.paused[index].load == load {
			return index
		}
	}
	return -1
}

func (g *gateway) unpause(server int, paused *item) {
	run := g.fleet
	g.lanes[server].running = append(g.lanes[server].running, paused)
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
	g.lanes[server].running = append(g.lanes[server].running, next)
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
			run.clock.After(run.delay(g, server), func() { g.itemLost(next, server) })
		}
	})
}

// leave takes an item off its lane.
func (g *gateway) leave(entry *item, server int) {
	lane := &g.lanes[server]
	g.view.RecordEnd(server, true)
	if index := slices.Index(lane.running, entry); index >= 0 {
		lane.running = slices.Delete(lane.running, index, index+1)
	}
	if index := slices.Index(lane.paused, entry); index >= 0 {
		lane.paused = slices.Delete(lane.paused, index, index+1)
	}
}

func (g *gateway) itemDone(entry *item, server int) {
	g.leave(entry, server)
	g.fleet.completed(entry)
	g.used[entry.load].BatchCost += entry.cost()
	g.balance(server)
}

// itemLost gives an item back that did not complete.
func (g *gateway) itemLost(entry *item, server int) {
	g.leave(entry, server)
	g.view.RecordFirstToken(server, entry.shape.prompt)
	g.health.Record(server, health.Failure, 0, g.fleet.clock.Now(), g.random)
	g.publishHealth(server)
	g.fleet.ledger.giveBack(entry)
}

func healthOutcome(dead bool) health.Outcome {
	if dead {
		return health.Failure
	}
	return health.Success
}
