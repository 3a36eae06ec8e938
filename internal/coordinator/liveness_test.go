package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/coordinator"
)

const silenceTimeout = 4 * time.Second

// TestNewServerIsNotSilent guards against marking a server as silent whose report to another
// coordinator has not yet been relayed, also after it was silent before.
func TestNewServerIsNotSilent(t *testing.T) {
	l := coordinator.NewLiveness()
	now := time.Unix(1000, 0)
	for round := range 3 {
		if silent := l.Silent([]string{"new"}, silenceTimeout, now); len(silent) > 0 {
			t.Fatalf("round %d: %v is silent immediately", round, silent)
		}
		l.RecordRelayed([]string{"new"}, now.Add(200*time.Millisecond))
		now = now.Add(silenceTimeout + 300*time.Millisecond)
		if silent := l.Silent([]string{"new"}, silenceTimeout, now); !slices.Equal(silent, []string{"new"}) {
			t.Fatalf("round %d: silent servers are %v", round, silent)
		}
		// Once marked as silent, the server is not passed in the next call.
		l.Silent(nil, silenceTimeout, now)
	}
}

// TestServerThatNeverReportsToTheLeaderBecomesSilent guards against keeping a server forever that is
// known only from the directory.
func TestServerThatNeverReportsToTheLeaderBecomesSilent(t *testing.T) {
	l := coordinator.NewLiveness()
	now := time.Unix(1000, 0)
	l.Silent([]string{"quiet"}, silenceTimeout, now)
	if silent := l.Silent([]string{"quiet"}, silenceTimeout, now.Add(silenceTimeout)); len(silent) > 0 {
		t.Fatalf("%v is silent too early", silent)
	}
	if silent := l.Silent([]string{"quiet"}, silenceTimeout, now.Add(silenceTimeout+time.Millisecond)); len(silent) != 1 {
		t.Fatal("the server never becomes silent")
	}
}
