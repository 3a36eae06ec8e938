package routingfleet

import (
	"math/rand"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/virtualtime"
)

// drainTime is how long a run goes on after its last arrival.
const drainTime = 30 * time.Second

// node is one engine in its place.
type node struct {
	engine *engine.Engine
	zone   int
	// alarm is set for the engine's next event.
	alarm virtualtime.Timer
	owner *gateway
	state nodeState
}

// fleet is one run in progress.
type fleet struct {
	queue    virtualtime.Queue
	scenario *Scenario
	policy   *Policy
	nodes    []node
	gateways []*gateway
	arrivals []arrival
	requests []request
	board    *board
	platform platform
	events   []engine.Event
	warm     engine.Totals
	// over is set once no request is on its way after the last arrival.
	over   bool
	totals totals
}

// Run simulates a policy on a scenario and returns what was measured.
func Run(scenario Scenario, policy Policy, seed uint64) Result {
	run := newFleet(&scenario, &policy, seed)
	run.start()
	for {
		next, some := run.queue.Next(scenario.End() + drainTime)
		if !some || run.over {
			return run.result()
		}
		if next.Run != nil {
			next.Run()
			continue
		}
		run.advance(next.Engine)
	}
}

func newFleet(scenario *Scenario, policy *Policy, seed uint64) *fleet {
	if policy.ExactView {
		scenario.Engine.ReportLag = 0
	}
	run := &fleet{scenario: scenario, policy: policy, arrivals: drawLoad(scenario, seed)}
	run.requests = make([]request, len(run.arrivals))
	random := newRandom(seed, streamEngines)
	for server := range scenario.Servers {
		source := rand.New(rand.NewSource(int64(random.Uint64() >> 1)))
		run.nodes = append(run.nodes, node{
			engine: engine.New(scenario.Engine, source),
			zone:   scenario.zoneOfServer(server),
		})
	}
	run.board = newBoard(run)
	for index := range scenario.Gateways {
		run.gateways = append(run.gateways, newGateway(run, index, seed))
	}
	run.assignOwners()
	return run
}

// assignOwners gives each engine to a gateway of its zone, evenly.
func (f *fleet) assignOwners() {
	for zone := range f.scenario.Zones {
		var ofZone []*gateway
		for _, candidate := range f.gateways {
			if candidate.zone == zone {
				ofZone = append(ofZone, candidate)
			}
		}
		first, end := f.scenario.zoneServers(zone)
		for server := first; server < end; server++ {
			owner := ofZone[(server-first)%len(ofZone)]
			f.nodes[server].owner = owner
			owner.owned = append(owner.owned, server)
			for _, candidate := range ofZone {
				candidate.prefer(server)
			}
		}
	}
}

func (f *fleet) start() {
	for _, gateway := range f.gateways {
		gateway.start()
	}
	for _, fault := range f.scenario.Faults {
		f.queue.At(fault.At, func() { f.inject(fault) })
	}
	f.queue.At(f.scenario.Warmup, func() { f.warm = f.engineTotals() })
	f.queue.At(f.scenario.End(), f.watchEnd)
	f.nextArrival(0)
}

// watchEvery is how often a run looks whether it is over.
const watchEvery = 500 * time.Millisecond

// watchEnd ends the run once every request has met its end.
func (f *fleet) watchEnd() {
	f.queue.After(watchEvery, f.watchEnd)
	for index := range f.requests {
		if entry := &f.requests[index]; entry.coming || entry.state == stateRunning {
			return
		}
	}
	f.over = true
}

// nextArrival schedules the arrivals one after the other.
func (f *fleet) nextArrival(index int) {
	if index >= len(f.arrivals) {
		return
	}
	f.queue.At(f.arrivals[index].at, func() {
		f.call(index)
		f.nextArrival(index + 1)
	})
}

// call is a caller's sending of a request to its gateway.
func (f *fleet) call(index int) {
	gateway := f.gateways[f.arrivals[index].gateway]
	f.requests[index].coming = true
	f.queue.After(f.scenario.ClientDelay, func() { gateway.arrive(index) })
}

// delay is the one-way time between a gateway and an engine.
func (f *fleet) delay(gateway *gateway, server int) time.Duration {
	if f.nodes[server].zone == gateway.zone {
		return f.scenario.LocalDelay
	}
	return f.scenario.ZoneDelay
}

// schedule makes sure that an engine is advanced at its next event.
func (f *fleet) schedule(server int) {
	node := &f.nodes[server]
	next, some := node.engine.NextEvent()
	if !some {
		return
	}
	node.alarm.Set(&f.queue, next, server)
}

func (f *fleet) advance(server int) {
	node := &f.nodes[server]
	if !node.alarm.Fire(f.queue.Now()) {
		return
	}
	f.events = node.engine.Advance(f.queue.Now(), f.events[:0])
	for _, event := range f.events {
		f.deliver(server, event)
	}
	f.schedule(server)
}

// deliver brings an engine's event to the gateway that sent the request.
func (f *fleet) deliver(server int, event engine.Event) {
	if f.nodes[server].state.cut {
		return
	}
	index, number := untag(event.Tag)
	gateway := f.gateways[f.arrivals[index].gateway]
	arrives := event.At + f.delay(gateway, server)
	switch event.Kind {
	case engine.EventTokens:
		if event.Sequence == event.Count {
			f.queue.At(arrives, func() { gateway.firstToken(index, number) })
		}
	case engine.EventFinished:
		f.queue.At(arrives, func() { gateway.finished(index, number) })
	case engine.EventLost:
		f.queue.At(arrives, func() { gateway.failed(index, number, failureBroken) })
	}
}

// engineTotals sums what all engines did.
func (f *fleet) engineTotals() engine.Totals {
	var sum engine.Totals
	for index := range f.nodes {
		totals := f.nodes[index].engine.Totals()
		sum.PrefillTokens += totals.PrefillTokens
		sum.PrefixTokens += totals.PrefixTokens
		sum.TokensOnline += totals.TokensOnline
		sum.Submitted += totals.Submitted
		sum.Busy += totals.Busy
	}
	return sum
}
