package exchange_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/control/exchange"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestModelDemandsFollowTheGateways: steady reports of two gateways add up to their
// rate, and a gateway that falls silent is left out.
func TestModelDemandsFollowTheGateways(t *testing.T) {
	board := exchange.NewFleetState("machine", 1)
	now := time.Unix(1000, 0)
	report := func(gateway string, cost float64) {
		board.Exchange(now, &rockwindpb.ExchangeRequest{
			Gateway: gateway, Zone: "zone", Models: []*rockwindpb.ModelUsage{{Model: "m", OnlineCost: cost, RefusedCost: cost}},
		})
	}
	for range 20 {
		now = now.Add(exchange.Period)
		report("first", 100)
		report("second", 300)
	}
	demand := func() float64 {
		sum := 0.0
		for _, entry := range board.Status(now).GetModels() {
			sum += entry.GetCostPerSecond()
		}
		return sum
	}
	if both := demand(); both < 399 || both > 401 {
		t.Fatalf("a demand of 400 a second is seen as %v", both)
	}
	for range 10 {
		now = now.Add(exchange.Period)
		report("first", 100)
	}
	if one := demand(); one < 99 || one > 101 {
		t.Fatalf("a demand of 100 a second is seen as %v", one)
	}
}

// TestEmptiedServerIsPassedOn: a server that holds nothing any more, as between two
// models, is passed on as such, and a list that did not change stays known.
func TestEmptiedServerIsPassedOn(t *testing.T) {
	board := exchange.NewFleetState("machine", 1)
	now := time.Unix(1000, 0)
	version := uint64(0)
	pass := func(digest *rockwindpb.ServerDigest) *rockwindpb.ServerDigest {
		now = now.Add(exchange.Period)
		digest.Name = "engine"
		board.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "owner", Zone: "zone", Owned: []*rockwindpb.ServerDigest{digest}})
		response := board.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "peer", Zone: "zone", SinceVersion: version})
		version = response.GetVersion()
		if len(response.GetServers()) == 0 {
			return nil
		}
		return response.GetServers()[0]
	}
	if first := pass(&rockwindpb.ServerDigest{Loaded: []string{"m@1"}}); len(first.GetLoaded()) != 1 || first.GetNothingLoaded() {
		t.Fatalf("%v", first)
	}
	if same := pass(&rockwindpb.ServerDigest{RunningOnline: 1}); same == nil || same.GetNothingLoaded() {
		t.Fatalf("a list that did not change is passed on as %v", same)
	}
	if emptied := pass(&rockwindpb.ServerDigest{RunningOnline: 1, NothingLoaded: true}); !emptied.GetNothingLoaded() || len(emptied.GetLoaded()) != 0 {
		t.Fatalf("an emptied server is passed on as %v", emptied)
	}
	if next := pass(&rockwindpb.ServerDigest{RunningOnline: 1, Loaded: []string{"n@1"}}); len(next.GetLoaded()) != 1 || next.GetNothingLoaded() {
		t.Fatalf("%v", next)
	}
}
