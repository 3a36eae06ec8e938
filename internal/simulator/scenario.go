// Package simulator runs the routing, health and sharing packages on simulated
// engines in virtual time. It models gateways with delayed views, network delays
// between zones, bursts of batch and online load, and faults. Runs with the same
// seed are identical.
package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/sharing"
)

// Scenario describes a fleet and its workload.
type Scenario struct {
	Name string
	// Zones, GatewaysPerZone and EnginesPerZone are the size of the fleet.
	Zones           int
	GatewaysPerZone int
	EnginesPerZone  int
	// ZoneDelay is the one-way network delay between zones, LocalDelay within a
	// zone, and ClientDelay between clients and gateways.
	ZoneDelay   time.Duration
	LocalDelay  time.Duration
	ClientDelay time.Duration
	// Engine holds the parameters of every engine.
	Engine engine.Config
	// Objective selects between online latency and batch throughput.
	Objective sharing.Objective
	// Target is the online tail latency that batch may not exceed; if zero, gateways
	// estimate it.
	Target sharing.Target
	// PollInterval is the interval of load reports from owned engines,
	// ExchangeInterval that of load digests between gateways.
	PollInterval     time.Duration
	ExchangeInterval time.Duration
	Online           OnlineLoad
	Batch            []BatchLoad
	// HopJitter holds samples of the time that a hop of an online request or its
	// response takes in addition to the delay. One is drawn per hop; if empty,
	// there is no jitter.
	HopJitter []time.Duration
	// Replay, if not nil, replaces the workload generated from Online and Batch;
	// Batch still defines the groups.
	Replay *Replay
	// Warmup precedes the measured period, which lasts Measured.
	Warmup   time.Duration
	Measured time.Duration
	Faults   []ScheduledFault
	// SoftwareVersions is the number of software versions of the engines, which have them in turn; zero is one.
	SoftwareVersions int
	// ResumeStreams has gateways resume broken streams of online requests at other engines, of the same software version
	// unless IgnoreVersions is set.
	ResumeStreams  bool
	IgnoreVersions bool
	// CrashingPrefix is the shared prefix whose requests crash engines after the warm-up; zero is none.
	// IgnorePrefixes makes gateways send them on all the same.
	CrashingPrefix int
	IgnorePrefixes bool
	// SampleEvery is the sampling interval of the batch service of the groups;
	// zero disables sampling.
	SampleEvery time.Duration
}

// ScheduledFault is a fault injected into an engine at a given time.
type ScheduledFault struct {
	At     time.Duration
	Engine int
	Fault  engine.Fault
}

// OnlineLoad is a Poisson process with bursts of a higher rate, plus clumps of
// requests that arrive nearly simultaneously.
type OnlineLoad struct {
	// Rate is the request rate per second and engine outside bursts.
	Rate float64
	// BurstFactor multiplies the rate during bursts. Their lengths and the gaps
	// between them are exponential with means BurstMean and BurstEvery.
	BurstFactor float64
	BurstMean   time.Duration
	BurstEvery  time.Duration
	// ClumpSize is the number of requests that arrive at the gateways of one zone
	// within ClumpSpread, every ClumpEvery on average; zero disables clumps.
	ClumpSize   int
	ClumpSpread time.Duration
	ClumpEvery  time.Duration
	Classes     []RequestClass
}

// RequestClass describes the lengths of a class of requests.
type RequestClass struct {
	// Weight is the relative frequency of the class.
	Weight float64
	// Prompt and Output are the bounds of the uniformly distributed lengths in tokens.
	Prompt [2]int
	Output [2]int
	// SharedPrefix is the length in tokens of the prompt prefix, which is one of
	// Prefixes shared texts; zero Prefixes means that no prefix is shared.
	SharedPrefix int
	Prefixes     int
}

// BatchLoad is the batch load of one group: jobs at regular intervals.
type BatchLoad struct {
	Group string
	Share float64
	// JobEvery is the time between jobs, JobItems the number of items in a job.
	JobEvery time.Duration
	JobItems int
	// ActiveFrom and ActiveUntil limit when jobs arrive; a zero ActiveUntil means
	// the end of the run. No jobs arrive between PausedFrom and PausedUntil.
	ActiveFrom  time.Duration
	ActiveUntil time.Duration
	PausedFrom  time.Duration
	PausedUntil time.Duration
	// Deadline is the time from a job's arrival to its deadline.
	Deadline time.Duration
	Class    RequestClass
}

// Engines returns the number of engines.
func (s *Scenario) Engines() int { return s.Zones * s.EnginesPerZone }

// Gateways returns the number of gateways.
func (s *Scenario) Gateways() int { return s.Zones * s.GatewaysPerZone }

// End returns when the run ends.
func (s *Scenario) End() time.Duration { return s.Warmup + s.Measured }

// engineConfig returns the engine parameters of all scenarios: the defaults with
// step jitter and without the events and retention that the simulator does not use.
func engineConfig() engine.Config {
	config := engine.DefaultConfig()
	config.StepJitter = 0.05
	config.OmitIntermediateTokens = true
	config.KeepOnlineTokens = true
	config.Retention = 0
	return config
}

// Magnolia models a booking assistant: mostly short prompts, some long ones, and
// bursts of batch rebuilds. Its objective is batch throughput.
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

// Kvistborg models a puzzle assistant: short prompts, long ones with shared
// prefixes, clumps of simultaneous requests, and large batch jobs. Its objective
// is online latency.
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
	// fewZones is the number of zones for up to fewServers engines, manyZones for
	// more.
	fewZones   = 3
	manyZones  = 32
	fewServers = 120
	// enginesPerGateway is the number of engines per gateway.
	enginesPerGateway = 3.4
	// minGateways is the minimum number of gateways per zone.
	minGateways = 2
)

// Scale returns the scenario for the given number of engines, rounded up to equal
// zones, with gateways and load in proportion.
func (s Scenario) Scale(servers int) Scenario {
	before := float64(s.Engines())
	s.Zones = fewZones
	if servers > fewServers {
		s.Zones = manyZones
	}
	s.EnginesPerZone = (servers + s.Zones - 1) / s.Zones
	s.GatewaysPerZone = max(minGateways, int(float64(s.EnginesPerZone)/enginesPerGateway+0.5))
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

// Indices of the groups in the Batch field of the shares scenario.
const (
	GroupGreedy = iota
	GroupBursty
	GroupReturning
)

// The period without jobs of GroupReturning in the shares scenario.
const (
	IdleFrom  = 50 * time.Second
	IdleUntil = 100 * time.Second
)

// Shares is Magnolia with three batch groups: one is always backlogged, one submits
// a job above its share every 15 seconds, and one is idle for a period.
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
