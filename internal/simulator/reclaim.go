package simulator

import "rockwind.example/rockwind/internal/sharing"

// reclaimLimit is the maximum number of items replaced on a server at a time.
const reclaimLimit = 16

// reclaim replaces running items of groups above their share with items of groups
// below it.
func (g *gateway) reclaim(server int, budget sharing.Budget) {
	if len(g.queues) < 2 {
		return
	}
	for range reclaimLimit {
		groups := g.groupsOn(server)
		from, to, found := g.picker.Reclaim(groups)
		if !found {
			return
		}
		g.pauseNewestOf(server, from)
		candidates, indices := g.candidates(server)
		for index, group := range indices {
			if group == to {
				g.startOrResume(server, group, &candidates[index], budget)
			}
		}
	}
}

// groupsOn returns the running and waiting items of each group on a server.
func (g *gateway) groupsOn(server int) []sharing.GroupRunning {
	groups := make([]sharing.GroupRunning, len(g.queues))
	for group := range groups {
		groups[group].Group = g.fleet.scenario.Batch[group].Group
		groups[group].Waiting = len(g.queues[group].items)
	}
	for _, entry := range g.batches[server].running {
		age := g.fleet.clock.Now() - entry.startedAt
		groups[entry.group].Running += sharing.EquivalentItems(entry.shape.prompt, age)
	}
	for _, entry := range g.batches[server].paused {
		groups[entry.group].Waiting++
	}
	return groups
}

// pauseNewestOf pauses the most recently started item of a group.
func (g *gateway) pauseNewestOf(server, group int) {
	running := g.batches[server].running
	for index := len(running) - 1; index >= 0; index-- {
		if running[index].group == group {
			g.pause(server, index)
			return
		}
	}
}
