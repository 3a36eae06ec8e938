package health

import (
	"testing"
	"time"
)

// TestServerWithoutFirstTokensIsEjected: a server that sends no first tokens while
// others do must be ejected.
func TestServerWithoutFirstTokensIsEjected(t *testing.T) {
	tracker := NewTracker(DefaultPolicy, 10)
	random := newRandom()
	now := time.Second
	tracker.RecordSent(0, 50*time.Millisecond, now)
	states := []State{}
	for range 5 {
		now += time.Second
		tracker.RecordSent(1, 50*time.Millisecond, now)
		tracker.RecordFirstToken(1, true, now)
		tracker.Evaluate(now, random)
		state, _ := tracker.State(0, now)
		states = append(states, state)
	}
	if states[0] != Suspect || states[4] != Ejected {
		t.Fatalf("states %v of a silent server in successive seconds", states)
	}
	if state, _ := tracker.State(1, now); state != Healthy {
		t.Fatalf("state %v of a server that answers", state)
	}
}

func TestExpectedSilenceIsNotEvidence(t *testing.T) {
	tracker := NewTracker(DefaultPolicy, 10)
	random := newRandom()
	now := time.Second
	tracker.RecordSent(0, 2*time.Second, now)
	for range 7 {
		now += time.Second
		tracker.Evaluate(now, random)
	}
	if state, _ := tracker.State(0, now); state != Healthy {
		t.Fatalf("state %v while a long wait was expected", state)
	}
	tracker.RecordFirstToken(0, false, now)
	now += time.Minute
	tracker.Evaluate(now, random)
	if state, _ := tracker.State(0, now); state != Healthy {
		t.Fatalf("state %v of a server without pending requests", state)
	}
}
