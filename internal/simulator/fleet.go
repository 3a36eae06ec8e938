package simulator

import (
	"math/rand"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/virtualtime"
)

// drainTime is how long a run continues after its end to complete online requests.
const drainTime = 20 * time.Second

// node is one engine of the fleet.
type node struct {
	engine *engine.Engine
	zone   int
	// timer is set to the engine's next event.
	timer virtualtime.Timer
	owner *gateway
}

// fleet is the state of one simulation run.
type fleet struct {
	clock    virtualtime.Queue
	scenario *Scenario
	policy   Policy
	nodes    []node
	gateways []*gateway
	ledger   *ledger
	online   []onlineRecord
	items    []*item
	events   []engine.Event
	totals   batchTotals
	hops     hopJitter
	sampling *sampling
	// quarantine is nil if no prefix crashes engines.
	quarantine *prefixQuarantine
	// onCompleted is called for every completed item; it may be nil.
	onCompleted func(entry *item)
}

// Run simulates a scenario under a policy and returns the measurements.
func Run(scenario Scenario, policy Policy, seed uint64) Result {
	run := newFleet(&scenario, policy, seed)
	run.start(seed)
	run.processEvents()
	return run.result()
}

// processEvents processes events until the end of the run.
func (f *fleet) processEvents() {
	for {
		entry, ok := f.clock.Next(f.scenario.End() + drainTime)
		if !ok {
			return
		}
		if entry.Run != nil {
			entry.Run()
			continue
		}
		f.advance(entry.Engine)
	}
}

func newFleet(scenario *Scenario, policy Policy, seed uint64) *fleet {
	run := &fleet{scenario: scenario, policy: policy, hops: newHopJitter(scenario, seed)}
	if policy.ZeroLag {
		scenario.Engine.ReportLag = 0
	}
	random := newRandom(seed, streamEngines)
	for index := range scenario.Engines() {
		source := rand.New(rand.NewSource(int64(random.Uint64() >> 1)))
		run.nodes = append(run.nodes, node{
			engine: engine.New(scenario.Engine, source),
			zone:   index / scenario.EnginesPerZone,
		})
	}
	run.ledger = newLedger(run)
	for index := range scenario.Gateways() {
		run.gateways = append(run.gateways, newGateway(run, index, seed))
	}
	if scenario.CrashingPrefix > 0 {
		run.quarantine = newPrefixQuarantine(run)
	}
	run.assignOwners()
	for _, gateway := range run.gateways {
		if policy.Routing == nil {
			gateway.routeOwnedFirst()
		}
	}
	return run
}

// assignOwners distributes the engines of each zone evenly over its gateways.
func (f *fleet) assignOwners() {
	for index := range f.nodes {
		zoneIndex := index % f.scenario.EnginesPerZone
		zone := f.nodes[index].zone
		owner := f.gateways[zone*f.scenario.GatewaysPerZone+zoneIndex%f.scenario.GatewaysPerZone]
		f.nodes[index].owner = owner
		owner.addOwned(index)
	}
}

// start schedules the workload, the faults and the periodic tasks.
func (f *fleet) start(seed uint64) {
	if f.policy.Online {
		f.startOnline(seed)
	}
	if f.policy.Batch {
		f.startBatch(seed)
	}
	for _, gateway := range f.gateways {
		gateway.start()
	}
	if f.scenario.SampleEvery > 0 {
		f.startSampling()
	}
	for _, fault := range f.scenario.Faults {
		f.clock.At(fault.At, func() {
			f.nodes[fault.Engine].engine.Inject(f.clock.Now(), fault.Fault)
			f.schedule(fault.Engine)
		})
	}
}

func (f *fleet) startOnline(seed uint64) {
	arrivals := onlineArrivals(f.scenario, seed)
	f.online = make([]onlineRecord, len(arrivals))
	for index := range arrivals {
		f.online[index] = onlineRecord{index: index, arrival: arrivals[index], server: -1}
		gateway := f.gateways[arrivals[index].gateway]
		f.clock.At(arrivals[index].at+f.scenario.ClientDelay+f.hops.draw(), func() { gateway.routeOnline(index) })
	}
}

func (f *fleet) startBatch(seed uint64) {
	for _, submission := range batchSubmissions(f.scenario, seed) {
		f.clock.At(submission.at, func() { f.ledger.accept(submission) })
	}
}

// delay returns the one-way network delay between a gateway and an engine.
func (f *fleet) delay(gateway *gateway, server int) time.Duration {
	if f.nodes[server].zone == gateway.zone {
		return f.scenario.LocalDelay
	}
	return f.scenario.ZoneDelay
}

// schedule sets an engine's timer to its next event.
func (f *fleet) schedule(server int) {
	node := &f.nodes[server]
	next, ok := node.engine.NextEvent()
	if !ok {
		return
	}
	node.timer.Set(&f.clock, next, server)
}

func (f *fleet) advance(server int) {
	node := &f.nodes[server]
	if !node.timer.Fire(f.clock.Now()) {
		return
	}
	f.events = node.engine.Advance(f.clock.Now(), f.events[:0])
	for _, event := range f.events {
		if event.Tag&tagBatch != 0 {
			f.deliverBatch(server, event)
		} else {
			f.deliverOnline(server, event)
		}
	}
	f.schedule(server)
}

// softwareVersion returns the software version of an engine.
func (f *fleet) softwareVersion(server int) int { return server % max(1, f.scenario.SoftwareVersions) }

// tagBatch is set in the tags of batch items; the other bits are an index.
const tagBatch = 1 << 63

func onlineID(index, attempt int) string {
	return "o" + strconv.Itoa(index) + "-" + strconv.Itoa(attempt)
}

func (f *fleet) deliverOnline(server int, event engine.Event) {
	record := &f.online[event.Tag]
	gateway := f.gateways[record.arrival.gateway]
	arrives := event.At + f.delay(gateway, server)
	switch event.Kind {
	case engine.EventTokens:
		if event.Sequence != event.Count || record.firstAt > 0 {
			f.clock.At(arrives, func() { gateway.trackTokens(record, server, event.Count) })
			return
		}
		record.begunAt = f.softwareVersion(server)
		record.firstAt = arrives + f.scenario.ClientDelay + f.hops.draw() + f.hops.draw()
		f.clock.At(arrives, func() { gateway.firstToken(record, server) })
	case engine.EventFinished:
		record.doneAt = max(record.firstAt, arrives+f.scenario.ClientDelay+f.hops.draw()+f.hops.draw())
		f.clock.At(arrives, func() {
			f.quarantine.answered(gateway, record)
			gateway.requestEnded(record, server)
		})
	case engine.EventLost, engine.EventTruncated:
		f.clock.At(arrives, func() {
			if event.Kind == engine.EventLost {
				f.quarantine.lost(gateway, record, server)
			}
			gateway.requestFailed(int(event.Tag), server, event.Sequence)
		})
	}
}

func (f *fleet) deliverBatch(server int, event engine.Event) {
	item := f.items[event.Tag&^uint64(tagBatch)]
	gateway := item.leasedBy
	arrives := event.At + f.delay(gateway, server)
	switch event.Kind {
	case engine.EventTokens:
		if event.Sequence == event.Count {
			f.clock.At(arrives, func() { gateway.view.RecordFirstToken(server, item.shape.prompt) })
		}
	case engine.EventFinished:
		f.clock.At(arrives, func() { gateway.itemCompleted(item, server) })
	case engine.EventLost, engine.EventTruncated:
		f.clock.At(arrives, func() { gateway.itemFailed(item, server) })
	}
}
