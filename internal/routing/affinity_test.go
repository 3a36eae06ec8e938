package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGatewaysAgreeOnAffinityServers checks that gateways select the same
// affinity servers when their views list the servers in different orders.
func TestGatewaysAgreeOnAffinityServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(2, 40).Draw(t, "servers")
		first, second := uniformView(servers), uniformView(servers)
		shuffle := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Perm(servers)
		for index := range servers {
			first.Servers[index].Key = mix(uint64(index) + 1)
			second.Servers[shuffle[index]].Key = first.Servers[index].Key
		}
		request := &Request{AffinityKey: rapid.Uint64Min(1).Draw(t, "key"), Adapter: NoName}
		one, next := first.affinityServers(0, int32(servers), request, 0)
		other, otherNext := second.affinityServers(0, int32(servers), request, 0)
		if int(other) != shuffle[one] || int(otherNext) != shuffle[next] {
			t.Fatalf("affinity servers are %d and %d in one view, %d and %d in the other", one, next, other, otherNext)
		}
		first.Servers[one].Leaving = true
		if moved, _ := first.affinityServers(0, int32(servers), request, 0); moved != next {
			t.Fatalf("affinity server is %d after %d started leaving, want %d", moved, one, next)
		}
	})
}

func TestHotDocumentDoesNotOverloadItsAffinityServer(t *testing.T) {
	view := uniformView(12)
	for index := range view.Servers {
		view.Servers[index].Key = mix(uint64(index) + 1)
	}
	random := rand.New(rand.NewPCG(1, 2))
	request := &Request{
		Versions: []WeightedVersion{{Name: 0, Weight: 1}}, Adapter: NoName, PromptTokens: 4000, AffinityKey: 99,
	}
	preferred, _ := view.affinityServers(0, 12, request, 0)
	const requests = 240
	for range requests {
		decision, _ := Choose(view, request, time.Second, random)
		view.RecordSent(decision.Server, 4000, false)
	}
	if got := view.Servers[preferred].OwnOnline; got < requests/12 || got > 2*requests/12 {
		t.Fatalf("the affinity server got %d of %d requests on 12 servers", got, requests)
	}
}
