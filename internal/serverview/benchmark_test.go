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

// benchmarkZoneSize is the number of servers per zone.
const benchmarkZoneSize = 37

// loadedView returns a view of servers that all have load reports. The gateway
// has ten peers, so it owns three or four servers of a full zone.
func loadedView(servers int) *View {
	view := New(Options{Gateway: "gateway-0", Zone: "zone-0", Random: rand.New(rand.NewPCG(1, 2))})
	config := Config{Models: []*rockwindpb.Model{{Name: "m", Versions: []*rockwindpb.Version{{Name: "1", Weight: 1}}}}}
	for index := range servers {
		config.BackEnds = append(config.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", index), Address: fmt.Sprintf("127.0.0.1:%d", index+1),
			Zone: fmt.Sprintf("zone-%d", index/benchmarkZoneSize), Serves: []string{"m"},
		})
	}
	view.Configure(config)
	var response rockwindpb.ExchangeResponse
	for peer := range 11 {
		response.Peers = append(response.Peers, fmt.Sprintf("gateway-%d", peer))
	}
	view.ApplyExchange(&response)
	for _, e := range view.entries {
		view.setReport(e, loadReport{RunningOnline: uint32(e.index % 8), Loaded: []string{"m@1"}}, view.now())
	}
	return view
}

// benchmarkRequirements describes a request with a prompt of 44 blocks.
func benchmarkRequirements() Requirements {
	blocks := make([]uint64, 44)
	for index := range blocks {
		blocks[index] = uint64(index + 1)
	}
	return Requirements{
		Model: "m", PromptTokens: 3000, Streamed: true,
		Prefixes: routing.PrefixesOf(blocks, 64, nil), AffinityKey: routing.AffinityKeyOf(blocks),
	}
}

// BenchmarkRoutingDecision measures an online request's routing: locking, cache
// hints, server choice and bookkeeping.
func BenchmarkRoutingDecision(b *testing.B) {
	for _, servers := range []int{12, 37, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			view, requirements := loadedView(servers), benchmarkRequirements()
			report := upstream.Report{Outcome: upstream.Canceled}
			b.ReportAllocs()
			for b.Loop() {
				choice, err := view.Choose(requirements, nil)
				if err != nil {
					b.Fatal(err)
				}
				view.RecordFirstToken(choice.Target, choice.Attempt, true, true)
				view.RecordEnd(choice.Target, choice.Attempt, report)
			}
		})
	}
}

// BenchmarkSchedulingDecision measures the server choice and bookkeeping for a
// batch item.
func BenchmarkSchedulingDecision(b *testing.B) {
	for _, servers := range []int{12, 37, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			view := loadedView(servers)
			requirements := BatchRequirements{Model: "m", PromptTokens: 300, Objective: sharing.Throughput}
			report := upstream.Report{Outcome: upstream.Canceled}
			b.ReportAllocs()
			for b.Loop() {
				choice, ok := view.StartBatch(requirements, nil)
				if !ok {
					b.Fatal("no server accepts a batch item")
				}
				view.EndBatch(choice.Target, report, false, requirements.PromptTokens)
			}
		})
	}
}

// TestRoutingDecisionAllocatesNothing checks that routing within a zone does
// not allocate on average; the prefix index grows by doubling, which amortizes
// to zero.
func TestRoutingDecisionAllocatesNothing(t *testing.T) {
	view, requirements := loadedView(benchmarkZoneSize), benchmarkRequirements()
	report := upstream.Report{Outcome: upstream.Canceled}
	allocations := testing.AllocsPerRun(20000, func() {
		choice, err := view.Choose(requirements, nil)
		if err != nil {
			t.Fatal(err)
		}
		view.RecordFirstToken(choice.Target, choice.Attempt, true, true)
		view.RecordEnd(choice.Target, choice.Attempt, report)
	})
	if allocations != 0 {
		t.Fatalf("a routing decision allocates %v times", allocations)
	}
}
