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

// otherZoneCost is the extra time of a round trip to another zone that
// gateways reckon with, as the daemon's.
const otherZoneCost = 2 * time.Millisecond

// meanPromptTokens is the prompt that gateways assume for waiting requests of
// others, as the daemon's.
const meanPromptTokens = 256

// evaluateEvery is how often health is evaluated, as the daemon's.
const evaluateEvery = time.Second

// gateway is one gateway with a lagging view of its own.
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
	// snapshotAt is when a snapshot of a server's cache was last asked for.
	snapshotAt map[int]time.Duration
	// cacheRead is when a server's cache events were last read.
	cacheRead map[int]time.Duration
	leaving   []leavingState
	owned     []int
	versions  []routing.WeightedVersion
	hints     []routing.Hint
	wanted    []routing.Prefix
	turn      int
}

// prefer puts a server of the own zone into the lists of routing.OwnedFirst, as
// the daemon does.
func (g *gateway) prefer(server int) {
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

// fillView lays the servers out with the own zone first.
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
		cost := otherZoneCost
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

// start schedules the periodic work, out of step with the other gateways.
func (g *gateway) start() {
	scenario := g.fleet.scenario
	g.every(scenario.PollInterval, g.poll)
	g.every(scenario.ExchangeInterval, g.exchange)
	g.every(evaluateEvery, g.evaluate)
	g.every(platformEvery, g.readPlatform)
}

// every runs periodic work, first at a random part of the interval.
func (g *gateway) every(interval time.Duration, run func()) {
	first := time.Duration(g.random.Float64() * float64(interval))
	g.fleet.queue.Every(first, interval, run)
}

// choose asks routing for a server that was not tried before.
func (g *gateway) choose(index int, tried []int32) (routing.Decision, bool) {
	drawn := &g.fleet.arrivals[index]
	wanted := routing.Request{
		Versions:     g.versions,
		Adapter:      routing.NoName,
		PromptTokens: int32(drawn.prompt),
	}
	if g.fleet.policy.ExactView {
		g.refresh(drawn)
		wanted.Hints = g.hints
	} else if g.fleet.policy.Hints {
		g.wanted = routing.PrefixesOf(drawn.blocks, engine.TokensPerBlock, g.wanted[:0])
		g.hints = g.prefixes.Hints(g.wanted, g.hints[:0])
		wanted.Hints = g.hints
		wanted.AffinityKey = routing.AffinityKeyOf(drawn.blocks)
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
	decision, found := g.routing.Choose(&g.view, &wanted, g.fleet.queue.Now(), g.random)
	for _, server := range hidden[:count] {
		g.view.Servers[server].Leaving = false
	}
	return decision, found
}

// observe hands the outcome of an attempt to passive health.
func (g *gateway) observe(server int, outcome health.Outcome, latency time.Duration) {
	if !g.fleet.policy.ProbesOnly {
		g.record(server, outcome, latency)
	}
}

// record hands the outcome of an attempt to passive health.
func (g *gateway) record(server int, outcome health.Outcome, latency time.Duration) {
	g.health.Record(server, outcome, latency, g.fleet.queue.Now(), g.random)
	g.publishHealth(server)
}

// evaluate runs the part of passive health that depends on time and peers, and
// starts the trials that are due.
func (g *gateway) evaluate() {
	g.health.Evaluate(g.fleet.queue.Now(), g.random)
	for server := range g.view.Servers {
		g.publishHealth(server)
		if g.view.Servers[server].Health == routing.Ejected {
			g.trial(server)
		}
	}
}

// trial probes an ejected server once its hold-down is over.
func (g *gateway) trial(server int) {
	run := g.fleet
	if !g.health.StartTrial(server, run.queue.Now()) {
		return
	}
	outcome := health.Success
	if !run.nodes[server].answers() {
		outcome = health.Failure
	}
	run.queue.After(2*run.delay(g, server), func() { g.record(server, outcome, 0) })
}

func (g *gateway) publishHealth(server int) {
	state, weight := g.health.State(server, g.fleet.queue.Now())
	g.view.Servers[server].Health = routing.Health(state)
	if state == health.Healthy && g.leaving[server].ejectedByOwner {
		g.view.Servers[server].Health = routing.Suspect
	}
	g.view.Servers[server].SlowStart = weight
}
