package simulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/streamversion"
)

// modelName is the only model of the simulated fleet.
const modelName routing.NameID = 0

// serverKeyMultiplier derives hash keys from server numbers.
const serverKeyMultiplier = 0x9e3779b97f4a7c15

// gateway is one gateway with its own delayed view of the servers.
type gateway struct {
	fleet          *fleet
	index          int
	zone           int
	view           routing.View
	recent         []routing.RequestHistory
	random         *rand.Rand
	routing        routing.Policy
	health         *health.Tracker
	owned          []int
	batches        []serverBatch
	onlineTrackers []sharing.OnlineTracker
	tail           sharing.TailEstimator
	prefixes       map[int][2]int
	queues         []itemQueue
	leaseRequested bool
	picker         *sharing.Picker
	versions       []routing.WeightedVersion
	hints          []routing.Hint
	// used is the batch service of each group since the last report to control.
	used []sharing.GroupUse
}

func newGateway(run *fleet, index int, seed uint64) *gateway {
	scenario := run.scenario
	servers := scenario.Engines()
	created := &gateway{
		fleet:          run,
		index:          index,
		zone:           index / scenario.GatewaysPerZone,
		random:         newRandom(seed, streamGateways+uint64(index)),
		health:         health.NewTracker(health.DefaultPolicy, servers),
		recent:         make([]routing.RequestHistory, servers),
		batches:        make([]serverBatch, servers),
		onlineTrackers: make([]sharing.OnlineTracker, servers),
		prefixes:       make(map[int][2]int),
		queues:         make([]itemQueue, len(scenario.Batch)),
		picker:         sharing.NewPicker(),
		versions:       []routing.WeightedVersion{{Name: modelName, Weight: 1}},
		used:           make([]sharing.GroupUse, len(scenario.Batch)),
	}
	if run.policy.Routing != nil {
		created.routing = run.policy.Routing()
	}
	created.fillView()
	return created
}

// fillView initializes the view. The routing package requires the own zone first.
func (g *gateway) fillView() {
	scenario := g.fleet.scenario
	g.view.Cost = routing.CostModel{
		StepBase:         scenario.Engine.BaseStep,
		PerSequence:      scenario.Engine.PerSequence,
		PerPromptToken:   scenario.Engine.PerPrefillToken,
		MeanPromptTokens: 400,
	}
	g.view.Servers = make([]routing.Server, scenario.Engines())
	for offset := range scenario.Zones {
		zone := (g.zone + offset) % scenario.Zones
		cost := 2 * (scenario.ZoneDelay - scenario.LocalDelay)
		if offset == 0 {
			cost = 0
		}
		first := zone * scenario.EnginesPerZone
		g.view.Zones = append(g.view.Zones, routing.Zone{First: int32(first), Count: int32(scenario.EnginesPerZone), ExtraRTT: cost})
		for zoneIndex := range scenario.EnginesPerZone {
			server := &g.view.Servers[first+zoneIndex]
			server.Zone = uint16(offset)
			server.Key = uint64(first+zoneIndex+1) * serverKeyMultiplier
			if g.fleet.policy.BatchOnly == nil || !g.fleet.policy.BatchOnly(zoneIndex, scenario.EnginesPerZone) {
				server.Loaded.Add(modelName)
				server.Loaded.Add(softwareName(g.fleet.softwareVersion(first + zoneIndex)))
			}
		}
	}
}

func (g *gateway) addOwned(server int) {
	g.owned = append(g.owned, server)
}

// start schedules the periodic tasks, at a random offset per gateway.
func (g *gateway) start() {
	scenario := g.fleet.scenario
	g.runEvery(scenario.PollInterval, g.poll)
	g.runEvery(scenario.ExchangeInterval, g.exchange)
	g.runEvery(budgetInterval, g.applyBudgets)
}

// runEvery runs a task periodically, starting at a random time within the interval.
func (g *gateway) runEvery(interval time.Duration, run func()) {
	first := time.Duration(g.random.Float64() * float64(interval))
	g.fleet.clock.Every(first, interval, run)
}

// routeOnline routes an online request.
func (g *gateway) routeOnline(index int) {
	record := &g.fleet.online[index]
	now := g.fleet.clock.Now()
	if g.fleet.policy.ZeroLag {
		g.refresh()
	}
	if g.fleet.quarantine.holds(g, record.arrival.shape) {
		record.refused, record.held = true, true
		return
	}
	request := routing.Request{
		Versions:     g.versionsFor(record),
		Adapter:      routing.NoName,
		PromptTokens: int32(record.arrival.shape.prompt),
		Hints:        g.hintsFor(record.arrival.shape),
		AffinityKey:  affinityKey(&record.arrival.shape),
	}
	decision, found := g.routing.Choose(&g.view, &request, now, g.random)
	if !found {
		record.refused = true
		return
	}
	g.dispatch(index, decision.Server)
}

// affinityKey returns the key by which requests with the same prefix are routed
// together.
func affinityKey(drawn *shape) uint64 {
	return routing.AffinityKeyOf(drawn.blocks)
}

// hintsFor returns the servers to which this gateway last sent the prefix.
func (g *gateway) hintsFor(shape shape) []routing.Hint {
	g.hints = g.hints[:0]
	servers, known := g.prefixes[shape.prefix]
	if shape.prefix == 0 || !known {
		return nil
	}
	cached := int32(len(shape.blocks) * engine.TokensPerBlock)
	for _, server := range servers {
		g.hints = append(g.hints, routing.Hint{Server: int32(server), CachedTokens: cached})
	}
	return g.hints
}

func (g *gateway) dispatch(index, server int) {
	run := g.fleet
	record := &run.online[index]
	shape := record.arrival.shape
	record.server = server
	record.mixed = record.mixed || (record.firstAt > 0 && g.fleet.softwareVersion(server) != record.begunAt)
	record.attempts++
	record.sentAt = run.clock.Now()
	attempt := record.attempts
	if shape.prefix > 0 && g.prefixes[shape.prefix][0] != server {
		g.prefixes[shape.prefix] = [2]int{server, g.prefixes[shape.prefix][0]}
	}
	g.view.RecordSent(server, shape.prompt, false)
	g.recent[server].RecordSent(run.clock.Now())
	g.trackSent(index, server)
	g.applyBudget(server)
	run.clock.After(run.delay(g, server)+run.hops.draw(), func() {
		_, accepted := run.nodes[server].engine.Submit(run.clock.Now(), engine.Request{
			ID:           onlineID(index, attempt),
			Tag:          uint64(index),
			Priority:     engine.PriorityOnline,
			PromptTokens: shape.prompt + record.produced,
			MaxTokens:    max(1, shape.output-record.produced),
			Blocks:       shape.blocks,
		})
		run.schedule(server)
		if !accepted {
			run.clock.After(run.delay(g, server), func() { g.requestFailed(index, server, 0) })
			return
		}
		run.quarantine.submitted(shape, server)
	})
}

func (g *gateway) firstToken(record *onlineRecord, server int) {
	g.view.RecordFirstToken(server, record.arrival.shape.prompt)
	g.health.Record(server, health.Success, 0, g.fleet.clock.Now(), g.random)
	g.trackFirstToken(record, server)
}

func (g *gateway) requestEnded(record *onlineRecord, server int) {
	g.trackEnd(record, server)
	g.view.RecordEnd(server, false)
	g.recent[server].RecordEnd(g.fleet.clock.Now())
	g.applyBudget(server)
}

// maxAttempts is the maximum number of times an online request is sent.
const maxAttempts = 3

// requestFailed retries a request that its server lost or refused after the given number of tokens.
func (g *gateway) requestFailed(index, server, produced int) {
	record := &g.fleet.online[index]
	g.trackEnd(record, server)
	g.view.RecordEnd(server, false)
	g.view.RecordFirstToken(server, record.arrival.shape.prompt)
	g.recent[server].RecordEnd(g.fleet.clock.Now())
	g.health.Record(server, health.Failure, 0, g.fleet.clock.Now(), g.random)
	g.publishHealth(server)
	begun := record.firstAt > 0
	if record.attempts >= maxAttempts || (begun && !g.fleet.scenario.ResumeStreams) {
		record.refused = true
		return
	}
	if begun {
		record.resumed = true
		record.produced += produced
	}
	g.routeOnline(index)
}

// versionsFor returns the versions of which a server must have one to take a request: that of its weights, or, if the
// stream has begun, that of the software which began it.
func (g *gateway) versionsFor(record *onlineRecord) []routing.WeightedVersion {
	decided := streamversion.Decide(streamversion.Facts{
		Begun: record.firstAt > 0, Origin: streamversion.Origin{Known: record.firstAt > 0, Version: strconv.Itoa(record.begunAt)},
	})
	if decided.Verdict != streamversion.Same || g.fleet.scenario.IgnoreVersions {
		return g.versions
	}
	return []routing.WeightedVersion{{Name: softwareName(record.begunAt), Weight: 1}}
}

// softwareName returns the name under which the servers of a software version are found.
func softwareName(version int) routing.NameID { return modelName + 1 + routing.NameID(version) }

func (g *gateway) publishHealth(server int) {
	state, weight := g.health.State(server, g.fleet.clock.Now())
	g.view.Servers[server].Health = routing.Health(state)
	g.view.Servers[server].SlowStart = weight
}
