package serverview

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// TestServerWithNothingLoadedReceivesNoRequests checks that a digest with
// nothing loaded stops requests from a peer gateway until a model is loaded
// again.
func TestServerWithNothingLoadedReceivesNoRequests(t *testing.T) {
	client := upstream.NewClient()
	t.Cleanup(client.Close)
	config := Config{
		Models:   []*rockwindpb.Model{{Name: "m", Versions: []*rockwindpb.Version{{Name: "1", Weight: 1}}}},
		BackEnds: []*rockwindpb.BackEnd{{Name: "engine", Address: "127.0.0.1:1", Zone: "z", Serves: []string{"m"}}},
	}
	owner := New(Options{Gateway: "owner", Zone: "z", Client: client, Random: rand.New(rand.NewPCG(1, 2))})
	peer := New(Options{Gateway: "peer", Zone: "z", Client: client, Random: rand.New(rand.NewPCG(1, 2))})
	owner.Configure(config)
	peer.Configure(config)
	peer.ApplyExchange(&rockwindpb.ExchangeResponse{Peers: []string{"owner"}})
	for round, loaded := range [][]string{{"m@1"}, {}, {"m@1"}} {
		now := time.Now()
		// A timestamp in the future makes the report count as taken when the
		// poll was sent, so that rounds within the same millisecond keep their
		// order.
		ahead := now.Add(time.Second).UnixMilli()
		owner.mergePolledReport("engine", loadReport{AtMs: ahead, Loaded: loaded}, owner.now(), now)
		peer.ApplyExchange(&rockwindpb.ExchangeResponse{Peers: []string{"owner"}, Servers: owner.Digests()})
		_, possible := peer.Estimate(Requirements{Model: "m", PromptTokens: 1})
		if possible != (len(loaded) > 0) {
			t.Fatalf("round %d: server with %v loaded accepts requests: %t", round, loaded, possible)
		}
	}
}
