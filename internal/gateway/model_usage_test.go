package gateway

import (
	"testing"

	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// TestModelUsageCountsServedAndRefused verifies the cost of served and refused
// requests, and that restored usage is delivered exactly once.
func TestModelUsageCountsServedAndRefused(t *testing.T) {
	usage := newModelUsage()
	plain := serverview.Requirements{Model: "m", PromptTokens: 50}
	usage.addOnline(plain, 7, true)
	usage.addOnline(plain, 0, false)
	usage.addOnline(serverview.Requirements{Model: "m", Adapter: "a"}, 3, true)
	usage.addOnline(serverview.Requirements{Service: "s"}, 9, true)
	usage.addBatch("m", 5)
	usage.restore(usage.take())
	usage.addBatch("m", 5)
	found := make(map[string][3]float64)
	for _, entry := range usage.take() {
		found[entry.GetModel()] = [3]float64{entry.GetOnlineCost(), entry.GetBatchCost(), entry.GetRefusedCost()}
	}
	if len(found) != 2 || found["m"] != [3]float64{7, 10, sharing.Cost(50, 0, assumedOutputTokens)} || found["m:a"] != [3]float64{3, 0, 0} {
		t.Fatalf("%v", found)
	}
	if left := usage.take(); len(left) != 0 {
		t.Fatalf("usage was delivered twice: %v", left)
	}
}
