package pace_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance/pace"
)

// TestEventsAreCountedInWhateverPiecesTheyCome: the time between events is that of whole ones,
// and begins with the last of the first piece.
func TestEventsAreCountedInWhateverPiecesTheyCome(t *testing.T) {
	for _, each := range []struct {
		events int
		pieces []string
	}{
		{2, []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}},
		{3, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"}},
		{3, []string{"id: 1\ndata: a\n", "\nid: 2\ndata: b\n", "\n", "id: 3\ndata: c\n\n"}},
		{3, []string{"id: 1\ndata: a\n\n", "id: 2\n", "data: b\n\nid: 3\ndata: c\n", "", "\n"}},
	} {
		var seen pace.EventTimer
		for i, piece := range each.pieces {
			seen.Add([]byte(piece), time.Duration(i)*time.Second)
		}
		if seen.Events() != each.events {
			t.Errorf("%d events in %q, want %d", seen.Events(), each.pieces, each.events)
		}
	}
}

// TestTimeBetweenEventsBeginsWithTheFirst: the wait for it is not that of an event.
func TestTimeBetweenEventsBeginsWithTheFirst(t *testing.T) {
	var seen pace.EventTimer
	seen.Add([]byte("id: 1\n"), 0)
	seen.Add([]byte("data: a\n\n"), time.Second)
	seen.Add([]byte("id: 2\ndata: b\n\n"), 3*time.Second)
	if took := seen.Elapsed(); took != 2*time.Second {
		t.Errorf("the events came within %v", took)
	}
	seen.Restart()
	seen.Add([]byte("id: 3\ndata: c\n\n"), 4*time.Second)
	if seen.Elapsed() != time.Second || seen.Events() != 2 {
		t.Errorf("%d events within %v after the second", seen.Events(), seen.Elapsed())
	}
}
