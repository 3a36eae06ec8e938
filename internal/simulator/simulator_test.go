package simulator

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/engine"
)

// small is a scenario that runs in a fraction of a second.
func small(scenario Scenario) Scenario {
	scenario.Warmup = time.Second
	scenario.Measured = 6 * time.Second
	return scenario
}

func TestOneSeedGivesOneRun(t *testing.T) {
	for _, scenario := range []Scenario{small(Magnolia()), small(Kvistborg()), small(Shares())} {
		first := Run(scenario, Rockwind(&scenario), 7)
		again := Run(scenario, Rockwind(&scenario), 7)
		if !reflect.DeepEqual(first, again) {
			t.Fatalf("%s: two runs of one seed differ", scenario.Name)
		}
		other := Run(scenario, Rockwind(&scenario), 8)
		if reflect.DeepEqual(first.TTFT, other.TTFT) {
			t.Fatalf("%s: two seeds give the same run", scenario.Name)
		}
	}
}

func TestPoliciesOfASeedSeeTheSameArrivals(t *testing.T) {
	scenario := small(Kvistborg())
	alone := Run(scenario, OnlineAlone(&scenario), 3)
	for _, policy := range policies(&scenario) {
		if result := Run(scenario, policy, 3); policy.Online && result.Requests != alone.Requests {
			t.Fatalf("%s: %d requests instead of %d", policy.Name, result.Requests, alone.Requests)
		}
	}
}

// TestEveryItemCompletesOnceUnderFaults lets engines die, hang and refuse while
// a bounded batch load runs; all of it must complete, each item once.
func TestEveryItemCompletesOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := small(Shares())
		scenario.SampleEvery = 0
		scenario.Measured = 14 * time.Second
		scenario.GatewaysPerZone, scenario.EnginesPerZone = 1, 2
		scenario.Online.BurstFactor = 1
		for index := range scenario.Batch {
			scenario.Batch[index].JobItems = 40
			scenario.Batch[index].ActiveUntil = 5 * time.Second
		}
		kinds := []engine.FaultKind{engine.FaultDie, engine.FaultHang, engine.FaultSlow, engine.FaultReportIdle}
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			scenario.Faults = append(scenario.Faults, ScheduledFault{
				At:     time.Duration(rapid.IntRange(0, 6000).Draw(t, "at")) * time.Millisecond,
				Engine: rapid.IntRange(0, scenario.Engines()-1).Draw(t, "engine"),
				Fault:  engine.Fault{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Duration: 2 * time.Second, Factor: 3},
			})
		}
		policy := Rockwind(&scenario)
		run := newFleet(&scenario, policy, rapid.Uint64().Draw(t, "seed"))
		completions := make(map[int]int)
		run.onCompleted = func(entry *item) { completions[entry.index]++ }
		run.start(1)
		run.drive()
		if len(run.items) == 0 || len(completions) != len(run.items) {
			t.Fatalf("%d of %d items completed", len(completions), len(run.items))
		}
		for index, count := range completions {
			if count != 1 {
				t.Fatalf("item %d completed %d times", index, count)
			}
		}
		for _, job := range run.ledger.jobs[0] {
			if job.left < 0 {
				t.Fatalf("a job has %d items left", job.left)
			}
		}
	})
}

// TestBatchLeavesNoPlaceFreeWhileItemsWait checks work conservation: apart from
// the moments that starting takes, allowed places are taken.
func TestBatchLeavesNoPlaceFreeWhileItemsWait(t *testing.T) {
	scenario := Shares()
	scenario.Measured = 20 * time.Second
	result := Run(scenario, Rockwind(&scenario), 5)
	places, free := 0, 0
	for _, sample := range result.Served[len(result.Served)/3:] {
		places += sample.Slots
		free += sample.FreeSlots
	}
	if places == 0 || float64(free) > 0.02*float64(places) {
		t.Fatalf("%d of %d places were free", free, places)
	}
}

// TestYieldingProtectsTheTail compares with engine priority alone on the same
// arrivals: the order of the two must hold by a wide margin.
func TestYieldingProtectsTheTail(t *testing.T) {
	scenario := Kvistborg()
	scenario.Measured = 40 * time.Second
	alone := Run(scenario, OnlineAlone(&scenario), 2)
	scenario.Target.FirstToken = Quantile(alone.TTFT, 0.99)
	scenario.Target.PerToken = Quantile(alone.TPOT, 0.99)
	own := Run(scenario, Rockwind(&scenario), 2)
	priority := Run(scenario, PriorityOnly(&scenario), 2)
	base := Quantile(alone.TPOT, 0.99)
	harm := Quantile(own.TPOT, 0.99) - base
	worse := Quantile(priority.TPOT, 0.99) - base
	if harm*2 > worse || own.BatchItems == 0 {
		t.Fatalf("batch adds %v to the tail, priority alone %v", harm, worse)
	}
}
