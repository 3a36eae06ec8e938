package gateway

import (
	"testing"

	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// TestModelUsageCountsServedAndRefused: what was served counts as such, what was
// refused counts as what it would have cost, services count nothing, and counts
// that were not delivered are delivered with the next.
func TestModelUsageCountsServedAndRefused(t *testing.T) {
	usage := newModelUsage()
	plain := serverview.Requirements{Model: "m", PromptTokens: 50}
	usage.online(plain, 7, true)
	usage.online(plain, 0, false)
	usage.online(serverview.Requirements{Model: "m", Adapter: "a"}, 3, true)
	usage.online(serverview.Requirements{Service: "s"}, 9, true)
	usage.batch("m", 5)
	usage.restore(usage.take())
	usage.batch("m", 5)
	found := make(map[string][3]float64)
	for _, entry := range usage.take() {
		found[entry.GetModel()] = [3]float64{entry.GetOnlineCost(), entry.GetBatchCost(), entry.GetRefusedCost()}
	}
	if len(found) != 2 || found["m"] != [3]float64{7, 10, sharing.Cost(50, 0, refusedTokens)} || found["m:a"] != [3]float64{3, 0, 0} {
		t.Fatalf("%v", found)
	}
	if left := usage.take(); len(left) != 0 {
		t.Fatalf("counts were delivered twice: %v", left)
	}
}
