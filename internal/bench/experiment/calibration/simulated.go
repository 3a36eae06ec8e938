package calibration

import (
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/simulator"
)

// What the real processes do on loopback, as the simulator takes it.
const (
	// pollInterval is how often a gateway asks an engine that it owns.
	pollInterval = time.Second
	// exchangeInterval is that of the fleet's gateways.
	exchangeInterval = 500 * time.Millisecond
	// jobDeadline is that of the fleet's batch class.
	jobDeadline = 12 * time.Hour
)

// scenario is the fleet of the real side in the simulator. It has a gateway in
// each zone, so that gateway N of the fleet is gateway N of the simulator.
func (o *Options) scenario(replay *simulator.Replay, between hops) simulator.Scenario {
	config := engine.DefaultConfig()
	config.OmitIntermediateTokens = true
	// Gateways follow the tokens of online answers.
	config.KeepOnlineTokens = true
	return simulator.Scenario{
		Name: "calibration", Zones: o.Zones, GatewaysPerZone: 1, EnginesPerZone: o.EnginesPerZone,
		ZoneDelay: between.median, LocalDelay: between.median, ClientDelay: between.median, HopJitter: between.noise,
		Engine: config, Objective: sharing.Throughput,
		PollInterval: pollInterval, ExchangeInterval: exchangeInterval,
		Batch:  []simulator.BatchLoad{{Group: fleet.GroupScheduling, Share: 1, Deadline: jobDeadline}},
		Replay: replay,
		Warmup: o.Warmup, Measured: o.Duration - o.Warmup,
	}
}

// simulate runs the trace with several seeds: the decisions of the gateways hold
// randomness, so that one run of either side is one draw.
func (o *Options) simulate(replay *simulator.Replay, between hops) []*measured {
	scenario := o.scenario(replay, between)
	policy := simulator.Rockwind(&scenario)
	policy.Batch = len(replay.Jobs) > 0
	var runs []*measured
	for seed := range o.SimulatorSeeds {
		result := simulator.Run(scenario, policy, uint64(seed)+1)
		runs = append(runs, &measured{
			ttft: result.TTFT, tpot: result.TPOT,
			requests: len(result.TTFT), failed: result.Refused + result.Unfinished,
			tokens: o.onlineTokens(replay), items: result.BatchItems,
			window: scenario.Measured,
		})
	}
	return runs
}

// onlineTokens sums the answers of the requests within the measured window; the
// simulator refuses none at the rates of this experiment, which failed shows.
func (o *Options) onlineTokens(replay *simulator.Replay) int {
	tokens := 0
	for _, request := range replay.Online {
		if request.At >= o.Warmup && request.At < o.Duration {
			tokens += request.OutputTokens
		}
	}
	return tokens
}
