package routingfleet_test

import (
	"reflect"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/routingfleet"
)

// short is a small fleet with a short load.
func short() routingfleet.Scenario {
	scenario := routingfleet.DefaultScenario(12)
	scenario.Warmup = 5 * time.Second
	scenario.Measured = 10 * time.Second
	scenario.Engine.CacheEventLoss = 0.05
	return scenario
}

func TestOneSeedGivesOneRun(t *testing.T) {
	first, second := routingfleet.Run(short(), routingfleet.Rockwind(), 7), routingfleet.Run(short(), routingfleet.Rockwind(), 7)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs of one seed differ")
	}
}

func TestEveryRequestIsAnsweredWithoutFaults(t *testing.T) {
	for _, policy := range []routingfleet.Policy{routingfleet.Rockwind(), routingfleet.RoundRobin(), routingfleet.LeastInFlight(), routingfleet.FreshOracle()} {
		result := routingfleet.Run(short(), policy, 3)
		if result.Requests == 0 || result.Answered != result.Requests {
			t.Errorf("%s answered %d of %d requests", policy.Name, result.Answered, result.Requests)
		}
		if result.Attempts != result.Calls+result.Hedges || result.Retries > 0 {
			t.Errorf("%s sent %d requests %d times, with %d hedges and %d retries",
				policy.Name, result.Calls, result.Attempts, result.Hedges, result.Retries)
		}
	}
}

func TestRoutingBeatsRoundRobinAndNotTheOracle(t *testing.T) {
	ours, turns, oracle := routingfleet.Run(short(), routingfleet.Rockwind(), 5), routingfleet.Run(short(), routingfleet.RoundRobin(), 5), routingfleet.Run(short(), routingfleet.FreshOracle(), 5)
	if ours.HitRate() <= turns.HitRate() || ours.HitRate() >= oracle.HitRate() {
		t.Fatalf("hit rates %v, %v of round robin, %v of the oracle", ours.HitRate(), turns.HitRate(), oracle.HitRate())
	}
	p99 := func(result routingfleet.Result) time.Duration { return routingfleet.Quantile(result.TTFT, 0.99) }
	if p99(ours) >= p99(turns) || p99(ours) <= p99(oracle) {
		t.Fatalf("p99 %v, %v of round robin, %v of the oracle", p99(ours), p99(turns), p99(oracle))
	}
}
