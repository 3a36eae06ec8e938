package pace_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance/pace"
)

// TestEventsAreCountedInChunksOfAnySize checks that events are counted when they end, even if they
// are split over several chunks.
func TestEventsAreCountedInChunksOfAnySize(t *testing.T) {
	for _, each := range []struct {
		events int
		chunks []string
	}{
		{2, []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}},
		{3, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"}},
		{3, []string{"id: 1\ndata: a\n", "\nid: 2\ndata: b\n", "\n", "id: 3\ndata: c\n\n"}},
		{3, []string{"id: 1\ndata: a\n\n", "id: 2\n", "data: b\n\nid: 3\ndata: c\n", "", "\n"}},
	} {
		var timer pace.EventTimer
		for i, chunk := range each.chunks {
			timer.Add([]byte(chunk), time.Duration(i)*time.Second)
		}
		if timer.Events() != each.events {
			t.Errorf("%d events in %q, want %d", timer.Events(), each.chunks, each.events)
		}
	}
}

// TestElapsedStartsAtFirstEvent checks that the wait for the first event does not count as an event
// interval.
func TestElapsedStartsAtFirstEvent(t *testing.T) {
	var timer pace.EventTimer
	timer.Add([]byte("id: 1\n"), 0)
	timer.Add([]byte("data: a\n\n"), time.Second)
	timer.Add([]byte("id: 2\ndata: b\n\n"), 3*time.Second)
	if elapsed := timer.Elapsed(); elapsed != 2*time.Second {
		t.Errorf("the events took %v, want 2s", elapsed)
	}
	timer.Restart()
	timer.Add([]byte("id: 3\ndata: c\n\n"), 4*time.Second)
	if timer.Elapsed() != time.Second || timer.Events() != 2 {
		t.Errorf("%d events within %v after the restart, want 2 within 1s", timer.Events(), timer.Elapsed())
	}
}
