package exchange_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/control/exchange"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Model demands must add up over gateways and leave out a silent gateway.
func TestModelDemandsFollowTheGateways(t *testing.T) {
	state := exchange.NewFleetState("machine", 1)
	now := time.Unix(1000, 0)
	report := func(gateway string, cost float64) {
		state.Exchange(now, &rockwindpb.ExchangeRequest{
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
		for _, entry := range state.Status(now).GetModels() {
			sum += entry.GetCostPerSecond()
		}
		return sum
	}
	if both := demand(); both < 399 || both > 401 {
		t.Fatalf("got demand %v, want 400 per second", both)
	}
	for range 10 {
		now = now.Add(exchange.Period)
		report("first", 100)
	}
	if one := demand(); one < 99 || one > 101 {
		t.Fatalf("got demand %v, want 100 per second", one)
	}
}

// A server without loaded models must be passed on as such, and a digest without a
// list must keep the last list.
func TestEmptiedServerIsPassedOn(t *testing.T) {
	state := exchange.NewFleetState("machine", 1)
	now := time.Unix(1000, 0)
	version := uint64(0)
	roundTrip := func(digest *rockwindpb.ServerDigest) *rockwindpb.ServerDigest {
		now = now.Add(exchange.Period)
		digest.Name = "engine"
		state.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "owner", Zone: "zone", Owned: []*rockwindpb.ServerDigest{digest}})
		response := state.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "peer", Zone: "zone", SinceVersion: version})
		version = response.GetVersion()
		if len(response.GetServers()) == 0 {
			return nil
		}
		return response.GetServers()[0]
	}
	if first := roundTrip(&rockwindpb.ServerDigest{Loaded: []string{"m@1"}}); len(first.GetLoaded()) != 1 || first.GetNothingLoaded() {
		t.Fatalf("%v", first)
	}
	if same := roundTrip(&rockwindpb.ServerDigest{RunningOnline: 1}); same == nil || same.GetNothingLoaded() {
		t.Fatalf("got %v of a server with an unchanged list", same)
	}
	if emptied := roundTrip(&rockwindpb.ServerDigest{RunningOnline: 1, NothingLoaded: true}); !emptied.GetNothingLoaded() || len(emptied.GetLoaded()) != 0 {
		t.Fatalf("got %v of a server without loaded models", emptied)
	}
	if next := roundTrip(&rockwindpb.ServerDigest{RunningOnline: 1, Loaded: []string{"n@1"}}); len(next.GetLoaded()) != 1 || next.GetNothingLoaded() {
		t.Fatalf("%v", next)
	}
}
