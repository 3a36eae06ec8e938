package exchange

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestModelDemandsFollowTheGateways: steady reports of two gateways add up to their
// rate, and a gateway that falls silent is left out.
func TestModelDemandsFollowTheGateways(t *testing.T) {
	board := NewBoard("machine", 1)
	now := time.Unix(1000, 0)
	report := func(gateway string, cost float64) {
		board.Exchange(now, &rockwindpb.ExchangeRequest{
			Gateway: gateway, Zone: "zone", Models: []*rockwindpb.ModelUsage{{Model: "m", OnlineCost: cost, RefusedCost: cost}},
		})
	}
	for range 20 {
		now = now.Add(Period)
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
		now = now.Add(Period)
		report("first", 100)
	}
	if one := demand(); one < 99 || one > 101 {
		t.Fatalf("a demand of 100 a second is seen as %v", one)
	}
}
