package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/health"
)

// TestForgottenAndRemovedServersReturnWithoutHistory guards against records and the
// list of servers with evidence getting out of step.
func TestForgottenAndRemovedServersReturnWithoutHistory(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	tracker := health.NewTracker(health.DefaultPolicy, 10)
	fail := func(server int, now time.Duration) {
		for range 5 {
			tracker.Record(server, health.Failure, 0, now, random)
		}
	}
	state := func(server int, now time.Duration) health.State {
		tracker.Evaluate(now, random)
		found, _ := tracker.State(server, now)
		return found
	}
	fail(7, 0)
	if state(7, 0) != health.Ejected {
		t.Fatal("a server that failed five times is not ejected")
	}
	tracker.Forget(7)
	if state(7, time.Second) != health.Healthy {
		t.Fatal("a server that was forgotten is not healthy")
	}
	tracker.Resize(5)
	tracker.Resize(10)
	fail(7, time.Second)
	if state(7, time.Second) != health.Ejected || tracker.Ejected() != 1 {
		t.Fatal("a server at a removed and restored index is not ejected")
	}
	tracker.RecordSent(3, 0, time.Second)
	for now := time.Second; now < 20*time.Second; now += 250 * time.Millisecond {
		tracker.Evaluate(now, random)
	}
	if state(3, 20*time.Second) == health.Healthy {
		t.Fatal("a server that was silent for 19 s is healthy")
	}
}

// BenchmarkEvaluate measures Evaluate with evidence of 100 servers.
func BenchmarkEvaluate(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			tracker := health.NewTracker(health.DefaultPolicy, servers)
			for place := range 100 {
				tracker.Record(place*servers/100, health.Success, 20*time.Millisecond, 0, random)
			}
			for now := time.Duration(0); b.Loop(); now += 250 * time.Millisecond {
				tracker.Evaluate(now, random)
			}
		})
	}
}
