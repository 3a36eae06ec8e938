package simulator

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/engine"
)

// small shortens a scenario for tests.
func small(scenario Scenario) Scenario {
	scenario.Warmup = time.Second
	scenario.Measured = 6 * time.Second
	return scenario
}

func TestRunsAreReproducible(t *testing.T) {
	for _, scenario := range []Scenario{small(Magnolia()), small(Kvistborg()), small(Shares())} {
		first := Run(scenario, Rockwind(&scenario), 7)
		again := Run(scenario, Rockwind(&scenario), 7)
		if !reflect.DeepEqual(first, again) {
			t.Fatalf("%s: two runs with the same seed differ", scenario.Name)
		}
		other := Run(scenario, Rockwind(&scenario), 8)
		if reflect.DeepEqual(first.TTFT, other.TTFT) {
			t.Fatalf("%s: runs with different seeds are equal", scenario.Name)
		}
	}
}

func TestOnlineArrivalsDoNotDependOnPolicy(t *testing.T) {
	scenario := small(Kvistborg())
	alone := Run(scenario, OnlineAlone(&scenario), 3)
	for _, policy := range policies(&scenario) {
		if result := Run(scenario, policy, 3); policy.Online && result.Requests != alone.Requests {
			t.Fatalf("%s: %d requests, want %d", policy.Name, result.Requests, alone.Requests)
		}
	}
}

// Every batch item must complete exactly once, even if engines crash, hang, slow
// down, report no load or break streams off.
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
		kinds := []engine.FaultKind{engine.FaultDie, engine.FaultHang, engine.FaultSlow, engine.FaultReportIdle, engine.FaultTruncate}
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			scenario.Faults = append(scenario.Faults, ScheduledFault{
				At:     time.Duration(rapid.IntRange(0, 6000).Draw(t, "at")) * time.Millisecond,
				Engine: rapid.IntRange(0, scenario.Engines()-1).Draw(t, "engine"),
				Fault:  engine.Fault{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Duration: 2 * time.Second, Factor: 3, Count: 10, Tokens: 5},
			})
		}
		policy := Rockwind(&scenario)
		run := newFleet(&scenario, policy, rapid.Uint64().Draw(t, "seed"))
		completions := make(map[int]int)
		run.onCompleted = func(entry *item) { completions[entry.index]++ }
		run.start(1)
		run.processEvents()
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
				t.Fatalf("job has %d items left", job.left)
			}
		}
	})
}

// Scheduling must be work-conserving: while items wait, nearly all the slots that
// budgets allow must be in use.
func TestBatchUsesAllSlotsWhileItemsWait(t *testing.T) {
	scenario := Shares()
	scenario.Measured = 20 * time.Second
	result := Run(scenario, Rockwind(&scenario), 5)
	slots, free := 0, 0
	for _, sample := range result.Served[len(result.Served)/3:] {
		slots += sample.Slots
		free += sample.FreeSlots
	}
	if slots == 0 || float64(free) > 0.02*float64(slots) {
		t.Fatalf("%d of %d slots were free", free, slots)
	}
}

// Pausing batch items must increase the online tail latency by at most half as much
// as engine priorities alone.
func TestYieldingProtectsTheTail(t *testing.T) {
	scenario := Kvistborg()
	scenario.Measured = 40 * time.Second
	alone := Run(scenario, OnlineAlone(&scenario), 2)
	scenario.Target.FirstToken = Quantile(alone.TTFT, 0.99)
	scenario.Target.PerToken = Quantile(alone.TPOT, 0.99)
	rockwind := Run(scenario, Rockwind(&scenario), 2)
	priority := Run(scenario, PriorityOnly(&scenario), 2)
	baseline := Quantile(alone.TPOT, 0.99)
	increase := Quantile(rockwind.TPOT, 0.99) - baseline
	priorityIncrease := Quantile(priority.TPOT, 0.99) - baseline
	if increase*2 > priorityIncrease || rockwind.BatchItems == 0 {
		t.Fatalf("batch adds %v to the tail latency, with priorities alone %v", increase, priorityIncrease)
	}
}

// Guards against an online request that counts as complete although its stream was broken off.
func TestTruncatedStreamsAreNotComplete(t *testing.T) {
	scenario := small(Magnolia())
	scenario.Online.BurstFactor = 1
	const truncated = 8
	scenario.Faults = []ScheduledFault{{At: scenario.Warmup, Fault: engine.Fault{Kind: engine.FaultTruncate, Count: truncated, Tokens: 1}}}
	policy := OnlineAlone(&scenario)
	intact := scenario
	intact.Faults = nil
	before, after := Run(intact, policy, 5), Run(scenario, policy, 5)
	if lost := len(before.TTFT) - len(after.TTFT); lost != truncated || after.Refused-before.Refused != truncated {
		t.Errorf("%d of %d truncated streams are not complete, %d count as lost", lost, truncated, after.Refused-before.Refused)
	}
}

// Guards against a stream that is resumed at another software version while several serve, and against one that is
// not resumed although its version serves.
func TestResumedStreamsKeepTheirSoftwareVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := small(Magnolia())
		scenario.GatewaysPerZone, scenario.EnginesPerZone = 1, 3
		scenario.SoftwareVersions, scenario.ResumeStreams = rapid.IntRange(1, 3).Draw(t, "versions"), true
		for number := range 4 {
			scenario.Faults = append(scenario.Faults, ScheduledFault{
				At:     scenario.Warmup + time.Duration(number)*time.Second,
				Engine: rapid.IntRange(0, scenario.Engines()-1).Draw(t, "engine"),
				Fault:  engine.Fault{Kind: engine.FaultDie, Duration: 500 * time.Millisecond},
			})
		}
		policy, seed := OnlineAlone(&scenario), rapid.Uint64().Draw(t, "seed")
		result := Run(scenario, policy, seed)
		if result.Mixed > 0 || result.Refused > result.Resumed {
			t.Fatalf("of %d resumed streams %d are mixed, and %d requests were refused", result.Resumed, result.Mixed, result.Refused)
		}
		scenario.IgnoreVersions = true
		if ignoring := Run(scenario, policy, seed); scenario.SoftwareVersions > 1 && ignoring.Resumed >= 10 && ignoring.Mixed == 0 {
			t.Fatalf("none of %d streams is mixed although versions are ignored", ignoring.Resumed)
		}
	})
}

// Guards against a prefix whose requests crash one engine after the other, and against the refusal of requests with others.
func TestCrashingPrefixIsHeld(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		scenario := small(Kvistborg())
		scenario.Measured = 12 * time.Second
		scenario.Online.Classes = slices.Clone(scenario.Online.Classes)
		for class := range scenario.Online.Classes {
			// One request in eight has the crashing prefix.
			scenario.Online.Classes[class].Prefixes = min(8, scenario.Online.Classes[class].Prefixes)
		}
		scenario.CrashingPrefix = 1
		policy := OnlineAlone(&scenario)
		held := Run(scenario, policy, seed)
		scenario.IgnorePrefixes = true
		ignored := Run(scenario, policy, seed)
		t.Logf("seed %d: %d engines crash, %d if the prefix is not held; %d of %d sound requests are refused", seed, held.Crashes, ignored.Crashes, held.SoundHeld, held.Requests)
		if held.Crashes*3 > ignored.Crashes || held.SoundHeld*50 > held.Requests {
			t.Errorf("seed %d: too many", seed)
		}
	}
}
