package routingfleet

import (
	"math/rand"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/virtualtime"
)

// maxCooldown limits how long a run continues after the end of arrivals.
const maxCooldown = 30 * time.Second

// node is one engine with its zone and owning gateway.
type node struct {
	engine *engine.Engine
	zone   int
	// eventTimer fires at the engine's next event.
	eventTimer virtualtime.Timer
	owner      *gateway
	state      nodeState
}

// fleet is the state of one simulation run.
type fleet struct {
	queue        virtualtime.Queue
	scenario     *Scenario
	policy       *Policy
	nodes        []node
	gateways     []*gateway
	arrivals     []arrival
	requests     []request
	controlPlane *controlPlane
	platform     platform
	events       []engine.Event
	warmupTotals engine.Totals
	// finished is set once no request is pending after the end of arrivals.
	finished bool
	totals   totals
}

// Run simulates a scenario under a policy and returns the measurements.
func Run(scenario Scenario, policy Policy, seed uint64) Result {
	run := newFleet(&scenario, &policy, seed)
	run.start()
	for {
		next, ok := run.queue.Next(scenario.End() + maxCooldown)
		if !ok || run.finished {
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
	run := &fleet{scenario: scenario, policy: policy, arrivals: generateArrivals(scenario, seed)}
	run.requests = make([]request, len(run.arrivals))
	random := newRandom(seed, streamEngines)
	for server := range scenario.Servers {
		source := rand.New(rand.NewSource(int64(random.Uint64() >> 1)))
		run.nodes = append(run.nodes, node{
			engine: engine.New(scenario.Engine, source),
			zone:   scenario.zoneOfServer(server),
		})
	}
	run.controlPlane = newControlPlane(run)
	for index := range scenario.Gateways {
		run.gateways = append(run.gateways, newGateway(run, index, seed))
	}
	run.assignOwners()
	return run
}

// assignOwners distributes the engines of each zone evenly over its gateways.
func (f *fleet) assignOwners() {
	for zone := range f.scenario.Zones {
		var zoneGateways []*gateway
		for _, candidate := range f.gateways {
			if candidate.zone == zone {
				zoneGateways = append(zoneGateways, candidate)
			}
		}
		first, end := f.scenario.zoneServers(zone)
		for server := first; server < end; server++ {
			owner := zoneGateways[(server-first)%len(zoneGateways)]
			f.nodes[server].owner = owner
			owner.owned = append(owner.owned, server)
			for _, candidate := range zoneGateways {
				candidate.addToOwnedFirst(server)
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
	f.queue.At(f.scenario.Warmup, func() { f.warmupTotals = f.engineTotals() })
	f.queue.At(f.scenario.End(), f.checkFinished)
	f.nextArrival(0)
}

// finishCheckInterval is the interval of checkFinished.
const finishCheckInterval = 500 * time.Millisecond

// checkFinished ends the run once no request is running or in transit.
func (f *fleet) checkFinished() {
	f.queue.After(finishCheckInterval, f.checkFinished)
	for index := range f.requests {
		if entry := &f.requests[index]; entry.inTransit || entry.state == stateRunning {
			return
		}
	}
	f.finished = true
}

// nextArrival schedules an arrival, which in turn schedules the one after it.
func (f *fleet) nextArrival(index int) {
	if index >= len(f.arrivals) {
		return
	}
	f.queue.At(f.arrivals[index].at, func() {
		f.sendToGateway(index)
		f.nextArrival(index + 1)
	})
}

// sendToGateway sends a request from its client to its gateway.
func (f *fleet) sendToGateway(index int) {
	gateway := f.gateways[f.arrivals[index].gateway]
	f.requests[index].inTransit = true
	f.queue.After(f.scenario.ClientDelay, func() { gateway.admit(index) })
}

// delay returns the one-way delay between a gateway and an engine.
func (f *fleet) delay(gateway *gateway, server int) time.Duration {
	if f.nodes[server].zone == gateway.zone {
		return f.scenario.LocalDelay
	}
	return f.scenario.ZoneDelay
}

// schedule sets the timer of an engine to its next event.
func (f *fleet) schedule(server int) {
	node := &f.nodes[server]
	next, ok := node.engine.NextEvent()
	if !ok {
		return
	}
	node.eventTimer.Set(&f.queue, next, server)
}

func (f *fleet) advance(server int) {
	node := &f.nodes[server]
	if !node.eventTimer.Fire(f.queue.Now()) {
		return
	}
	f.events = node.engine.Advance(f.queue.Now(), f.events[:0])
	for _, event := range f.events {
		f.deliver(server, event)
	}
	f.schedule(server)
}

// deliver passes an engine event to the gateway that sent the request.
func (f *fleet) deliver(server int, event engine.Event) {
	if f.nodes[server].state.partitioned {
		return
	}
	index, number := parseAttemptTag(event.Tag)
	gateway := f.gateways[f.arrivals[index].gateway]
	arrives := event.At + f.delay(gateway, server)
	switch event.Kind {
	case engine.EventTokens:
		if event.Sequence == event.Count {
			f.queue.At(arrives, func() { gateway.firstToken(index, number) })
		}
	case engine.EventFinished:
		f.queue.At(arrives, func() { gateway.attemptFinished(index, number) })
	case engine.EventLost:
		f.queue.At(arrives, func() { gateway.attemptFailed(index, number, failureBroken) })
	}
}

// engineTotals returns the sum of the totals of all engines.
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
