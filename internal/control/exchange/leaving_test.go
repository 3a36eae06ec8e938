package exchange_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/control/exchange"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// A leaving server must be named to all zones and control machines until its
// report expires.
func TestLeavingServersAreNamedToAllZonesAndMachinesWhileGatewaysNameThem(t *testing.T) {
	first, second := exchange.NewFleetState("one", 1), exchange.NewFleetState("two", 2)
	now := time.Unix(1000, 0)
	first.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "a", Zone: "x", Leaving: []string{"engine-7"}})
	if !first.TakeNewlyLeaving() || first.TakeNewlyLeaving() {
		t.Fatal("a newly leaving server must be reported exactly once")
	}
	first.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "a", Zone: "x", Leaving: []string{"engine-7"}})
	if first.TakeNewlyLeaving() {
		t.Fatal("a server that is already leaving was reported again")
	}
	second.ApplyAggregates(now, first.Aggregates(now))
	response := second.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "b", Zone: "y"})
	if !slices.Equal(response.GetLeaving(), []string{"engine-7"}) {
		t.Fatalf("another machine names %v, want engine-7", response.GetLeaving())
	}
	later := now.Add(exchange.LeavingTimeout)
	second.ApplyAggregates(later, first.Aggregates(later))
	response = second.Exchange(later, &rockwindpb.ExchangeRequest{Gateway: "b", Zone: "y"})
	if len(response.GetLeaving()) != 0 {
		t.Fatalf("%v are still named after the report expired", response.GetLeaving())
	}
}
