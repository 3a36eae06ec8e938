package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/coordinator"
)

const patience = 4 * time.Second

// TestNewServerIsNotSilent: a server that reported to another coordinator is in the
// directory before the leader is told that it was heard. So is one that was silent and
// reports again: the leader had forgotten it.
func TestNewServerIsNotSilent(t *testing.T) {
	l := coordinator.NewLiveness()
	now := time.Unix(1000, 0)
	for round := range 3 {
		if silent := l.Silent([]string{"new"}, patience, now); len(silent) > 0 {
			t.Fatalf("round %d: %v is silent as soon as it is known", round, silent)
		}
		l.NoteTold([]string{"new"}, now.Add(200*time.Millisecond))
		now = now.Add(patience + 300*time.Millisecond)
		if silent := l.Silent([]string{"new"}, patience, now); !slices.Equal(silent, []string{"new"}) {
			t.Fatalf("round %d: %v is silent", round, silent)
		}
		// It is marked as silent, so that the next look does not ask for it.
		l.Silent(nil, patience, now)
	}
}

// TestServerThatNeverReportsToTheLeaderBecomesSilent: what is known of it only through the
// directory counts for one period.
func TestServerThatNeverReportsToTheLeaderBecomesSilent(t *testing.T) {
	l := coordinator.NewLiveness()
	now := time.Unix(1000, 0)
	l.Silent([]string{"quiet"}, patience, now)
	if silent := l.Silent([]string{"quiet"}, patience, now.Add(patience)); len(silent) > 0 {
		t.Fatalf("%v is silent too early", silent)
	}
	if silent := l.Silent([]string{"quiet"}, patience, now.Add(patience+time.Millisecond)); len(silent) != 1 {
		t.Fatal("it never becomes silent")
	}
}
