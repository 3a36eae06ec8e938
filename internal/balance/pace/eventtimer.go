package pace

import (
	"bytes"
	"time"
)

// eventEnd is the empty line that ends a server-sent event.
var eventEnd = []byte("\n\n")

// EventTimer counts the events of a run in the chunks of its stream and measures the time that they
// took. The zero value is ready to use.
type EventTimer struct {
	first, last time.Duration
	events      int
	// endsInNewline is whether the last byte was a newline that did not end an event, so that
	// another newline would.
	endsInNewline bool
}

// Add records a chunk of the stream.
func (t *EventTimer) Add(chunk []byte, now time.Duration) {
	if len(chunk) == 0 {
		return
	}
	completed := bytes.Count(chunk, eventEnd)
	if t.endsInNewline && chunk[0] == '\n' {
		completed++
	}
	t.endsInNewline = chunk[len(chunk)-1] == '\n' && !bytes.HasSuffix(chunk, eventEnd)
	if completed == 0 {
		return
	}
	t.last = now
	if t.events == 0 {
		// The time of the events in the first chunk is not known, so they count as one.
		t.first, t.events = now, 1
		return
	}
	t.events += completed
}

// Events returns how many events have ended. Those in the first chunk count as one.
func (t *EventTimer) Events() int { return t.events }

// Elapsed returns the time from the first event to the last.
func (t *EventTimer) Elapsed() time.Duration { return t.last - t.first }

// Restart starts a new measurement at the last event.
func (t *EventTimer) Restart() { t.first, t.events = t.last, 1 }
