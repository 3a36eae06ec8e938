package routingfleet

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Fault is something that goes wrong, or a planned stop, at a time.
type Fault struct {
	At time.Duration
	// Servers are affected by it.
	Servers []int
	// Engine is brought about in the engines, where it is not empty.
	Engine engine.Fault
	// Partition takes the servers off the network; Heal puts them back.
	Partition bool
	Heal      bool
	// Unresponsive makes the servers answer nothing while the engine's fault lasts; else
	// a hung engine goes on to answer polls and probes.
	Unresponsive bool
	// Drain is a planned stop: the engines take no new work, and the platform's
	// list shows them as leaving after ListLag.
	Drain bool
	// Silent drains are announced by the list alone; the engines go on to accept.
	Silent  bool
	ListLag time.Duration
}

// nodeState is what is wrong with a node besides its engine.
type nodeState struct {
	cut     bool
	mute    bool
	leaving bool
}

// answers tells whether a small request gets an answer.
func (n *node) answers() bool {
	return !n.state.cut && !n.engine.Dead() && !(n.state.mute && n.engine.Hung())
}

// platform is the platform's list of leaving machines, which lags.
type platform struct {
	leaving map[int]bool
}

// inject brings a fault about.
func (f *fleet) inject(fault Fault) {
	for _, server := range fault.Servers {
		node := &f.nodes[server]
		switch {
		case fault.Partition:
			node.state.cut = true
		case fault.Heal:
			node.state.cut = false
		case fault.Drain:
			f.drain(server, fault)
		default:
			node.state.mute = fault.Unresponsive
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

// sent notes when new work last went to a leaving server.
func (f *fleet) sent(_ *gateway, server int) {
	f.totals.attempts++
	if f.nodes[server].state.leaving {
		f.totals.sentToLeaving++
		f.totals.lastToLeaving = f.queue.Now()
	}
}

// leavingState is a gateway's evidence that a server is leaving, and what the
// server's owner said of its health.
type leavingState struct {
	draining bool
	digest   bool
	platform bool
	// ejectedByOwner is the word of the gateway that polls the server.
	ejectedByOwner bool
}

func (s *leavingState) out() bool { return s.draining || s.digest || s.platform }

func (g *gateway) publishLeaving(server int) {
	g.view.Servers[server].Leaving = g.leaving[server].out()
}

// askWhetherReady asks a server that refused a request whether it takes any, and
// takes it out when it does not: unlike a load report, the answer does not lag.
func (g *gateway) askWhetherReady(server int) {
	run := g.fleet
	delay := run.delay(g, server)
	run.queue.After(delay, func() {
		draining := run.nodes[server].engine.Draining()
		run.queue.After(delay, func() {
			if draining && !g.leaving[server].draining {
				g.leaving[server].draining = true
				g.publishLeaving(server)
				g.foundLeaving(server)
			}
		})
	})
}

// foundLeaving passes on at once that a server is leaving.
func (g *gateway) foundLeaving(server int) {
	run := g.fleet
	if run.policy.NoLeavingBroadcast {
		return
	}
	run.queue.After(run.scenario.ZoneDelay, func() { run.board.leaving[server] = true })
}

// readPlatform merges the platform's list.
func (g *gateway) readPlatform() {
	for server := range g.fleet.platform.leaving {
		g.leaving[server].platform = true
		g.publishLeaving(server)
	}
}
