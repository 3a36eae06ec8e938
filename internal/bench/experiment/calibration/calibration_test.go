package calibration

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
)

func testOptions() *Options {
	return &Options{Zones: 2, EnginesPerZone: 2, Duration: 20 * time.Second, Warmup: 5 * time.Second, SimulatorSeeds: 2}
}

// TestSimulatorReplaysEveryRequest checks that the simulator runs all requests of the
// trace, with prompt lengths as real engines count them, and is deterministic.
func TestSimulatorReplaysEveryRequest(t *testing.T) {
	options := testOptions()
	records := makeTrace(8, 100, options.Duration, 3)
	replay := simulatorReplay(records, options.Zones)
	online, items := 0, 0
	for number, record := range records {
		if record.Kind == load.KindJob {
			items += record.Items
			continue
		}
		request := replay.Online[online]
		online++
		tokens := engine.PromptTokens(engine.UserPrompt(content(record, number, 0)))
		if request.At != record.At() || request.PromptTokens != tokens || request.OutputTokens != record.MaxTokens {
			t.Fatalf("record %+v became %+v", record, request)
		}
	}
	if online != len(replay.Online) || online == 0 || items == 0 {
		t.Fatalf("%d of %d requests, %d items", online, len(replay.Online), items)
	}
	probed := hopTimesOf([]time.Duration{time.Millisecond, 2 * time.Millisecond, 30 * time.Millisecond})
	if probed.median != time.Millisecond || len(probed.noise) != 6 || slices.Max(probed.noise) != 28*time.Millisecond {
		t.Fatalf("%+v", probed)
	}
	first, second := options.simulate(replay, probed), options.simulate(replay, probed)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two simulations with the same seeds differ")
	}
	requestsInWindow := 0
	for _, request := range replay.Online {
		if request.At >= options.Warmup {
			requestsInWindow++
		}
	}
	for _, run := range first {
		if run.requests != requestsInWindow || run.failed != 0 || run.items == 0 || run.items > items {
			t.Fatalf("%d of %d requests, %d failed, %d of %d items", run.requests, requestsInWindow, run.failed, run.items, items)
		}
	}
}

func TestMetricsAgreeWithinTolerance(t *testing.T) {
	side := func(scale float64, items int) *measurement {
		duration := time.Duration(scale * float64(100*time.Millisecond))
		return &measurement{
			ttft: []time.Duration{duration}, tpot: []time.Duration{duration},
			tokens: 50, items: items, window: time.Second,
		}
	}
	metrics := compare(true, side(1.2, 109), []*measurement{side(0.9, 90), side(1.1, 110)})
	byName := map[string]Metric{}
	for _, metric := range metrics {
		byName[metric.Name] = metric
	}
	ttft99 := byName["ttft_p99"]
	if ttft99.Real != 120 || ttft99.Simulated != 100 || ttft99.Lowest != 90 || ttft99.Highest != 110 || ttft99.Agrees {
		t.Fatalf("%+v", ttft99)
	}
	if batch := byName["batch_throughput"]; batch.Ratio != 1.09 || !batch.Agrees {
		t.Fatalf("%+v", batch)
	}
}
