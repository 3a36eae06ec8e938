package routingfleet

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/routing"
)

// snapshotInterval is the minimum time between two snapshots of one server's
// cache, as in the daemon.
const snapshotInterval = 5 * time.Second

// rememberPrefixes adds the prompt prefixes of the last routing decision to the
// index entries of the server, which will cache them.
func (g *gateway) rememberPrefixes(server int) {
	if !g.fleet.policy.Hints || g.fleet.policy.ExactView {
		return
	}
	for _, prefix := range g.promptPrefixes {
		g.prefixes.Add(prefix.Block, int32(server))
	}
}

// readCacheEvents applies the new cache events of an owned server to the prefix
// index.
func (g *gateway) readCacheEvents(server int) {
	run := g.fleet
	if !run.policy.CacheEvents || !run.policy.Hints || run.policy.ExactView {
		return
	}
	if last, read := g.cacheRead[server]; read && run.queue.Now()-last < run.scenario.CacheInterval {
		return
	}
	g.cacheRead[server] = run.queue.Now()
	page := run.nodes[server].engine.CacheEvents(run.queue.Now(), g.prefixes.Cursor(int32(server)))
	run.totals.cacheEvents += len(page.Events)
	delay := run.delay(g, server)
	run.queue.After(delay, func() {
		if g.prefixes.Apply(int32(server), pageOf(page)) {
			g.fetchSnapshot(server)
		}
	})
}

func pageOf(page engine.CachePage) routing.CachePage {
	result := routing.CachePage{Epoch: page.Epoch, First: page.First, Next: page.Next}
	for _, event := range page.Events {
		result.Events = append(result.Events, routing.CacheEvent{
			Block: event.Block, Evicted: event.Kind == engine.CacheEvicted,
		})
	}
	return result
}

// fetchSnapshot replaces a server's entries in the prefix index by a snapshot of
// its cache, after a gap in the cache events.
func (g *gateway) fetchSnapshot(server int) {
	run := g.fleet
	last, asked := g.snapshotAt[server]
	if asked && run.queue.Now()-last < snapshotInterval {
		return
	}
	g.snapshotAt[server] = run.queue.Now()
	run.totals.snapshots++
	delay := run.delay(g, server)
	run.queue.After(delay, func() {
		snapshot := run.nodes[server].engine.Snapshot()
		run.queue.After(delay, func() {
			g.prefixes.Replace(int32(server), snapshot.Epoch, snapshot.Next, snapshot.Blocks)
		})
	})
}
