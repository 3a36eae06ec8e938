package placementshift

import (
	"testing"
	"time"
)

// TestPlacementFollowsShiftAndStaticDoesNot checks in a small trial that placement
// follows the shift deterministically, and that a static fleet leaves the demand above
// its capacity unserved.
func TestPlacementFollowsShiftAndStaticDoesNot(t *testing.T) {
	trial := Trial{
		Servers: 12, Load: 0.6, Settle: 10 * time.Minute, Follow: 20 * time.Minute,
		WeightsBytes: 1e9, StoreRate: 1e9, LoadsAtOnce: 2,
	}
	policy := variants()[0].policy
	outcome := Simulate(trial, policy, 1)
	if again := Simulate(trial, policy, 1); again != outcome {
		t.Fatalf("one seed gave %+v and %+v", outcome, again)
	}
	if outcome.MovesBefore != 0 || outcome.MovesAfter < 3 || outcome.FollowSeconds >= trial.Follow.Seconds() {
		t.Fatalf("placement did not follow: %+v", outcome)
	}
	// Three of twelve servers hold the second model. They serve 3,000 of its demand of
	// 5,400; the total demand is 7,200.
	static := Simulate(trial, nil, 1)
	if static.MovesAfter != 0 || static.UnservedAfter < 0.33 || static.UnservedAfter > 0.34 {
		t.Fatalf("a static fleet gave %+v", static)
	}
}
