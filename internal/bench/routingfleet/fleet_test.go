package routingfleet

import (
	"reflect"
	"testing"
	"time"
)

// short is a small fleet with a short load.
func short() Scenario {
	scenario := Sized(12)
	scenario.Warmup = 5 * time.Second
	scenario.Measured = 10 * time.Second
	scenario.Engine.CacheEventLoss = 0.05
	return scenario
}

func TestOneSeedGivesOneRun(t *testing.T) {
	first, second := Run(short(), Rockwind(), 7), Run(short(), Rockwind(), 7)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs of one seed differ")
	}
}

func TestEveryRequestIsAnsweredWithoutFaults(t *testing.T) {
	for _, policy := range []Policy{Rockwind(), RoundRobin(), LeastInFlight(), FreshOracle()} {
		result := Run(short(), policy, 3)
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
	ours, turns, oracle := Run(short(), Rockwind(), 5), Run(short(), RoundRobin(), 5), Run(short(), FreshOracle(), 5)
	if ours.HitRate() <= turns.HitRate() || ours.HitRate() >= oracle.HitRate() {
		t.Fatalf("hit rates %v, %v of round robin, %v of the oracle", ours.HitRate(), turns.HitRate(), oracle.HitRate())
	}
	p99 := func(result Result) time.Duration { return Quantile(result.TTFT, 0.99) }
	if p99(ours) >= p99(turns) || p99(ours) <= p99(oracle) {
		t.Fatalf("p99 %v, %v of round robin, %v of the oracle", p99(ours), p99(turns), p99(oracle))
	}
}
