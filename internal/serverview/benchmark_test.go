package serverview

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// benchmarkZoneSize is the number of servers of a zone of a large fleet.
const benchmarkZoneSize = 37

// loadedView is a view of so many servers, all with reports, in zones of 37.
// The gateway owns three or four of its own zone, as at the target size.
func loadedView(servers int) *View {
	view := New(Options{Gateway: "gateway-0", Zone: "zone-0", Random: rand.New(rand.NewPCG(1, 2))})
	declared := Config{Models: []*rockwindpb.Model{{Name: "m", Versions: []*rockwindpb.Version{{Name: "1", Weight: 1}}}}}
	for index := range servers {
		declared.BackEnds = append(declared.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", index), Address: fmt.Sprintf("127.0.0.1:%d", index+1),
			Zone: fmt.Sprintf("zone-%d", index/benchmarkZoneSize), Serves: []string{"m"},
		})
	}
	view.Configure(declared)
	var response rockwindpb.ExchangeResponse
	for peer := range 11 {
		response.Peers = append(response.Peers, fmt.Sprintf("gateway-%d", peer))
	}
	view.ApplyExchange(&response)
	for _, e := range view.entries {
		view.merge(e, loadReport{RunningOnline: uint32(e.index % 8), Loaded: []string{"m@1"}}, view.now())
	}
	return view
}

// benchmarkWanted is a request with a prompt of 44 blocks of a conversation that
// the view knows.
func benchmarkWanted() Requirements {
	blocks := make([]uint64, 44)
	for index := range blocks {
		blocks[index] = uint64(index + 1)
	}
	return Requirements{
		Model: "m", PromptTokens: 3000, Streamed: true,
		Prefixes: routing.PrefixesOf(blocks, 64, nil), AffinityKey: routing.AffinityKeyOf(blocks),
	}
}

// BenchmarkRoutingDecision measures a whole decision on an online request: lock,
// cache hints, choice, and the counts of what was sent and ended.
func BenchmarkRoutingDecision(b *testing.B) {
	for _, servers := range []int{12, 37, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			view, wanted := loadedView(servers), benchmarkWanted()
			report := upstream.Report{Outcome: upstream.CallerLeft}
			b.ReportAllocs()
			for b.Loop() {
				choice, err := view.Choose(wanted, nil)
				if err != nil {
					b.Fatal(err)
				}
				view.RecordFirstToken(choice.Target, choice.Attempt, true, true)
				view.RecordEnded(choice.Target, choice.Attempt, report)
			}
		})
	}
}

// BenchmarkSchedulingDecision measures the choice of the server for one more
// batch item and the counts that go with it.
func BenchmarkSchedulingDecision(b *testing.B) {
	for _, servers := range []int{12, 37, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			view := loadedView(servers)
			wanted := BatchRequirements{Model: "m", PromptTokens: 300, Objective: sharing.Throughput}
			report := upstream.Report{Outcome: upstream.CallerLeft}
			b.ReportAllocs()
			for b.Loop() {
				choice, ok := view.StartBatch(wanted, nil)
				if !ok {
					b.Fatal("no server takes batch")
				}
				view.EndBatch(choice.Target, report, false, wanted.PromptTokens)
			}
		})
	}
}

// TestRoutingDecisionAllocatesNothing covers the daemon's whole decision within
// a zone; what is remembered of prompts grows by doubling, so that its cost
// vanishes in the mean.
func TestRoutingDecisionAllocatesNothing(t *testing.T) {
	view, wanted := loadedView(benchmarkZoneSize), benchmarkWanted()
	report := upstream.Report{Outcome: upstream.CallerLeft}
	allocations := testing.AllocsPerRun(20000, func() {
		choice, err := view.Choose(wanted, nil)
		if err != nil {
			t.Fatal(err)
		}
		view.RecordFirstToken(choice.Target, choice.Attempt, true, true)
		view.RecordEnded(choice.Target, choice.Attempt, report)
	})
	if allocations != 0 {
		t.Fatalf("a decision allocates %v times", allocations)
	}
}
