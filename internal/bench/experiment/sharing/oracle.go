package sharing

import "rockwind.example/rockwind/internal/simulator"

// oracleScales scale the latency target of the oracle, in order of decreasing batch
// work.
var oracleScales = []float64{1.06, 1.03, 1, 0.96, 0.92, 0.88, 0.8}

// oracle returns the run of the oracle with the most batch work among those with a harm
// of at most maxHarm, or else the one with the least harm.
func oracle(scenario simulator.Scenario, onlineOnly *simulator.Result, seed uint64) simulator.Result {
	var best simulator.Result
	minHarm := 0.0
	for _, scale := range oracleScales {
		result := simulator.Run(scenario, simulator.Oracle(&scenario, scale), seed)
		runHarm := harm(&result, onlineOnly)
		if runHarm <= maxHarm {
			return result
		}
		if minHarm == 0 || runHarm < minHarm {
			best, minHarm = result, runHarm
		}
	}
	return best
}

// harm returns the larger tail latency ratio of a run to the online-only run.
func harm(shared, onlineOnly *simulator.Result) float64 {
	return max(ratio(shared.TTFT, onlineOnly.TTFT, tailQuantile), ratio(shared.TPOT, onlineOnly.TPOT, tailQuantile))
}
