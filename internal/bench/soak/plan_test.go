package soak_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/soak"
)

// TestPlanLosesOneDiskAtATime: what the promises rest on holds in every plan.
func TestPlanLosesOneDiskAtATime(t *testing.T) {
	server := map[soak.Kind]bool{
		soak.KindServerKill: true, soak.KindServerLateReports: true, soak.KindServerDrain: true, soak.KindServerDelay: true,
		soak.KindServerReset: true, soak.KindServerDropAll: true,
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := soak.NewPlan(seed, time.Minute, soak.Kinds())
		if !reflect.DeepEqual(plan, soak.NewPlan(seed, time.Minute, soak.Kinds())) {
			t.Fatal("the same seed gives another plan")
		}
		var free time.Duration
		for _, fault := range plan {
			if server[fault.Kind()] {
				continue
			}
			if fault.At() < free {
				t.Fatalf("%v strikes before the last one has settled", fault)
			}
			free = fault.End() + 4*time.Second
		}
		if len(plan) < 10 {
			t.Fatalf("%d faults in a minute", len(plan))
		}
	})
}
