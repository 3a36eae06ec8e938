package routingfleet

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Fault is a failure or planned shutdown that is injected at a given time.
type Fault struct {
	At time.Duration
	// Servers lists the affected servers.
	Servers []int
	// Engine is the fault to inject into the engines if none of Partition, Heal and
	// Drain is set.
	Engine engine.Fault
	// Partition disconnects the servers from the network; Heal reconnects them.
	Partition bool
	Heal      bool
	// Unresponsive makes hung engines ignore polls and probes, which they answer
	// otherwise.
	Unresponsive bool
	// Drain is a planned shutdown: the engines accept no new requests, and the
	// platform lists them as leaving after ListLag.
	Drain bool
	// Silent makes Drain visible in the platform's list only; the engines still
	// accept requests.
	Silent  bool
	ListLag time.Duration
}

// nodeState is the fault state of a node outside of its engine.
type nodeState struct {
	partitioned  bool
	unresponsive bool
	leaving      bool
}

// responds reports whether the node answers polls and probes.
func (n *node) responds() bool {
	return !n.state.partitioned && !n.engine.Dead() && !(n.state.unresponsive && n.engine.Hung())
}

// platform holds the platform's list of leaving servers, which lags behind drains.
type platform struct {
	leaving map[int]bool
}

// inject applies a fault to its servers.
func (f *fleet) inject(fault Fault) {
	for _, server := range fault.Servers {
		node := &f.nodes[server]
		switch {
		case fault.Partition:
			node.state.partitioned = true
		case fault.Heal:
			node.state.partitioned = false
		case fault.Drain:
			f.drain(server, fault)
		default:
			node.state.unresponsive = fault.Unresponsive
			node.engine.Inject(f.queue.Now(), fault.Engine)
		}
		f.schedule(server)
	}
}

func (f *fleet) drain(server int, fault Fault) {
	node := &f.nodes[server]
	node.state.leaving = true
	if !fault.Silent {
		node.engine.SetDraining(f.queue.Now(), true)
	}
	if f.totals.drainedAt == 0 {
		f.totals.drainedAt = f.queue.Now()
	}
	f.queue.After(fault.ListLag, func() {
		if f.platform.leaving == nil {
			f.platform.leaving = make(map[int]bool)
		}
		f.platform.leaving[server] = true
	})
}

// recordSent counts an attempt, and separately one that goes to a leaving server.
func (f *fleet) recordSent(_ *gateway, server int) {
	f.totals.attempts++
	if f.nodes[server].state.leaving {
		f.totals.sentToLeaving++
		f.totals.lastToLeaving = f.queue.Now()
	}
}

// leavingState holds, by source, whether a gateway knows that a server is
// leaving, and whether the server's owner ejected it.
type leavingState struct {
	draining bool
	digest   bool
	platform bool
	// ejectedByOwner is set if the gateway that polls the server ejected it.
	ejectedByOwner bool
}

func (s *leavingState) isLeaving() bool { return s.draining || s.digest || s.platform }

func (g *gateway) publishLeaving(server int) {
	g.view.Servers[server].Leaving = g.leaving[server].isLeaving()
}

// checkDraining asks a server that refused a request whether it is draining, and
// marks it as leaving if so. Unlike a load report, the answer does not lag.
func (g *gateway) checkDraining(server int) {
	run := g.fleet
	delay := run.delay(g, server)
	run.queue.After(delay, func() {
		draining := run.nodes[server].engine.Draining()
		run.queue.After(delay, func() {
			if draining && !g.leaving[server].draining {
				g.leaving[server].draining = true
				g.publishLeaving(server)
				g.broadcastLeaving(server)
			}
		})
	})
}

// broadcastLeaving tells the control plane immediately that a server is leaving.
func (g *gateway) broadcastLeaving(server int) {
	run := g.fleet
	if run.policy.NoLeavingBroadcast {
		return
	}
	run.queue.After(run.scenario.ZoneDelay, func() { run.controlPlane.leaving[server] = true })
}

// readPlatformList marks the servers in the platform's list as leaving.
func (g *gateway) readPlatformList() {
	for server := range g.fleet.platform.leaving {
		g.leaving[server].platform = true
		g.publishLeaving(server)
	}
}
