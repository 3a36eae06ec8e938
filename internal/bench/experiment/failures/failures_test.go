package failures

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/routingfleet"
)

// runScenario simulates one scenario on a small fleet with the gateways' policy.
func runScenario(t *testing.T, name string) routingfleet.Result {
	t.Helper()
	for _, found := range scenarios {
		if found.name == name {
			return routingfleet.Run(found.build(12, 100*time.Millisecond), routingfleet.Rockwind(), 11)
		}
	}
	t.Fatalf("there is no scenario %s", name)
	return routingfleet.Result{}
}

func TestScenariosCauseTheirFailure(t *testing.T) {
	noFailure := runScenario(t, "none")
	if noFailure.Answered != noFailure.Requests || noFailure.Retries > 0 || noFailure.Attempts != noFailure.Calls+noFailure.Hedges {
		t.Fatalf("without a failure %d of %d answered, %d calls in %d attempts with %d hedges and %d retries",
			noFailure.Answered, noFailure.Requests, noFailure.Calls, noFailure.Attempts, noFailure.Hedges, noFailure.Retries)
	}
	for _, name := range []string{"death", "hang", "zone", "storm"} {
		if result := runScenario(t, name); result.Retries+result.Hedges <= 2*noFailure.Hedges {
			t.Errorf("%s: %d retries and %d hedges, %d hedges without a failure", name, result.Retries, result.Hedges, noFailure.Hedges)
		}
	}
	if drained := runScenario(t, "drain"); drained.SentToLeaving == 0 || drained.Lost > 0 {
		t.Errorf("drain: %d sent to leaving servers, %d lost", drained.SentToLeaving, drained.Lost)
	}
}

func TestRetriesStayWithinBudgetInStorm(t *testing.T) {
	result := runScenario(t, "storm")
	if amplification := float64(result.Attempts) / float64(result.Calls); amplification > 1.2 {
		t.Fatalf("%d attempts for %d calls", result.Attempts, result.Calls)
	}
}
