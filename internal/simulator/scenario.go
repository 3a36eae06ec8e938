// Package simulator runs the decision packages over the engine model in virtual
// time: gateways with lagging views of their own, zones with delays, bursts of
// batch work, bursts of online requests and faults. One seed gives one run, to
// the last event.
package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/sharing"
)

// Scenario is a fleet and the load on it.
type Scenario struct {
	Name string
	// Zones, GatewaysPerZone and EnginesPerZone give the size of the fleet.
	Zones           int
	GatewaysPerZone int
	EnginesPerZone  int
	// ZoneDelay is the one-way delay between zones, LocalDelay within one, and
	// ClientDelay between clients and gateways.
	ZoneDelay   time.Duration
	LocalDelay  time.Duration
	ClientDelay time.Duration
	// Engine holds the parameters of every engine.
	Engine engine.Config
	// Objective is what the group weighs more heavily.
	Objective sharing.Objective
	// Target is the tail of online latency that batch may not lengthen.
	Target sharing.Target
	// PollInterval is how often a gateway asks the engines that it owns for
	// their load, ExchangeInterval how often gateways hear of the others.
	PollInterval     time.Duration
	ExchangeInterval time.Duration
	Online           OnlineLoad
	Batch            []BatchLoad
	// HopJitter holds what single hops of online requests and their answers, between
	// processes, took longer than the delays, one to be drawn for each; empty for
	// none.
	HopJitter []time.Duration
	// Replay, where it is not nil, takes the place of the draws by Online and
	// Batch; Batch still names the groups.
	Replay *Replay
	// Warmup is left out of the measures; Measured is the time measured.
	Warmup   time.Duration
	Measured time.Duration
	Faults   []ScheduledFault
	// SampleEvery is the time between samples of the service that groups
	// receive; zero takes none.
	SampleEvery time.Duration
}

// ScheduledFault makes an engine fail at a time.
type ScheduledFault struct {
	At     time.Duration
	Engine int
	Fault  engine.Fault
}

// OnlineLoad is a Poisson stream of requests with bursts in which the rate is
// multiplied, plus clumps of requests that arrive together.
type OnlineLoad struct {
	// Rate is the requests per second and engine outside bursts.
	Rate float64
	// BurstFactor multiplies the rate in bursts, which last BurstMean on average
	// and come BurstEvery apart on average, both exponential.
	BurstFactor float64
	BurstMean   time.Duration
	BurstEvery  time.Duration
	// ClumpSize requests arrive at one zone's gateways within ClumpSpread, every
	// ClumpEvery on average; zero ClumpSize means none.
	ClumpSize   int
	ClumpSpread time.Duration
	ClumpEvery  time.Duration
	Classes     []RequestClass
}

// RequestClass is a kind of request.
type RequestClass struct {
	// Weight is the relative part of the requests.
	Weight float64
	// Prompt and Output bound uniform draws of lengths in tokens.
	Prompt [2]int
	Output [2]int
	// SharedPrefix is the leading part of the prompt, in tokens, that is one of
	// Prefixes texts; zero Prefixes means that nothing is shared.
	SharedPrefix int
	Prefixes     int
}

// BatchLoad is the batch work of one group: bursts of items in jobs.
type BatchLoad struct {
	Group string
	Share float64
	// JobEvery is the time between bursts, JobItems the items of a burst.
	JobEvery time.Duration
	JobItems int
	// ActiveFrom and ActiveUntil bound when bursts arrive; a zero ActiveUntil
	// means to the end. PausedFrom and PausedUntil cut a hole into that.
	ActiveFrom  time.Duration
	ActiveUntil time.Duration
	PausedFrom  time.Duration
	PausedUntil time.Duration
	// Deadline is the time from a burst's arrival to when it must be complete.
	Deadline time.Duration
	Class    RequestClass
}

// Engines returns the number of engines.
func (s *Scenario) Engines() int { return s.Zones * s.EnginesPerZone }

// Gateways returns the number of gateways.
func (s *Scenario) Gateways() int { return s.Zones * s.GatewaysPerZone }

// End returns when the run ends.
func (s *Scenario) End() time.Duration { return s.Warmup + s.Measured }

// engineConfig is the engine of all scenarios: the model's defaults with the
// noise of real steps and without what the simulation does not read.
func engineConfig() engine.Config {
	config := engine.DefaultConfig()
	config.StepJitter = 0.05
	config.OmitIntermediateTokens = true
	config.KeepOnlineTokens = true
	config.Retention = 0
	return config
}

// Magnolia is a booking assistant: short drafts, some long client histories,
// and weekly rebuilds in bursts. It weighs batch throughput more heavily.
func Magnolia() Scenario {
	return Scenario{
		Name: "magnolia", Zones: 3, GatewaysPerZone: 2, EnginesPerZone: 4,
		ZoneDelay: time.Millisecond, LocalDelay: 100 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Engine: engineConfig(), Objective: sharing.Throughput,
		PollInterval: 250 * time.Millisecond, ExchangeInterval: time.Second,
		Online: OnlineLoad{
			Rate: 2, BurstFactor: 6, BurstMean: 1500 * time.Millisecond, BurstEvery: 8 * time.Second,
			Classes: []RequestClass{
				{Weight: 0.85, Prompt: [2]int{150, 600}, Output: [2]int{60, 200}, SharedPrefix: 128, Prefixes: 40},
				{Weight: 0.15, Prompt: [2]int{1500, 4000}, Output: [2]int{120, 300}},
			},
		},
		Batch: []BatchLoad{{
			Group: "rebuilds", Share: 1, JobEvery: 10 * time.Second, JobItems: 2600, Deadline: time.Hour,
			Class: RequestClass{Weight: 1, Prompt: [2]int{250, 500}, Output: [2]int{80, 200}, SharedPrefix: 128, Prefixes: 20},
		}},
		Warmup: 10 * time.Second, Measured: 120 * time.Second,
	}
}

// Kvistborg is a puzzle companion: short hint questions, rulebooks as long
// prompts with shared prefixes, classes of pupils that ask together, and batches
// of clues. It weighs the online tail more heavily.
func Kvistborg() Scenario {
	return Scenario{
		Name: "kvistborg", Zones: 3, GatewaysPerZone: 2, EnginesPerZone: 6,
		ZoneDelay: 500 * time.Microsecond, LocalDelay: 100 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Engine: engineConfig(), Objective: sharing.Latency,
		PollInterval: 250 * time.Millisecond, ExchangeInterval: time.Second,
		Online: OnlineLoad{
			Rate: 2, BurstFactor: 4, BurstMean: time.Second, BurstEvery: 6 * time.Second,
			ClumpSize: 30, ClumpSpread: 2 * time.Second, ClumpEvery: 5 * time.Second,
			Classes: []RequestClass{
				{Weight: 0.8, Prompt: [2]int{80, 250}, Output: [2]int{40, 120}},
				{Weight: 0.2, Prompt: [2]int{3000, 6000}, Output: [2]int{100, 300}, SharedPrefix: 2816, Prefixes: 30},
			},
		},
		Batch: []BatchLoad{{
			Group: "clues", Share: 1, JobEvery: 10 * time.Second, JobItems: 5200, Deadline: time.Hour,
			Class: RequestClass{Weight: 1, Prompt: [2]int{200, 400}, Output: [2]int{60, 180}, SharedPrefix: 128, Prefixes: 20},
		}},
		Warmup: 10 * time.Second, Measured: 120 * time.Second,
	}
}

// Sizes of scaled fleets.
const (
	// fewZones is the number of zones up to fewServers, manyZones that above.
	fewZones   = 3
	manyZones  = 32
	fewServers = 120
	// enginesPerGateway is the number of engines before a gateway.
	enginesPerGateway = 3.4
	// fewestGateways is the least number of gateways of a zone.
	fewestGateways = 2
)

// Scale sets the number of engines, rounded up to whole zones, with as many
// gateways and as much batch work as belong to it.
func (s Scenario) Scale(servers int) Scenario {
	before := float64(s.Engines())
	s.Zones = fewZones
	if servers > fewServers {
		s.Zones = manyZones
	}
	s.EnginesPerZone = (servers + s.Zones - 1) / s.Zones
	s.GatewaysPerZone = max(fewestGateways, int(float64(s.EnginesPerZone)/enginesPerGateway+0.5))
	factor := float64(s.Engines()) / before
	s.Online.ClumpEvery = time.Duration(float64(s.Online.ClumpEvery) / factor)
	loads := make([]BatchLoad, len(s.Batch))
	for index, load := range s.Batch {
		load.JobItems = int(float64(load.JobItems) * factor)
		loads[index] = load
	}
	s.Batch = loads
	return s
}

// ScenarioNamed returns a scenario by its name.
func ScenarioNamed(name string) (Scenario, bool) {
	switch name {
	case "magnolia":
		return Magnolia(), true
	case "kvistborg":
		return Kvistborg(), true
	case "shares":
		return Shares(), true
	default:
		return Scenario{}, false
	}
}

// The three groups of the shares scenario, in the order of their loads.
const (
	GroupGreedy = iota
	GroupBursty
	GroupReturning
)

// When the returning group is idle in the shares scenario.
const (
	IdleFrom  = 50 * time.Second
	IdleUntil = 100 * time.Second
)

// Shares is Magnolia's fleet and online load with the batch work of three
// groups: one always has more than it can get, one brings more than its share
// every quarter of a minute and then nothing, and one is idle for a while.
func Shares() Scenario {
	scenario := Magnolia()
	scenario.Name = "shares"
	class := scenario.Batch[0].Class
	scenario.Batch = []BatchLoad{
		{Group: "greedy", Share: 1, JobEvery: 10 * time.Second, JobItems: 2600, Deadline: time.Hour, Class: class},
		{Group: "bursty", Share: 1, JobEvery: 15 * time.Second, JobItems: 400, Deadline: time.Hour, Class: class},
		{
			Group: "returning", Share: 2, JobEvery: 10 * time.Second, JobItems: 1000, Deadline: time.Hour, Class: class,
			PausedFrom: IdleFrom, PausedUntil: IdleUntil,
		},
	}
	scenario.Measured = 150 * time.Second
	scenario.SampleEvery = 100 * time.Millisecond
	return scenario
}
