package overhead

import (
	"context"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/standin"
)

// TestMeasureWithEngineAsGateway calls one engine both directly and in place of the
// gateway. The counts of both classes must then agree.
func TestMeasureWithEngineAsGateway(t *testing.T) {
	config := engine.FastConfig()
	config.BaseStep = 100 * time.Microsecond
	server, err := standin.NewEngine(standin.EngineOptions{Config: config})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	address := listener.Listener.Addr().String()
	result, err := Measure(context.Background(), Environment{
		Gateway: address, Engines: []string{address}, GatewayPid: os.Getpid(), Model: "m",
	}, Options{
		Duration: 200 * time.Millisecond, LatencyRate: 500, PromptTokens: 10, MaxTokens: 16,
		TokenRate: 20_000, StreamTokens: 100, RequestRate: 300, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	direct, relayed := result.WholeAnswer.Direct.Count, result.WholeAnswer.Relayed.Count
	if direct == 0 || relayed < direct-1 || relayed > direct+1 || len(result.Failures) != 0 {
		t.Fatalf("%d direct and %d relayed calls, failures %v", direct, relayed, result.Failures)
	}
	if result.Throughput.Tokens != int64(result.Throughput.Requests)*100 || result.Throughput.Requests == 0 {
		t.Fatalf("%+v", result.Throughput)
	}
	if result.Requests.Tokens != int64(result.Requests.Requests) || len(result.Requests.Failures) != 0 {
		t.Fatalf("%+v", result.Requests)
	}
	if err := result.write(t.TempDir()); err != nil {
		t.Fatal(err)
	}
}

func TestRelayCostCountsAnsweredRequests(t *testing.T) {
	result := load.NewResult()
	result.Elapsed = 2 * time.Second
	for range 10 {
		result.Started(classRelayed, 0)
		result.Add(classRelayed, load.Measurement{Outcome: load.OutcomeOK, Tokens: 5, Latency: time.Millisecond})
	}
	result.Started(classRelayed, 0)
	result.Add(classRelayed, load.Measurement{Outcome: load.OutcomeNotRun})
	cost := relayCost(result.Report().Classes[0], result, 500*time.Millisecond)
	if cost.RequestsPerCoreSecond != 20 || cost.TokensPerCoreSecond != 100 || cost.Cores != 0.25 || cost.RequestsPerSecond != 5 {
		t.Fatalf("%+v", cost)
	}
	if len(cost.Failures) != 1 || cost.Failures[0].Outcome != load.OutcomeNotRun {
		t.Fatalf("%+v", cost.Failures)
	}
}
