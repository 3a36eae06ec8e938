package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGatewaysAgreeOnHomes lays the same servers out in the order of two
// gateways of one zone and checks that they prefer the same server.
func TestGatewaysAgreeOnHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(2, 40).Draw(t, "servers")
		first, second := uniformView(servers), uniformView(servers)
		shuffle := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Perm(servers)
		for index := range servers {
			first.Servers[index].Key = mix(uint64(index) + 1)
			second.Servers[shuffle[index]].Key = first.Servers[index].Key
		}
		request := &Request{AffinityKey: rapid.Uint64Min(1).Draw(t, "key"), Adapter: NoName}
		one, next := first.homes(0, int32(servers), request, 0)
		other, otherNext := second.homes(0, int32(servers), request, 0)
		if int(other) != shuffle[one] || int(otherNext) != shuffle[next] {
			t.Fatalf("homes %d and %d against %d and %d", one, next, other, otherNext)
		}
		first.Servers[one].Leaving = true
		if moved, _ := first.homes(0, int32(servers), request, 0); moved != next {
			t.Fatalf("home %d once %d leaves, %d was next", moved, one, next)
		}
	})
}

func TestOneHotDocumentDoesNotOverloadItsHome(t *testing.T) {
	view := uniformView(12)
	for index := range view.Servers {
		view.Servers[index].Key = mix(uint64(index) + 1)
	}
	random := rand.New(rand.NewPCG(1, 2))
	request := &Request{
		Versions: []WeightedVersion{{Name: 0, Weight: 1}}, Adapter: NoName, PromptTokens: 4000, AffinityKey: 99,
	}
	home, _ := view.homes(0, 12, request, 0)
	const requests = 240
	for range requests {
		decision, _ := Choose(view, request, time.Second, random)
		view.RecordSent(decision.Server, 4000, false)
	}
	if got := view.Servers[home].OwnOnline; got < requests/12 || got > 2*requests/12 {
		t.Fatalf("the home got %d of %d requests on 12 servers", got, requests)
	}
}
