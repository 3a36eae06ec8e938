package soak_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/soak"
)

// TestPlanAffectsOneDiskAtATime guards against plans that make two processes with a disk
// unavailable at once, which a site doesn't tolerate, and against plans that vary for a seed.
func TestPlanAffectsOneDiskAtATime(t *testing.T) {
	backendKinds := map[soak.Kind]bool{
		soak.KindServerKill: true, soak.KindServerLateReports: true, soak.KindServerDrain: true, soak.KindServerDelay: true,
		soak.KindServerReset: true, soak.KindServerDropAll: true,
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := soak.NewPlan(seed, time.Minute, soak.Kinds())
		if !reflect.DeepEqual(plan, soak.NewPlan(seed, time.Minute, soak.Kinds())) {
			t.Fatal("the same seed gives a different plan")
		}
		var free time.Duration
		for _, fault := range plan {
			if backendKinds[fault.Kind()] {
				continue
			}
			if fault.At() < free {
				t.Fatalf("%v starts before the site has recovered from the previous one", fault)
			}
			free = fault.End() + 4*time.Second
		}
		if len(plan) < 10 {
			t.Fatalf("%d faults in a minute", len(plan))
		}
	})
}
