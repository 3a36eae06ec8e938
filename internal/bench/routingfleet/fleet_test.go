package routingfleet_test

import (
	"reflect"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/routingfleet"
)

// shortScenario returns a small fleet with a short run.
func shortScenario() routingfleet.Scenario {
	scenario := routingfleet.DefaultScenario(12)
	scenario.Warmup = 5 * time.Second
	scenario.Measured = 10 * time.Second
	scenario.Engine.CacheEventLoss = 0.05
	return scenario
}

func TestRunIsDeterministic(t *testing.T) {
	first, second := routingfleet.Run(shortScenario(), routingfleet.Rockwind(), 7), routingfleet.Run(shortScenario(), routingfleet.Rockwind(), 7)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with the same seed differ")
	}
}

func TestAllRequestsAnsweredWithoutFaults(t *testing.T) {
	for _, policy := range []routingfleet.Policy{routingfleet.Rockwind(), routingfleet.RoundRobin(), routingfleet.LeastInFlight(), routingfleet.FreshOracle()} {
		result := routingfleet.Run(shortScenario(), policy, 3)
		if result.Requests == 0 || result.Answered != result.Requests {
			t.Errorf("%s answered %d of %d requests", policy.Name, result.Answered, result.Requests)
		}
		if result.Attempts != result.Calls+result.Hedges || result.Retries > 0 {
			t.Errorf("%s sent %d requests %d times, with %d hedges and %d retries",
				policy.Name, result.Calls, result.Attempts, result.Hedges, result.Retries)
		}
	}
}

func TestHitRateAndTTFTLieBetweenRoundRobinAndOracle(t *testing.T) {
	rockwind, roundRobin, oracle := routingfleet.Run(shortScenario(), routingfleet.Rockwind(), 5), routingfleet.Run(shortScenario(), routingfleet.RoundRobin(), 5), routingfleet.Run(shortScenario(), routingfleet.FreshOracle(), 5)
	if rockwind.HitRate() <= roundRobin.HitRate() || rockwind.HitRate() >= oracle.HitRate() {
		t.Fatalf("hit rates %v, %v of round robin, %v of the oracle", rockwind.HitRate(), roundRobin.HitRate(), oracle.HitRate())
	}
	p99 := func(result routingfleet.Result) time.Duration { return routingfleet.Quantile(result.TTFT, 0.99) }
	if p99(rockwind) >= p99(roundRobin) || p99(rockwind) <= p99(oracle) {
		t.Fatalf("p99 %v, %v of round robin, %v of the oracle", p99(rockwind), p99(roundRobin), p99(oracle))
	}
}
