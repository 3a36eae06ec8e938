package simulator

import "rockwind.example/rockwind/internal/sharing"

// reclaimLimit bounds the items that change places on a server at a time.
const reclaimLimit = 16

// reclaim gives groups that come back their part of the running items.
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
		g.pauseOf(server, from)
		candidates, loads := g.candidates(server)
		for index, load := range loads {
			if load == to {
				g.startOf(server, load, &candidates[index], budget)
			}
		}
	}
}

// groupsOn counts what each group has on a server.
func (g *gateway) groupsOn(server int) []sharing.GroupRunning {
	groups := make([]sharing.GroupRunning, len(g.queues))
	for load := range groups {
		groups[load].Group = g.fleet.scenario.Batch[load].Group
		groups[load].Waiting = len(g.queues[load].items)
	}
	for _, entry := range g.lanes[server].running {
		age := g.fleet.clock.Now() - entry.startedAt
		groups[entry.load].Running += sharing.EquivalentItems(entry.shape.prompt, age)
	}
	for _, entry := range g.lanes[server].paused {
		groups[entry.load].Waiting++
	}
	return groups
}

// pauseOf pauses the newest item of a group.
func (g *gateway) pauseOf(server, load int) {
	running := g.lanes[server].running
	for index := len(running) - 1; index >= 0; index-- {
		if running[index].load == load {
			g.pause(server, index)
			return
		}
	}
}
