package shares

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/simulator"
)

// TestOwedIsWeightedMaxMinFair checks what defines it: all service is owed to
// somebody, nobody is owed more than it wants, and groups that want more are owed
// service in the proportion of their shares.
func TestOwedIsWeightedMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := simulator.Scenario{SampleEvery: time.Second}
		summed := window{}
		wanting := false
		for range rapid.IntRange(1, 5).Draw(t, "groups") {
			scenario.Batch = append(scenario.Batch, simulator.BatchLoad{Share: float64(rapid.IntRange(1, 5).Draw(t, "share"))})
			summed.received = append(summed.received, float64(rapid.IntRange(0, 1000).Draw(t, "received")))
			summed.wanting = append(summed.wanting, rapid.Bool().Draw(t, "wanting"))
			summed.total += summed.received[len(summed.received)-1]
			wanting = wanting || summed.wanting[len(summed.wanting)-1]
		}
		judged := judge{scenario: &scenario}
		owed := judged.owed(summed)
		sum, level := 0.0, -1.0
		for group := range owed {
			sum += owed[group]
			if !summed.wanting[group] {
				if owed[group] > summed.received[group]+1e-6 && wanting {
					t.Fatalf("group %d is owed %v and wants %v", group, owed[group], summed.received[group])
				}
				continue
			}
			perShare := owed[group] / scenario.Batch[group].Share
			if level >= 0 && math.Abs(level-perShare) > 1e-6 {
				t.Fatalf("wanting groups are owed %v and %v a share", level, perShare)
			}
			level = perShare
		}
		if wanting && math.Abs(sum-summed.total) > 1e-6 {
			t.Fatalf("%v of %v is owed", sum, summed.total)
		}
	})
}
