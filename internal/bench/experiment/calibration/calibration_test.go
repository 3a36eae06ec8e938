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

// TestSimulatorReplaysTheWholeTrace checks that the simulator runs exactly the
// trace's requests with the lengths that real engines count, and that a seed
// gives one result.
func TestSimulatorReplaysTheWholeTrace(t *testing.T) {
	options := testOptions()
	records := makeTrace(8, 100, options.Duration, 3)
	replay := replayOf(records, options.Zones)
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
	probed := hopsOf([]time.Duration{time.Millisecond, 2 * time.Millisecond, 30 * time.Millisecond})
	if probed.median != time.Millisecond || len(probed.noise) != 6 || slices.Max(probed.noise) != 28*time.Millisecond {
		t.Fatalf("%+v", probed)
	}
	first, second := options.simulate(replay, probed), options.simulate(replay, probed)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("the same seeds gave other results")
	}
	measuredRequests := 0
	for _, request := range replay.Online {
		if request.At >= options.Warmup {
			measuredRequests++
		}
	}
	for _, run := range first {
		if run.requests != measuredRequests || run.failed != 0 || run.items == 0 || run.items > items {
			t.Fatalf("%d of %d requests, %d failed, %d of %d items", run.requests, measuredRequests, run.failed, run.items, items)
		}
	}
}

func TestFiguresAgreeWithinTheTolerance(t *testing.T) {
	side := func(scale float64, items int) *measured {
		duration := time.Duration(scale * float64(100*time.Millisecond))
		return &measured{
			ttft: []time.Duration{duration}, tpot: []time.Duration{duration},
			tokens: 50, items: items, window: time.Second,
		}
	}
	figures := compare(true, side(1.2, 109), []*measured{side(0.9, 90), side(1.1, 110)})
	byName := map[string]Metric{}
	for _, figure := range figures {
		byName[figure.Name] = figure
	}
	late := byName["ttft_p99"]
	if late.Real != 120 || late.Simulated != 100 || late.Lowest != 90 || late.Highest != 110 || late.Agrees {
		t.Fatalf("%+v", late)
	}
	if batch := byName["batch_throughput"]; batch.Ratio != 1.09 || !batch.Agrees {
		t.Fatalf("%+v", batch)
	}
}
