package sharing

import "rockwind.example/rockwind/internal/simulator"

// oracleParts are the parts of the tail that the oracle may fill, the most work
// first.
var oracleParts = []float64{1.06, 1.03, 1, 0.96, 0.92, 0.88, 0.8}

// oracle returns the run of the oracle with the most batch work among those
// whose harm is within the aim; without any, the one with the least harm.
func oracle(scenario simulator.Scenario, alone *simulator.Result, seed uint64) simulator.Result {
	var chosen simulator.Result
	least := 0.0
	for _, part := range oracleParts {
		result := simulator.Run(scenario, simulator.Oracle(&scenario, part), seed)
		harm := harmOf(&result, alone)
		if harm <= aimHarm {
			return result
		}
		if least == 0 || harm < least {
			chosen, least = result, harm
		}
	}
	return chosen
}

// harmOf is the larger ratio of the tails of a run to those of online alone.
func harmOf(shared, alone *simulator.Result) float64 {
	return max(ratio(shared.TTFT, alone.TTFT, tail), ratio(shared.TPOT, alone.TPOT, tail))
}
