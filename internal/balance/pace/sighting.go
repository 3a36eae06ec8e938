package pace

import (
	"bytes"
	"time"
)

// eventEnd is an empty line.
var eventEnd = []byte("\n\n")

// EventTimer counts the events of a run in the pieces of its stream, and the time that they
// took. The zero EventTimer has seen nothing.
type EventTimer struct {
	first, last time.Duration
	events      int
	// lineEnded tells that the last byte ended a line, so that another end of a line ends an
	// event.
	lineEnded bool
}

// Add takes a piece of the stream.
func (s *EventTimer) Add(piece []byte, now time.Duration) {
	if len(piece) == 0 {
		return
	}
	ended := bytes.Count(piece, eventEnd)
	if s.lineEnded && piece[0] == '\n' {
		ended++
	}
	s.lineEnded = piece[len(piece)-1] == '\n' && !bytes.HasSuffix(piece, eventEnd)
	if ended == 0 {
		return
	}
	s.last = now
	if s.events == 0 {
		// How long the events of the first piece took is not known: it counts as its last one.
		s.first, s.events = now, 1
		return
	}
	s.events += ended
}

// Events is how many events have ended, of which those that came with the first count as one.
func (s *EventTimer) Events() int { return s.events }

// Elapsed is how long after the first event the last one ended.
func (s *EventTimer) Elapsed() time.Duration { return s.last - s.first }

// Restart begins anew with the last event, which ends the time before and begins the next.
func (s *EventTimer) Restart() { s.first, s.events = s.last, 1 }
