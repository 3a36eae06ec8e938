package shares

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/simulator"
)

// TestFairSharesAreWeightedMaxMin checks the definition of weighted max-min fairness: all
// service is assigned, no group without a backlog gets more than it received, and
// backlogged groups get service in proportion to their shares.
func TestFairSharesAreWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := simulator.Scenario{SampleEvery: time.Second}
		sums := window{}
		anyBacklogged := false
		for range rapid.IntRange(1, 5).Draw(t, "groups") {
			scenario.Batch = append(scenario.Batch, simulator.BatchLoad{Share: float64(rapid.IntRange(1, 5).Draw(t, "share"))})
			sums.received = append(sums.received, float64(rapid.IntRange(0, 1000).Draw(t, "received")))
			sums.backlogged = append(sums.backlogged, rapid.Bool().Draw(t, "wanting"))
			sums.total += sums.received[len(sums.received)-1]
			anyBacklogged = anyBacklogged || sums.backlogged[len(sums.backlogged)-1]
		}
		evaluation := evaluator{scenario: &scenario}
		fairShares := evaluation.fairShares(sums)
		sum, level := 0.0, -1.0
		for group := range fairShares {
			sum += fairShares[group]
			if !sums.backlogged[group] {
				if fairShares[group] > sums.received[group]+1e-6 && anyBacklogged {
					t.Fatalf("the fair share of group %d is %v, but it wanted %v", group, fairShares[group], sums.received[group])
				}
				continue
			}
			perShare := fairShares[group] / scenario.Batch[group].Share
			if level >= 0 && math.Abs(level-perShare) > 1e-6 {
				t.Fatalf("backlogged groups get %v and %v per share", level, perShare)
			}
			level = perShare
		}
		if anyBacklogged && math.Abs(sum-sums.total) > 1e-6 {
			t.Fatalf("fair shares sum to %v of %v", sum, sums.total)
		}
	})
}
