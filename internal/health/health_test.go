package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func TestEjectedFractionIsCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 20).Draw(t, "servers")
		tracker := NewTracker(DefaultPolicy, servers)
		random := newRandom()
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			server := rapid.IntRange(0, servers-1).Draw(t, "server")
			outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			tracker.StartTrial(server, now)
			tracker.Record(server, outcome, time.Millisecond, now, random)
			if rapid.Bool().Draw(t, "evaluate") {
				tracker.Evaluate(now, random)
			}
			checkEjectedFraction(t, tracker, servers, now)
		}
	})
}

func checkEjectedFraction(t *rapid.T, tracker *Tracker, servers int, now time.Duration) {
	ejected := 0
	for server := range servers {
		state, weight := tracker.State(server, now)
		if weight <= 0 || weight > 1 {
			t.Fatalf("weight %v", weight)
		}
		if state == Ejected {
			ejected++
		}
	}
	if ejected != tracker.Ejected() {
		t.Fatalf("%d ejected, %d counted", ejected, tracker.Ejected())
	}
	if float64(ejected) > DefaultPolicy.MaxEjectedFraction*float64(servers) {
		t.Fatalf("%d of %d servers ejected", ejected, servers)
	}
}

func TestEjectedServerRecoversThroughTrialsAndSlowStart(t *testing.T) {
	tracker := NewTracker(DefaultPolicy, 10)
	random := newRandom()
	for range 4 {
		tracker.Record(0, Failure, 0, time.Second, random)
	}
	if state, _ := tracker.State(0, time.Second); state != Ejected {
		t.Fatalf("state %v after four failures", state)
	}
	if tracker.StartTrial(0, time.Second+DefaultPolicy.HoldDown/2) {
		t.Fatal("a trial was started during the hold-down")
	}
	now := time.Minute
	for range DefaultPolicy.TrialsToReturn {
		if !tracker.StartTrial(0, now) {
			t.Fatal("no trial was started after the hold-down")
		}
		if tracker.StartTrial(0, now) {
			t.Fatal("two trials were started at the same time")
		}
		tracker.Record(0, Success, time.Millisecond, now, random)
	}
	state, weight := tracker.State(0, now)
	if state != Healthy || weight != minimumWeight {
		t.Fatalf("state %v weight %v right after the recovery", state, weight)
	}
	if _, weight = tracker.State(0, now+DefaultPolicy.SlowStart); weight != 1 {
		t.Fatalf("weight %v after the slow start", weight)
	}
}

func TestHoldDownGrowsWhileServerFlaps(t *testing.T) {
	tracker := NewTracker(DefaultPolicy, 10)
	random := newRandom()
	now := time.Second
	last := time.Duration(0)
	for range 4 {
		for range 4 {
			tracker.Record(0, Failure, 0, now, random)
		}
		hold := tracker.records[0].ejectedUntil - now
		if hold <= last {
			t.Fatalf("hold-down %v after %v", hold, last)
		}
		last = time.Duration(float64(hold) / (1 + DefaultPolicy.Jitter))
		now += hold
		for range DefaultPolicy.TrialsToReturn {
			tracker.StartTrial(0, now)
			tracker.Record(0, Success, time.Millisecond, now, random)
		}
	}
}

func TestSlowOutlierIsSuspectUntilFastAgain(t *testing.T) {
	tracker := NewTracker(DefaultPolicy, 6)
	random := newRandom()
	now := time.Duration(0)
	run := func(seconds int, latency time.Duration) State {
		for range seconds * 10 {
			now += 100 * time.Millisecond
			for server := range 6 {
				measured := 20 * time.Millisecond
				if server == 2 {
					measured = latency
				}
				tracker.Record(server, Success, measured, now, random)
			}
			tracker.Evaluate(now, random)
		}
		state, _ := tracker.State(2, now)
		return state
	}
	if state := run(10, 200*time.Millisecond); state != Suspect {
		t.Fatalf("state %v while ten times slower than its peers", state)
	}
	if state := run(20, 20*time.Millisecond); state != Healthy {
		t.Fatalf("state %v after it is as fast as its peers", state)
	}
	if tracker.Ejected() != 0 {
		t.Fatal("a slow server was ejected")
	}
}

func TestRefusalsAreNotEvidenceOfFailure(t *testing.T) {
	tracker := NewTracker(DefaultPolicy, 10)
	for range 100 {
		tracker.Record(0, Refused, 0, time.Second, newRandom())
	}
	if state, _ := tracker.State(0, time.Second); state != Healthy {
		t.Fatalf("state %v after refusals", state)
	}
}
