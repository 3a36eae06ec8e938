package calibration

import (
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/simulator"
)

// Settings of the real fleet that the simulator must match.
const (
	// pollInterval is the interval at which a gateway polls an engine that it owns.
	pollInterval = time.Second
	// exchangeInterval is the exchange interval of the fleet's gateways.
	exchangeInterval = 500 * time.Millisecond
	// jobDeadline is the deadline of the fleet's batch class.
	jobDeadline = 12 * time.Hour
)

// scenario describes the real fleet to the simulator. With one gateway in each zone,
// gateway N of the fleet is gateway N of the simulator.
func (o *Options) scenario(replay *simulator.Replay, hops hopTimes) simulator.Scenario {
	config := engine.DefaultConfig()
	config.OmitIntermediateTokens = true
	// Gateways track online answers token by token.
	config.KeepOnlineTokens = true
	return simulator.Scenario{
		Name: "calibration", Zones: o.Zones, GatewaysPerZone: 1, EnginesPerZone: o.EnginesPerZone,
		ZoneDelay: hops.median, LocalDelay: hops.median, ClientDelay: hops.median, HopJitter: hops.noise,
		Engine: config, Objective: sharing.Throughput,
		PollInterval: pollInterval, ExchangeInterval: exchangeInterval,
		Batch:  []simulator.BatchLoad{{Group: fleet.GroupScheduling, Share: 1, Deadline: jobDeadline}},
		Replay: replay,
		Warmup: o.Warmup, Measured: o.Duration - o.Warmup,
	}
}

// simulate replays the trace with several seeds, because the decisions of gateways are
// partly random.
func (o *Options) simulate(replay *simulator.Replay, hops hopTimes) []*measurement {
	scenario := o.scenario(replay, hops)
	policy := simulator.Rockwind(&scenario)
	policy.Batch = len(replay.Jobs) > 0
	var runs []*measurement
	for seed := range o.SimulatorSeeds {
		result := simulator.Run(scenario, policy, uint64(seed)+1)
		runs = append(runs, &measurement{
			ttft: result.TTFT, tpot: result.TPOT,
			requests: len(result.TTFT), failed: result.Refused + result.Unfinished,
			tokens: o.onlineTokens(replay), items: result.BatchItems,
			window: scenario.Measured,
		})
	}
	return runs
}

// onlineTokens sums the answer tokens of the requests in the measured window. It
// assumes that the simulator refuses none; SimulatedFailed shows whether it did.
func (o *Options) onlineTokens(replay *simulator.Replay) int {
	tokens := 0
	for _, request := range replay.Online {
		if request.At >= o.Warmup && request.At < o.Duration {
			tokens += request.OutputTokens
		}
	}
	return tokens
}
