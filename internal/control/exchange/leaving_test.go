package exchange_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/control/exchange"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func TestLeavingServersAreNamedToAllZonesAndMachinesWhileGatewaysNameThem(t *testing.T) {
	first, second := exchange.NewFleetState("one", 1), exchange.NewFleetState("two", 2)
	now := time.Unix(1000, 0)
	first.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "a", Zone: "x", Leaving: []string{"engine-7"}})
	if !first.TakeNewlyLeaving() || first.TakeNewlyLeaving() {
		t.Fatal("a server that was found leaving is news once")
	}
	first.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "a", Zone: "x", Leaving: []string{"engine-7"}})
	if first.TakeNewlyLeaving() {
		t.Fatal("a server that is known to leave is news again")
	}
	second.ApplyAggregates(now, first.Aggregates(now))
	answer := second.Exchange(now, &rockwindpb.ExchangeRequest{Gateway: "b", Zone: "y"})
	if !slices.Equal(answer.GetLeaving(), []string{"engine-7"}) {
		t.Fatalf("another machine names %v", answer.GetLeaving())
	}
	later := now.Add(exchange.LeavingTimeout)
	second.ApplyAggregates(later, first.Aggregates(later))
	answer = second.Exchange(later, &rockwindpb.ExchangeRequest{Gateway: "b", Zone: "y"})
	if len(answer.GetLeaving()) != 0 {
		t.Fatalf("%v are named though no gateway does", answer.GetLeaving())
	}
}
