package replica

import (
	"errors"
	"testing"
	"time"
)

// TestContactDescribesCalls guards against a record of a lost leadership that does not tell a slow member from one that
// fails calls.
func TestContactDescribesCalls(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	var calls contact
	check := func(ms int, want string) {
		t.Helper()
		if got := calls.describe(at(ms)); got != want {
			t.Errorf("after %d ms: %q, want %q", ms, got, want)
		}
	}
	check(0, "no response yet, 0 failed")
	calls.begin(at(0))
	check(30, "no response yet, waiting for 30 ms, 0 failed")
	calls.end(at(40), nil)
	calls.begin(at(50))
	check(300, "response 260 ms ago after 40 ms, waiting for 250 ms, 0 failed")
	calls.end(at(310), errors.New("refused"))
	check(310, "response 270 ms ago after 40 ms, 1 failed")
}

// TestTickDelaysKeepTheLatest guards against a stall of long ago that is reported as the cause of a lost leadership.
func TestTickDelaysKeepTheLatest(t *testing.T) {
	const kept, threshold = 10, 150 * time.Millisecond
	now := time.Now()
	var delays tickDelays
	delays.add(now, 400*time.Millisecond, kept, threshold)
	for range kept - 1 {
		delays.add(now, -time.Millisecond, kept, threshold)
	}
	if got := delays.longest(); got != 400*time.Millisecond {
		t.Errorf("the longest delay is %v", got)
	}
	delays.add(now, 5*time.Millisecond, kept, threshold)
	if got := delays.longest(); got != 5*time.Millisecond {
		t.Errorf("after %d more ticks the longest delay is %v", kept, got)
	}
}
