package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOwnedFirstChoosesTheShortestWait compares choices among the healthy
// servers of one zone with a linear search.
func TestOwnedFirstChoosesTheShortestWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "servers")
		owned := rapid.IntRange(0, count).Draw(t, "owned")
		view := View{
			Cost:    CostModel{StepBase: 12 * time.Millisecond, PerSequence: 100 * time.Microsecond, PerPromptToken: 30 * time.Microsecond},
			Servers: make([]Server, count),
			Zones:   []Zone{{Count: int32(count)}},
		}
		backlog := make([]int, count)
		policy := OwnedFirst{
			Margin: OwnedMargin, Fallback: PowerOfChoices{Choices: 2, SpilloverThreshold: time.Hour},
			Backlog: func(server int) int { return backlog[server] },
		}
		for index := range view.Servers {
			server := &view.Servers[index]
			server.OwnOnline = int32(rapid.IntRange(0, 30).Draw(t, "online"))
			server.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 4).Draw(t, "loaded") > 0 {
				server.Loaded.Add(0)
			}
			backlog[index] = rapid.IntRange(0, 3).Draw(t, "backlog") * 700
			if index < owned {
				policy.Owned = append(policy.Owned, int32(index))
			} else {
				policy.Others = append(policy.Others, int32(index))
			}
		}
		request := Request{Versions: []WeightedVersion{{Name: 0, Weight: 1}}, Adapter: NoName, PromptTokens: 100}
		decision, found := policy.Choose(&view, &request, 0, rand.New(rand.NewPCG(1, 1)))
		least := time.Duration(-1)
		score := func(index int) time.Duration {
			wait := policy.estimateWait(&view, &view.Servers[index], int32(index), 100)
			if index >= owned {
				wait += OwnedMargin
			}
			return wait
		}
		for index := range view.Servers {
			if view.Servers[index].Eligible(&request, 0) && (least < 0 || score(index) < least) {
				least = score(index)
			}
		}
		if found != (least >= 0) {
			t.Fatalf("Choose found a server: %v, shortest wait: %v", found, least)
		}
		if found && (!view.Servers[decision.Server].Eligible(&request, 0) || score(decision.Server) != least) {
			t.Fatalf("server %d has score %v, lowest is %v", decision.Server, score(decision.Server), least)
		}
	})
}
