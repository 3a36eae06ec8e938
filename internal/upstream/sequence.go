package upstream

import "strconv"

// EventDeduplicator passes each event of a stream on once, also where the stream is taken up
// again at another server. The zero value has passed none.
type EventDeduplicator struct {
	last  uint64
	known bool
}

// NewEventDeduplicator returns a sequence whose events up to the given number were passed on,
// as a client tells that resumes a stream; a text that is no number is passed over.
func NewEventDeduplicator(text string) EventDeduplicator {
	last, err := strconv.ParseUint(text, 10, 64)
	return EventDeduplicator{last: last, known: err == nil}
}

// Accept tells whether an event is new, and notes it then. Events without a number
// are always new.
func (s *EventDeduplicator) Accept(event Event) bool {
	if !event.HasSequence {
		return true
	}
	if s.known && event.Sequence <= s.last {
		return false
	}
	s.last, s.known = event.Sequence, true
	return true
}

// Last is the number of the last event that was passed on, zero where there is none.
func (s *EventDeduplicator) Last() uint64 { return s.last }

// String is the number after which a server should go on, empty where the stream
// begins.
func (s *EventDeduplicator) String() string {
	if !s.known {
		return ""
	}
	return strconv.FormatUint(s.last, 10)
}
