package serverview

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// TestEmptiedServerGetsNoRequest: once a server's owner says that it holds nothing,
// a peer sends it nothing, until it holds a model again.
func TestEmptiedServerGetsNoRequest(t *testing.T) {
	client := upstream.NewClient()
	t.Cleanup(client.Close)
	declared := Config{
		Models:   []*rockwindpb.Model{{Name: "m", Versions: []*rockwindpb.Version{{Name: "1", Weight: 1}}}},
		BackEnds: []*rockwindpb.BackEnd{{Name: "engine", Address: "127.0.0.1:1", Zone: "z", Serves: []string{"m"}}},
	}
	owner := New(Options{Gateway: "owner", Zone: "z", Client: client, Random: rand.New(rand.NewPCG(1, 2))})
	peer := New(Options{Gateway: "peer", Zone: "z", Client: client, Random: rand.New(rand.NewPCG(1, 2))})
	owner.Configure(declared)
	peer.Configure(declared)
	peer.ApplyExchange(&rockwindpb.ExchangeResponse{Peers: []string{"owner"}})
	for round, loaded := range [][]string{{"m@1"}, {}, {"m@1"}} {
		now := time.Now()
		// A clock that is ahead makes the report count as taken when it was asked for,
		// so that rounds within a millisecond keep their order.
		ahead := now.Add(time.Second).UnixMilli()
		owner.polled("engine", loadReport{AtMs: ahead, Loaded: loaded}, owner.now(), now)
		peer.ApplyExchange(&rockwindpb.ExchangeResponse{Peers: []string{"owner"}, Servers: owner.Digests()})
		_, possible := peer.Estimate(Requirements{Model: "m", PromptTokens: 1})
		if possible != (len(loaded) > 0) {
			t.Fatalf("round %d: a server that holds %v takes a request: %t", round, loaded, possible)
		}
	}
}
