package virtualtime_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/virtualtime"
)

// planned is an event in the reference model, an unordered list.
type planned struct {
	at     time.Duration
	engine int
}

// takeModel removes the earliest event at or before a time; among equals, the
// one scheduled first.
func takeModel(events []planned, until time.Duration) (planned, []planned, bool) {
	earliest := -1
	for index, entry := range events {
		if entry.at <= until && (earliest < 0 || entry.at < events[earliest].at) {
			earliest = index
		}
	}
	if earliest < 0 {
		return planned{}, events, false
	}
	taken := events[earliest]
	return taken, slices.Delete(events, earliest, earliest+1), true
}

// TestQueueOrdersByTimeThenInsertion compares the queue with the reference
// model under random operations, many of them at equal or past times.
func TestQueueOrdersByTimeThenInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue virtualtime.Queue
		var model []planned
		var now time.Duration
		// ran is the number of the event that ran last.
		ran := -1
		times := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 12).Draw(t, "time"))
		})
		number := 0
		schedule := func(at time.Duration) int {
			number++
			model = append(model, planned{at: max(at, now), engine: number})
			return number
		}
		t.Repeat(map[string]func(*rapid.T){
			"at": func(t *rapid.T) {
				at := times.Draw(t, "at")
				event := schedule(at)
				queue.At(at, func() { ran = event })
			},
			"after": func(t *rapid.T) {
				delay := times.Draw(t, "delay")
				event := schedule(now + delay)
				queue.After(delay, func() { ran = event })
			},
			"wake": func(t *rapid.T) {
				at := times.Draw(t, "at")
				queue.Wake(at, schedule(at))
			},
			"next": func(t *rapid.T) {
				until := times.Draw(t, "until")
				wanted, rest, some := takeModel(model, until)
				model = rest
				event, found := queue.Next(until)
				if found != some {
					t.Fatalf("Next(%d) found %v, want %v", until, found, some)
				}
				if !some {
					return
				}
				now = wanted.at
				taken := event.Engine
				if event.Run != nil {
					event.Run()
					taken = ran
				}
				if taken != wanted.engine {
					t.Fatalf("Next(%d) took event %d, want %d", until, taken, wanted.engine)
				}
			},
			"": func(t *rapid.T) {
				if queue.Now() != now {
					t.Fatalf("current time is %d, want %d", queue.Now(), now)
				}
			},
		})
	})
}

// TestQueueRepeatsAtTheInterval checks that a periodic event runs after events
// of the same time that were scheduled before its previous run.
func TestQueueRepeatsAtTheInterval(t *testing.T) {
	var queue virtualtime.Queue
	var ran []time.Duration
	queue.Every(2, 5, func() { ran = append(ran, queue.Now()) })
	for at := range time.Duration(20) {
		queue.At(at, func() { ran = append(ran, -at) })
	}
	for {
		event, some := queue.Next(19)
		if !some {
			break
		}
		event.Run()
	}
	want := []time.Duration{
		0, -1, 2, -2, -3, -4, -5, -6, -7, 7, -8, -9, -10, -11, -12, 12,
		-13, -14, -15, -16, -17, 17, -18, -19,
	}
	if !slices.Equal(ran, want) {
		t.Fatalf("events ran as %d, want %d", ran, want)
	}
}
