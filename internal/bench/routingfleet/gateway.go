package routingfleet

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// modelName is the single model of the simulated fleet.
const modelName routing.NameID = 0

// crossZoneRTT is the extra round-trip time to another zone that gateways assume,
// as in the daemon.
const crossZoneRTT = 2 * time.Millisecond

// meanPromptTokens is the prompt length that gateways assume for waiting requests
// of other gateways, as in the daemon.
const meanPromptTokens = 256

// evaluateInterval is the interval of health evaluations, as in the daemon.
const evaluateInterval = time.Second

// gateway is one gateway with its own, outdated view of the fleet.
type gateway struct {
	fleet    *fleet
	index    int
	zone     int
	view     routing.View
	recent   []routing.RequestHistory
	random   *rand.Rand
	routing  routing.Policy
	health   *health.Tracker
	budget   *retry.Budget
	prefixes *routing.PrefixIndex
	// snapshotAt is the time of the last snapshot request by server.
	snapshotAt map[int]time.Duration
	// cacheRead is the time of the last read of cache events by server.
	cacheRead      map[int]time.Duration
	leaving        []leavingState
	owned          []int
	versions       []routing.WeightedVersion
	hints          []routing.Hint
	promptPrefixes []routing.Prefix
	exchanges      int
}

// addToOwnedFirst adds a server of the gateway's zone to the lists of
// routing.OwnedFirst, as the daemon does.
func (g *gateway) addToOwnedFirst(server int) {
	policy, preferred := g.routing.(*routing.OwnedFirst)
	if !preferred {
		return
	}
	policy.Backlog = func(server int) int { return int(g.view.Servers[server].OwnPromptTokens) }
	if g.fleet.nodes[server].owner == g {
		policy.Owned = append(policy.Owned, int32(server))
	} else {
		policy.Others = append(policy.Others, int32(server))
	}
}

func newGateway(run *fleet, index int, seed uint64) *gateway {
	servers := run.scenario.Servers
	created := &gateway{
		fleet:      run,
		index:      index,
		zone:       run.scenario.zoneOfGateway(index),
		random:     newRandom(seed, streamGateways+uint64(index)<<8),
		routing:    run.policy.Routing(),
		health:     health.NewTracker(run.policy.Health, servers),
		budget:     upstream.NewRetryBudget(),
		recent:     make([]routing.RequestHistory, servers),
		leaving:    make([]leavingState, servers),
		prefixes:   routing.NewPrefixIndex(),
		snapshotAt: make(map[int]time.Duration),
		cacheRead:  make(map[int]time.Duration),
		versions:   []routing.WeightedVersion{{Name: modelName, Weight: 1}},
	}
	created.fillView()
	if roundRobin, ok := created.routing.(*routing.RoundRobin); ok {
		roundRobin.Next = created.random.IntN(servers)
	}
	return created
}

// fillView initializes the view, with the gateway's own zone first.
func (g *gateway) fillView() {
	scenario := g.fleet.scenario
	config := &scenario.Engine
	g.view.Cost = routing.CostModel{
		StepBase:         config.BaseStep,
		PerSequence:      config.PerSequence,
		PerPromptToken:   config.PerPrefillToken,
		MeanPromptTokens: meanPromptTokens,
	}
	g.view.Servers = make([]routing.Server, scenario.Servers)
	for offset := range scenario.Zones {
		zone := (g.zone + offset) % scenario.Zones
		first, end := scenario.zoneServers(zone)
		cost := crossZoneRTT
		if offset == 0 {
			cost = 0
		}
		g.view.Zones = append(g.view.Zones, routing.Zone{First: int32(first), Count: int32(end - first), ExtraRTT: cost})
		for server := first; server < end; server++ {
			g.view.Servers[server].Zone = uint16(offset)
			g.view.Servers[server].Key = xxhash.Sum64String(strconv.Itoa(server))
			g.view.Servers[server].Loaded.Add(modelName)
		}
	}
}

// start schedules the periodic work with a random phase for each gateway.
func (g *gateway) start() {
	scenario := g.fleet.scenario
	g.schedulePeriodic(scenario.PollInterval, g.poll)
	g.schedulePeriodic(scenario.ExchangeInterval, g.exchange)
	g.schedulePeriodic(evaluateInterval, g.evaluate)
	g.schedulePeriodic(platformListInterval, g.readPlatformList)
}

// schedulePeriodic runs a function periodically, first after a random part of the
// interval.
func (g *gateway) schedulePeriodic(interval time.Duration, run func()) {
	first := time.Duration(g.random.Float64() * float64(interval))
	g.fleet.queue.Every(first, interval, run)
}

// choose picks a server for a request, excluding those already tried.
func (g *gateway) choose(index int, tried []int32) (routing.Decision, bool) {
	spec := &g.fleet.arrivals[index]
	routed := routing.Request{
		Versions:     g.versions,
		Adapter:      routing.NoName,
		PromptTokens: int32(spec.promptTokens),
	}
	if g.fleet.policy.ExactView {
		g.applyExactState(spec)
		routed.Hints = g.hints
	} else if g.fleet.policy.Hints {
		g.promptPrefixes = routing.PrefixesOf(spec.blocks, engine.TokensPerBlock, g.promptPrefixes[:0])
		g.hints = g.prefixes.Hints(g.promptPrefixes, g.hints[:0])
		routed.Hints = g.hints
		routed.AffinityKey = routing.AffinityKeyOf(spec.blocks)
	}
	var hidden [maximumAttempts]int32
	count := 0
	for _, server := range tried {
		entry := &g.view.Servers[server]
		if !entry.Leaving {
			entry.Leaving = true
			hidden[count] = server
			count++
		}
	}
	decision, found := g.routing.Choose(&g.view, &routed, g.fleet.queue.Now(), g.random)
	for _, server := range hidden[:count] {
		g.view.Servers[server].Leaving = false
	}
	return decision, found
}

// recordTraffic passes the outcome of a client's attempt to passive health, unless
// the policy uses probes only.
func (g *gateway) recordTraffic(server int, outcome health.Outcome, latency time.Duration) {
	if !g.fleet.policy.ProbesOnly {
		g.recordHealth(server, outcome, latency)
	}
}

// recordHealth passes an outcome to passive health and updates the view.
func (g *gateway) recordHealth(server int, outcome health.Outcome, latency time.Duration) {
	g.health.Record(server, outcome, latency, g.fleet.queue.Now(), g.random)
	g.publishHealth(server)
}

// evaluate runs the part of passive health that depends on time and peers, and
// probes ejected servers.
func (g *gateway) evaluate() {
	g.health.Evaluate(g.fleet.queue.Now(), g.random)
	for server := range g.view.Servers {
		g.publishHealth(server)
		if g.view.Servers[server].Health == routing.Ejected {
			g.probeEjected(server)
		}
	}
}

// probeEjected probes an ejected server after its hold-down.
func (g *gateway) probeEjected(server int) {
	run := g.fleet
	if !g.health.StartTrial(server, run.queue.Now()) {
		return
	}
	outcome := health.Success
	if !run.nodes[server].responds() {
		outcome = health.Failure
	}
	run.queue.After(2*run.delay(g, server), func() { g.recordHealth(server, outcome, 0) })
}

func (g *gateway) publishHealth(server int) {
	state, weight := g.health.State(server, g.fleet.queue.Now())
	g.view.Servers[server].Health = routing.Health(state)
	if state == health.Healthy && g.leaving[server].ejectedByOwner {
		g.view.Servers[server].Health = routing.Suspect
	}
	g.view.Servers[server].SlowStart = weight
}
