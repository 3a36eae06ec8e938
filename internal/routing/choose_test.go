package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawView draws a view with random zones, server states and loaded names.
func drawView(t *rapid.T) *View {
	view := &View{Cost: CostModel{
		StepBase:         12 * time.Millisecond,
		PerSequence:      120 * time.Microsecond,
		PerPromptToken:   30 * time.Microsecond,
		MeanPromptTokens: 300,
	}}
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	for zone := range zones {
		count := rapid.IntRange(0, 8).Draw(t, "servers")
		view.Zones = append(view.Zones, Zone{
			First:    int32(len(view.Servers)),
			Count:    int32(count),
			ExtraRTT: time.Duration(zone) * time.Millisecond,
		})
		for range count {
			view.Servers = append(view.Servers, drawServer(t, uint16(zone)))
		}
	}
	return view
}

func drawServer(t *rapid.T, zone uint16) Server {
	server := Server{
		Zone:            zone,
		Leaving:         rapid.Bool().Draw(t, "leaving"),
		Health:          Health(rapid.IntRange(0, 2).Draw(t, "health")),
		OwnOnline:       rapid.Int32Range(0, 50).Draw(t, "own"),
		OwnPromptTokens: rapid.Int32Range(0, 5000).Draw(t, "prompt"),
		SlowStart:       rapid.Float32Range(0.1, 1).Draw(t, "slow start"),
	}
	server.Report.RunningOnline = rapid.Float32Range(0, 64).Draw(t, "running")
	for id := range NameID(4) {
		if rapid.Bool().Draw(t, "loaded") {
			server.Loaded.Add(id)
		}
	}
	return server
}

func drawRequest(t *rapid.T) *Request {
	request := &Request{
		Versions: []WeightedVersion{
			{Name: 0, Weight: rapid.Uint32Range(0, 3).Draw(t, "weight")},
			{Name: 1, Weight: rapid.Uint32Range(0, 3).Draw(t, "weight")},
		},
		Adapter:      rapid.SampledFrom([]NameID{NoName, 2, 3}).Draw(t, "adapter"),
		PromptTokens: rapid.Int32Range(1, 4000).Draw(t, "prompt"),
		Exclude:      rapid.Int32Range(0, 20).Draw(t, "exclude"),
		Batch:        rapid.Bool().Draw(t, "batch"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "hints") {
		request.Hints = append(request.Hints, Hint{
			Server:       rapid.Int32Range(-1, 30).Draw(t, "hinted"),
			CachedTokens: rapid.Int32Range(0, 5000).Draw(t, "cached"),
		})
	}
	return request
}

// eligibleServers computes the eligible servers independently of the code under
// test.
func eligibleServers(view *View, request *Request) map[int]bool {
	eligible := map[int]bool{}
	for index := range view.Servers {
		server := &view.Servers[index]
		if server.Leaving || server.Health == Ejected || int32(index)+1 == request.Exclude {
			continue
		}
		if request.Adapter != NoName && !server.Loaded.Has(request.Adapter) {
			continue
		}
		for _, version := range request.Versions {
			if version.Weight > 0 && server.Loaded.Has(version.Name) {
				eligible[index] = true
			}
		}
	}
	return eligible
}

func TestChooseFindsAnEligibleServerIfOneExists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		request := drawRequest(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		eligible := eligibleServers(view, request)
		decision, found := Choose(view, request, time.Second, random)
		if found != (len(eligible) > 0) {
			t.Fatalf("Choose found a server: %v, with %d eligible servers", found, len(eligible))
		}
		if !found {
			return
		}
		if !eligible[decision.Server] {
			t.Fatalf("server %d is not eligible", decision.Server)
		}
		if !view.Servers[decision.Server].Loaded.Has(decision.Version) {
			t.Fatalf("server %d has not loaded version %d", decision.Server, decision.Version)
		}
	})
}

func TestBaselinesChooseEligibleServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		request := drawRequest(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		eligible := eligibleServers(view, request)
		for _, policy := range []Policy{&RoundRobin{}, Random{}, LeastInFlight{}, FreshOracle{}} {
			decision, found := policy.Choose(view, request, time.Second, random)
			if found && !eligible[decision.Server] {
				t.Fatalf("%T chose ineligible server %d", policy, decision.Server)
			}
		}
	})
}

// uniformView returns a view of one zone of identical servers that all have
// name 0 loaded.
func uniformView(servers int) *View {
	view := &View{
		Zones: []Zone{{Count: int32(servers)}},
		Cost: CostModel{
			StepBase:         12 * time.Millisecond,
			PerSequence:      120 * time.Microsecond,
			PerPromptToken:   30 * time.Microsecond,
			MeanPromptTokens: 300,
		},
		Servers: make([]Server, servers),
	}
	for index := range view.Servers {
		view.Servers[index].Loaded.Add(0)
	}
	return view
}

func TestHintedServerIsNotOverloaded(t *testing.T) {
	view := uniformView(12)
	random := rand.New(rand.NewPCG(1, 2))
	request := &Request{
		Versions:     []WeightedVersion{{Name: 0, Weight: 1}},
		Adapter:      NoName,
		PromptTokens: 4000,
		Hints:        []Hint{{Server: 3, CachedTokens: 4000}},
	}
	const requests = 240
	for range requests {
		decision, _ := Choose(view, request, time.Second, random)
		view.RecordSent(decision.Server, 4000, false)
	}
	hot := view.Servers[3].OwnOnline
	fair := int32(requests / 12)
	if hot < fair {
		t.Fatalf("the hinted server got %d of %d requests", hot, requests)
	}
	if hot > 2*fair {
		t.Fatalf("the hinted server got %d requests, more than twice its even share of %d", hot, fair)
	}
}

func TestVersionsAreDrawnByWeight(t *testing.T) {
	view := uniformView(12)
	for index := range view.Servers {
		view.Servers[index].Loaded.Add(1)
	}
	request := &Request{Versions: []WeightedVersion{{Name: 0, Weight: 90}, {Name: 1, Weight: 10}}, Adapter: NoName}
	random := rand.New(rand.NewPCG(3, 4))
	counts := [2]int{}
	for range 10_000 {
		decision, _ := Choose(view, request, 0, random)
		counts[decision.Version]++
	}
	if counts[1] < 850 || counts[1] > 1150 {
		t.Fatalf("version 1 got %d of 10,000 requests at weight 10 of 100", counts[1])
	}
}

func TestOwnRequestsAreBalancedBeforeAnyReport(t *testing.T) {
	view := uniformView(2)
	random := rand.New(rand.NewPCG(5, 6))
	request := &Request{Versions: []WeightedVersion{{Name: 0, Weight: 1}}, Adapter: NoName, PromptTokens: 100}
	for range 200 {
		decision, _ := Choose(view, request, 0, random)
		view.RecordSent(decision.Server, 100, false)
	}
	difference := view.Servers[0].OwnOnline - view.Servers[1].OwnOnline
	if difference < -40 || difference > 40 {
		t.Fatalf("two identical servers got %d and %d requests", view.Servers[0].OwnOnline, view.Servers[1].OwnOnline)
	}
}

func benchmarkChoose(b *testing.B, servers, zones int) {
	view := uniformView(servers)
	view.Zones = view.Zones[:0]
	for zone := range zones {
		first := servers * zone / zones
		view.Zones = append(view.Zones, Zone{First: int32(first), Count: int32(servers*(zone+1)/zones - first)})
	}
	random := rand.New(rand.NewPCG(7, 8))
	for index := range view.Servers {
		view.Servers[index].Report.RunningOnline = float32(random.IntN(30))
		view.Servers[index].Key = random.Uint64()
	}
	request := &Request{
		Versions:     []WeightedVersion{{Name: 0, Weight: 1}},
		Adapter:      NoName,
		PromptTokens: 300,
		Hints:        []Hint{{Server: 1, CachedTokens: 256}, {Server: 5, CachedTokens: 128}},
		AffinityKey:  1,
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, found := Choose(view, request, time.Second, random); !found {
			b.Fatal("Choose found no server")
		}
	}
}

func BenchmarkChoose12Servers(b *testing.B)   { benchmarkChoose(b, 12, 1) }
func BenchmarkChoose37Servers(b *testing.B)   { benchmarkChoose(b, 37, 1) }
func BenchmarkChoose1200Servers(b *testing.B) { benchmarkChoose(b, 1200, 32) }

func TestChooseAllocatesNothing(t *testing.T) {
	view := uniformView(37)
	random := rand.New(rand.NewPCG(9, 10))
	request := &Request{
		Versions: []WeightedVersion{{Name: 0, Weight: 1}}, Adapter: NoName, PromptTokens: 300,
		Hints: []Hint{{Server: 1, CachedTokens: 256}}, AffinityKey: 1,
	}
	allocations := testing.AllocsPerRun(100, func() {
		Choose(view, request, time.Second, random)
	})
	if allocations != 0 {
		t.Fatalf("Choose allocates %v times per call", allocations)
	}
}
